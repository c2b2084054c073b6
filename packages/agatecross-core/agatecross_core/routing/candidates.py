"""First filter: members whose upstream provides the service."""

from collections.abc import Iterator

from ..members.records import Member
from ..members.view import FleetView
from ..states import Locality
from .load import LoadTable
from .model import Candidate, ChoiceRequest, Position


def candidates(
    request: ChoiceRequest, view: FleetView, load: LoadTable, here: Position
) -> Iterator[Candidate]:
    """Yield every member with the service that was not tried before."""
    for member in view.by_service.get(request.service, ()):
        if member.upstream is None or member.daemon_id in request.tried:
            continue
        observed = load.of(member.daemon_id)
        yield Candidate(
            member,
            member.upstream,
            locality_of(member, here),
            observed.outstanding,
            observed.latency_ms,
        )


def locality_of(member: Member, here: Position) -> Locality:
    """Return the distance of a member from this daemon."""
    if member.data_centre == here.data_centre:
        return Locality.DATA_CENTRE
    if member.region == here.region:
        return Locality.REGION
    return Locality.REMOTE
