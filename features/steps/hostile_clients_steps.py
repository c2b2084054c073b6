import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
from behave import given, then, when
from signals_steps import FLEET_SETTINGS, PORT_NAMES, kill_and_wait

from agatecross_adapters.control_nng import NngTransport
from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError, PeerError
from agatecross_core.ids import Address, DaemonId, Digest, Incarnation, Millis, Version
from agatecross_core.members.records import Gossip, Identity, Probe
from agatecross_daemon import settings, sidecar_settings
from agatecross_standins.platform_config import config_record
from agatecross_standins.platform_store import PlatformStoreStandIn
from agatecross_standins.platform_upstream import PlatformUpstream
from agatecross_standins.ports import PortPool
from agatecross_standins.soak.fleet import SETTINGS_TEMPLATE

MIB = 1024 * 1024
DESCRIPTORS = 256
MACHINE_MEMORY_MB = 80
# Limits of the configuration in force; the time-outs exceed the duration of every scenario.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MIB,
    "headerTimeout": "120s",
    "idleTimeout": "120s",
}
LARGE_ANSWER_BYTES = 256 * 1024
STEP_TIMEOUT_SECONDS = 120.0
START_TIMEOUT_SECONDS = 30.0
ANSWER_TIMEOUT = Millis(30_000)
# Until clients that keep sending have all been accepted.
KEEP_SENDING_SECONDS = 2.0
# A client has sent what the daemon reads of it if nothing more was taken for this time.
STALLED_SECONDS = 2.0
BLOCK_BYTES = 64 * 1024
ENDLESS = 8 * MIB
HEAD = b"POST /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: h\r\nx-deadline-ms: 90000\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
STATED = HEAD + b"content-length: 1048576\r\n"
LARGE_GET = (
    b"GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: g\r\nx-deadline-ms: 90000\r\n"
)
# What NNG sends first on a connection of a requesting socket.
NNG_GREETING = b"\x00SP\x00\x00\x30\x00\x00"
# What each kind of client sends first, what it repeats, and how many bytes it repeats in all.
KINDS = {
    "nothing": (b"", b"", 0),
    "short lines, head not ended": (HEAD, b"a:b\r\n", 15_000),
    "lines without a value": (HEAD, b"a:\r\n", 15_000),
    "lines of spaces": (HEAD, b"a: \t \r\n", 15_000),
    "lines of high bytes": (HEAD, b"a:\xff\r\n", 15_000),
    "folded lines": (HEAD + b"a: b\r\n", b" b\r\n", 15_000),
    "short lines, body not ended": (STATED, b"a:b\r\n", 15_000),
    "a name without end": (HEAD, b"a", ENDLESS),
    "a value without end": (HEAD + b"a: ", b"b", ENDLESS),
    "a target without end": (b"GET /", b"a", ENDLESS),
    "a head over the limit": (HEAD, b"a:b\r\n", ENDLESS),
    "empty lines without end": (b"", b"\r\n", ENDLESS),
    "a chunk extension": (CHUNKED + b"1;", b"a", ENDLESS),
    "chunks of one byte": (CHUNKED, b"1\r\nb\r\n", 6 * (MIB - 1)),
    "chunks of two bytes": (CHUNKED, b"2\r\nbb\r\n", 7 * (MIB // 2 - 1)),
    "trailers without end": (CHUNKED + b"0\r\n", b"a:b\r\n", ENDLESS),
    "a trailer without end": (CHUNKED + b"0\r\na: ", b"b", ENDLESS),
    "half a body": (STATED + b"\r\n", b"b", 1_000_000),
    "requests for large answers": (b"", LARGE_GET + b"\r\n", 64 * len(LARGE_GET + b"\r\n")),
    "three large answers unread": (b"", LARGE_GET + b"\r\n", 3 * len(LARGE_GET + b"\r\n")),
    # A frame of 64 MiB between daemons, of which the end does not come.
    "a frame not ended": ((48 * MIB).to_bytes(4, "big"), b"b", ENDLESS),
    "a greeting": (NNG_GREETING, b"", 0),
    "half a greeting": (NNG_GREETING[:4], b"", 0),
    "a message not ended": (NNG_GREETING + (30 * MIB).to_bytes(8, "big"), b"b", ENDLESS),
}
# The settings of the own interface take other ports for these addresses.
OWN_PORTS = {"admin": "heartbeats", "control": "ready"}
ENDINGS = {"short lines, body not ended": b"\r\nb"}


class HostileCrowd:
    """A daemon process with what it needs around it, and the clients that are connected to it."""

    def __init__(self, kind):
        self.kind = kind
        self.loop = asyncio.new_event_loop()
        self.folder = tempfile.TemporaryDirectory()
        self.pool = PortPool()
        self.ports = dict(zip(PORT_NAMES, self.pool.reserve(len(PORT_NAMES)), strict=True))
        self.store, self.upstream = PlatformStoreStandIn(), PlatformUpstream("u1", "s0", 1_000)
        self.sockets = []
        self.senders = []
        self.peak_bytes, self.peak_descriptors = 0, 0

    def run(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, STEP_TIMEOUT_SECONDS))

    async def start(self):
        if self.kind == "relaying":
            text, module = await self.relaying_settings(), sidecar_settings
        else:
            text, module = FLEET_SETTINGS.format(**self.ports), settings
        if "limits" in module.TOP_LEVEL_KEYS:
            text += f"[limits]\nmemory_mb = {MACHINE_MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n"
        path = Path(self.folder.name) / "node.toml"
        path.write_text(text, encoding="utf-8")
        self.output = Path(self.folder.name) / "output"
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "agatecross_daemon", f"--settings={path}"],
                stdout=output,
                stderr=output,
                preexec_fn=limit_descriptors,
            )
        await self.wait_for(lambda: b"event=daemon_started" in self.output.read_bytes())
        if self.kind == "relaying":
            heartbeats = f"127.0.0.1:{self.ports['heartbeats']}"
            self.upstream.body_bytes = LARGE_ANSWER_BYTES
            await self.upstream.heartbeat(heartbeats, slots=64)
        wanted = 200 if self.kind == "relaying" else 503
        for _ in range(100):
            if await self.ordinary_status() == wanted:
                break
            await asyncio.sleep(0.1)
        self.observed = psutil.Process(self.process.pid)
        self.bytes_before = self.observed.memory_info().rss

    async def relaying_settings(self):
        record = json.loads(config_record(7, (), "100s"))
        record["limits"] = LIMITS
        store = self.store.listen()
        self.store.append_record("keyed.op", "config", json.dumps(record).encode())
        upstream = await self.upstream.listen()
        addresses = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        addresses |= {"store": store, "upstream": upstream}
        place = {"number": 1, "region": "north", "data_centre": "north-a", "service": "s0"}
        # The upstream announces itself once.
        text = SETTINGS_TEMPLATE.replace('heartbeat = "500ms"', 'heartbeat = "100s"')
        return text.format(**place, **addresses)

    async def wait_for(self, condition):
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not condition():
                assert self.process.poll() is None, self.output.read_text()
                await asyncio.sleep(0.05)

    async def send_all(self, address, count, kind):
        port = self.ports[OWN_PORTS.get(address, address)]
        prefix, repeated, size = KINDS[kind]
        data = prefix + repeated * (size // max(1, len(repeated))) + ENDINGS.get(kind, b"")
        watch = asyncio.ensure_future(self.watch())
        await asyncio.gather(*(self.send(port, data) for _ in range(count)))
        # What the daemon has read but not taken in yet.
        await asyncio.sleep(0.5)
        watch.cancel()

    async def send(self, port, data):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sockets.append(sock)
        # A connection that the daemon refuses, closes or no longer reads is as good as sent.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(STALLED_SECONDS):
                await loop.sock_connect(sock, ("127.0.0.1", port))
            for start in range(0, len(data), BLOCK_BYTES):
                async with asyncio.timeout(STALLED_SECONDS):
                    await loop.sock_sendall(sock, data[start : start + BLOCK_BYTES])
        return sock

    async def keep_sending(self, address, busy, kind, silent):
        port = self.ports[address]
        prefix, repeated, size = KINDS[kind]
        data = prefix + repeated * (size // max(1, len(repeated)))

        async def send_again():
            while True:
                sock = await self.send(port, data)
                self.sockets.remove(sock)
                sock.close()
                await asyncio.sleep(0.01)

        self.senders = [asyncio.ensure_future(send_again()) for _ in range(busy)]
        self.senders.append(asyncio.ensure_future(self.watch()))
        await asyncio.sleep(KEEP_SENDING_SECONDS)
        await asyncio.gather(*(self.send(port, b"") for _ in range(silent)))

    async def connect_while_paused(self, address, count):
        """Let all connections wait in the kernel's queue before the first one is accepted."""
        os.kill(self.process.pid, signal.SIGSTOP)
        await asyncio.gather(*(self.send(self.ports[address], b"") for _ in range(count)))
        os.kill(self.process.pid, signal.SIGCONT)
        until = time.monotonic() + STALLED_SECONDS
        while time.monotonic() < until:
            self.peak_bytes = max(self.peak_bytes, self.observed.memory_info().rss)
            self.peak_descriptors = max(self.peak_descriptors, self.observed.num_fds())

    async def watch(self):
        while True:
            with contextlib.suppress(psutil.NoSuchProcess):
                self.peak_bytes = max(self.peak_bytes, self.observed.memory_info().rss)
                self.peak_descriptors = max(self.peak_descriptors, self.observed.num_fds())
            await asyncio.sleep(0.02)

    async def ordinary_status(self):
        client = TornadoHttpClient()
        headers = (("Host", "a.example"), ("X-Request-Id", "ok"), ("X-Deadline-Ms", "20000"))
        address = f"127.0.0.1:{self.ports['callers']}"
        try:
            response = await client.send(
                address, Request("GET", "/safe/1", headers, b""), ANSWER_TIMEOUT
            )
            return response.status
        except ExchangeError as error:
            return repr(error)
        finally:
            client.close()

    async def control_answer(self):
        transport = NngTransport()
        probe = Probe(
            Identity(DaemonId("d2"), Incarnation(1)), DaemonId("d1"), Gossip(Version(0), Digest(""))
        )
        address = Address(f"127.0.0.1:{self.ports[OWN_PORTS['control']]}")
        try:
            return type(await transport.request(address, probe, ANSWER_TIMEOUT)).__name__
        except PeerError as error:
            return repr(error)
        finally:
            await transport.close()

    def close(self):
        async def stop():
            for sender in self.senders:
                sender.cancel()
            await asyncio.gather(*self.senders, return_exceptions=True)
            self.upstream.crash()
            await self.store.close()

        for sock in self.sockets:
            sock.close()
        kill_and_wait(self.process)
        self.run(stop())
        self.loop.close()
        self.pool.close()
        self.folder.cleanup()


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


@given("a {kind} daemon process for hostile clients")
def step_relaying(context, kind):
    context.crowd = HostileCrowd(kind)
    context.add_cleanup(context.crowd.close)
    context.crowd.run(context.crowd.start())


@given("a daemon process with the own interface for hostile clients")
def step_own(context):
    step_relaying(context, "own")


@when('{count:d} clients connect to "{address}" and each sends "{kind}"')
def step_crowd(context, count, address, kind):
    context.crowd.run(context.crowd.send_all(address, count, kind))


@when('{count:d} clients connect to "{address}" while the process is paused')
def step_paused(context, count, address):
    context.crowd.run(context.crowd.connect_while_paused(address, count))


@when('{busy:d} clients keep sending "{kind}" to "{address}" and {silent:d} only connect')
def step_keep_sending(context, busy, kind, address, silent):
    context.crowd.run(context.crowd.keep_sending(address, busy, kind, silent))


@then(
    "the process lives, its memory grew by at most {growth:d} MiB, "
    "with at most {descriptors:d} descriptors"
)
def step_bounds(context, growth, descriptors):
    crowd = context.crowd
    grown = (crowd.peak_bytes - crowd.bytes_before) / MIB
    print(f"memory +{grown:.1f} MiB, {crowd.peak_descriptors} descriptors")
    assert crowd.process.poll() is None, crowd.output.read_text()[-2000:]
    found = f"memory +{grown:.1f} MiB, {crowd.peak_descriptors} descriptors"
    assert grown <= growth and crowd.peak_descriptors <= descriptors, found


@then("an ordinary request is answered {status:d}")
def step_ordinary(context, status):
    found = context.crowd.run(context.crowd.ordinary_status())
    assert found == status, found


@then("a control message is answered")
def step_control(context):
    found = context.crowd.run(context.crowd.control_answer())
    assert found == "ProbeAck", (found, context.crowd.output.read_text()[-2000:])
