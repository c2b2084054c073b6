from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from agatecross_core.admission.classes import CostTable, classify
from agatecross_core.admission.limit import ConcurrencyLimit
from agatecross_core.admission.model import (
    CallArrived,
    CallCancelled,
    CallEnding,
    CallFinished,
    CallShape,
    CapacityAnnounced,
    ClassPolicy,
    DaemonLeaving,
    Entry,
    LeaseExpired,
    RefuseCall,
    StartCall,
    StopCall,
    TimePassed,
)
from agatecross_core.admission.policies import new_admission
from agatecross_core.calls.model import Call, Request
from agatecross_core.constants import LIMIT_WINDOW
from agatecross_core.states import UpstreamState

READY = UpstreamState.READY
SHAPE = CallShape("catalogue", "GET", "/x")


def new_call(call_id, path, left, now, idempotent=True):
    request = Request("GET" if idempotent else "POST", path, (), b"")
    return Call(call_id, "catalogue", request, now + left, idempotent)


class AdmissionScript:
    """Passes the events of the tables to an admission policy and records its actions."""

    def __init__(self, policy):
        self.admission = new_admission(policy)
        self.now = 0.0
        self.slots = (0, 0)
        self.actions = []

    def send(self, message):
        return list(self.admission.handle(message, self.now))

    def run_event(self, event):
        word, *rest = event.split()
        if word.startswith("+"):
            self.now += float(word)
        elif word == "learn":
            call = new_call("learnt", rest[0], 1e9, self.now)
            self.send(CallArrived(call))
            self.now += float(rest[1])
            self.send(CallFinished("learnt", CallEnding.COMPLETED))
        else:
            self.actions += map(describe_action, self.send(self.parse_message(word, *rest)))

    def parse_message(self, word, *rest):
        if word == "slots":
            self.slots = (int(rest[0]), int(rest[2]) if len(rest) > 2 else 100)
            return CapacityAnnounced(*self.slots, READY)
        if word == "state":
            return CapacityAnnounced(*self.slots, UpstreamState(rest[0]))
        if word == "policy":
            return ClassPolicy(float(rest[0]), float(rest[1]))
        if word in ("call", "post"):
            return CallArrived(new_call(rest[0], rest[1], float(rest[2]), self.now, word == "call"))
        if word in ("done", "shed"):
            return CallFinished(
                rest[0], CallEnding.COMPLETED if word == "done" else CallEnding.SHED
            )
        if word == "cancel":
            return CallCancelled(rest[0])
        return {"lease": LeaseExpired, "drain": DaemonLeaving, "tick": TimePassed}[word]()


def describe_action(action):
    match action:
        case StartCall(call):
            return f"start {call.call_id}"
        case RefuseCall(call_id, reason):
            return f"refuse {call_id} {reason.value}"
        case StopCall(call_id):
            return f"stop {call_id}"


@given('admission "{policy}"')
def start_admission(context, policy):
    context.script = AdmissionScript(policy)


@when('the events "{events}" happen')
def run_events(context, events):
    for event in events.split(";"):
        context.script.run_event(event.strip())


@then('the actions are "{actions}"')
def check_actions(context, actions):
    wanted = [action.strip() for action in actions.split(";")]
    assert context.script.actions == wanted, context.script.actions


@given("a concurrency limit of {slots:d} slots at {before:d}")
def start_limit(context, slots, before):
    context.limit = ConcurrencyLimit()
    context.limit.set_capacity(slots)
    context.limit.fractional_limit = float(before)


@when("calls take {times:f} times their baseline during {windows:d} windows")
def run_windows(context, times, windows):
    for window in range(1, windows + 1):
        for _ in range(3):
            context.limit.record_completion(times, window * LIMIT_WINDOW - 1)
        context.limit.record_completion(times, window * LIMIT_WINDOW)


@then("the limit is {after:d}")
def check_limit(context, after):
    assert context.limit.value == after, context.limit.fractional_limit


@given("an empty cost table")
def start_costs(context):
    context.costs = CostTable()


@when('samples "{samples}" are observed 100 ms apart')
def observe_samples(context, samples):
    now = 0.0
    for group in samples.split():
        cost, _, count = group.partition("*")
        for _ in range(int(count)):
            context.costs.observe(SHAPE, float(cost), now)
            now += 100.0


@then('the baseline is about {baseline:d} and the class at 250 ms is "{name}"')
def check_baseline(context, baseline, name):
    found = context.costs.baseline_cost(SHAPE)
    assert abs(found - baseline) <= 1, found
    entry = Entry(new_call("a", "/x", 1.0, 0.0), SHAPE, 0.0)
    (classified,) = classify([entry], context.costs, ClassPolicy(250.0, 0.25))
    assert classified.work_class.value == name, classified


@when("{count:d} shapes are observed")
def observe_shapes(context, count):
    for number in range(count):
        context.costs.observe(CallShape("catalogue", "GET", f"/{number}"), 1.0, 0.0)


@then("the table holds {count:d} shapes")
def check_table_size(context, count):
    assert len(context.costs.costs) == count


class AdmissionMachine(RuleBasedStateMachine):
    """Checks the limit, the share of long calls, one answer for each call and a complete drain."""

    policy = "adaptive"
    long_paths = ("/long",)

    def __init__(self):
        super().__init__()
        self.admission = new_admission(self.policy)
        self.now = 0.0
        self.arrived = 0
        self.capacity = 0
        self.long_share = 0.25
        self.upstream_ready = False
        self.leaving = False
        self.waiting = {}
        self.running = {}
        self.answered = set()
        self.send(ClassPolicy(250.0, self.long_share))

    def send(self, message):
        for action in self.admission.handle(message, self.now):
            match action:
                case StartCall(call):
                    self.check_start(call)
                case RefuseCall(call_id, _):
                    assert call_id not in self.running, "a started call was refused"
                    assert call_id not in self.answered, "a call got two answers"
                    del self.waiting[call_id]
                    self.answered.add(call_id)
                case StopCall(call_id):
                    assert self.running[call_id].idempotent, "a non-idempotent call was stopped"

    def check_start(self, call):
        assert self.upstream_ready and not self.leaving, "a call started on a closed upstream"
        assert call.deadline > self.now, "a call started after its deadline"
        del self.waiting[call.call_id]
        self.running[call.call_id] = call
        assert len(self.running) <= self.capacity, "more running calls than announced"
        if self.policy != "adaptive":
            return
        rows = self.admission.started.values()
        longs = [row for row in rows if row.entry.work_class.value == "long"]
        if self.admission.started[call.call_id] in longs:
            most = max(1, int(self.admission.slots * self.long_share))
            assert len(longs) <= most, "long calls exceed their share"

    @rule(
        slots=st.integers(1, 8), connections=st.integers(1, 8), state=st.sampled_from(UpstreamState)
    )
    def announce(self, slots, connections, state):
        self.capacity = min(slots, connections)
        self.upstream_ready = state is READY
        self.send(CapacityAnnounced(slots, connections, state))

    @rule(long=st.booleans(), left=st.floats(0, 3000), idempotent=st.booleans())
    def arrive(self, long, left, idempotent):
        self.arrived += 1
        call = new_call(f"c{self.arrived}", "/long" if long else "/x", left, self.now, idempotent)
        self.waiting[call.call_id] = call
        self.send(CallArrived(call))

    @rule(data=st.data(), ending=st.sampled_from(CallEnding))
    def finish(self, data, ending):
        if self.running:
            call_id = data.draw(st.sampled_from(sorted(self.running)))
            if self.running[call_id].request.path == "/long":
                self.now += 300.0
            del self.running[call_id]
            self.answered.add(call_id)
            self.send(CallFinished(call_id, ending))

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting or self.running:
            call_id = data.draw(st.sampled_from(sorted({**self.waiting, **self.running})))
            self.waiting.pop(call_id, None)
            self.send(CallCancelled(call_id))

    @rule(passed=st.floats(0, 500))
    def wait(self, passed):
        self.now += passed
        self.send(TimePassed())

    @rule()
    def expire(self):
        self.upstream_ready = False
        self.send(LeaseExpired())

    @rule()
    def drain(self):
        self.leaving = True
        self.send(DaemonLeaving())

    @invariant()
    def consistent(self):
        assert self.admission.running == len(self.running)
        assert self.admission.waiting == len(self.waiting), "a call waits without being queued"
        if self.leaving or not self.upstream_ready:
            assert not self.waiting, "a closed upstream left calls without an answer"


@then('the admission state machine finds no fault in "{policy}"')
def run_machine(context, policy):
    machine = type("Machine", (AdmissionMachine,), {"policy": policy})
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True, deadline=None, max_examples=100, stateful_step_count=60, database=None
        ),
    )
