import asyncio
from dataclasses import replace
from itertools import pairwise
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from fuzz_steps import HANDOVER
from http_steps import ANSWER, STEP_TIMEOUT_SECONDS, RawServer, exchange_outcome
from virtual_fleet import VirtualFleet

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import StoreError
from agatecross_core.ids import DaemonId, Millis, Offset
from agatecross_core.members import ping_periods
from agatecross_core.members.link_liveness import LinkLiveness, LinkStep
from agatecross_daemon.relay_messages import CancelHandover
from agatecross_daemon.tasks import peers_task
from agatecross_platform.front_end import PlatformFrontEnd
from agatecross_standins.platform_config import config_record
from agatecross_standins.platform_store import PlatformStoreStandIn
from agatecross_standins.soak.proxy import FaultyLink

TIMEOUT = Millis(1_500)
# Leaves most of the timeout to the second connection, as a busy machine may be slow.
SECOND_TRY = Millis(1_300)
LONG_TIMEOUT = Millis(10_000)
LONG_SECOND_TRY = Millis(9_800)
# The platform's rules: how soon a version is in force, and how long a fault excuses a machine.
CONFIG_APPLY_MS = 2_000
STABILITY_WINDOW_MS = 3_000
# Time after which every link works again, and the longest period of the pings.
SETTLED_SECONDS = 13.0
PING_PERIOD_SECONDS = 10.0
LINK_OBSERVED_MS = 4_000
OPERATIONS = {
    "newest_config": lambda store: store.newest_config(TIMEOUT),
    "next_config": lambda store: store.next_config(Offset(0), Millis(100), TIMEOUT),
    "announce": lambda store: store.announce(DaemonId("d1"), b"record"),
    "announce_drain": lambda store: store.announce_drain(DaemonId("d1"), b"record"),
    "check": lambda store: store.check(),
    "read_announcements": lambda store: store.read_announcements(),
}


@given("a store and a client of it with {idle:d} idle connections")
def step_store_and_client(context, idle):
    context.idle = idle


@when('the idle connections go silent and the client calls "{operation}"')
def step_silent_store_connections(context, operation):
    context.found = asyncio.run(
        asyncio.wait_for(
            call_over_silent_connections(operation, context.idle), STEP_TIMEOUT_SECONDS
        )
    )


async def call_over_silent_connections(operation, idle):
    stand_in, link, reported = PlatformStoreStandIn(), FaultyLink(), []
    link.target = stand_in.listen()
    stand_in.append_record("keyed.op", "config", config_record(7))
    address = await link.listen()
    with mock.patch("agatecross_platform.front_end.STORE_SECOND_TRY", SECOND_TRY, create=True):
        front_end = PlatformFrontEnd(SimpleNamespace(store=address))
    if hasattr(front_end, "report_silent_connections"):
        front_end.report_silent_connections(lambda address, idle_time: reported.append(idle_time))
    call = OPERATIONS[operation]
    await asyncio.gather(*(front_end.store.check() for _ in range(idle)))
    opened = [link.accepted]
    link.silence_connections()
    ends = []
    for _ in range(2):
        try:
            ends.append(type(await call(front_end.store)).__name__)
        except StoreError as error:
            ends.append(str(error))
        opened.append(link.accepted)
    await link.close()
    await stand_in.close()
    return ends, opened, reported


@then("the store answered over 1 new connection, and the idle time of 1 connection is reported")
def step_store_answered(context):
    ends, opened, reported = context.found
    assert ends == ["StoreAnswer", "StoreAnswer"], context.found
    assert opened[:2] == [context.idle, context.idle + 1], context.found
    assert len(reported) == 1, context.found


@then("the next call needs no further connection")
def step_no_further_connection(context):
    _, opened, _ = context.found
    assert opened[2] == opened[1], context.found


@given("a server whose idle connection {behaviour}")
def step_server(context, behaviour):
    context.behaviour = behaviour


@when("a client that may send a request twice sends one")
def step_send_on_idle(context):
    context.found = asyncio.run(
        asyncio.wait_for(send_on_idle(context.behaviour), STEP_TIMEOUT_SECONDS)
    )


async def send_on_idle(behaviour):
    reported = []

    async def answer(server, writer):
        is_first = writer is server.writers[0]
        if server.requests == 1 or behaviour == "answers":
            writer.write(ANSWER)
        elif behaviour == "answers once a new one is opened" and not is_first:
            server.writers[0].write(ANSWER)
        elif behaviour == "sends the head and later the body":
            writer.write(ANSWER[:-1])
            await asyncio.sleep(0.5)
            writer.write(ANSWER[-1:])
        elif behaviour == "is closed by the second request":
            writer.close()
        elif behaviour == "is silent" and not is_first:
            writer.write(ANSWER)

    async with RawServer(answer) as server:
        client = TornadoHttpClient(second_try=LONG_SECOND_TRY)
        client.on_silent = lambda address, idle_time: reported.append(idle_time)
        request = Request("GET", "/", (), b"")
        assert await exchange_outcome(client, server.address, request, LONG_TIMEOUT) == "200"
        timeout, client.second_try = LONG_TIMEOUT, LONG_SECOND_TRY
        if "new" in behaviour and "opened" not in behaviour:
            timeout, client.second_try = Millis(600), Millis(500)
        if "refused" in behaviour:
            server.server.close()
        end = await exchange_outcome(client, server.address, request, timeout)
        client.close()
        return end, server.connections - 1, len(reported)


@then(
    'the exchange ends with "{end}" over {new:d} new connections, '
    "and {reported:d} silent ones are reported"
)
def step_exchange(context, end, new, reported):
    assert context.found == (end, new, reported), context.found


@given(
    "a fleet of {daemons:d} daemons in two regions in virtual time, on links of {mbit:g} Mbit/s, "
    "with the idle pings of {fleet:d}"
)
def step_virtual_fleet(context, daemons, mbit, fleet):
    for name in ("PING_SPACING", "REMOTE_PING_SPACING"):
        spacing = getattr(ping_periods, name) * fleet / daemons
        patch = mock.patch.object(ping_periods, name, spacing)
        patch.start()
        context.add_cleanup(patch.stop)
    context.start_fleet = lambda size: VirtualFleet(daemons, mbit, size)


@when(
    "{moments:d} silences are each followed by a change of {size:d} bytes after {after:d} ms, "
    "with a second silence after {second} ms"
)
def step_silences(context, moments, size, after, second):
    fleet = context.start_fleet(size)
    context.add_cleanup(fleet.close)
    events = [(after, fleet.store.publish), (0, fleet.network.silence)]
    if second != "none":
        events.append((int(second), fleet.network.silence))
    events.sort(key=lambda row: row[0])
    last_silence = max(at for at, event in events if event == fleet.network.silence)
    in_time = max(after + CONFIG_APPLY_MS, last_silence + STABILITY_WINDOW_MS)

    async def play(moment):
        now = 0
        for at, event in events:
            await asyncio.sleep((at - now) / 1000)
            now = at
            event()
        await asyncio.sleep((in_time - now) / 1000)
        found = fleet.behind()
        # The moments are spread over the longest period of the pings.
        await asyncio.sleep(SETTLED_SECONDS + moment * PING_PERIOD_SECONDS / moments)
        return found

    context.late = {moment: fleet.run(play(moment)) for moment in range(moments)}


@then("each change was in force everywhere in time")
def step_in_force(context):
    late = {moment: names for moment, names in context.late.items() if names}
    assert not late, late


@when('a link that is pinged each 10 s is told "{events}"')
def step_link_events(context, events):
    liveness = LinkLiveness(Millis(10_000), Millis(0))
    rows = sorted((int(at), *words) for at, *words in map(str.split, events.split("; ")))
    rows += [(at, "tick") for at in range(0, LINK_OBSERVED_MS, 100)]
    received_at, is_busy = 0, False
    context.pings, context.closed = [], "never"
    for at, kind, *size in sorted(rows, key=lambda row: row[0]):
        if kind == "sent":
            liveness.message_sent(int(size[0]))
        elif kind in ("byte", "pong"):
            received_at = at
        elif kind in ("busy", "idle"):
            is_busy = kind == "busy"
        if kind == "pong":
            liveness.pong_received()
        may_skip = not is_busy and at < liveness.next_check_at
        step = liveness.next_step(Millis(at), Millis(received_at), is_busy)
        assert step is LinkStep.WAIT or not may_skip, (at, step)
        if step is LinkStep.PING:
            context.pings.append(at)
        elif step is LinkStep.CLOSE:
            context.closed = str(at)
            return


@then('it is pinged at "{pings}" and closed at "{closed}" within 4 s')
@then('it is pinged at "" and closed at "{closed}" within 4 s')
def step_pinged(context, closed, pings=""):
    found = (context.pings, context.closed)
    assert found == ([int(at) for at in pings.split()], closed), found


@when("every connection goes silent and one daemon announces itself")
def step_announces(context):
    # As long as 1,300 links take, over the links of this fleet.
    spacing = Millis(2 * 1300 / 60)
    patch = mock.patch.object(peers_task, "REDIAL_SPACING", spacing, create=True)
    patch.start()
    context.add_cleanup(patch.stop)
    fleet = context.start_fleet(0)
    context.add_cleanup(fleet.close)
    context.open_links = []

    async def play():
        fleet.network.silence()
        fleet.daemons[0].peers.leave()
        for _ in range(500):
            await asyncio.sleep(0.01)
            links = fleet.daemons[0].peers.links.values()
            context.open_links.append(sum(link.is_open for link in links))

    fleet.run(play())


@then("it dials at most {most:d} of its peers within 100 ms, and all of them within 5 s")
def step_dials(context, most):
    found = context.open_links
    dials = [max(0, after - before) for before, after in pairwise(found)]
    windows = [sum(dials[at : at + 10]) for at in range(len(dials))]
    assert max(windows) <= most and found[-1] == max(found), found


@when(
    "d0 hands a call over, the connection goes silent after {silence:d} ms, "
    "and the caller leaves after {leaves:d} ms"
)
def step_caller_leaves(context, silence, leaves):
    fleet = context.start_fleet(0)
    context.add_cleanup(fleet.close)
    caller, runner = fleet.daemons
    handover = replace(HANDOVER, time_left=Millis(60_000))
    link = caller.peers.links[DaemonId("d1")]

    async def play():
        link.hand_over(handover, lambda handover_id, result: None)
        await asyncio.sleep(silence / 1000)
        fleet.network.silence()
        await asyncio.sleep((leaves - silence) / 1000)
        link.cancel(handover.handover_id)
        await asyncio.sleep(int(context.active_outline["within"]) / 1000)

    fleet.run(play())
    context.cancelled = CancelHandover(handover.handover_id) in runner.exit_messages
    context.connections = len(runner.peers.inbound.connections)


@then(
    "d1 has cancelled the call {within:d} ms after the caller left, "
    "and has {connections:d} connection from d0"
)
def step_cancelled(context, within, connections):
    del within
    assert (context.cancelled, context.connections) == (True, connections), (
        context.cancelled,
        context.connections,
    )


@when("d0 greets d1 a second time over their connection")
def step_greets_twice(context):
    fleet = context.start_fleet(0)
    context.add_cleanup(fleet.close)
    context.opened = fleet.network.connections

    async def play():
        link = fleet.daemons[0].peers.links[DaemonId("d1")]
        link.send(link.new_hello())
        await asyncio.sleep(1.0)

    fleet.run(play())
    context.opened_since = fleet.network.connections - context.opened


@then("no link was closed")
def step_none_closed(context):
    assert context.opened_since == 0, context.opened_since
