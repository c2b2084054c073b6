"""Messages on a hop connection, which links two daemons."""

from dataclasses import dataclass

from agatecross_core.distribution.delta import Step
from agatecross_core.ids import CallId, DaemonId, HandoverId, Incarnation, Millis, StoreEra, Version
from agatecross_core.limits.model import LimitAnswer, LimitReport
from agatecross_core.members.directory import Endpoint
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.relay.model import Handover, RelayResult


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction: the sender and the endpoint records its peer lacks.

    The first endpoint record is the sender's own. Handovers to the sender with more than
    `announce_above` bytes must be announced first, unless it is 0.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    version: Version
    endpoints: tuple[Endpoint, ...]
    announce_above: int = 0


@dataclass(frozen=True, slots=True)
class Announce:
    """Asks for the turn to send a handover with a body of `size` bytes.

    It is answered by an `Invite`, or by the `Result` of a handover that did not run.
    """

    handover_id: HandoverId
    call_id: CallId
    size: int
    objective_time_left: Millis
    time_left: Millis


@dataclass(frozen=True, slots=True)
class Invite:
    """Lets the receiver send the handover that it has announced."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tells that the caller no longer waits for the result of a handover."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Resume:
    """Asks for the result of a handover whose connection was lost.

    A receiver that has not seen the handover fences it, so that it cannot run later.
    """

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Ping:
    """Checks that the connection works; answered by a ping with `is_reply` set.

    `version` is the version that the sender has in force.
    """

    is_reply: bool
    version: Version


@dataclass(frozen=True, slots=True)
class Result:
    """Carries the result of a handover."""

    handover_id: HandoverId
    result: RelayResult


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Carries endpoint records that changed."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ConfigBlob:
    """Carries a complete configuration, compressed."""

    version: Version
    data: bytes


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """Carries the steps from version `base` to `version`; `crc` is the checksum of the result."""

    base: Version
    version: Version
    crc: int
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for the peer's configuration in force if it is newer than `version`."""

    version: Version


@dataclass(frozen=True, slots=True)
class Strikes:
    """Reports requests that were running when an upstream died, or that are cleared of that."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class StoreEraNotice:
    """Reports that the platform's store came back from an older copy in `era`."""

    era: StoreEra


ORDERED_MESSAGES = (ConfigBlob, ConfigDelta)
"""Messages that must arrive in the order in which they were sent: a delta fits its predecessor."""

CONFIRMED_MESSAGES = (Cancel, Endpoints, ConfigBlob, ConfigDelta, Strikes, StoreEraNotice)
"""Messages without an answer that are sent once: only a later ping shows that they arrived."""

HopMessage = (
    Hello
    | Announce
    | Invite
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
    | StoreEraNotice
    | LimitReport
    | LimitAnswer
)
