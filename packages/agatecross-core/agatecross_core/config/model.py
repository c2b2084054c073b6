"""Configuration documents, compiled configurations and records of the config stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..constants import NO_DIGEST, NO_OFFSET, NO_VERSION, RULE_SET_VERSION
from ..customers.model import Customer
from ..findings import Finding, Place
from ..ids import (
    DataCentreName,
    Digest,
    DocumentName,
    Millis,
    Offset,
    PublishId,
    RegionName,
    RouteName,
    ServiceName,
    Version,
)
from ..states import PublishVerdict
from .documents import BASE, Document, KeyPath

NO_AGE = Millis(0)


@dataclass(frozen=True, slots=True)
class MergedSite:
    """The base with the overlay of one data centre applied, and the place of each key."""

    data_centre: DataCentreName
    values: Mapping[str, object]
    places: Mapping[KeyPath, Place]

    def place(self, path: KeyPath) -> Place:
        """Return the place of a key, or of its nearest enclosing table."""
        for end in range(len(path), 0, -1):
            if path[:end] in self.places:
                known = self.places[path[:end]]
                return Place(known.document, known.line, ".".join(path))
        return Place(BASE, 0, ".".join(path))


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings for calls to one service; times in milliseconds, ratios from 0 to 1."""

    name: ServiceName
    timeout_ms: int = 2_000
    attempts: int = 3
    retry_ratio: float = 0.1
    hedge_quantile: float = 0.0
    long_share: float = 0.25
    long_ms: int = 500
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


@dataclass(frozen=True, slots=True)
class Route:
    """Maps a path prefix, on one host if `host` is set, to a service.

    Without `allow_anonymous`, a request needs the key of a customer if there are customers.
    """

    name: RouteName
    prefix: str
    service: ServiceName
    host: str = ""
    allow_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class SiteConfig:
    """Compiled configuration for daemons of one data centre.

    Routes with a host come before those without, and longer prefixes before shorter ones.
    `customers` holds each customer with its keys.
    """

    data_centre: DataCentreName
    region: RegionName
    services: Mapping[ServiceName, ServicePolicy]
    routes: tuple[Route, ...]
    customers: tuple[tuple[Customer, tuple[str, ...]], ...] = ()


@dataclass(frozen=True, slots=True)
class MeshConfig:
    """A complete compiled configuration."""

    version: Version
    digest: Digest
    sites: Mapping[DataCentreName, SiteConfig]


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """A publish on the config stream: whole documents, and the names of removed overlays."""

    publish_id: PublishId
    parent: Version
    rules: int
    documents: tuple[Document, ...]
    removed: tuple[DocumentName, ...] = ()
    author: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The folded state up to and including offset `through`.

    Snapshots are written before the retention of the log drops the folded records. `mark` is the
    digest of the record at `through`. `at_ms` is the time of writing in wall-clock milliseconds,
    and is only used to decide when the next snapshot is due.

    A snapshot whose `through` is `NO_OFFSET` restarts the fold: it is written after the log was
    replaced or lost its history, and replaces the folded state regardless of earlier records.
    """

    version: Version
    digest: Digest
    rules: int
    through: Offset
    documents: tuple[Document, ...]
    seen: tuple[PublishId, ...]
    mark: Digest = NO_DIGEST
    at_ms: int = 0


ConfigRecord = PublishRecord | SnapshotRecord


@dataclass(frozen=True, slots=True)
class OffsetRecord:
    """A record of the config stream; `record` is None if it cannot be decoded.

    `mark` is the digest of the encoded record; for a snapshot, `age` is the time since it was
    written.
    """

    offset: Offset
    record: ConfigRecord | None
    mark: Digest = NO_DIGEST
    age: Millis = NO_AGE


@dataclass(frozen=True, slots=True)
class ConfigState:
    """State of a reader after it folded the config stream up to and including `through`.

    `rules` is the rule set of the version; `mark` is the digest of the record at `through`; `seen`
    holds the newest publish ids, oldest first.
    """

    version: Version = NO_VERSION
    digest: Digest = NO_DIGEST
    documents: tuple[Document, ...] = ()
    seen: tuple[PublishId, ...] = ()
    rules: int = RULE_SET_VERSION
    through: Offset = NO_OFFSET
    mark: Digest = NO_DIGEST


@dataclass(frozen=True, slots=True)
class FoldStep:
    """State after one record, with the verdict, any findings and any new compiled configuration."""

    state: ConfigState
    verdict: PublishVerdict
    findings: tuple[Finding, ...] = ()
    mesh_config: MeshConfig | None = field(default=None)
