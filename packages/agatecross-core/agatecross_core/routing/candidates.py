"""First filter: members whose upstream provides the service."""

from collections.abc import Iterator

from ..ids import Millis
from ..members.records import Member
from ..members.view import FleetView
from ..states import Locality
from .load import LoadTable
from .model import Candidate, ChoiceRequest, Position, Purpose
from .prefer import prefer


def candidates(
    request: ChoiceRequest, view: FleetView, load: LoadTable, here: Position, now: Millis
) -> Iterator[Candidate]:
    """Yield every member with the service; none when the deadline has passed."""
    if request.deadline is not None and now >= request.deadline:
        return
    for member in view.by_service.get(request.service, ()):
        if member.upstream is None:
            continue
        row = load.of(member.daemon_id)
        yield Candidate(
            member,
            member.upstream,
            locality_of(member, here),
            row.outstanding,
            row.expected_ms(now),
            row.load(now),
            row.failures(now),
            row.slow(now),
        )


def untried(request: ChoiceRequest, rows: Iterator[Candidate]) -> Iterator[Candidate]:
    """Prefer upstreams of no earlier attempt; a hedge requires one."""
    if request.purpose is Purpose.HEDGE:
        return (row for row in rows if row.member.daemon_id not in request.tried)
    return prefer(rows, lambda row: row.member.daemon_id not in request.tried)


def locality_of(member: Member, here: Position) -> Locality:
    """Return the distance of a member from this daemon."""
    if member.data_centre == here.data_centre:
        return Locality.DATA_CENTRE
    if member.region == here.region:
        return Locality.REGION
    return Locality.REMOTE
