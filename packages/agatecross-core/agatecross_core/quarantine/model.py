"""Fingerprints of requests, and messages about requests that crash upstreams."""

import hashlib
from dataclasses import dataclass

from ..calls.model import Request
from ..ids import DaemonId, Fingerprint, Millis, ServiceName
from ..members.records import Clearance, Member, Strike
from ..relay.model import RelayRequest


def fingerprint_of(service: ServiceName, request: Request) -> Fingerprint:
    """Return the hash of service, method, path and body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def relay_fingerprint(service: ServiceName, request: RelayRequest) -> Fingerprint:
    """Return the fingerprint of a relayed request."""
    method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
    return fingerprint_of(service, Request(method, target, (), request.body))


@dataclass(frozen=True, slots=True)
class InFlightCall:
    """A call that was running at an upstream."""

    fingerprint: Fingerprint
    path: str


@dataclass(frozen=True, slots=True)
class StrikeNotice:
    """Control message: strikes that the receiver records before failed calls are answered."""

    sender: Member
    strikes: tuple[Strike, ...]
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class StrikeAck:
    """Answer to a strike notice."""

    count: int


@dataclass(frozen=True, slots=True)
class SuspectedRequest:
    """A fingerprint with strikes: refused if quarantined, else run only by `trial_daemon`."""

    quarantined: bool
    trial_daemon: DaemonId | None


@dataclass(frozen=True, slots=True)
class QuarantineRow:
    """A fingerprint with strikes, for operators.

    `path` is empty if it is unknown here; `left_ms` is the time until the strikes expire.
    """

    fingerprint: Fingerprint
    path: str
    strikes: int
    quarantined: bool
    left_ms: Millis
