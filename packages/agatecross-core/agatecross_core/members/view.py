"""Immutable view of the fleet for routing."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..ids import DaemonId, ServiceName
from ..states import MemberState
from .records import Member


@dataclass(frozen=True, slots=True)
class FleetView:
    """Members by id and by service of their upstream.

    `stale` is set after a pause of this process until a peer's whole table was merged or no peer
    is left.
    """

    members: Mapping[DaemonId, Member] = field(default_factory=dict)
    by_service: Mapping[ServiceName, tuple[Member, ...]] = field(default_factory=dict)
    stale: bool = False


def build_view(members: Iterable[Member], stale: bool) -> FleetView:
    """Return a view of the members that are not dead."""
    live = {m.daemon_id: m for m in members if m.state is not MemberState.DEAD}
    by_service: dict[ServiceName, list[Member]] = {}
    for member in live.values():
        if member.upstream is not None:
            by_service.setdefault(member.upstream.service, []).append(member)
    return FleetView(live, {name: tuple(rows) for name, rows in by_service.items()}, stale)
