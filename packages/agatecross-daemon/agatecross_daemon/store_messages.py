"""Messages to and from the task that calls the platform's store."""

from dataclasses import dataclass

from agatecross_adapters.hop_messages import ConfigDelta
from agatecross_core.distribution.propagation import ConfigOrigin
from agatecross_core.ids import DaemonId, Millis, StoreEra, Version
from agatecross_core.members.directory import Endpoint


@dataclass(frozen=True, slots=True)
class ConfigSource:
    """The store, or the daemon that sent a configuration.

    `behind` is the time since this daemon learnt that a newer version exists, 0 if it did not know.
    """

    origin: ConfigOrigin
    daemon_id: DaemonId | None
    behind: Millis


@dataclass(frozen=True, slots=True)
class ConfigReceived:
    """A peer sent a whole configuration, compressed."""

    version: Version
    blob: bytes
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class DeltaReceived:
    """A peer sent the delta from one configuration to the next."""

    delta: ConfigDelta
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A configuration came into force; `delta` is the change from the previous one, if any."""

    version: Version
    data: bytes
    delta: ConfigDelta | None
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class FullConfigNeeded:
    """A delta did not apply to the configuration in force: the full one is needed."""

    version: Version


@dataclass(frozen=True, slots=True)
class LinksChanged:
    """The set of daemons with an open link changed."""

    open_links: frozenset[DaemonId]


@dataclass(frozen=True, slots=True)
class StoreDrain:
    """Request to the store task: save the drain of the local upstream in `own_endpoint`."""

    own_endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store came back from an older copy in `era`; `reported` if a peer has said so before."""

    era: StoreEra
    reported: bool = False


@dataclass(frozen=True, slots=True)
class StoreRestoreReported:
    """A peer reports that the store came back from an older copy in `era`."""

    era: StoreEra


@dataclass(frozen=True, slots=True)
class StoreMoved:
    """The settings name another store: what is known of the one before does not apply to it."""


@dataclass(frozen=True, slots=True)
class EndpointsRead:
    """Announcements of daemons were read from the store."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PeerRemoved:
    """A daemon was unreachable for so long that it is considered gone."""

    daemon_id: DaemonId
