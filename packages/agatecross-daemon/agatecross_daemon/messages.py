"""Messages between the tasks of one daemon."""

from dataclasses import dataclass

from agatecross_adapters.codec import ControlMessage
from agatecross_core.config.model import MeshSnapshot
from agatecross_core.ids import Address, Millis
from agatecross_core.members.records import Clearance, Member, Strike, UpstreamInfo
from agatecross_core.members.view import FleetView


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A new compiled snapshot is in force."""

    snapshot: MeshSnapshot


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The members changed."""

    view: FleetView
    me: Member


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
class SpreadStrikes:
    """Ask of the members task: pass these reports on to every daemon."""

    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()
