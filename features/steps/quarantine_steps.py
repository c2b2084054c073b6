import asyncio
import contextlib
import json
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from agatecross_core.admission.model import CallCancelled
from agatecross_core.admission.policies import new_admission
from agatecross_core.calls.model import Call, Request
from agatecross_core.errors import ConnectionLostError
from agatecross_core.members.records import Clearance, Member, Strike, UpstreamInfo
from agatecross_core.members.view import build_view
from agatecross_core.quarantine.gate import TrialGate
from agatecross_core.quarantine.model import InFlightCall, SuspectedRequest
from agatecross_core.quarantine.strikes import StrikeTable
from agatecross_core.states import MemberState, UpstreamState
from agatecross_daemon.mailbox import Mailbox, monotonic_ms, new_ask
from agatecross_daemon.messages import GossipReceived
from agatecross_daemon.tasks import upstream_task
from agatecross_daemon.tasks.quarantine_driver import QuarantineDriver
from agatecross_daemon.tasks.upstream_task import (
    UpstreamAnnounced,
    UpstreamTask,
    refuses_connections,
)
from agatecross_standins.fleet import Fleet, Site, fetch, wait_until
from agatecross_standins.ports import PortPool

MINUTE_MS = 60_000
CRASHING_PATH = "/vans/poison"
CRASH_EXIT_CODE = 70


@given("an empty strike table of {limit:d} fingerprints")
def start_strike_table(context, limit):
    context.strikes, context.now = StrikeTable(limit), 0.0


@when('the quarantine events "{events}" happen')
def apply_events(context, events):
    for event in events.split():
        name, value = event.split(":")
        if name == "wait":
            context.now += int(value) * MINUTE_MS
        elif name == "clear":
            context.strikes.apply_clearances([Clearance(value)], context.now)
        elif name == "lift":
            fingerprint, *deaths = value.split("/")
            clearance = Clearance(fingerprint, tuple((row, 0) for row in deaths))
            context.strikes.apply_clearances([clearance], context.now)
        else:
            strike = Strike(name, value.rstrip("+"), value.count("+"))
            context.strikes.add_strikes([strike], context.now)


@then('fingerprint "{fingerprint}" is {state}')
def check_state(context, fingerprint, state):
    suspected = context.strikes.suspected(fingerprint, context.now)
    quarantined = context.strikes.quarantined(fingerprint, context.now)
    found = "quarantined" if quarantined else "suspected" if suspected else "free"
    assert found == state, found


@given(
    'an upstream next to daemon "{me}" where "{running}" runs and "{name}" has {count:d} strikes'
)
def start_gate(context, me, running, name, count):
    context.gate = TrialGate(me)
    context.gate.call_started("c1", InFlightCall(running, "/"))
    context.request_strikes = (name, count)


@then('a call with fingerprint "{fingerprint}" is {decision} when its trial daemon is "{trial}"')
def check_gate(context, fingerprint, decision, trial):
    name, count = context.request_strikes
    context.gate.suspects_changed({name: SuspectedRequest(count >= 2, trial)} if count else {})
    refusal_reason = context.gate.refusal_reason(fingerprint)
    found = f"refused {refusal_reason.value}" if refusal_reason else "admitted"
    assert found == decision, found


@given('a fleet of "{service}" at "{data_centres}" that records executions in a file')
def start_recording_fleet(context, service, data_centres):
    context.fleet = Fleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    context.executions_file = context.fleet.directory / "executions.jsonl"
    flag = f"--executions_file={context.executions_file}"
    for data_centre in data_centres.split(","):
        context.fleet.add_node(Site("jylland", data_centre), service, flag)
    context.fleet.wait_joined()


@given('every upstream crashes on "{text}" and is restarted')
def restart_crashed_upstreams(context, text):
    fleet = context.fleet
    for node in fleet.nodes:
        fleet.set_upstream_switches(node, crash_on=text)
    stop = threading.Event()

    def watch():
        while not stop.wait(0.05):
            for node in fleet.nodes:
                if node.upstream.poll() == CRASH_EXIT_CODE:
                    fleet.start_upstream(node)
                    url = f"http://127.0.0.1:{node.upstream_port}/switches"
                    body = json.dumps({"crash_on": text}).encode()
                    wait_until(lambda u=url, b=body: fetch(u, "PUT", b)[0] == 200, "the upstream")

    watcher = threading.Thread(target=watch)
    watcher.start()
    context.add_cleanup(watcher.join)
    context.add_cleanup(stop.set)


def send_request(node, method, path):
    with contextlib.suppress(OSError):
        status, headers, _ = fetch(node.call_url + path, method, None if method == "GET" else b"{}")
        return status, headers.get("Agatecross-Outcome"), headers.get("Agatecross-Reason")
    return 0, "", ""


@when('the request is sent once, then at once through every daemon, with method "{method}"')
def send_crashing_request(context, method):
    context.method = method
    nodes = context.fleet.nodes
    send_request(nodes[0], method, CRASHING_PATH)
    with ThreadPoolExecutor(len(nodes) * 2) as pool:
        list(pool.map(lambda node: send_request(node, method, CRASHING_PATH), nodes * 2))


@when("it is sent through every daemon in turn")
def send_in_turn(context):
    def quarantined(node):
        return send_request(node, context.method, CRASHING_PATH) == (422, "not-run", "quarantined")

    for node in context.fleet.nodes:
        wait_until(lambda node=node: quarantined(node), f"the quarantine on {node.name}")


@then("upstreams crashed {count:d} times")
def check_crashes(context, count):
    lines = context.executions_file.read_text(encoding="utf-8").splitlines()
    rows = [row for row in map(json.loads, lines) if row["path"] == CRASHING_PATH]
    assert len(rows) == count, rows


def listed_quarantines(node):
    return json.loads(fetch(f"http://{node.admin_address}/agatecross/v1/quarantine")[2])


@then('every daemon lists "{path}" as quarantined')
def check_listed(context, path):
    for node in context.fleet.nodes:
        rows = [row for row in listed_quarantines(node) if row["quarantined"]]
        assert [row["strikes"] for row in rows] == [2], rows
        assert 0 < rows[0]["left_ms"] <= 10 * MINUTE_MS, rows
        context.fingerprint = rows[0]["fingerprint"]
    paths = {row["path"] for node in context.fleet.nodes for row in listed_quarantines(node)}
    assert path in paths, paths


@then("other requests run on every daemon")
def check_others(context):
    # Until the crashed upstreams are back, both attempts of a call may go to them.
    def runs(node):
        return send_request(node, "POST", "/vans/harmless")[:2] == (200, "ran")

    for node in context.fleet.nodes:
        wait_until(lambda node=node: runs(node), f"{node.name} to run another request")


@when("the quarantine is lifted at one daemon")
def lift_quarantine(context):
    url = f"http://{context.fleet.nodes[0].admin_address}/agatecross/v1/quarantine/{context.fingerprint}"
    assert fetch(url, "DELETE")[0] == 200
    assert fetch(url, "DELETE")[0] == 404


@then("no daemon lists it")
def check_lifted(context):
    for node in context.fleet.nodes:
        wait_until(lambda node=node: listed_quarantines(node) == [], f"{node.name} to lift it")


class Outbox(list):
    put = list.append


def new_member(name):
    info = UpstreamInfo("vans", f"{name}:9", 1, 1, UpstreamState.READY)
    addresses = [f"{name}:{port}" for port in range(1, 5)]
    return Member(name, 1, MemberState.ALIVE, "jylland", "aarhus-a", *addresses, info)


@given('a daemon "{me}" with peers "{peers}" of one service')
def start_driver(context, me, peers):
    context.upstream_outbox = Outbox()
    members = [new_member(name) for name in (me, *peers.split(","))]
    context.driver = QuarantineDriver(members[0], Outbox(), Outbox(), context.upstream_outbox)
    context.driver.view_changed(build_view(members, False), members[0])


@when('gossip reports strikes "{strikes}" and clearances "{clearances}"')
def receive_gossip(context, strikes, clearances):
    rows = [text.split(":") for text in strikes.split()]
    context.driver.handle(
        GossipReceived(
            tuple(Strike(name, death, 1) for name, death in rows),
            tuple(Clearance(name) for name in clearances.split() if name != "none"),
        )
    )


@then('the upstream task treats "{fingerprint}" as {state}')
def check_upstream_task(context, fingerprint, state):
    suspects = context.upstream_outbox[-1].suspects if context.upstream_outbox else {}
    row = suspects.get(fingerprint)
    found = "free" if row is None else "quarantined" if row.quarantined else "suspected"
    assert found == state, suspects
    assert context.driver.is_quarantined(fingerprint) == (state == "quarantined")
    assert row is None or row.trial_daemon not in ("", None), row


class DyingUpstream:
    """An upstream client that loses every connection and delays the result of a probe."""

    def __init__(self):
        self.lost, self.probed = asyncio.Event(), asyncio.Event()

    async def send(self, address, request, timeout):
        await self.lost.wait()
        raise ConnectionLostError(address, "connection closed")

    async def probe(self, address):
        await self.probed.wait()
        return True

    def listen(self, address, handler):
        return address


async def settle():
    """Let every task run until it waits; no task here waits for time or sockets."""
    for _ in range(100):
        await asyncio.sleep(0)


async def reported_deaths(names, cancelled):
    """Return the calls in flight that each reported death names."""
    upstream, deaths, mailbox = DyingUpstream(), Outbox(), Mailbox()
    admission, gate = new_admission("adaptive"), TrialGate("me")
    task = UpstreamTask(
        mailbox, "me:1", "aarhus-a", upstream, upstream, Outbox(), admission, gate, deaths
    )
    upstream_task.refuses_connections = upstream.probe
    running = asyncio.ensure_future(task.run())
    mailbox.put(UpstreamAnnounced(UpstreamInfo("vans", "vans:9", 9, 9, UpstreamState.READY)))
    for name in names:
        request = Request("GET", f"/{name}", (), b"")
        mailbox.put(new_ask(Call(name, "vans", request, far_deadline(), True)))
    await settle()
    upstream.lost.set()
    await settle()
    for name in cancelled:
        mailbox.put(CallCancelled(name))
    await settle()
    upstream.probed.set()
    await settle()
    running.cancel()
    return ["+".join(sorted(row.path[1:] for row in ask.payload.calls)) for ask in deaths]


class RestartedUpstream(DyingUpstream):
    """An upstream client that loses every connection; its address accepts connections again."""

    async def probe(self, address):
        await self.probed.wait()
        return False


async def reported_restarts(born, names, before, after):
    """Return the calls that each death names which an announcement of a later start reveals."""
    upstream, deaths, mailbox = RestartedUpstream(), Outbox(), Mailbox()
    admission, gate = new_admission("adaptive"), TrialGate("me")
    task = UpstreamTask(
        mailbox, "me:1", "aarhus-a", upstream, upstream, Outbox(), admission, gate, deaths
    )
    upstream_task.refuses_connections = upstream.probe
    running = asyncio.ensure_future(task.run())
    info = UpstreamInfo("vans", "vans:9", 9, 9, UpstreamState.READY)
    mailbox.put(UpstreamAnnounced(info, born))
    asks = [
        new_ask(Call(name, "vans", Request("GET", f"/{name}", (), b""), far_deadline(), True))
        for name in names
    ]
    for ask in asks:
        mailbox.put(ask)
    await settle()
    upstream.lost.set()
    upstream.probed.set()
    await settle()
    for start in before:
        mailbox.put(UpstreamAnnounced(info, start))
    await settle()
    for ask in deaths:
        ask.answer(None)
    await asyncio.gather(*(ask.reply for ask in asks))
    for start in after:
        mailbox.put(UpstreamAnnounced(info, start))
    await settle()
    running.cancel()
    return ["+".join(sorted(row.path[1:] for row in ask.payload.calls)) for ask in deaths]


def far_deadline():
    return monotonic_ms() + MINUTE_MS


def parse_starts(text):
    return [int(word) for word in text.split() if word != "-"]


@given('an upstream born at "{born:d}" that loses calls "{lost}" and accepts connections again')
def step_restarted(context, born, lost):
    context.born, context.lost = born, lost.split()


@when('it announces the starts "{before}" before the calls are answered and "{after}" after that')
def step_announces(context, before, after):
    context.add_cleanup(setattr, upstream_task, "refuses_connections", refuses_connections)
    starts = (parse_starts(before), parse_starts(after))
    context.deaths = asyncio.run(reported_restarts(context.born, context.lost, *starts))


@given('an upstream that dies with calls "{running}" in flight')
def step_dying(context, running):
    context.running = running.split()


@when('calls "{cancelled}" are cancelled before the death is certain')
def step_cancelled(context, cancelled):
    names = [] if cancelled == "-" else cancelled.split()
    context.add_cleanup(setattr, upstream_task, "refuses_connections", refuses_connections)
    context.deaths = asyncio.run(reported_deaths(context.running, names))


@then('the deaths "{deaths}" are reported')
def step_deaths(context, deaths):
    assert context.deaths == deaths.replace("-", "").split(), context.deaths


async def probe_behaviour(behaviour):
    """Return whether an upstream whose address behaves like this counts as dead."""
    pool = PortPool()
    try:
        return await probe_port(behaviour, pool.reserve(1)[0])
    finally:
        pool.close()


async def probe_port(behaviour, port):
    if behaviour == "refuses connections":
        return await refuses_connections(f"127.0.0.1:{port}")
    ended = asyncio.Event()

    async def serve(reader, writer):
        if behaviour == "waits for a call":
            await ended.wait()
        elif behaviour == "resets connections":
            writer.transport.abort()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", port):
        found = await refuses_connections(f"127.0.0.1:{port}")
        ended.set()
        return found


@when("a lost connection is followed by a probe of an address that {behaviour}")
def probe_address(context, behaviour):
    context.dead = asyncio.run(probe_behaviour(behaviour))


@then("the upstream counts as {state}")
def check_probe(context, state):
    assert context.dead == (state == "dead")
