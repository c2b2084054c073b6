"""Messages between the tasks of one daemon."""

from collections.abc import Mapping
from dataclasses import dataclass

from agatecross_adapters.codec import ControlMessage
from agatecross_core.config.model import MeshSnapshot
from agatecross_core.ids import Address, Fingerprint, Millis
from agatecross_core.members.records import Clearance, Member, Strike, UpstreamInfo
from agatecross_core.members.view import FleetView
from agatecross_core.quarantine.model import InFlight, Suspect


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A new compiled snapshot is in force."""

    snapshot: MeshSnapshot


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The members changed."""

    view: FleetView
    own_member: Member


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The upstream next to this daemon announced a change, or its lease expired (None)."""

    upstream: UpstreamInfo | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """The daemon was asked to shut down gracefully."""


@dataclass(frozen=True, slots=True)
class SendControl:
    """Ask of the control task: send the message and return the answer, or None."""

    peer: Address
    message: ControlMessage
    timeout: Millis


@dataclass(frozen=True, slots=True)
class ControlReceived:
    """Ask by the control task: answer a request from a peer."""

    message: ControlMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on."""


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Strikes and clearances that a peer reported and that are new here."""

    strikes: tuple[Strike, ...]
    clearances: tuple[Clearance, ...]


@dataclass(frozen=True, slots=True)
class BroadcastStrikes:
    """Ask of the members task: pass these reports on to every daemon."""

    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Ask by the upstream task: these calls were running; answered when peers know the strikes."""

    calls: tuple[InFlight, ...]


@dataclass(frozen=True, slots=True)
class SuspectsChanged:
    """The fingerprints with strikes changed, or who may try them."""

    suspects: Mapping[Fingerprint, Suspect]


@dataclass(frozen=True, slots=True)
class ListQuarantine:
    """Ask by the admin task: the rows of the quarantine table."""


@dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Ask by the admin task: forget the strikes of a fingerprint; answers whether it had any."""

    fingerprint: Fingerprint
