"""Messages of the task that follows the configuration on the platform's store."""

from dataclasses import dataclass
from enum import Enum

from agatecross_adapters.hop_messages import ConfigDelta
from agatecross_core.ids import DaemonId, Version
from agatecross_core.members.directory import Endpoint


class ConfigOrigin(Enum):
    """Where a configuration came from."""

    STORE = "store"
    REGION = "region"
    OTHER_REGION = "other-region"


@dataclass(frozen=True, slots=True)
class ConfigReceived:
    """A peer sent a whole configuration, compressed."""

    version: Version
    blob: bytes
    origin: ConfigOrigin


@dataclass(frozen=True, slots=True)
class DeltaReceived:
    """A peer sent the difference of a configuration to the one before."""

    delta: ConfigDelta
    origin: ConfigOrigin


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A configuration came into force; `delta` is the difference to the one before, if any."""

    version: Version
    blob: bytes
    delta: ConfigDelta | None
    origin: ConfigOrigin


@dataclass(frozen=True, slots=True)
class FullConfigNeeded:
    """A difference did not fit the configuration in force: the whole one is needed."""

    version: Version


@dataclass(frozen=True, slots=True)
class LinksChanged:
    """The daemons to which a link is open."""

    open_links: frozenset[DaemonId]


@dataclass(frozen=True, slots=True)
class DrainConfirmed:
    """The upstream next to this daemon was confirmed as leaving; `me` says so."""

    own_endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointsRead:
    """Descriptions of daemons that were read from the store."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PeerRemoved:
    """A daemon could not be reached for so long that it is taken as gone."""

    daemon_id: DaemonId
