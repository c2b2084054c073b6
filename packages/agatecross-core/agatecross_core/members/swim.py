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
    PROBE_TIMEOUT,
    SUSPICION_BASE_TIMEOUT,
    SUSPICION_TIMEOUT_PER_DOUBLING,
)
from ..ids import Address, DaemonId, Incarnation, Millis
from ..states import MemberState
from .buckets import hash_buckets, members_in_differing_buckets
from .dissemination import UpdateQueue
from .records import Identity, Member, SyncReply, SyncRequest, estimate_record_bytes

STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}
# A full table takes longer to transfer than a probe: with 1,300 members it has about 200 KB.
SYNC_TIMEOUT = Millis(5 * PROBE_TIMEOUT)
# Sending a full table of 200 KB every second would exceed the budget of 9 KB/s, so full replies
# are limited to short bursts.
FULL_REPLY_BURST = 8
FULL_REPLY_REFILL_PERIOD = Millis(2_000)
MAX_UNLIMITED_REPLY_ROWS = 48
# Each update is sent a limited number of times, so two daemons that join at the same time may miss
# each other. Daemons therefore compare their tables, soon after the fleet changed and then at
# growing intervals.
MIN_SYNC_PERIOD = Millis(1_000)
MAX_SYNC_PERIOD = Millis(32_000)


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Action: probe the member directly."""

    target: Member


@dataclass(frozen=True, slots=True)
class ProbeIndirectly:
    """Action: ask the helpers to probe the member."""

    target: Member
    helpers: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncWith:
    """Action: fetch the full member table from this address."""

    address: Address


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Action: send subscribers a view of the changed table."""


@dataclass(frozen=True, slots=True)
class TableFull:
    """Action: report that a new member was ignored; yielded once until there is room again."""

    ignored: DaemonId


SwimAction = ProbeMember | ProbeIndirectly | SyncWith | MembersChanged | TableFull


class Swim:
    """Decides which members to probe and merges the reported states of each member."""

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Start with a table that holds only this daemon."""
        self.me = me
        self.rng = rng
        self.table: dict[DaemonId, Member] = {me.daemon_id: me}
        self.suspected_at: dict[DaemonId, Millis] = {}
        self.dead_at: dict[DaemonId, Millis] = {}
        self.pending_updates: UpdateQueue[DaemonId] = UpdateQueue()
        self.probe_order: list[DaemonId] = []
        self.next_probe_at = Millis(0)
        self.next_dead_probe_at = Millis(0)
        self.next_sync_at = Millis(0)
        self.sync_period = MIN_SYNC_PERIOD
        self.last_active_at: Millis | None = None
        self.responsive_since = Millis(0)
        self.stale = False
        self.needs_sync = False
        self.full_reply_tokens = FULL_REPLY_BURST
        self.full_reply_refilled_at = Millis(0)
        self.ignored_member: DaemonId | None = None
        self.table_full_reported = False

    def detect_pause(self, now: Millis) -> Iterator[SwimAction]:
        """Detect a late or paused process; call before each message is handled."""
        gap = 0.0 if self.last_active_at is None else now - self.last_active_at
        self.last_active_at = now
        if gap > PROBE_TIMEOUT:
            # Answers may have arrived unread, so probes in flight say nothing about their targets.
            self.responsive_since = now
        if gap <= MAX_TICK_GAP:
            return
        # Refutations may have been missed, so the timers of all suspects start again.
        self.suspected_at = dict.fromkeys(self.suspected_at, now)
        self.next_probe_at = Millis(now + PROBE_PERIOD)
        self.next_sync_at = now
        self.needs_sync = True
        if not self.stale and self.live_peers():
            self.stale = True
            yield MembersChanged()

    def tick(self, now: Millis) -> Iterator[SwimAction]:
        """Start what is due; call at least every quarter of the probe period."""
        yield from self.detect_pause(now)
        yield from self._start_sync(now)
        yield from self._expire(now)
        if now >= self.next_probe_at:
            self.next_probe_at = Millis(now + PROBE_PERIOD)
            target = self._next_probe_target()
            if target is not None:
                yield ProbeMember(target)
        if now >= self.next_dead_probe_at:
            self.next_dead_probe_at = Millis(now + DEAD_PROBE_PERIOD)
            if self.dead_at:
                yield ProbeMember(self.table[self.rng.choice(list(self.dead_at))])

    def probe_failed(self, target: Member, sent_at: Millis) -> Iterator[SwimAction]:
        """Probe indirectly after a direct probe, sent at `sent_at`, got no answer."""
        known = self.table.get(target.daemon_id)
        if known is None or known.state is MemberState.DEAD or sent_at < self.responsive_since:
            return
        others = [m for m in self.live_peers() if m.daemon_id != target.daemon_id]
        helpers = tuple(self.rng.sample(others, min(INDIRECT_PROBES, len(others))))
        yield ProbeIndirectly(target, helpers)

    def indirect_probe_failed(
        self, target: Member, sent_at: Millis, now: Millis
    ) -> Iterator[SwimAction]:
        """Suspect a member that answered neither directly nor through helpers."""
        known = self.table.get(target.daemon_id)
        if (
            known is None
            or known.incarnation != target.incarnation
            or sent_at < self.responsive_since
        ):
            return
        # A leaving member is expected to stop and gets no work, so it need not refute.
        leaving = known.state is MemberState.LEAVING
        state = MemberState.DEAD if leaving else MemberState.SUSPECT
        yield from self.merge([replace(known, state=state)], now)

    def merge(self, members: Iterable[Member], now: Millis) -> Iterator[SwimAction]:
        """Merge records of a peer; the higher incarnation wins, then the higher `STATE_RANK`."""
        changed = False
        for member in members:
            changed = self._merge_one(member, now) or changed
        if changed:
            yield MembersChanged()
        if self.ignored_member is not None and not self.table_full_reported:
            self.table_full_reported = True
            yield TableFull(self.ignored_member)

    def update_own_record(self, me: Member) -> Iterator[SwimAction]:
        """Replace this daemon's own record under a new incarnation."""
        self._set_own_record(replace(me, incarnation=Incarnation(self.me.incarnation + 1)))
        yield MembersChanged()

    def sync_request(self) -> SyncRequest:
        """Return a request for the records that this table lacks."""
        return SyncRequest(self.me, hash_buckets(self.table.values()))

    def merge_sync_reply(self, reply: SyncReply, now: Millis) -> Iterator[SwimAction]:
        """Merge the records of a sync reply; a complete reply makes the view current."""
        before = len(self.table)
        rows = (
            reply.members if self.needs_sync else self._without_unconfirmed_failures(reply.members)
        )
        self.needs_sync = not reply.complete
        if reply.complete:
            self.stale = False
        yield from self.merge(rows, now)
        if len(self.table) != before:
            self.sync_period = MIN_SYNC_PERIOD
        yield MembersChanged()

    def answer_sync(self, request: SyncRequest, now: Millis) -> tuple[tuple[Member, ...], bool]:
        """Return the members that the sender lacks and True, or a sample and False.

        Large replies are limited, so that in a mass restart the few announced daemons refer most
        joining daemons to other members.
        """
        rows = members_in_differing_buckets(self.table.values(), request.hashes)
        if len(rows) <= MAX_UNLIMITED_REPLY_ROWS or self._take_full_reply_token(now):
            return rows, True
        peers = self.live_peers()
        sample = self.rng.sample(peers, min(MAX_UPDATES_PER_MESSAGE, len(peers)))
        return (self.me, *sample), False

    def _take_full_reply_token(self, now: Millis) -> bool:
        gained = int((now - self.full_reply_refilled_at) / FULL_REPLY_REFILL_PERIOD)
        if gained > 0:
            self.full_reply_tokens = min(FULL_REPLY_BURST, self.full_reply_tokens + gained)
            self.full_reply_refilled_at = now
        self.full_reply_tokens -= 1
        if self.full_reply_tokens >= 0:
            return True
        self.full_reply_tokens = 0
        return False

    def _without_unconfirmed_failures(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Leave out reports that a member known here is suspect or dead.

        After a partition, the tables of the other side list all members of this side as dead.
        Accepting that would stop routing to healthy members until each of them has refuted it.
        """
        failed_states = (MemberState.SUSPECT, MemberState.DEAD)
        own_id = self.me.daemon_id
        return tuple(
            m
            for m in members
            if m.state not in failed_states
            or m.daemon_id == own_id
            or m.daemon_id not in self.table
        )

    def take_updates(self, target: DaemonId | None = None) -> tuple[Member, ...]:
        """Return the records for the next message, least often sent first, and count them as sent.

        The record of `target` comes first if it is not alive, so that the target can refute it.
        """
        keys = self.pending_updates.take(
            MAX_UPDATES_PER_MESSAGE, self.max_transmissions(), self._update_bytes
        )
        rows = [self.table[key] for key in keys if key in self.table and key != target]
        known = self.table.get(target) if target is not None else None
        if known is not None and known.state is not MemberState.ALIVE:
            rows.insert(0, known)
        return tuple(rows)

    def take_updates_for_reply(self, sender: Identity) -> tuple[Member, ...]:
        """Return the records for the answer to `sender`, and count them as sent."""
        known = self.table.get(sender.daemon_id)
        rows = self.take_updates(sender.daemon_id)
        # A daemon that restarted with its clock set back must learn which incarnation to exceed.
        if known is None or known.incarnation <= sender.incarnation or known in rows:
            return rows
        return (known, *rows)

    def knows_incarnation(self, sender: Identity) -> bool:
        """Return whether the table has the sender with this incarnation or a higher one."""
        known = self.table.get(sender.daemon_id)
        return known is not None and known.incarnation >= sender.incarnation

    def max_transmissions(self) -> int:
        """Return how many times each update is sent; grows with the logarithm of the fleet size."""
        return 3 * math.ceil(math.log2(len(self.table) + 1))

    def live_peers(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [
            member
            for member in self.table.values()
            if member.daemon_id != self.me.daemon_id and member.state is not MemberState.DEAD
        ]

    def urgent_update_targets(self) -> tuple[Member, ...]:
        """Return random peers to which an urgent update is sent at once."""
        peers = self.live_peers()
        return tuple(self.rng.sample(peers, min(LEAVE_FANOUT, len(peers))))

    def suspicion_timeout(self) -> Millis:
        """Return the time within which a suspect must refute; it grows with the fleet size."""
        doublings = math.log2(max(2, len(self.table)))
        return Millis(SUSPICION_BASE_TIMEOUT + SUSPICION_TIMEOUT_PER_DOUBLING * doublings)

    def _start_sync(self, now: Millis) -> Iterator[SwimAction]:
        peers = self.live_peers()
        if not peers:
            if self.stale:
                self.stale = False
                yield MembersChanged()
            return
        if now < self.next_sync_at:
            return
        # The chosen peer may be suspended too, so another one is tried after the timeout.
        period = SYNC_TIMEOUT if self.needs_sync else self.sync_period
        self.next_sync_at = Millis(now + period * (0.5 + self.rng.random()))
        self.sync_period = min(MAX_SYNC_PERIOD, Millis(2 * self.sync_period))
        yield SyncWith(self.rng.choice(peers).control_address)

    def _expire(self, now: Millis) -> Iterator[SwimAction]:
        timeout = self.suspicion_timeout()
        due = [i for i, since in self.suspected_at.items() if now - since >= timeout]
        yield from self.merge([replace(self.table[i], state=MemberState.DEAD) for i in due], now)
        for daemon_id in [i for i, since in self.dead_at.items() if now - since > DEAD_RETENTION]:
            del self.dead_at[daemon_id]
            del self.table[daemon_id]
            self.pending_updates.discard(daemon_id)
            self.ignored_member, self.table_full_reported = None, False

    def _merge_one(self, member: Member, now: Millis) -> bool:
        if member.daemon_id == self.me.daemon_id:
            return self._refute(member)
        known = self.table.get(member.daemon_id)
        if known is None and len(self.table) >= MAX_MEMBERS:
            self.ignored_member = member.daemon_id
            return False
        if known is not None and not _supersedes(member, known):
            return False
        self.table[member.daemon_id] = member
        self._track_state_change(member, now)
        self.pending_updates.add(member.daemon_id)
        return True

    def _refute(self, member: Member) -> bool:
        if member == self.me or member.incarnation < self.me.incarnation:
            return False
        self._set_own_record(replace(self.me, incarnation=Incarnation(member.incarnation + 1)))
        return True

    def _set_own_record(self, me: Member) -> None:
        self.me = me
        self.table[me.daemon_id] = me
        self.pending_updates.add(me.daemon_id)

    def _track_state_change(self, member: Member, now: Millis) -> None:
        self.suspected_at.pop(member.daemon_id, None)
        self.dead_at.pop(member.daemon_id, None)
        if member.state is MemberState.SUSPECT:
            self.suspected_at[member.daemon_id] = now
        if member.state is MemberState.DEAD:
            self.dead_at[member.daemon_id] = now

    def _update_bytes(self, daemon_id: DaemonId) -> int:
        member = self.table.get(daemon_id)
        return estimate_record_bytes(member) if member is not None else 0

    def _next_probe_target(self) -> Member | None:
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
