"""Documents, compiled snapshots and the records of the config stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..constants import NO_DIGEST, NO_OFFSET, NO_VERSION, RULE_SET_VERSION
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

BASE = DocumentName("base")

NO_AGE = Millis(0)

KeyPath = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Document:
    """One configuration document as its author wrote it."""

    name: DocumentName
    text: str


@dataclass(frozen=True, slots=True)
class DecodedDocument:
    """The values of a document and the line of each key."""

    name: DocumentName
    values: Mapping[str, object]
    lines: Mapping[KeyPath, int]

    def place(self, path: KeyPath) -> Place:
        """Return the place of a key, or of its nearest enclosing table."""
        for end in range(len(path), 0, -1):
            if path[:end] in self.lines:
                return Place(self.name, self.lines[path[:end]], ".".join(path))
        return Place(self.name, 0, ".".join(path))


class DocumentDecoder(Protocol):
    """Decodes the text of a document; raises `DocumentSyntaxError`."""

    def __call__(self, document: Document) -> DecodedDocument:
        """Decode one document."""
        ...


@dataclass(frozen=True, slots=True)
class MergedSite:
    """The base with the overlay of one data centre applied, and the origin of each key."""

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
    """How calls to one service are carried; times in milliseconds, ratios from 0 to 1."""

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
    """Path prefix, optionally on one host, and the service that gets its calls."""

    name: RouteName
    prefix: str
    service: ServiceName
    host: str = ""


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """Everything that a proxy of one data centre needs, routes with the longest prefix first."""

    data_centre: DataCentreName
    region: RegionName
    services: Mapping[ServiceName, ServicePolicy]
    routes: tuple[Route, ...]


@dataclass(frozen=True, slots=True)
class MeshSnapshot:
    """One whole compiled configuration."""

    version: Version
    digest: Digest
    sites: Mapping[DataCentreName, SiteSnapshot]


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """A publish on the config stream: whole documents, and names of removed overlays."""

    publish_id: PublishId
    parent: Version
    rules: int
    documents: tuple[Document, ...]
    removed: tuple[DocumentName, ...] = ()
    author: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The folded state through offset `through`, written before retention drops its records.

    `mark` is the digest of the record at `through`; `at_ms` is wall-clock milliseconds and only
    tells when the next snapshot is due. With `through` `NO_OFFSET` it is a restart: written after
    the log was replaced or lost its history, it sets the folded state whatever came before.
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
    """A record of the config stream; `record` is None when it cannot be decoded.

    `mark` is the digest of the encoded record, `age` the time since a snapshot was written.
    """

    offset: Offset
    record: ConfigRecord | None
    mark: Digest = NO_DIGEST
    age: Millis = NO_AGE


@dataclass(frozen=True, slots=True)
class ConfigState:
    """What a reader of the config stream knows after folding its records through `through`.

    `rules` is the rule set of the version, `mark` the digest of the record at `through`.
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
    """The state after one record, with the verdict, the findings and the new snapshot if any."""

    state: ConfigState
    verdict: PublishVerdict
    findings: tuple[Finding, ...] = ()
    snapshot: MeshSnapshot | None = field(default=None)
