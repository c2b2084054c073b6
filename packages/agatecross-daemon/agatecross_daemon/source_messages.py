"""Messages of the task that follows the configuration on the platform's store."""

from dataclasses import dataclass

from agatecross_core.ids import DaemonId, Version
from agatecross_core.members.directory import Endpoint


@dataclass(frozen=True, slots=True)
class ConfigReceived:
    """A peer sent a configuration, compressed."""

    version: Version
    blob: bytes


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A configuration came into force; `push` asks to send it to the daemons of the region."""

    version: Version
    blob: bytes
    push: bool


@dataclass(frozen=True, slots=True)
class EndpointsRead:
    """Descriptions of daemons that were read from the store."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PeerForgotten:
    """A daemon could not be reached for so long that it is taken as gone."""

    daemon_id: DaemonId
