import asyncio
import heapq
import itertools
import math
import random
from bisect import bisect_left

from behave import then, when

from agatecross_core.admission.slot_queue import CallAwaitingSlot, SlotQueue, StartHandover
from agatecross_core.ids import Millis
from agatecross_core.relay.response_notices import read_notices

SLOTS, COST, OBJECTIVE, DEADLINE = 12, 80.0, 300.0, 800.0
DURATION, SETTLED, WINDOW = 30_000.0, 3_000.0, 4_000.0
NAMES = (b"server-limit", b"server-leaving")


def allowed(limit):
    """Return the calls that an upstream may get in a window; the rule's own figures."""
    return 1.5 * limit * WINDOW / 1000 + 5


def parse_limits(text):
    """Return the times in ms and the named texts, and whether some answers name nothing."""
    rows = [row.split() for row in text.split("; ")]
    return [(float(row[0]) * 1000, row[1]) for row in rows], "gaps" in text


def as_rate(text):
    """Return the limit that a text names, or None for one that cannot be read or is none."""
    return float(text) if text.replace(".", "").isdigit() and float(text) < 1e9 else None


@when('{load:d} calls a second arrive for 30 s at an upstream that names the limits "{limits}"')
def step_offer(context, load, limits):
    named, has_gaps = parse_limits(limits)
    context.named, context.load, timers = named, load, set()
    rng, queue = random.Random(7), SlotQueue()
    queue.slots = SLOTS
    events, number, now = [], itertools.count(), 0.0
    while now < DURATION:
        heapq.heappush(events, (now, next(number), "call"))
        now += rng.expovariate(load / 1000)
    arrived, context.starts, context.refused_after = {}, [], []

    def act(actions, now):
        for action in actions:
            if isinstance(action, StartHandover):
                context.starts.append(now)
                end = now + COST * rng.uniform(0.6, 1.4)
                heapq.heappush(events, (end, next(number), action.handover_id))
            else:
                context.refused_after.append(now - arrived[action.handover_id])
        if not timers and (wait := queue.next_start(Millis(now))) is not None:
            timers.add(now)
            heapq.heappush(events, (now + max(1.0, wait), next(number), "timer"))

    while events:
        now, number_now, event = heapq.heappop(events)
        if event == "call":
            arrived[number_now] = now
            call = CallAwaitingSlot(number_now, "r", 1, now + OBJECTIVE, now + DEADLINE)
            act(queue.admit(call, now), now)
        elif event == "timer":
            timers.clear()
            act(queue.start_waiting(now), now)
        else:
            text = [text for at, text in named if at <= now][-1]
            is_gap = text == "-" or (has_gaps and rng.random() < 0.2)
            headers = () if is_gap else ((NAMES[0], text.encode()),)
            queue.limit.read_answer(read_notices(headers, *NAMES).limit, now)
            act(queue.refuse_beyond_limit(now), now)
            queue.finish(event, now, True)
            act(queue.start_waiting(now), now)


def limit_periods(named):
    """Yield begin, end and limit of the periods in which one limit is in force."""
    limit = None
    for (at, text), (end, _) in itertools.pairwise([*named, (DURATION, "-")]):
        if text == "-":
            limit = None
        else:
            limit = as_rate(text) if as_rate(text) is not None else limit
            limit = None if text.isdigit() and len(text) > 9 else limit
        yield at, end, limit


@then("it gets no more than its limits allow, and at least {used:g} of them")
def step_check_starts(context, used):
    possible = 0.0
    for begin, end, limit in limit_periods(context.named):
        most = SLOTS * 1000 / COST if limit is None else limit
        possible += (end - begin) / 1000 * min(most, context.load)
        if limit is None:
            continue
        for at in [row for row in context.starts if begin + SETTLED <= row < end - WINDOW]:
            got = bisect_left(context.starts, at + WINDOW) - bisect_left(context.starts, at)
            assert got <= allowed(limit), (begin, at, got, allowed(limit))
    assert len(context.starts) >= used * possible, (len(context.starts), possible)


@then("no call waits for more than its objective and is refused then")
def step_check_refusals(context):
    assert max(context.refused_after, default=0.0) <= OBJECTIVE, max(context.refused_after)


@when(
    'a daemon whose upstream has answered "{answers}" gets handovers that tell the limits "{told}"'
)
def step_told(context, answers, told):
    queue = context.queue = SlotQueue()
    queue.slots = SLOTS
    for answer in answers.split() if answers != "-" else ():
        headers = () if answer == "none" else ((NAMES[0], answer.encode()),)
        queue.limit.read_answer(read_notices(headers, *NAMES).limit, Millis(0))
    for text in told.split():
        queue.limit.suggest(math.inf if text == "none" else float(text), Millis(0))


@then('it limits its upstream to "{limit}" calls a second')
def step_check_limit(context, limit):
    expected = math.inf if limit == "none" else float(limit)
    assert context.queue.limit.rate == expected, context.queue.limit.rate


@when(
    "the upstreams name a limit of {limit:d} while callers of every daemon send "
    '"{line}" for {seconds:d} s, and d{number:d} restarts after {restart:d} s'
)
def step_limit_fleet(context, limit, line, seconds, number, restart):
    testbed = context.testbed
    for upstream in testbed.upstreams:
        upstream.limit, upstream.work_seconds = str(limit), 0.02

    async def call_until(end, daemon):
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            try:
                await testbed.send(daemon, line)
            except Exception:
                await asyncio.sleep(0.05)

    async def work():
        end = asyncio.get_running_loop().time() + seconds
        callers = [
            asyncio.ensure_future(call_until(end, daemon)) for daemon in range(3) for _ in range(4)
        ]
        await asyncio.sleep(restart)
        settings = testbed.sidecars[number].settings
        await testbed.kill_daemon(number)
        await testbed.start_daemon(number, settings)
        await testbed.send_heartbeat(number)
        await asyncio.gather(*callers)

    testbed.run(work())


@then("no upstream got more than {most:d} calls in 4 s, from 3 s after it first named the limit")
def step_check_fleet(context, most):
    counts = []
    for upstream in context.testbed.upstreams:
        starts = [at * 1000 for at, _ in upstream.run_starts]
        if not upstream.named_limits:
            continue
        settled = upstream.named_limits[0][0] * 1000 + SETTLED
        counts += [
            bisect_left(starts, at + WINDOW) - bisect_left(starts, at)
            for at in starts
            if at >= settled
        ]
    assert counts and max(counts) <= most, max(counts, default=0)


@when('upstream "{name}" says in its answers that it leaves')
def step_says_leaving(context, name):
    context.testbed.upstreams[int(name[1:])].leaving = True


@when('a caller of d{number:d} sends "{line}" until upstream "{name}" has answered')
def step_until_answered(context, number, line, name):
    upstream = context.testbed.upstreams[int(name[1:])]

    async def work():
        for _ in range(50):
            await context.testbed.send(number, line)
            if upstream.run_starts:
                break
        await asyncio.sleep(0.2)

    context.testbed.run(work())
    context.runs_before = len(upstream.run_starts)
    assert context.runs_before


@then('upstream "{name}" has run nothing since it said so')
def step_nothing_since(context, name):
    found = len(context.testbed.upstreams[int(name[1:])].run_starts)
    assert found == context.runs_before, (found, context.runs_before)
