"""Messages between daemons on a hop connection."""

from dataclasses import dataclass

from agatecross_core.distribution.delta import Step
from agatecross_core.ids import DaemonId, HandoverId, Incarnation, Version
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import Handover, RelayResult


@dataclass(frozen=True, slots=True)
class Hello:
    """First message each way: who speaks, and the descriptions that the other side lacks.

    The first description is the speaker's own.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    version: Version
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer waits for this handover."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Resume:
    """Asks for the result of a handover after its connection was lost; fences it if unseen."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Ping:
    """Shows that the connection works; answered by a ping with `answer` set."""

    is_reply: bool
    version: Version


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a handover."""

    handover_id: HandoverId
    result: RelayResult


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Descriptions that changed."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ConfigBlob:
    """A whole configuration, compressed."""

    version: Version
    data: bytes


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """The difference of a configuration to the version before; `crc` is that of the result."""

    base: Version
    version: Version
    crc: int
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for the configuration in force if it is newer than `version`."""

    version: Version


@dataclass(frozen=True, slots=True)
class Strikes:
    """Requests that were running when an upstream died."""

    strikes: tuple[Strike, ...]


HopMessage = (
    Hello
    | Handover
    | Cancel
    | Resume
    | Ping
    | Result
    | Endpoints
    | ConfigBlob
    | ConfigDelta
    | Pull
    | Strikes
)
