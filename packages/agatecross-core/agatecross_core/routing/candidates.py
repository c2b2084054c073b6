"""First filter: turns members into candidates."""

from collections.abc import Iterable, Iterator

from ..ids import Millis
from ..members.records import Member
from ..states import Locality
from .model import Candidate, ChoiceRequest, DaemonLocation, Purpose
from .observations import ObservationTable
from .prefer import prefer


def build_candidates(
    request: ChoiceRequest,
    members: Iterable[Member],
    observations: ObservationTable,
    here: DaemonLocation,
    now: Millis,
) -> Iterator[Candidate]:
    """Yield a candidate for each member with an upstream; none after the deadline."""
    if request.deadline is not None and now >= request.deadline:
        return
    for member in members:
        if member.upstream is None:
            continue
        observed = observations.lookup(member.daemon_id)
        yield Candidate(
            member,
            member.upstream,
            locality_of(member, here),
            observed.outstanding,
            observed.expected_ms(now),
            observed.load(now),
            observed.failures(now),
            observed.is_slow(now),
        )


def prefer_untried(request: ChoiceRequest, rows: Iterator[Candidate]) -> Iterator[Candidate]:
    """Prefer upstreams without an earlier attempt; a hedge accepts no others."""
    if request.purpose is Purpose.HEDGE:
        return (row for row in rows if row.member.daemon_id not in request.tried)
    return prefer(rows, lambda row: row.member.daemon_id not in request.tried)


def locality_of(member: Member, here: DaemonLocation) -> Locality:
    """Return the distance of a member from this daemon."""
    if member.data_centre == here.data_centre:
        return Locality.DATA_CENTRE
    if member.region == here.region:
        return Locality.REGION
    return Locality.REMOTE
