import random
from collections import Counter

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from agatecross_core.calls.model import Response, not_run_result, ran_result, unknown_result
from agatecross_core.constants import MAX_IDEMPOTENCY_KEYS
from agatecross_core.idempotency.decider import ClaimDecider
from agatecross_core.idempotency.model import (
    AnswerCall,
    AppendBatch,
    AskHolder,
    BatchAppended,
    CallSubmitted,
    Claim,
    ClaimedCallFinished,
    ClaimsBatch,
    ClaimsRead,
    Grant,
    HolderAnswered,
    OffsetBatch,
    ReadClaims,
    ReadFailed,
    TimePassed,
)
from agatecross_core.idempotency.outcomes import OutcomeStore
from agatecross_core.states import AppendState, ClaimedCallState, Reason

RESULTS = {
    "ran": ran_result(Response(200, (), b"done")),
    "not-run": not_run_result(Reason.SHED),
    "unknown": unknown_result(Reason.TIMEOUT),
}
MINUTE_MS = 60_000


class ModelFleet:
    """Claim deciders that share a model log; each of their effects waits until it is delivered."""

    def __init__(self, names="ABC"):
        self.now = 1_000_000.0
        self.ids = 0
        self.log, self.first_offset, self.generation = [], 0, 0
        self.copied, self.era = 0, 1
        self.down, self.silent_daemons = set(), set()
        self.pending_effects = {name: [] for name in names}
        self.deciders = {name: self.new_decider(name) for name in names}
        self.outcomes, self.grants, self.calls = {}, {}, {}

    def new_decider(self, name):
        return ClaimDecider(name, f"{name}:1", self.new_id, random.Random(1))

    def new_id(self):
        self.ids += 1
        return f"claim-{self.ids}"

    def handle(self, name, message):
        for action in list(self.deciders[name].handle(message, self.now)):
            match action:
                case Grant(call_id, claim_id):
                    assert call_id not in self.outcomes, f"{call_id} was answered, then started"
                    self.outcomes[call_id] = "granted"
                    self.grants[call_id] = (name, claim_id)
                case AnswerCall(call_id, result):
                    reason = f":{result.reason.value}" if result.reason else ""
                    self.outcomes[call_id] = result.outcome.value + reason
                case _:
                    self.pending_effects[name].append(action)

    def submit(self, name, call_id, key, fingerprint="f", left=4_000):
        self.calls[call_id] = key
        self.handle(name, CallSubmitted(call_id, key, fingerprint, self.now + left))

    def finish(self, call_id, result):
        name, claim_id = self.grants.pop(call_id)
        self.handle(name, ClaimedCallFinished(claim_id, RESULTS[result]))
        self.outcomes[call_id] = f"finished {result}"

    def restart(self, name):
        self.deciders[name] = self.new_decider(name)
        self.pending_effects[name] = []
        self.grants = {c: row for c, row in self.grants.items() if row[0] != name}

    def append(self, batch):
        # Each row holds a record, with the time at which its writer made it, and its digest.
        digest = f"{self.generation}/{len(self.log)}"
        at_ms = batch.at_ms or int(self.now)
        self.log.append((ClaimsBatch(batch.claims, batch.releases, at_ms, batch.lost), digest))
        return len(self.log) - 1

    def deliver(self, name, index=0, fate="landed"):
        action = self.pending_effects[name].pop(index)
        down = "log" in self.down
        match action:
            case AppendBatch(batch) if fate == "refused" or down:
                self.handle(name, BatchAppended(AppendState.REFUSED))
            case AppendBatch(batch) if fate == "landed":
                self.handle(name, BatchAppended(AppendState.WRITTEN, self.append(batch)))
            case AppendBatch(batch):
                if fate == "lost":
                    self.append(batch)
                self.handle(name, BatchAppended(AppendState.LOST))
            case ReadClaims(start):
                if down or fate == "refused":
                    self.handle(name, ReadFailed())
                else:
                    self.handle(name, self.page(start))
            case AskHolder(call_id, holder, request):
                peer = holder.split(":")[0]
                silent = peer in self.silent_daemons or fate == "refused"
                reply = None if silent else self.deciders[peer].reply(request)
                self.handle(name, HolderAnswered(call_id, request.claim_id, reply))

    def page(self, start):
        begin = max(start, self.first_offset)
        rows = tuple(
            OffsetBatch(offset, self.log[offset][1], self.log[offset][0])
            for offset in range(begin, len(self.log))
        )
        return ClaimsRead(rows, self.first_offset, len(self.log), int(self.now), self.era)

    def settle(self, rounds=40, names=None):
        for _ in range(rounds):
            for name in names or self.deciders:
                while self.pending_effects[name]:
                    self.deliver(name)
                self.handle(name, TimePassed())
            self.now += 10


class ClaimScript:
    """Runs the commands of the tables, one method for each."""

    def __init__(self):
        self.fleet = ModelFleet()
        self.late_appends = []

    def run(self, text):
        for command in text.split(";"):
            word, *arguments = command.split()
            getattr(self, f"do_{word}")(*arguments)

    def do_submit(self, name, call_id, fingerprint="f", left="4000"):
        self.fleet.submit(name, call_id, "k", fingerprint, float(left))

    def do_settle(self, *names):
        self.fleet.settle(names=names)

    def do_finish(self, call_id, result):
        self.fleet.finish(call_id, result)

    def do_restart(self, name):
        self.fleet.restart(name)

    def do_down(self, what):
        (self.fleet.down if what == "log" else self.fleet.silent_daemons).add(what)

    def do_up(self, what):
        (self.fleet.down if what == "log" else self.fleet.silent_daemons).discard(what)

    def do_wait(self, minutes):
        self.fleet.now += float(minutes) * MINUTE_MS

    def do_batch(self, name):
        """Let the decider produce its append, without delivering it."""
        self.fleet.now += 11
        self.fleet.handle(name, TimePassed())

    def do_append(self, name, fate):
        """Deliver the append of a decider with the given fate."""
        rows = self.fleet.pending_effects[name]
        index = next(i for i, row in enumerate(rows) if isinstance(row, AppendBatch))
        if fate == "late":
            self.late_appends.append(rows[index].batch)
            fate = "vanished"
        self.fleet.deliver(name, index, fate)

    def do_land(self):
        """Write the appends that were held back as late."""
        for batch in self.late_appends:
            self.fleet.append(batch)

    def do_empty(self):
        self.fleet.log, self.fleet.first_offset = [], 0
        self.fleet.generation += 1

    def do_copy(self):
        self.fleet.copied = len(self.fleet.log)

    def do_restore(self):
        del self.fleet.log[self.fleet.copied :]
        self.fleet.generation += 1
        self.fleet.era += 1

    def do_regrow(self, count):
        for _ in range(int(count)):
            self.fleet.append(ClaimsBatch())

    def do_expire(self):
        self.fleet.first_offset = len(self.fleet.log)

    def do_fill(self, name, count):
        claims = [Claim(f"key-{i}", f"other-{i}", "Z", "Z:1", "f") for i in range(int(count))]
        self.fleet.append(ClaimsBatch(tuple(claims)))


@given("deciders A, B and C that share a model log")
def start_script(context):
    context.script = ClaimScript()
    context.script.fleet.settle()


@when('the script "{text}" runs')
def run_script(context, text):
    context.script.run(text.replace("MAX_KEYS", str(MAX_IDEMPOTENCY_KEYS)))


@then('the calls end as "{expected}"')
def check_outcomes(context, expected):
    fleet = context.script.fleet
    found = ", ".join(f"{call}={outcome}" for call, outcome in sorted(fleet.outcomes.items()))
    assert found == expected, found


class ClaimMachine(RuleBasedStateMachine):
    """Random interleavings, with appends that are lost, refused or written late."""

    names = st.sampled_from("ABC")

    def __init__(self):
        super().__init__()
        self.fleet = ModelFleet()
        self.fleet.settle(3)
        self.count = 0
        self.started = Counter()
        self.late = []

    @rule(name=names, key=st.sampled_from(("k1", "k2")), left=st.sampled_from((30, 500, 4_000)))
    def submit(self, name, key, left):
        self.count += 1
        self.fleet.submit(name, f"c{self.count}", key, left=left)

    @rule(
        name=names,
        index=st.integers(0, 3),
        fate=st.sampled_from(("landed", "landed", "landed", "lost", "refused", "vanished")),
    )
    def deliver(self, name, index, fate):
        rows = self.fleet.pending_effects[name]
        if index >= len(rows):
            return
        if isinstance(rows[index], AppendBatch) and fate in ("vanished", "refused"):
            self.late.append(rows[index].batch)
        self.fleet.deliver(name, index, fate)

    @rule(index=st.integers(0, 3), twice=st.booleans())
    def land_late(self, index, twice):
        if index < len(self.late):
            self.fleet.append(self.late[index])
            if not twice:
                del self.late[index]

    @rule(names=st.sets(names, min_size=1))
    def settle_some(self, names):
        self.fleet.settle(3, sorted(names))

    @rule(millis=st.sampled_from((11, 60, 1_000, 5_000)))
    def advance(self, millis):
        self.fleet.now += millis

    @rule(name=names)
    def restart(self, name):
        for call_id, (holder, _) in list(self.fleet.grants.items()):
            if holder == name:
                self.started[self.fleet.calls[call_id]] += 1
        self.late += [
            row.batch for row in self.fleet.pending_effects[name] if isinstance(row, AppendBatch)
        ]
        self.fleet.restart(name)

    @rule(index=st.integers(0, 3), result=st.sampled_from(tuple(RESULTS)))
    def finish(self, index, result):
        calls = sorted(self.fleet.grants)
        if index < len(calls):
            self.fleet.finish(calls[index], result)
            if result != "not-run":
                self.started[self.fleet.calls[calls[index]]] += 1

    @invariant()
    def at_most_one_start(self):
        running = Counter(self.fleet.calls[call_id] for call_id in self.fleet.grants)
        total = self.started + running
        assert all(count <= 1 for count in total.values()), (total, self.fleet.outcomes)


@when("{examples:d} random interleavings of {steps:d} steps run")
def run_machine(context, examples, steps):
    chosen = settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(ClaimMachine, settings=chosen)


@then("no key was started twice")
def check_machine_passed(context):
    """Checks nothing: the machine raises at the first key that is started twice."""


@given("a store of outcomes with room for {room:d} response bytes")
def start_store(context, room):
    context.store = OutcomeStore(room)


@when('calls "{calls}" of 4 bytes each finish')
def finish_calls(context, calls):
    for call in calls.split():
        name = call[0]
        if call.endswith("?"):
            context.store.set_state(name, ClaimedCallState.RUNNING, 0.0)
        else:
            result = RESULTS["not-run" if call.endswith("!") else "ran"]
            context.store.finish(name, result, 0.0)


@when('calls "" of 4 bytes each finish')
def finish_no_calls(context):
    assert not context.store.claims


@then('resubmissions get "{replies}"')
def check_store(context, replies):
    for reply in replies.split():
        name, expected = reply.split("=")
        found = context.store.reply(name)
        text = found.state.value + ("+body" if found.body else "")
        assert text == expected, (name, text)


@when("a call with a new key arrives at A every 15 ms for 3 seconds")
def send_steadily(context):
    fleet = context.script.fleet
    context.appended_before = len(fleet.log)
    for number in range(200):
        fleet.submit("A", f"c{number}", f"key-{number}")
        fleet.settle(1, ["A"])
        fleet.now += 5
    context.appended = len(fleet.log) - context.appended_before
    fleet.settle(40, ["A"])


@then("A appended at least {low:d} and at most {high:d} records and every call started")
def check_appends(context, low, high):
    assert low <= context.appended <= high, context.appended
    assert set(context.script.fleet.outcomes.values()) == {"granted"}
    assert len(context.script.fleet.outcomes) == 200
