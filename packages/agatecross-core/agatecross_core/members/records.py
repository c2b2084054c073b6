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
    """A call of this fingerprint completed, or its quarantine was lifted.

    `deaths` are the strikes that no longer count, each as daemon and incarnation; strikes and
    clearances overtake each other on the way. Without them every strike known so far is meant.
    """

    fingerprint: Fingerprint
    deaths: tuple[tuple[DaemonId, Incarnation], ...] = ()


@dataclass(frozen=True, slots=True)
class Identity:
    """Names the sender of a message to receivers that hold its record."""

    daemon_id: DaemonId
    incarnation: Incarnation


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
    """Direct probe; `target` detects that another daemon has taken over the address."""

    sender: Identity
    target: DaemonId
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answer to a probe.

    `alive` is False when the probed daemon is not the target or an indirect probe failed.
    `unknown` asks the sender to introduce itself with its full record.
    """

    gossip: Gossip
    alive: bool = True
    unknown: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks the receiver to probe `target` at `address` on behalf of the sender."""

    sender: Identity
    target: DaemonId
    address: Address
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks for the members in the buckets whose hashes differ, or for all without hashes."""

    sender: Member
    hashes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Members that the receiver holds, itself included; a sample when not `complete`."""

    members: tuple[Member, ...]
    gossip: Gossip
    complete: bool = True


@dataclass(frozen=True, slots=True)
class AnnounceRecord:
    """Record on the members stream for bootstrap; `at_ms` is wall-clock milliseconds."""

    member: Member
    at_ms: int


def identity_of(member: Member) -> Identity:
    """Return the short form of a member record."""
    return Identity(member.daemon_id, member.incarnation)


def estimate_record_bytes(member: Member) -> int:
    """Return an upper estimate of the encoded size in bytes for ASCII names."""
    texts = [
        member.daemon_id,
        member.region,
        member.data_centre,
        member.call_address,
        member.peer_address,
        member.control_address,
        member.admin_address,
    ]
    if member.upstream is not None:
        texts += [member.upstream.service, member.upstream.address]
    # 42 bytes hold the counts, the states and one length byte for each text.
    return sum(len(text) for text in texts) + 42
