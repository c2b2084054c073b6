"""Messages between the tasks that relay calls."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from agatecross_adapters.hop_messages import HopMessage
from agatecross_core.customers.model import Customer
from agatecross_core.ids import CustomerName, DaemonId, HandoverId, InstanceId, Millis, ServiceName
from agatecross_core.limits.model import LimitAnswer, LimitReport
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.heartbeat_filter import Heartbeat
from agatecross_core.members.leave_replies import LeaveReply
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.relay.drain import DrainPlan
from agatecross_core.relay.model import Handover, RelayResult
from agatecross_core.routing.host_table import HostTable
from agatecross_core.states import UpstreamRequest

ResultReceiver = Callable[[HandoverId, RelayResult], None]


@dataclass(frozen=True, slots=True)
class TableInForce:
    """A configuration came into force."""

    table: HostTable


@dataclass(frozen=True, slots=True)
class CustomersInForce:
    """The customers of a configuration that came into force."""

    customers: Mapping[CustomerName, Customer]


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """The reachable endpoints that accept calls, by service, and the number of known daemons."""

    by_service: Mapping[ServiceName, tuple[Endpoint, ...]]
    daemon_count: int


@dataclass(frozen=True, slots=True)
class DrainPlanned:
    """The daemon is stopping; the plan tells which calls it still accepts."""

    plan: DrainPlan


@dataclass(frozen=True, slots=True)
class RunHandover:
    """Run this call on the local upstream; `reply` is called once with the result."""

    handover: Handover
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Hand a call over to the daemon of the chosen upstream."""

    daemon_id: DaemonId
    handover: Handover
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class CancelRemoteHandover:
    """Cancel a handover at the daemon with this id: the caller no longer waits for it."""

    daemon_id: DaemonId
    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class CancelHandover:
    """Cancel a handover here: the entry daemon no longer waits for it."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class ResumeHandover:
    """The entry daemon lost its connection and asks for the result again."""

    handover_id: HandoverId
    reply: ResultReceiver


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The local upstream sent a heartbeat."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class UpstreamRequestRefused:
    """A request of the local upstream could not be decoded."""

    request: UpstreamRequest
    instance: InstanceId
    reason: str


@dataclass(frozen=True, slots=True)
class LeaveReceived:
    """The local upstream is leaving and accepts no new calls.

    `born` is the start time of the upstream in Unix milliseconds, if it is known. `reply` is called
    with whether the leave is confirmed; it is None for a leave that was confirmed earlier.
    """

    instance: InstanceId
    born: int | None
    reply: LeaveReply | None = None


UpstreamMessage = HeartbeatReceived | LeaveReceived | UpstreamRequestRefused
"""What the local upstream's requests become."""


@dataclass(frozen=True, slots=True)
class DrainsLoaded:
    """The drains that this daemon confirmed before a restart were loaded from the store."""


@dataclass(frozen=True, slots=True)
class DrainStored:
    """The drain of the upstream process that started at `born` is saved in the store."""

    instance: InstanceId
    born: int


@dataclass(frozen=True, slots=True)
class DrainLost:
    """The store may have lost the drain of the upstream process that started at `born`."""

    instance: InstanceId
    born: int


@dataclass(frozen=True, slots=True)
class OwnEndpointChanged:
    """Changed fields of the endpoint that this daemon announces for its local upstream."""

    changes: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class StoreReachability:
    """Whether the platform's store answered the last call.

    `latency` is the time that an answer took, replaced only by a much shorter one; it is 0 until
    the first answer.
    """

    reachable: bool
    latency: Millis


@dataclass(frozen=True, slots=True)
class CrashesReported:
    """Requests that were running when an upstream died, or cleared of that, here or at a peer."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class PeersSeen:
    """The daemons in the directory, those with an open link, and those whose process has ended."""

    known: frozenset[DaemonId]
    open_links: frozenset[DaemonId]
    ended: frozenset[DaemonId]


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message on the limits of customers to a daemon, if the link to it is open."""

    daemon_id: DaemonId
    message: LimitReport | LimitAnswer


@dataclass(frozen=True, slots=True)
class LimitMessageReceived:
    """A peer sent a message on the limits of customers."""

    message: LimitReport | LimitAnswer
    daemon_id: DaemonId
    send_reply: Callable[[HopMessage], None]
