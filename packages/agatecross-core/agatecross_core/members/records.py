"""Member records and the control messages that carry them."""

from dataclasses import dataclass

from ..ids import (
    Address,
    DaemonId,
    DataCentreName,
    Digest,
    Fingerprint,
    Incarnation,
    RegionName,
    ServiceName,
    Version,
)
from ..states import MemberState, UpstreamState


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """What an upstream announced to the daemon next to it; slots and connections are counts."""

    service: ServiceName
    address: Address
    slots: int
    connections: int
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon and the upstream next to it, if one has announced itself."""

    daemon_id: DaemonId
    incarnation: Incarnation
    state: MemberState
    region: RegionName
    data_centre: DataCentreName
    call_address: Address
    peer_address: Address
    control_address: Address
    admin_address: Address
    upstream: UpstreamInfo | None = None


@dataclass(frozen=True, slots=True)
class Strike:
    """An upstream of `daemon_id` died with a call of this fingerprint in flight."""

    fingerprint: Fingerprint
    daemon_id: DaemonId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Clearance:
    """A call of this fingerprint completed."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates that travel on every control message, with the sender's version in force."""

    version: Version
    digest: Digest
    members: tuple[Member, ...] = ()
    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class Probe:
    """Direct probe; the sender adds its own record so that strangers learn of it."""

    sender: Member
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answer to a probe; `alive` is False when an indirect probe found its target silent."""

    gossip: Gossip
    alive: bool = True


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks the receiver to probe `target` on behalf of the sender."""

    sender: Member
    target: Address
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks for the full member table."""

    sender: Member


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The full member table of the receiver, itself included."""

    members: tuple[Member, ...]
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class AnnounceRecord:
    """Record on the members stream for bootstrap; `at_ms` is wall-clock milliseconds."""

    member: Member
    at_ms: int
