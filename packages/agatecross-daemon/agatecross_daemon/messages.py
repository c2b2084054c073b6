"""Messages between the tasks of one daemon."""

from collections.abc import Mapping
from dataclasses import dataclass

from agatecross_adapters.codec import ControlMessage
from agatecross_core.config.model import MeshConfig
from agatecross_core.ids import Address, Fingerprint, Millis
from agatecross_core.members.records import Clearance, Member, Strike, UpstreamInfo
from agatecross_core.members.view import FleetView
from agatecross_core.quarantine.model import InFlightCall, SuspectedRequest


@dataclass(frozen=True, slots=True)
class LogReplacedNotice:
    """The log is not the one read before, so other streams may have lost records too."""


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A new compiled snapshot is in force."""

    snapshot: MeshConfig


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view of the members changed."""

    view: FleetView
    own_member: Member


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The local upstream announced a change, or its lease expired (`None`)."""

    upstream: UpstreamInfo | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """The daemon was asked to shut down gracefully."""


@dataclass(frozen=True, slots=True)
class SendControl:
    """Request to the control task: send the message to a peer.

    The reply is the peer's answer, or `None` if there was none.
    """

    peer: Address
    message: ControlMessage
    timeout: Millis


@dataclass(frozen=True, slots=True)
class ControlReceived:
    """Request from the control task: answer a message from a peer."""

    message: ControlMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer message that a task sends to itself."""


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Strikes and clearances in the gossip of a peer that are new to this daemon."""

    strikes: tuple[Strike, ...]
    clearances: tuple[Clearance, ...]


@dataclass(frozen=True, slots=True)
class BroadcastStrikes:
    """Request to the members task: gossip these reports to every daemon."""

    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Request from the upstream task: the upstream died while these calls were running.

    The reply follows once the notified peers have acknowledged the strikes or timed out.
    """

    calls: tuple[InFlightCall, ...]


@dataclass(frozen=True, slots=True)
class SuspectsChanged:
    """The fingerprints with strikes changed, or the daemons that may try them."""

    suspects: Mapping[Fingerprint, SuspectedRequest]


@dataclass(frozen=True, slots=True)
class ListCustomers:
    """Request from the admin task: return the use of limited customers, or of one if named."""

    customer: str = ""


@dataclass(frozen=True, slots=True)
class ListQuarantine:
    """Request from the admin task: return the rows of the quarantine table."""


@dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Request from the admin task: delete the strikes of a fingerprint.

    The reply tells whether there were any.
    """

    fingerprint: Fingerprint
