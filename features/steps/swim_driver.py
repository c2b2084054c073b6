"""Runs the `Swim` objects of several members in virtual time, on a network that loses messages."""

import heapq
import itertools
import random

from agatecross_core.ids import Address, DaemonId, DataCentreName, Incarnation, Millis, RegionName
from agatecross_core.members.records import Member, SyncReply, identity_of
from agatecross_core.members.swim import ProbeIndirectly, ProbeMember, Swim, SyncWith
from agatecross_core.states import MemberState

TICK_MS = 250.0
PROBE_TIMEOUT_MS = 400.0
INDIRECT_TIMEOUT_MS = 800.0


def make_member(number, incarnation=1, state=MemberState.ALIVE, daemon_id=None):
    address = Address(f"127.0.0.1:{10_000 + number}")
    name = DaemonId(daemon_id or f"d{number}")
    region = RegionName("east" if number % 2 else "west")
    place = DataCentreName(f"{region}-a")
    return Member(name, Incarnation(incarnation), state, region, place, *[address] * 4)


class SwimDriver:
    """Runs the actions of `Swim` objects; `lose` decides which of their messages are lost."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.now = Millis(1.0)
        self.events, self.event_order = [], itertools.count()
        self.nodes = {}
        self.paused = set()
        self.lose = lambda sender, receiver: False
        self.newest_incarnations = {}
        for number in range(count):
            self.start(make_member(number))
        for number in range(1, count):
            self.sync(self.nodes[number], self.nodes[0].me.control_address)

    def start(self, me):
        number = int(me.control_address.split(":")[1]) - 10_000
        swim = Swim(me, random.Random(self.rng.random()))
        self.nodes[number] = swim
        self.newest_incarnations = {
            k: v for k, v in self.newest_incarnations.items() if k[0] != number
        }
        self.schedule(self.rng.random() * TICK_MS, lambda: self.tick(number, swim))
        return swim

    def kill(self, number):
        del self.nodes[number]

    def schedule(self, delay, work):
        heapq.heappush(self.events, (self.now + delay, next(self.event_order), work))

    def run(self, periods):
        end = self.now + periods * 1000.0
        while self.events and self.events[0][0] <= end:
            self.now, _, work = heapq.heappop(self.events)
            work()
        self.now = end

    def run_until(self, condition, periods):
        for _ in range(periods):
            if condition():
                return True
            self.run(1)
        return condition()

    def tick(self, number, swim):
        if self.nodes.get(number) is not swim:
            return
        if number not in self.paused:
            self.perform(swim, swim.tick(self.now))
        self.schedule(TICK_MS, lambda: self.tick(number, swim))

    def reachable_swim(self, sender, address):
        number = int(address.split(":")[1]) - 10_000
        swim = self.nodes.get(number)
        lost = swim is None or number in self.paused or self.lose(self.number_of(sender), number)
        return None if lost else swim

    def number_of(self, swim):
        return int(swim.me.control_address.split(":")[1]) - 10_000

    def is_running(self, swim):
        return (
            self.nodes.get(self.number_of(swim)) is swim and self.number_of(swim) not in self.paused
        )

    def perform(self, swim, actions):
        for action in actions:
            if isinstance(action, ProbeMember):
                self.probe_member(swim, action.target)
            elif isinstance(action, ProbeIndirectly):
                self.probe_indirectly(swim, action)
            elif isinstance(action, SyncWith):
                self.sync(swim, action.address)
        for member in swim.table.values():
            key = (self.number_of(swim), member.daemon_id)
            assert member.incarnation >= self.newest_incarnations.get(key, 0), (key, member)
            self.newest_incarnations[key] = member.incarnation

    def send_probe(self, swim, target_id, address, introduce=False):
        """Return whether the target answered; the probe or its answer may be lost."""
        updates = swim.take_updates(target_id)
        other = self.reachable_swim(swim, address)
        if other is None:
            return False
        self.perform(other, other.detect_pause(self.now))
        self.perform(other, other.merge((*updates, swim.me) if introduce else updates, self.now))
        me = identity_of(swim.me)
        answer, unknown = other.take_updates_for_reply(me), not other.knows_incarnation(me)
        if self.reachable_swim(other, swim.me.control_address) is not swim:
            return False
        self.perform(swim, swim.merge(answer, self.now))
        if unknown and not introduce:
            self.send_probe(swim, target_id, address, introduce=True)
        return other.me.daemon_id == target_id

    def probe_member(self, swim, target):
        sent_at = self.now
        if not self.send_probe(swim, target.daemon_id, target.control_address):
            self.schedule(
                PROBE_TIMEOUT_MS, lambda: self.handle_probe_failure(swim, target, sent_at)
            )

    def handle_probe_failure(self, swim, target, sent_at):
        if self.is_running(swim):
            self.perform(swim, swim.detect_pause(self.now))
            self.perform(swim, swim.probe_failed(target, sent_at))

    def probe_indirectly(self, swim, action):
        target, sent_at = action.target, self.now
        helpers = [self.reachable_swim(swim, helper.control_address) for helper in action.helpers]
        if not any(
            h and self.send_probe(h, target.daemon_id, target.control_address) for h in helpers
        ):
            self.schedule(
                INDIRECT_TIMEOUT_MS, lambda: self.handle_indirect_failure(swim, target, sent_at)
            )

    def handle_indirect_failure(self, swim, target, sent_at):
        if self.is_running(swim):
            self.perform(swim, swim.detect_pause(self.now))
            self.perform(swim, swim.indirect_probe_failed(target, sent_at, self.now))

    def sync(self, swim, address):
        other = self.reachable_swim(swim, address)
        if other is not None:
            self.perform(other, other.merge([swim.me], self.now))
            rows, complete = other.answer_sync(swim.sync_request(), self.now)
            self.perform(swim, swim.merge_sync_reply(SyncReply(rows, None, complete), self.now))

    def states(self, daemon_id):
        """Return the state of the member in the table of each other member."""
        others = [s for s in self.nodes.values() if s.me.daemon_id != daemon_id]
        rows = [swim.table.get(daemon_id) for swim in others]
        return [row.state if row else None for row in rows]
