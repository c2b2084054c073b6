"""Fingerprints of requests, and the messages about upstream deaths."""

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
    """Control message: strikes that the receiver takes before the failed calls are answered."""

    sender: Member
    strikes: tuple[Strike, ...]
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class StrikeAck:
    """Answer to a strike notice."""

    count: int


@dataclass(frozen=True, slots=True)
class Suspect:
    """A fingerprint with a strike: refused when quarantined, else run by `trial` alone."""

    quarantined: bool
    trial: DaemonId | None


@dataclass(frozen=True, slots=True)
class QuarantineRow:
    """A fingerprint with strikes; path as far as it is known here, time left in milliseconds."""

    fingerprint: Fingerprint
    path: str
    strikes: int
    quarantined: bool
    left_ms: Millis
