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
    """State that an upstream announced to the daemon next to it.

    `slots` and `connections` are counts.
    """

    service: ServiceName
    address: Address
    slots: int
    connections: int
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon, and the upstream next to it once that has announced itself."""

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

    `deaths` names the strikes that no longer count, each by daemon and incarnation, because strikes
    and clearances may arrive in any order. If it is empty, all strikes known so far are cleared.
    """

    fingerprint: Fingerprint
    deaths: tuple[tuple[DaemonId, Incarnation], ...] = ()


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies the sender of a message to receivers that already hold its record."""

    daemon_id: DaemonId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates sent with every control message, and the version in force at the sender."""

    version: Version
    digest: Digest
    members: tuple[Member, ...] = ()
    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class Probe:
    """Direct probe; a daemon that took over the address sees by `target` that it is not meant."""

    sender: Identity
    target: DaemonId
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answer to a probe.

    `alive` is False if the receiver is not the target or its indirect probe of the target failed.
    `unknown` asks the sender of the probe to send its full record.
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
    """Asks for the members in buckets whose hashes differ, or for all if there are no hashes."""

    sender: Member
    hashes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Members known to the daemon that answers, itself included; a sample if not `complete`."""

    members: tuple[Member, ...]
    gossip: Gossip
    complete: bool = True


@dataclass(frozen=True, slots=True)
class AnnounceRecord:
    """Announcement of a daemon on the members stream; `at_ms` is wall-clock milliseconds."""

    member: Member
    at_ms: int


def identity_of(member: Member) -> Identity:
    """Return the identity of a member."""
    return Identity(member.daemon_id, member.incarnation)


def estimate_record_bytes(member: Member) -> int:
    """Return an upper bound of the encoded size in bytes; it only holds for ASCII names."""
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
    # 42 bytes are enough for the counts, the states and a length byte for each text.
    return sum(len(text) for text in texts) + 42
