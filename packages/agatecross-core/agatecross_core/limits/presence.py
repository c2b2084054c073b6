"""Tells from the records of members which daemons may admit calls."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..constants import MAX_MEMBERS
from ..ids import DaemonId, Millis
from ..members.records import Member
from ..states import MemberState
from .homes import LOST_DAEMON_COUNTS_FOR

# A few checks a second find every ended process of a lost rack within seconds.
CHECKS_AT_ONCE = 8


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A member that is silent or lost; whether its process has ended is not known."""

    member: Member
    since: Millis


class FleetPresence:
    """Divides the daemons into known, reachable and ended ones."""

    def __init__(self, me: DaemonId) -> None:
        """Start with this daemon alone."""
        self.me = me
        self.members: Mapping[DaemonId, Member] = {}
        self.missing: dict[DaemonId, MissingMember] = {}
        self.ended: frozenset[DaemonId] = frozenset()

    @property
    def known(self) -> frozenset[DaemonId]:
        """Return the daemons that have not been declared dead."""
        return frozenset(self.members) | {self.me}

    @property
    def reachable(self) -> frozenset[DaemonId]:
        """Return the other daemons that answer probes."""
        return frozenset(
            row.daemon_id
            for row in self.members.values()
            if row.state is MemberState.ALIVE and row.daemon_id != self.me
        )

    def update(self, members: Mapping[DaemonId, Member], now: Millis) -> None:
        """Use the members that are not dead."""
        gone = [row for row in self.members.values() if row.daemon_id not in members]
        left = frozenset(row.daemon_id for row in gone if row.state is MemberState.LEAVING)
        silent = [row for row in members.values() if row.state is MemberState.SUSPECT]
        back = members.keys() - {row.daemon_id for row in silent}
        for row in (*gone, *silent):
            self.missing.setdefault(row.daemon_id, MissingMember(row, now))
        for daemon in (*left, *(back & self.missing.keys())):
            self.missing.pop(daemon, None)
        while len(self.missing) > MAX_MEMBERS:
            del self.missing[next(iter(self.missing))]
        # An ended daemon that is no longer a member has been discounted by then.
        self.ended = frozenset((self.ended & members.keys()) - back) | left
        self.members = members

    def process_ended(self, member: Member) -> bool:
        """Note that the process of a missing member has ended; return whether it is still missing.

        A later process of the same daemon is not the one that ended.
        """
        row = self.missing.get(member.daemon_id)
        if row is None or row.member.incarnation != member.incarnation:
            return False
        del self.missing[member.daemon_id]
        self.ended |= {member.daemon_id}
        return True

    def next_checks(self, now: Millis) -> Iterator[Member]:
        """Yield missing members whose process is to be checked now, each in its turn."""
        due = list(self.missing.items())[:CHECKS_AT_ONCE]
        for daemon, row in due:
            del self.missing[daemon]
            if now - row.since < LOST_DAEMON_COUNTS_FOR:
                self.missing[daemon] = row
                yield row.member
