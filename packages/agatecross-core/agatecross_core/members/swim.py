"""SWIM membership: probes, suspicion, refutation and dissemination."""

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from ..constants import (
    DEAD_PROBE_PERIOD,
    DEAD_RETENTION,
    INDIRECT_PROBES,
    LEAVE_FANOUT,
    MAX_MEMBERS,
    MAX_TICK_GAP,
    MAX_UPDATES_PER_MESSAGE,
    PROBE_PERIOD,
    SUSPICION_BASE,
    SUSPICION_PER_DOUBLING,
)
from ..ids import Address, DaemonId, Incarnation, Millis
from ..states import MemberState
from .records import Member

STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Action: probe the member directly."""

    target: Member


@dataclass(frozen=True, slots=True)
class ProbeThrough:
    """Action: ask `helpers` to probe the member."""

    target: Member
    helpers: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncWith:
    """Action: exchange full member tables with this address."""

    address: Address


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Action: the table changed; subscribers get a new view."""


SwimAction = ProbeMember | ProbeThrough | SyncWith | MembersChanged


class Swim:
    """Decides whom to probe and what to believe about each member."""

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Start with a table that holds only this daemon."""
        self.me = me
        self.rng = rng
        self.table: dict[DaemonId, Member] = {me.daemon_id: me}
        self.suspected_at: dict[DaemonId, Millis] = {}
        self.dead_at: dict[DaemonId, Millis] = {}
        self.pending: dict[DaemonId, int] = {}
        self.probe_order: list[DaemonId] = []
        self.next_probe_at = Millis(0)
        self.next_dead_probe_at = Millis(0)
        self.last_tick: Millis | None = None
        self.stale = False

    def tick(self, now: Millis) -> Iterator[SwimAction]:
        """Advance time; call at least every quarter of the probe period."""
        gap = 0.0 if self.last_tick is None else now - self.last_tick
        self.last_tick = now
        if gap > MAX_TICK_GAP and len(self.table) > 1:
            yield from self._resume(now)
            return
        yield from self._expire(now)
        if now >= self.next_probe_at:
            self.next_probe_at = Millis(now + PROBE_PERIOD)
            target = self._next_target()
            if target is not None:
                yield ProbeMember(target)
        if now >= self.next_dead_probe_at:
            self.next_dead_probe_at = Millis(now + DEAD_PROBE_PERIOD)
            dead = [m for m in self.table.values() if m.state is MemberState.DEAD]
            if dead:
                yield ProbeMember(self.rng.choice(dead))

    def probe_failed(self, target: Member) -> Iterator[SwimAction]:
        """Handle a direct probe without answer."""
        known = self.table.get(target.daemon_id)
        if known is None or known.state is MemberState.DEAD:
            return
        others = [m for m in self.live_peers() if m.daemon_id != target.daemon_id]
        helpers = tuple(self.rng.sample(others, min(INDIRECT_PROBES, len(others))))
        yield ProbeThrough(target, helpers)

    def unreachable(self, target: Member, now: Millis) -> Iterator[SwimAction]:
        """Suspect a member that neither answered directly nor through helpers."""
        known = self.table.get(target.daemon_id)
        if known is not None and known.incarnation == target.incarnation:
            yield from self.merge([replace(known, state=MemberState.SUSPECT)], now)

    def merge(self, members: Iterable[Member], now: Millis) -> Iterator[SwimAction]:
        """Merge records from a peer; the newer incarnation wins, then the worse state."""
        changed = False
        for member in members:
            changed = self._merge_one(member, now) or changed
        if changed:
            yield MembersChanged()

    def update_me(self, me: Member, now: Millis) -> Iterator[SwimAction]:
        """Replace this daemon's own record under a new incarnation."""
        del now
        self.me = replace(me, incarnation=Incarnation(self.me.incarnation + 1))
        self.table[self.me.daemon_id] = self.me
        self._enqueue(self.me.daemon_id)
        yield MembersChanged()

    def synced(self) -> None:
        """Note that a full table was merged, so that the view is current again."""
        self.stale = False

    def updates(self) -> tuple[Member, ...]:
        """Return the records to put on the next message, least often sent first."""
        ids = sorted(self.pending, key=lambda i: self.pending[i])[:MAX_UPDATES_PER_MESSAGE]
        limit = self._transmissions()
        for daemon_id in ids:
            self.pending[daemon_id] += 1
            if self.pending[daemon_id] >= limit:
                del self.pending[daemon_id]
        return tuple(self.table[i] for i in ids if i in self.table)

    def live_peers(self) -> list[Member]:
        """Return the members other than this daemon that may answer."""
        return [
            member
            for member in self.table.values()
            if member.daemon_id != self.me.daemon_id and member.state is not MemberState.DEAD
        ]

    def push_targets(self) -> tuple[Member, ...]:
        """Return random peers that get an urgent update at once."""
        peers = self.live_peers()
        return tuple(self.rng.sample(peers, min(LEAVE_FANOUT, len(peers))))

    def _resume(self, now: Millis) -> Iterator[SwimAction]:
        # Suspicions and probes in flight are as old as the pause, so their timers start again.
        self.stale = True
        self.suspected_at = dict.fromkeys(self.suspected_at, now)
        peers = self.live_peers()
        for member in self.rng.sample(peers, min(LEAVE_FANOUT, len(peers))):
            yield SyncWith(member.control_address)

    def _expire(self, now: Millis) -> Iterator[SwimAction]:
        timeout = self.suspicion_timeout()
        due = [i for i, since in self.suspected_at.items() if now - since >= timeout]
        dead = [replace(self.table[i], state=MemberState.DEAD) for i in due if i in self.table]
        yield from self.merge(dead, now)
        for daemon_id in [i for i, since in self.dead_at.items() if now - since > DEAD_RETENTION]:
            del self.dead_at[daemon_id]
            self.table.pop(daemon_id, None)
            self.pending.pop(daemon_id, None)

    def suspicion_timeout(self) -> Millis:
        """Return how long a suspect has to refute, which grows with the size of the fleet."""
        doublings = math.log2(max(2, len(self.table)))
        return Millis(SUSPICION_BASE + SUSPICION_PER_DOUBLING * doublings)

    def _merge_one(self, member: Member, now: Millis) -> bool:
        if member.daemon_id == self.me.daemon_id:
            return self._refute(member)
        known = self.table.get(member.daemon_id)
        if known is None:
            if len(self.table) >= MAX_MEMBERS:
                return False
        elif not _supersedes(member, known):
            return False
        self.table[member.daemon_id] = member
        self._track_state(member, now)
        self._enqueue(member.daemon_id)
        return True

    def _refute(self, member: Member) -> bool:
        same = member == self.me
        if same or member.incarnation < self.me.incarnation:
            return False
        self.me = replace(self.me, incarnation=Incarnation(member.incarnation + 1))
        self.table[self.me.daemon_id] = self.me
        self._enqueue(self.me.daemon_id)
        return True

    def _track_state(self, member: Member, now: Millis) -> None:
        self.suspected_at.pop(member.daemon_id, None)
        self.dead_at.pop(member.daemon_id, None)
        if member.state is MemberState.SUSPECT:
            self.suspected_at[member.daemon_id] = now
        if member.state is MemberState.DEAD:
            self.dead_at[member.daemon_id] = now

    def _enqueue(self, daemon_id: DaemonId) -> None:
        self.pending[daemon_id] = 0

    def _transmissions(self) -> int:
        return 3 * math.ceil(math.log2(len(self.table) + 1))

    def _next_target(self) -> Member | None:
        while True:
            if not self.probe_order:
                self.probe_order = [m.daemon_id for m in self.live_peers()]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            member = self.table.get(self.probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member


def _supersedes(new: Member, old: Member) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return STATE_RANK[new.state] > STATE_RANK[old.state]
