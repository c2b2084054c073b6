import asyncio
import itertools
import json
import re
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.calls.model import Request
from agatecross_core.config.documents import Document
from agatecross_core.errors import SettingsError
from agatecross_core.ids import Address, Millis
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.events import format_event
from agatecross_daemon.loop_errors import log_loop_error
from agatecross_daemon.mailbox import boottime_ms
from agatecross_daemon.sidecar import build_sidecar
from agatecross_daemon.sidecar_settings import RetrySettings, SidecarSettings, sidecar_settings
from agatecross_platform.front_end import PlatformFrontEnd
from agatecross_standins.platform_config import config_record
from agatecross_standins.platform_store import PlatformStoreStandIn
from agatecross_standins.platform_upstream import Answer, PlatformUpstream
from agatecross_standins.ports import PortPool

DAEMON_PLACES = (("north", "north-a", "s0"), ("north", "north-a", "s1"), ("south", "south-a", "s0"))
POLL_TIMEOUT_SECONDS = 15.0
SETTINGS_FILE = """
[sidecar]
id = "d1"
region = "jylland"
data_centre = "aarhus-a"
[listen]
callers = "10.1.0.8:8304"
peers = "10.1.0.8:8300"
ready = "10.1.0.8:8302"
heartbeats = "10.1.0.8:8306"
metrics = "10.1.0.8:7620"
[upstream]
service = "s1"
address = "10.1.0.8:8301"
heartbeat = "1500ms"
[store]
address = "10.200.1.7:8309"
[retries]
ratio = 0.2
slack = 60
window = "10s"
[shutdown]
grace = "6s"
[limits]
memory_mb = 200
descriptors = 4096
"""


async def poll_until(condition, what):
    for _ in range(int(POLL_TIMEOUT_SECONDS / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"timed out after {POLL_TIMEOUT_SECONDS} s waiting for {what}")


class Testbed:
    """Three daemons, their upstreams' stand-ins and the store's stand-in in one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.store = PlatformStoreStandIn()
        self.ports = PortPool()
        self.folder = tempfile.TemporaryDirectory()
        self.log_files = []
        self.sidecars, self.tasks, self.upstreams = [], [], []
        self.statuses, self.call_numbers = [], itertools.count()
        self.route_timeout, self.time_left_ms = "2s", 900
        self.link_rate = 0

    def run(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, 60))

    async def start(self, refusing):
        self.store_address = self.store.listen()
        self.store.append_record("keyed.op", "config", config_record(7, (), self.route_timeout))
        self.store.switches.refuse = refusing
        for number, (_, _, service) in enumerate(DAEMON_PLACES):
            upstream = PlatformUpstream(f"u{number}", service, 1_000)
            await upstream.listen()
            self.upstreams.append(upstream)
            await self.start_daemon(number)
        if refusing:
            return
        await poll_until(lambda: all(s.entry.table for s in self.sidecars), "a configuration")
        for number in range(len(DAEMON_PLACES)):
            await self.send_heartbeat(number)
        await poll_until(
            lambda: all(self.sees_all_upstreams(s) for s in self.sidecars), "every upstream"
        )
        # On a busy machine the start stalls this process, which counts as a pause of every daemon.
        # A call that is read just after it would lose that time at both of its daemons.
        await poll_until(
            lambda: not any(s.exit.pauses.waited(boottime_ms()) for s in self.sidecars),
            "the end of the pause",
        )

    def sees_all_upstreams(self, sidecar):
        return sum(map(len, sidecar.entry.endpoints_by_service.values())) == len(DAEMON_PLACES)

    async def start_daemon(self, number, previous_settings=None):
        region, data_centre, service = DAEMON_PLACES[number]
        if previous_settings is None:
            addresses = [f"127.0.0.1:{port}" for port in self.ports.reserve(5)]
        else:
            s = previous_settings
            addresses = [s.callers, s.peers, s.ready, s.heartbeats, s.metrics]
        settings = SidecarSettings(
            f"d{number}",
            region,
            data_centre,
            *map(Address, addresses),
            service,
            self.upstreams[number].address,
            Millis(60_000),
            self.store_address,
            RetrySettings(0.2, 600, Millis(10_000)),
            Millis(3_000),
            Address(addresses[1]),
            Millis(2_000),
            number,
            link_rate=self.link_rate,
        )
        path = Path(self.folder.name) / f"d{number}-{len(self.log_files)}.log"
        self.log_files.append(path.open("wb"))
        log = DecisionLog(self.log_files[-1].fileno())
        sidecar = build_sidecar(settings, PlatformFrontEnd(settings), log)
        await sidecar.start()
        tasks = [asyncio.ensure_future(task.run()) for task in sidecar.tasks]
        if previous_settings is None:
            self.sidecars.append(sidecar)
            self.tasks.append(tasks)
        else:
            self.sidecars[number], self.tasks[number] = sidecar, tasks
        return sidecar

    async def send_heartbeat(self, number, state="ready", **changes):
        daemon = self.sidecars[number].settings.heartbeats
        return await self.upstreams[number].heartbeat(daemon, state, **changes)

    async def kill_daemon(self, number):
        sidecar = self.sidecars[number]
        for task in self.tasks[number]:
            task.cancel()
        await asyncio.gather(*self.tasks[number], return_exceptions=True)
        await sidecar.close()
        sidecar.peers.inbound.abort()
        await asyncio.sleep(0.05)

    async def send(self, number, line, fields=()):
        method, path = line.split()
        body = b"body" if method == "POST" else b""
        call_id = f"c{next(self.call_numbers)}"
        headers = (
            ("Host", "a.example"),
            ("X-Request-Id", call_id),
            ("X-Deadline-Ms", str(self.time_left_ms)),
            ("X-Caller-Service", "forged"),
            *fields,
        )
        http = TornadoHttpClient()
        address = self.sidecars[number].settings.callers
        request = Request(method, path, headers, body)
        response = await http.send(address, request, Millis(self.time_left_ms + 4_000))
        http.close()
        return response

    async def send_bytes(self, number, data):
        host, _, port = self.sidecars[number].settings.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        got = b""
        while len(re.findall(rb"HTTP/1.1 \d+", got)) < data.count(b"\r\n\r\n"):
            chunk = await asyncio.wait_for(reader.read(65536), 10)
            if not chunk:
                break
            got += chunk
        writer.close()
        return re.findall(rb"HTTP/1.1 (\d+)", got)

    def close(self):
        async def stop():
            for number in range(len(self.sidecars)):
                await self.kill_daemon(number)
            for upstream in self.upstreams:
                upstream.crash()
            await self.store.close()

        self.run(stop())
        self.loop.close()
        self.ports.close()
        for file in self.log_files:
            file.close()
        self.folder.cleanup()

    def log_paths(self):
        for sidecar in self.sidecars:
            sidecar.log.flush()
        return [file.name for file in self.log_files]


def start_testbed(context, refusing, seconds_per_call=None, link_rate=0):
    context.testbed = Testbed()
    context.testbed.link_rate = link_rate
    if seconds_per_call is not None:
        context.testbed.route_timeout = f"{seconds_per_call}s"
        context.testbed.time_left_ms = seconds_per_call * 1000
    context.add_cleanup(context.testbed.close)
    context.testbed.run(context.testbed.start(refusing))


@given("a platform fleet")
def step_fleet(context):
    start_testbed(context, False)


@given("a platform fleet whose store is refusing")
def step_fleet_refusing(context):
    start_testbed(context, True)


@when('upstreams "{names}" answer "{script}"')
def step_script(context, names, script):
    # The upstreams share one script: each request, to any of them, gets the next answer of it.
    shared = iter([Answer(word) for word in script.split(",")])

    class SharedScript:
        def __bool__(self):
            return True

        def popleft(self):
            return next(shared, Answer.WHOLE)

    for name in names.split(","):
        context.testbed.upstreams[int(name[1:])].script = SharedScript()


@when('a caller of d{number:d} sends "{line}"')
def step_send(context, number, line):
    context.answer = context.testbed.run(context.testbed.send(number, line))


@when('a caller of d{number:d} sends "{line}" {count:d} times')
def step_send_many(context, number, line, count):
    async def work():
        return [await context.testbed.send(number, line) for _ in range(count)]

    context.answers = context.testbed.run(work())


@when('callers of d{number:d} send "{line}" {count:d} times at once')
def step_send_at_once(context, number, line, count):
    async def work():
        return await asyncio.gather(*(context.testbed.send(number, line) for _ in range(count)))

    context.answers = context.testbed.run(work())
    context.answer = context.answers[0]


@then("every answer was {status:d}")
def step_every_status(context, status):
    assert {row.status for row in context.answers} == {status}, context.answers


@then("the answer is {status:d} and all upstreams ran it {runs:d} times")
def step_answer_status(context, status, runs):
    assert context.answer.status == status, context.answer
    by_upstream = {upstream.name: dict(upstream.runs) for upstream in context.testbed.upstreams}
    found = sum(sum(counts.values()) for counts in by_upstream.values())
    assert found == runs, (found, by_upstream, getattr(context, "answers", ()))


@then(
    'upstream "{name}" saw target "{target}", body "{body}", caller "{caller}" '
    "and at most {left:d} ms"
)
def step_saw(context, name, target, body, caller, left):
    fields = context.testbed.upstreams[int(name[1:])].received_requests[-1]
    assert fields[":target"] == target, fields
    assert fields[":body"] == body, fields
    assert fields["x-caller-service"] == caller, fields
    assert 0 < int(fields["x-deadline-ms"]) <= left, fields
    assert fields["x-expect-instance"] == name, fields


@when('a caller of d{number:d} writes "{text}"')
def step_write(context, number, text):
    requests = []
    for part in text.split("|"):
        if part.startswith("\\x"):
            requests.append(b"\x01\x02 / HTTP/1.1\r\n\r\n")
            continue
        method, target, *rest = part.strip().split(" ", 2)
        fields = rest[0].replace("\\n", "\r\n").replace("LONG", "x" * 5000) if rest else "x-a: 1"
        head = f"{method} {target} HTTP/1.1\r\nhost: a.example\r\n{fields}\r\n\r\n"
        requests.append(head.encode())
    context.statuses = context.testbed.run(context.testbed.send_bytes(number, b"".join(requests)))


@when('the route lookup of d{number:d} fails for "{path}"')
def step_route_lookup_fails(context, number, path):
    sidecar = context.testbed.sidecars[number]
    table = sidecar.entry.table
    find = table.find

    def failing(host, target):
        if target == path:
            raise ValueError("a fault in the daemon")
        return find(host, target)

    table.find = failing
    loop = context.testbed.loop
    loop.set_exception_handler(lambda _, context: log_loop_error(sidecar.log, context))


@then('d{number:d} has logged "{event}"')
@then('d{number:d} has logged "{event}" with "{field}"')
def step_has_logged(context, number, event, field=""):
    lines = Path(context.testbed.log_paths()[number]).read_text().splitlines()
    assert any(f"event={event}" in line and field in line for line in lines), lines


@then('it reads statuses "{statuses}"')
def step_statuses(context, statuses):
    assert [row.decode() for row in context.statuses] == statuses.split(), context.statuses


@when('a caller of d{number:d} sends "{line}" with its body {ms:d} ms later')
def step_slow_body(context, number, line, ms):
    method, path = line.split()

    async def work():
        host, _, port = context.testbed.sidecars[number].settings.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: slow\r\n"
        writer.write(f"{head}x-deadline-ms: 900\r\ncontent-length: 4\r\n\r\n".encode())
        await asyncio.sleep(ms / 1000)
        writer.write(b"body")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()

    context.testbed.run(work())


@when('upstream "{name}" tells its daemon "{messages}"')
def step_send_messages(context, name, messages):
    number = int(name[1:])
    upstream = context.testbed.upstreams[number]

    async def work():
        for item in messages.split("; "):
            state, *changes = item.split()
            if state == "leave":
                daemon = context.testbed.sidecars[number].settings.heartbeats
                body = json.dumps({"born": upstream.born}).encode()
                context.leave_status = await upstream.send_announcement(daemon, "leave", body)
            elif state == "replaced":
                upstream.name, upstream.born = f"{upstream.name}x", upstream.born + 1
            elif state == "late":
                await context.testbed.send_heartbeat(number, "ready", sequence=50)
            else:
                pairs = (part.split("=") for part in changes)
                fields = {key: int(word) if word.isdigit() else word for key, word in pairs}
                await context.testbed.send_heartbeat(number, state, **fields)
        await asyncio.sleep(0.2)

    context.testbed.run(work())


@then('upstream "{name}" ran "{runs}"')
def step_ran(context, name, runs):
    found = sum(context.testbed.upstreams[int(name[1:])].runs.values())
    assert bool(found) == (runs == "some"), found
    assert {row.status for row in context.answers} == {200}


@then('upstream "{name}" was answered {status:d} and ran "{runs}"')
def step_leave_answered(context, name, status, runs):
    assert context.leave_status == status, context.leave_status
    step_ran(context, name, runs)


@when("daemon d{number:d} is killed and started again")
def step_restart(context, number):
    testbed = context.testbed

    async def work():
        settings = testbed.sidecars[number].settings
        await testbed.kill_daemon(number)
        sidecar = await testbed.start_daemon(number, settings)
        await poll_until(lambda: len(sidecar.peers.open_links) == 2, "the links of the new daemon")

    testbed.run(work())


@when("every daemon is killed and started again")
def step_restart_all(context):
    testbed = context.testbed

    async def work():
        await asyncio.sleep(0.2)
        settings = [sidecar.settings for sidecar in testbed.sidecars]
        for number in range(len(settings)):
            await testbed.kill_daemon(number)
        for number, previous_settings in enumerate(settings):
            await testbed.start_daemon(number, previous_settings)
        await poll_until(lambda: all(s.entry.table for s in testbed.sidecars), "a configuration")

    testbed.run(work())


@when('every daemon sees the upstreams "{names}"')
def step_sees(context, names):
    def seen(sidecar):
        rows = sidecar.entry.endpoints_by_service.values()
        return {row.instance for endpoints in rows for row in endpoints} >= set(names.split(","))

    context.testbed.run(poll_until(lambda: all(seen(s) for s in context.testbed.sidecars), names))


@when('upstream "{name}" crashes')
def step_crash(context, name):
    context.testbed.upstreams[int(name[1:])].crash()


async def send_while_held(testbed, number, line, meanwhile):
    """Send a request, run `meanwhile` while an upstream holds it, then let the upstream answer."""
    sending = asyncio.ensure_future(testbed.send(number, line))
    await poll_until(
        lambda: any(sum(u.runs.values()) for u in testbed.upstreams), "the call to run"
    )
    acting = asyncio.ensure_future(meanwhile())
    await asyncio.sleep(0.1)
    for upstream in testbed.upstreams:
        upstream.released.set()
    response = await sending
    await acting
    return response


@when('a caller of d{number:d} sends "{line}" while the hop connections are cut')
def step_cut(context, number, line):
    testbed = context.testbed

    async def cut():
        for link in testbed.sidecars[number].peers.links.values():
            link.connection.abort()

    context.answer = testbed.run(send_while_held(testbed, number, line, cut))


@when('a caller of d{number:d} sends "{line}" while d{stopped:d} is stopped')
def step_stopped(context, number, line, stopped):
    testbed = context.testbed
    context.answer = testbed.run(
        send_while_held(testbed, number, line, testbed.sidecars[stopped].drain)
    )


@then("each daemon knows of itself what its peers know of it, with the latency of the store")
def step_same_rows(context):
    def same():
        rows = [sidecar.peers.directory for sidecar in context.testbed.sidecars]
        return all(
            table.rows.get(owner.me.daemon_id) == owner.me and owner.me.store_latency
            for owner in rows
            for table in rows
        )

    context.testbed.run(poll_until(same, "the same rows"))


@then("daemon d{number:d} is not ready")
def step_not_ready(context, number):
    async def ask():
        http = TornadoHttpClient()
        address = context.testbed.sidecars[number].settings.ready
        response = await http.send(address, Request("GET", "/-/ready", (), b""), Millis(2_000))
        http.close()
        return response.status

    assert context.testbed.run(ask()) == 503


@when('the store "{fault}"')
def step_store_fault(context, fault):
    if fault == "forgets":
        context.testbed.store.compact("keyed.op")
    elif fault in ("refuses", "answers"):
        context.testbed.store.switches.refuse = fault == "refuses"
    elif fault == "is silent":
        context.testbed.store.switches.silent = True
    elif fault == "garbles":
        context.testbed.store.append_record("keyed.op", "config", b'{"version": 5}')


@when('the operator writes version {version:d} with route "{prefix}"')
def step_publish(context, version, prefix):
    data = config_record(version, ((prefix, "safe", "s0"),))
    context.testbed.store.append_record("keyed.op", "config", data)


@then("every daemon has version {version:d} in force")
def step_version(context, version):
    async def check():
        sidecars = context.testbed.sidecars
        await poll_until(
            lambda: all(s.entry.table.version == version for s in sidecars), "the version"
        )
        await asyncio.sleep(0.3)
        assert {s.entry.table.version for s in sidecars} == {version}

    context.testbed.run(check())


@when('upstreams "{names}" restart')
def step_upstreams_restart(context, names):
    testbed = context.testbed

    async def work():
        for name in names.split(","):
            number = int(name[1:])
            await testbed.upstreams[number].restart()
            await testbed.send_heartbeat(number)
        await asyncio.sleep(0.1)

    testbed.run(work())


@when('a caller of d{number:d} sends "{line}" and leaves')
def step_leaves(context, number, line):
    testbed = context.testbed

    async def work():
        host, _, port = testbed.sidecars[number].settings.callers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"{line} HTTP/1.1\r\nhost: a.example\r\nx-request-id: left\r\n\r\n"
        writer.write(head.encode())
        await poll_until(lambda: any(u.runs["left"] for u in testbed.upstreams), "the call to run")
        writer.close()

    testbed.run(work())


@then("the upstream that runs it has its connection closed")
def step_connection_closed(context):
    testbed = context.testbed
    running = [u for u in testbed.upstreams if u.runs["left"]]
    testbed.run(
        poll_until(lambda: not any(u.connections for u in running), "the connection to close")
    )


@when('the settings of d{number:d} are read again with "{change}"')
def step_reload(context, number, change):
    sidecar = context.testbed.sidecars[number]
    context.lines = []
    sidecar.log.write_change = lambda event, **rows: context.lines.append(format_event(event, rows))

    def read():
        if change == "findings":
            raise SettingsError("a finding")
        if change == "nothing":
            return sidecar.settings
        value = Address("127.0.0.1:1") if change == "callers" else context.testbed.store_address
        other = {"store": Address(f"{value} "), "callers": value}[change]
        return replace(sidecar.settings, **{change: other})

    sidecar.reload(read)


@then('d{number:d} logs "{event}" and goes on serving')
def step_reload_logged(context, number, event):
    assert any(f"event={event}" in line for line in context.lines), context.lines
    response = context.testbed.run(context.testbed.send(number, "GET /safe/1"))
    log = Path(context.testbed.log_paths()[number]).read_text()
    assert response.status == 200, (response, log)


@then('the settings file with "{old}" replaced by "{new}" gives "{finding}"')
@then('the settings file with "{old}" replaced by "" gives "{finding}"')
def step_settings_file(context, old, finding, new=""):
    text = SETTINGS_FILE.replace(old, new)
    assert text != SETTINGS_FILE
    sidecar_settings(decode_toml(Document("node.toml", SETTINGS_FILE)))
    try:
        sidecar_settings(decode_toml(Document("node.toml", text)))
    except SettingsError as error:
        assert finding in str(error), error
        assert "node.toml:" in str(error), error
    else:
        raise AssertionError("the settings were accepted")
