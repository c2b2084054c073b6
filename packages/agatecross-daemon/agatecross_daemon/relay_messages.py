"""Messages between the tasks that relay calls."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from agatecross_core.ids import DaemonId, HandoverId, InstanceId, Millis, ServiceName
from agatecross_core.members.announcement import Heartbeat
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.leave_replies import Reply
from agatecross_core.members.records import Strike
from agatecross_core.relay.drain import DrainPlan
from agatecross_core.relay.model import Handover, RelayResult
from agatecross_core.routing.host_table import HostTable

ResultReceiver = Callable[[HandoverId, RelayResult], None]


@dataclass(frozen=True, slots=True)
class TableInForce:
    """A configuration came into force."""

    table: HostTable


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """The endpoints that take calls changed; `daemons` counts the known daemons."""

    by_service: Mapping[ServiceName, tuple[Endpoint, ...]]
    daemons: int


@dataclass(frozen=True, slots=True)
class DrainPlanned:
    """The daemon is stopping; the plan tells which calls it still takes."""

    plan: DrainPlan


@dataclass(frozen=True, slots=True)
class RunHandover:
    """Run this call next to the upstream; `reply` gets the result once."""

    handover: Handover
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Hand a call over to the daemon next to the chosen upstream."""

    daemon_id: DaemonId
    handover: Handover
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class CancelRemoteHandover:
    """The caller no longer waits for a handover to this daemon."""

    daemon_id: DaemonId
    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class CancelHandover:
    """The entry daemon no longer waits for this handover."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class ResumeHandover:
    """The entry daemon lost its connection and asks again."""

    handover_id: HandoverId
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The upstream next to this daemon described itself."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class LeaveReceived:
    """The upstream next to this daemon takes no more new calls.

    `reply` gets whether the leave is confirmed; without it, the leave was confirmed earlier.
    """

    instance: InstanceId
    born: int | None
    reply: Reply | None = None


@dataclass(frozen=True, slots=True)
class DrainsLoaded:
    """What the store keeps of drains that this daemon confirmed before it restarted is known."""


@dataclass(frozen=True, slots=True)
class DrainStored:
    """The store keeps the drain of this start of an upstream."""

    instance: InstanceId
    born: int


@dataclass(frozen=True, slots=True)
class OwnEndpointChanged:
    """What the daemon tells its peers of the upstream next to it."""

    changes: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class StoreReachability:
    """Whether the platform's log answered lately; `latency` is its shortest answer, 0 if none."""

    reachable: bool
    latency: Millis


@dataclass(frozen=True, slots=True)
class StrikesReported:
    """Requests that ran when an upstream died, here or at a peer."""

    strikes: tuple[Strike, ...]
