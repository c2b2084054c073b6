import itertools
import random
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from agatecross_core.admission.slot_queue import (
    CallAwaitingSlot,
    RefuseHandover,
    SlotQueue,
    StartHandover,
)
from agatecross_core.config.formats import MAX_PORT
from agatecross_core.ids import Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.heartbeat_filter import Heartbeat, HeartbeatFilter
from agatecross_core.relay import ledger as ledger_module
from agatecross_core.relay.budget import FleetRetryBudget
from agatecross_core.relay.flow import RelayPolicy, relay
from agatecross_core.relay.hedge import hedge_delay
from agatecross_core.relay.ledger import Ledger, new_handover_ids
from agatecross_core.relay.model import (
    RelayResponse,
    RelayResult,
    Repeat,
    not_run_result,
    unknown_result,
)
from agatecross_core.relay.response_outcome import classify_response
from agatecross_core.routing.host_table import CallerLimits, HostRoute, HostTable, WeightedSplit
from agatecross_core.states import Outcome, Reason, UpstreamState

LIMITS = CallerLimits(16_384, 65_536, Millis(3_000), Millis(15_000))


def endpoint(daemon_id, incarnation=1, sequence=0, state=UpstreamState.READY, address=None):
    # The hash of a string differs between runs, and could give two daemons one address.
    number = int.from_bytes(daemon_id.encode(), "big") % MAX_PORT + 1
    address = address or f"10.0.0.1:{number}"
    return Endpoint(
        daemon_id,
        incarnation,
        sequence,
        address,
        "north",
        "north-a",
        "shop",
        f"i-{daemon_id}",
        1,
        state,
        8,
    )


def parse_result(text):
    kind, value, *reached_upstream = text.split()
    if kind == "ran":
        return RelayResult(Outcome.RAN, None, RelayResponse(int(value), (), b""), True)
    if kind == "lost":
        return unknown_result(Reason(value))
    return not_run_result(Reason(value), reached_upstream=bool(reached_upstream))


def describe(result):
    if result.response is not None:
        return f"ran {result.response.status}"
    kind = "refused" if result.outcome is Outcome.NOT_RUN else "lost"
    return f"{kind} {result.reason.value}"


def parse_events(text):
    return [part.split() for part in text.split("; ") if part != "-"]


@given(
    'a relayed call that is "{repeat}" with {attempts:d} attempts, {count:d} upstreams '
    "and budget {budget:d}"
)
def step_call(context, repeat, attempts, count, budget):
    rows = [endpoint(f"d{number}") for number in range(count)]
    tokens = iter(range(budget))

    def choose(tried):
        return next((row for row in rows if row.daemon_id not in tried), None)

    policy = RelayPolicy(Repeat(repeat), attempts)
    context.flow = relay(
        policy, choose, lambda: Millis(500), lambda: next(tokens, None) is not None
    )


@given("a relayed call with {left:d} ms left, of which upstreams need {least:d}")
def step_time_left(context, left, least):
    policy = RelayPolicy(Repeat.SAFE, 2, Millis(least))
    context.flow = relay(policy, lambda tried: endpoint("d0"), lambda: Millis(left), lambda: True)


@then("its call is {decision}")
def step_decision(context, decision):
    try:
        next(context.flow)
    except StopIteration as stop:
        assert decision == "refused at once", stop.value
        assert describe(stop.value) == "refused deadline", stop.value
    else:
        assert decision == "handed over"


@when('the upstreams answer "{results}"')
def step_answer(context, results):
    script = [parse_result(text) for text in results.split("; ") if text != "-"]
    context.sent = 0
    try:
        next(context.flow)
        for result in script:
            context.sent += 1
            context.flow.send(result)
    except StopIteration as stop:
        context.end = stop.value
    else:
        raise AssertionError("the flow asks for a handover beyond the script")
    assert context.sent == len(script), "the flow ended before the script"


@then('the call ends as "{end}" after {sent:d} handovers')
def step_end(context, end, sent):
    assert describe(context.end) == end, context.end
    assert context.sent == sent, context.sent


def describe_resumed(result):
    if result is None:
        return "pending"
    if result.outcome is Outcome.UNKNOWN:
        return "unknown"
    return "fenced" if result.reason is Reason.FENCED else "done"


@when('the ledger sees "{script}"')
def step_ledger(context, script):
    ledger, now, answers = Ledger(), 0.0, []
    for word, *rest in parse_events(script):
        if word.startswith("+"):
            now += float(word)
            answers.append("-")
        elif word == "accept":
            answers.append("new" if ledger.accept(int(rest[0]), now) else "seen")
        elif word == "finish":
            ledger.finish(int(rest[0]), parse_result("ran 200"), now)
            answers.append("-")
        else:
            result = ledger.resume(int(rest[0]), now)
            answers.append(describe_resumed(result))
    context.answers = answers


@then('its answers are "{answers}"')
def step_ledger_answers(context, answers):
    assert context.answers == answers.split("; "), context.answers


@then("{daemons:d} daemons that start give their handovers {count:d} different ids")
def step_handover_ids(context, daemons, count):
    ids = [
        number
        for seed in range(daemons)
        for number in itertools.islice(new_handover_ids(random.Random(seed)), count // daemons)
    ]
    assert len(set(ids)) == count, len(set(ids))


@then("the id after the last number of an origin has another origin and number 0")
def step_next_origin(context):
    with mock.patch.object(ledger_module, "HANDOVER_COUNTER_BITS", 4):
        numbers = list(itertools.islice(new_handover_ids(random.Random(1)), 17))
    assert [number & 15 for number in numbers] == [*range(16), 0], numbers
    assert numbers[16] >> 4 != numbers[15] >> 4, numbers


@when('an upstream announces "{script}"')
def step_announce(context, script):
    table, context.accepted = HeartbeatFilter("shop", "10.0.0.1:80"), []
    for word, instance, *rest in parse_events(script):
        if word == "leave":
            born = int(rest[0]) if rest else None
            context.accepted.append(table.leave(instance, born))
            continue
        born, sequence, state = int(rest[0]), int(rest[1]), UpstreamState(rest[2])
        service = "other" if word == "other" else "shop"
        address = "10.0.0.2:80" if word == "elsewhere" else "10.0.0.1:80"
        beat = Heartbeat(instance, service, address, state, 4, Millis(0), born, sequence)
        context.accepted.append(table.accept(beat, Millis(0)))


@then('the announcements are accepted "{accepted}"')
def step_accepted(context, accepted):
    found = ["yes" if row else "no" for row in context.accepted]
    assert found == accepted.split("; "), found


@when('the slot queue sees "{script}"')
def step_slots(context, script):
    queue, now, actions = SlotQueue(), Millis(0), []
    queue.slots = 2
    for word, *rest in parse_events(script):
        if word.startswith("+"):
            now = Millis(now + float(word))
        elif word == "call":
            objective, deadline = Millis(now + float(rest[-1])), Millis(now + float(rest[2]))
            call = CallAwaitingSlot(rest[0], "r", int(rest[1]), objective, deadline)
            actions += queue.admit(call, now)
        elif word == "done":
            queue.finish(rest[0], now, False)
        elif word == "cancel":
            assert queue.cancel(rest[0])
        elif word == "learn":
            queue.costs[rest[0]] = queue.mean_cost = float(rest[1])
        elif word == "clear":
            actions += queue.refuse_all(Reason.LEAVING)
        actions += queue.start_waiting(now)
    context.actions = actions


@then('the queue does "{actions}"')
def step_slot_actions(context, actions):
    found = [
        (
            f"start {row.handover_id}"
            if isinstance(row, StartHandover)
            else f"refuse {row.handover_id} {row.reason.value}"
        )
        for row in context.actions
        if isinstance(row, StartHandover | RefuseHandover)
    ]
    assert found == actions.split("; "), found


@given('routes "{a}", "{b}", "{c}" and "{d}"')
def step_routes(context, a, b, c, d):
    def route(text):
        host, prefix, *weights = text.split()
        shares = map(float, weights[0].split(":")) if weights else (1.0,)
        backends = tuple((f"s{number}", share) for number, share in enumerate(shares))
        return HostRoute(
            host + prefix, host, prefix, Repeat.SAFE, Millis(500), Millis(100), 1, 2, backends
        )

    context.host_table = HostTable(1, map(route, (a, b, c, d)), LIMITS, frozenset())


@then('the route of "{host}" "{path}" is "{name}"')
def step_route(context, host, path, name):
    route = context.host_table.find(host, path)
    assert (route.name if route else "none") == name, route


@then(
    'of {total:d} requests on "{host}" "{path}" any {span:d} in a row '
    'give service "{service}" exactly {count:d}'
)
def step_split(context, total, host, path, span, service, count):
    split, route = WeightedSplit(), context.host_table.find(host, path)
    picks = [split.pick(route) for _ in range(total)]
    for start in range(total - span + 1):
        assert picks[start : start + span].count(service) == count, start


@when('the directory merges "{rows}"')
def step_merge(context, rows):
    me = replace(endpoint("me", 100), state=UpstreamState.STARTING)
    context.directory = Directory(me)
    for daemon_id, incarnation, sequence, state, *address in parse_events(rows):
        row = endpoint(
            daemon_id,
            int(incarnation),
            int(sequence),
            UpstreamState(state),
            address[0] if address else None,
        )
        context.directory.merge((row,))


@then('it routes to "{ready}" and its own incarnation is {incarnation:d}')
def step_directory(context, ready, incarnation):
    rows = context.directory.by_service.get("shop", ())
    found = ",".join(row.daemon_id for row in rows) or "none"
    assert found == ready, found
    assert context.directory.me.incarnation == incarnation


@given("a budget of ratio {ratio:g} and slack {slack:g} in {window:g} ms for {daemons:d} daemons")
def step_budget(context, ratio, slack, window, daemons):
    context.budget, context.daemons = FleetRetryBudget(ratio, slack, Millis(window)), daemons
    context.spent = int(context.budget.take(daemons, Millis(0)))


@when("{firsts:d} first arrivals come and {ms:g} ms pass")
def step_arrivals(context, firsts, ms):
    for _ in range(firsts):
        context.budget.add_first_arrival()
    takes = itertools.takewhile(
        bool, (context.budget.take(context.daemons, Millis(ms)) for _ in range(10_000))
    )
    context.spent += sum(takes)


@then("at least {low:d} and at most {high:d} repeats are allowed")
def step_repeats_allowed(context, low, high):
    assert low <= context.spent <= high, context.spent


@then('a response {status:d} with fields "{fields}" means "{result}"')
def step_classify(context, status, fields, result):
    rows = tuple((name.encode(), b"1") for name in fields.split("; "))
    found = classify_response(RelayResponse(status, rows, b""), b"stamp", b"not-run")
    assert describe(found) == result, found


@given("{daemons:d} daemons whose requests come {rate:d} a second for {seconds:d} s, all failing")
def step_failing_requests(context, daemons, rate, seconds):
    window = Millis(10_000)
    request_budgets = [FleetRetryBudget(0.2, 60, window) for _ in range(daemons)]
    call_budgets = [FleetRetryBudget(0.2, 60, window) for _ in range(daemons)]
    rng = random.Random(5)
    context.requests, context.repeats = [], []

    def make_calls(daemon, now, repeated):
        for _ in range(2 if rng.random() < 0.7 else 0):
            context.requests.append(now)
            context.repeats += [now] * repeated
            call_budgets[daemon].add_first_arrival()
            if call_budgets[daemon].take(daemons, now):
                context.repeats.append(now)

    for number in range(rate * seconds):
        now, daemon = Millis(number * 1000 / rate), number % daemons
        request_budgets[daemon].add_first_arrival()
        make_calls(daemon, now, False)
        if request_budgets[daemon].take(daemons, now):
            make_calls(rng.randrange(daemons), now, True)


@then("in no 10 s the called service gets more repeats than 0.2 of its requests plus 60")
def step_repeat_bound(context):
    for start in range(0, 20_001, 250):
        end = start + 10_000
        requests = sum(start <= at < end for at in context.requests)
        repeats = sum(start <= at < end for at in context.repeats)
        assert repeats <= 0.2 * requests + 60, (start, repeats, requests)


@then(
    "a call that usually takes {usual}, with {objective:d} of its objective and {left:d} left, "
    "is tried again after {delay}"
)
def step_hedge_delay(context, usual, objective, left, delay):
    known = None if usual == "-" else Millis(float(usual))
    found = hedge_delay(known, Millis(objective), Millis(left))
    assert found == (None if delay == "-" else float(delay)), found
