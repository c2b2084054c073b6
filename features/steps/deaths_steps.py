import heapq
import itertools
import random

from behave import given, then, when

from agatecross_core.ids import Millis
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.quarantine.death_watch import DeathWatch, RunEnd
from agatecross_core.quarantine.model import relay_fingerprint
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.quarantine.suspects import SuspectTable, Verdict
from agatecross_core.quarantine.trial import select_trial_endpoint
from agatecross_core.relay.model import Handover, RelayRequest, Repeat
from agatecross_core.states import UpstreamState

NOTICE_MS = 20
SOUND_RUN_MS = 100
# A crashing request ends its upstream after this time; its caller may leave before.
CRASHES_AFTER_MS = 300
DOWN_MS = 4_000
# An upstream that is back after this time may refuse no connection.
SHORT_DOWN_MS = 200
# The platform's rule: runs later than this after the third crash, and how many may be.
STABILITY_WINDOW_MS = 3_000
ALLOWED_LATE_RUNS = 3
DAEMON_RESTART_MS = 3_000


class Daemon:
    def __init__(self, name):
        self.name = name
        self.born = 1
        self.is_up = True
        self.running = {}
        self.forget()

    def forget(self):
        """Start again without what the daemon knew."""
        self.watch = DeathWatch(self.name)
        self.entry = SuspectTable()

    def endpoint(self):
        state = UpstreamState.READY if self.is_up else UpstreamState.STARTING
        return Endpoint(self.name, 1, 0, "a:1", "r", "c", "s0", self.name, self.born, state, 4)


class VirtualUpstreams:
    """Daemons with their decisions about suspects, on a virtual clock."""

    def __init__(self, count):
        self.now = 0
        self.rng = random.Random(count)
        self.daemons = [Daemon(f"d{number}") for number in range(count)]
        self.events = []
        self.ids = itertools.count()
        self.crashes = []
        self.crashing_runs = []
        self.back_at_once = False
        self.refusals = {}
        self.served_at = {}

    def after(self, delay, work, *args):
        heapq.heappush(self.events, (self.now + delay, next(self.ids), work, args))

    def repeat(self, period, work, *args):
        work(*args)
        self.after(period, self.repeat, period, work, *args)

    def run(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)

    def send(self, target, crashes=False):
        request = RelayRequest(b"GET", target, (), b"")
        entry = self.rng.choice(self.daemons).entry
        fingerprint = relay_fingerprint("s0", request)
        verdict = entry.judge(fingerprint, self.now)
        daemons = [daemon for daemon in self.daemons if daemon.is_up]
        if verdict is Verdict.TRIAL:
            endpoints = [daemon.endpoint() for daemon in daemons]
            trial = select_trial_endpoint(fingerprint, endpoints, entry.struck_daemons(fingerprint))
            daemons = [row for row in daemons if trial and row.name == trial.daemon_id]
        if verdict is Verdict.REFUSED or not daemons:
            self.refuse(target)
            return
        daemon = self.rng.choice(daemons)
        handover = Handover(
            next(self.ids), "c", "r", "s0", "u", Repeat.SAFE, 1, Millis(1), Millis(1), request
        )
        if daemon.watch.admit(handover, self.now) is not None:
            self.refuse(target)
            return
        daemon.running[handover.handover_id] = handover
        if crashes:
            self.crashing_runs.append(self.now)
            self.after(CRASHES_AFTER_MS, self.crash_with, daemon, handover)
        else:
            self.after(SOUND_RUN_MS, self.complete, daemon, handover)

    def refuse(self, target):
        self.refusals.setdefault(target, []).append(self.now)

    def complete(self, daemon, handover):
        if daemon.running.pop(handover.handover_id, None) is None:
            return
        report = daemon.watch.run_ended(handover, RunEnd.SERVED, self.now)
        daemon.watch.call_removed(handover.handover_id)
        self.send_report(daemon, report)
        self.served_at.setdefault(handover.request.target, []).append(self.now)

    def crash_with(self, daemon, handover):
        if handover.handover_id in daemon.running:
            self.crashes.append(self.now)
            self.crash(daemon)

    def crash(self, daemon):
        daemon.is_up = self.back_at_once
        for handover in daemon.running.values():
            daemon.watch.run_ended(handover, RunEnd.RESET, self.now)
            daemon.watch.call_removed(handover.handover_id)
        daemon.running = {}
        if not self.back_at_once:
            self.send_report(daemon, daemon.watch.connection_refused(daemon.born, self.now))
        self.after(SHORT_DOWN_MS if self.back_at_once else DOWN_MS, self.start, daemon)

    def start(self, daemon):
        daemon.born, previous, daemon.is_up = daemon.born + 1, daemon.born, True
        self.send_report(daemon, daemon.watch.upstream_announced(previous, daemon.born, self.now))

    def send_report(self, daemon, report):
        if report:
            self.receive_report(daemon, report)
            for peer in self.daemons:
                self.after(NOTICE_MS, self.receive_report, peer, report)

    def receive_report(self, daemon, report):
        daemon.watch.suspects.add(report, self.now)
        daemon.entry.add(report, self.now)

    def restart_daemon(self, turn):
        daemon = self.daemons[next(turn) % len(self.daemons)]
        if not daemon.running:
            daemon.forget()
            for peer in self.daemons:
                self.receive_report(daemon, peer.entry.snapshot(self.now))


@given("{count:d} upstreams, each next to a daemon, with {sound:d} sound requests a second")
def step_upstreams(context, count, sound):
    context.virtual = VirtualUpstreams(count)
    if sound:
        context.virtual.repeat(1_000 // sound, context.virtual.send, b"/sound")


@when("a crashing request comes {copies:d} times each {period:d} s for {total:d} s and {trouble}")
def step_crashing(context, copies, period, total, trouble):
    virtual = context.virtual
    virtual.back_at_once = trouble == "upstreams are back at once"
    if trouble == "daemons restart in turn":
        virtual.repeat(DAEMON_RESTART_MS, virtual.restart_daemon, itertools.count())
    for _ in range(copies):
        virtual.repeat(period * 1_000, virtual.send, b"/poison", True)
    virtual.run(total * 1_000)


@then("it crashes at most {crashes:d} upstreams, and sound requests are refused {refused:d} times")
def step_crashes(context, crashes, refused):
    virtual = context.virtual
    assert 0 < len(virtual.crashes) <= crashes, virtual.crashes
    if len(virtual.crashes) > 2:
        late = [at for at in virtual.crashing_runs if at > virtual.crashes[2] + STABILITY_WINDOW_MS]
        assert len(late) <= ALLOWED_LATE_RUNS, late
    assert len(virtual.refusals.get(b"/sound", ())) == refused, virtual.refusals


@when(
    "the same harmless request comes {rate:d} times a second while {count:d} upstreams crash "
    "together each {period:d} s"
)
def step_harmless(context, rate, count, period):
    virtual = context.virtual

    def crash_some():
        up = [daemon for daemon in virtual.daemons if daemon.is_up]
        for daemon in virtual.rng.sample(up, min(count, len(up))):
            virtual.crash(daemon)

    virtual.repeat(1_000 // rate, virtual.send, b"/page")
    for number in range(1, 6):
        virtual.after(period * number * 1_000, crash_some)
    virtual.run(period * 7 * 1_000)


@then("it is refused for at most {most:d} ms at a time, and served in the end")
def step_refused(context, most):
    virtual = context.virtual
    served = virtual.served_at[b"/page"]
    refusals = virtual.refusals.get(b"/page", [])
    spans = [min(at for at in served if at > first) - first for first in refusals]
    assert max(spans, default=0) <= most, max(spans)
    assert served[-1] >= virtual.now - 1_000


@given("a suspect of two deaths, known to one daemon {minutes:d} minutes before the other")
def step_known_earlier(context, minutes):
    report = CrashReport((Strike("f", "d1", 1), Strike("f", "d2", 1)))
    context.tables = (SuspectTable(), SuspectTable())
    for table, minute in zip(context.tables, (0, minutes), strict=True):
        table.add(report, Millis(minute * 60_000))
    context.minute = minutes


@when("each has told the other what it knows every minute for {minutes:d} minutes")
def step_tell_each_other(context, minutes):
    first, second = context.tables
    for _ in range(minutes):
        context.minute += 1
        now = Millis(context.minute * 60_000)
        first.add(second.snapshot(now), now)
        second.add(first.snapshot(now), now)


@then("both let the request run")
def step_both_free(context):
    now = Millis(context.minute * 60_000)
    assert [table.judge("f", now) for table in context.tables] == [Verdict.FREE] * 2
