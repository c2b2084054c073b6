"""Stand-ins and process control for the review's scripts; standard library only.

A `Rig` starts a store, backends and daemons on loopback addresses. The daemons are the project's own
program, started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes `record.txt`: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)


_ports_given = set()
# Below the ports that the kernel gives to outgoing connections.
PORTS = range(20_000, 32_000)


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in _ports_given:
            continue
        _ports_given.add(port)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port


async def read_head(reader):
    """Return start line and header pairs, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = [line.partition(":") for line in lines[1:] if line]
    return lines[0], [(name.strip().lower(), value.strip()) for name, _, value in fields]


async def read_body(reader, headers):
    length = int(dict(headers).get("content-length", 0))
    return await reader.readexactly(length) if length else b""


CLOSED = (asyncio.IncompleteReadError, ConnectionError, OSError)
# The servers' tasks are cancelled at the end of a script.
ENDED = (*CLOSED, asyncio.CancelledError)


def response_bytes(status, headers, body, reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def request(address, method, path, headers=(), body=b"", timeout=10.0):
    """Send one request on a new connection; return (status, headers, body), None if it got none."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
                if body or method in ("POST", "PUT"):
                    lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
                await writer.drain()
                start, fields = await read_head(reader)
                answer = await read_body(reader, fields)
                return int(start.split()[1]), dict(fields), answer
            finally:
                writer.close()
    except (TimeoutError, *CLOSED):
        return None


class Store:
    """The platform's store: a log with keyed topics, in one process."""

    def __init__(self):
        self.address = f"{HOST}:{free_port()}"
        self.records = {}
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def append(self, topic, content):
        rows = self.records.setdefault(topic, [])
        rows.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(rows) - 1

    def put(self, topic, key, value):
        name = key.encode()
        return self.append(topic, bytes((len(name),)) + name + value)

    def newest(self, topic):
        found = {}
        for offset, row in enumerate(self.records.get(topic, [])):
            key, value = row[1 : 1 + row[0]].decode(), row[1 + row[0] :]
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        return found

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split()
                status, kind, answer = await self.answer(method, target, body)
                writer.write(response_bytes(status, [("Content-Type", kind)], answer))
                await writer.drain()
        except ENDED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, "application/json", b"{}"
            first = len(self.records.get(topic, []))
            position = 0
            while position < len(body):
                length = int.from_bytes(body[position : position + 4], "big")
                self.append(topic, body[position + 4 : position + 4 + length])
                position += 4 + length
            end = len(self.records.get(topic, []))
            return 200, "application/json", json.dumps({"offset": first, "end": end}).encode()
        if url.path == "/-/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while start >= len(self.records.get(topic, [])) and time.monotonic() < until:
                try:
                    async with asyncio.timeout(max(0.0, until - time.monotonic())):
                        await self.changed.wait()
                except TimeoutError:
                    break
            rows = self.records.get(topic, [])
            page = len(rows).to_bytes(8, "big") + bytes(8)
            page += b"".join(len(row).to_bytes(4, "big") + row for row in rows[start:])
            return 200, "application/octet-stream", page
        if url.path == "/-/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(self.newest(topic).items())
                if key > query.get("after", "")
            ]
            end = len(self.records.get(topic, []))
            answer = {"items": items[:500], "more": len(items) > 500, "end": end}
            return 200, "application/json", json.dumps(answer).encode()
        return 404, "application/json", b"{}"


class Backend:
    """An application backend beside one daemon: runs requests in slots, sends check-ins."""

    beat_seconds = 1.5

    def __init__(self, rig, name, service, slots=12, work=0.05, queue=48):
        self.rig, self.name, self.service = rig, name, service
        self.slots, self.work, self.queue = slots, work, queue
        self.address = f"{HOST}:{free_port()}"
        self.control = ""
        self.instance = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.beats = None
        self.writers = set()
        self.runs = []

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)
        self.beats = asyncio.ensure_future(self._send_beats())

    def stop(self):
        """End like a crash: listener and connections go, and no further check-in is sent."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def beat_body(self, **changes):
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(beat | changes).encode()

    async def beat(self):
        path = f"/-/instances/{self.instance}/heartbeat"
        headers = [("Host", self.control), ("Content-Type", "application/json")]
        return await request(self.control, "POST", path, headers, self.beat_body(), 1.0)

    async def _send_beats(self):
        while True:
            answer = await self.beat()
            await asyncio.sleep(self.beat_seconds if answer and answer[0] == 200 else 0.3)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split()
                writer.write(await self.answer(method, target, dict(headers), body))
                await writer.drain()
        except ENDED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def not_run(self, status, call_id):
        headers = [("X-Request-Id", call_id), ("X-Not-Run", "1")]
        return response_bytes(status, headers, b"")

    async def answer(self, method, target, headers, body):
        call_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.instance) != self.instance:
            return self.not_run(421, call_id)
        if self.running + self.waiting >= self.slots + self.queue:
            return self.not_run(503, call_id)
        until = time.monotonic() + int(headers.get("x-deadline-ms", 60_000)) / 1000
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if time.monotonic() > until:
                return self.not_run(503, call_id)
            self.running += 1
            try:
                return await self.run(method, target, headers, body, call_id)
            finally:
                self.running -= 1

    async def run(self, method, target, headers, body, call_id):
        self.runs.append((call_id, target, time.monotonic()))
        self.rig.record("run", self.name, call_id, method, target, len(body))
        await asyncio.sleep(self.work)
        answer = f"{self.name} {call_id}".encode()
        return response_bytes(
            200, [("X-Request-Id", call_id), ("X-Response-Stamp", f"{self.name}.{call_id}")], answer
        )


def render(template, values):
    """Fill in the plain placeholders and sections that the project's template uses."""

    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if look_up(m[1]) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m[1])), text)


class Daemon:
    """One process of the project, with its settings file."""

    def __init__(self, rig, name, zone, region, backend, memory_mb, grace="6s"):
        self.rig, self.name, self.backend, self.memory_mb = rig, name, backend, memory_mb
        ports = {role: f"{HOST}:{free_port()}" for role in ("outbound", "inbound", "ready", "control")}
        self.listen = ports
        self.settings = {
            "nodeName": name,
            "zone": zone,
            "region": region,
            "ip": HOST,
            "internalPorts": [free_port()],
            "heartbeatInterval": "1500ms",
            "appAddress": backend.address,
            "service": backend.service,
            "listen": ports,
            "limits": {"memoryMb": memory_mb, "fdLimit": 4100, "linkMbps": 1000.0},
            "platform": {"address": rig.store.address},
            "bounds": {
                "configApply": "2000ms",
                "budgetRatio": 0.2,
                "budgetSlack": 58,
                "budgetWindow": "10s",
                "grace": grace,
            },
        }
        self.path = Path(rig.folder) / f"{name}.toml"
        self.process = None
        self.ends = 0
        backend.control = ports["control"]

    @property
    def outbound(self):
        return self.listen["outbound"]

    def write_settings(self):
        template = (ROOT / self.rig.role["template"]).read_text(encoding="utf-8")
        self.path.write_text(render(template, self.settings), encoding="utf-8")

    def start(self):
        self.write_settings()
        words = self.rig.role["run"].replace("/etc/agatecross/node.toml", str(self.path)).split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "AGATECROSS_SETTINGS": str(self.path)}
        output = open(Path(self.rig.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=output, stderr=output
        )
        self.rig.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.rig.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def peak_memory_mb(self):
        """Return the largest resident memory that the process has had, in MiB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def lines(self, event):
        log = Path(self.rig.folder) / f"{self.name}.log"
        return [line for line in log.read_text("utf-8", "replace").splitlines() if event in line]

    async def ready(self):
        answer = await request(self.listen["ready"], "GET", "/-/ready", [("Host", "x")], b"", 1.0)
        return answer is not None and answer[0] == 200


class Rig:
    """Owns everything that a script starts, and ends all of it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.role = next(iter(roles.values()))
        self.store = Store()
        self.backends, self.daemons = {}, {}
        self.version = 0

    def add(self, name, service, zone="zone-a", region="region-a", memory_mb=300, backend=None, **how):
        backend = backend or Backend(self, name, service, **how)
        self.backends[name] = backend
        self.daemons[name] = Daemon(self, name, zone, region, backend, memory_mb)
        return backend, self.daemons[name]

    def configure(self, routes, **limits):
        """Write the next configuration; `routes` maps a path prefix to (service, kind, changes)."""
        self.version += 1
        rows = []
        for prefix, (service, kind, changes) in routes.items():
            row = {
                "name": f"r{prefix.strip('/') or 'all'}",
                "host": "a.example",
                "pathPrefix": prefix,
                "kind": kind,
                "timeout": "3000ms",
                "targetLatency": "1000ms",
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            rows.append(row | changes)
        services = sorted({backend.service for backend in self.backends.values()})
        config = {
            "version": f"r{self.version}",
            "routes": rows,
            "services": [{"name": name, "healthPath": "/health"} for name in services],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            }
            | limits,
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("config", config["version"])

    async def start(self):
        await self.store.start()
        for backend in self.backends.values():
            await backend.start()
        for daemon in self.daemons.values():
            daemon.start()

    async def until_ready(self, seconds=30.0):
        """Wait until each daemon is ready and each pair of daemons is linked."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(await asyncio.gather(*(d.ready() for d in self.daemons.values()))):
                await asyncio.sleep(2.5)
                self.record("ready")
                return True
            await asyncio.sleep(0.1)
        ended = [d.name for d in self.daemons.values() if d.process.poll() is not None]
        self.record("not ready in time; ended:", " ".join(ended))
        return False

    async def call(self, name, call_id, path, method="GET", body=b"", limit_ms=3000, host="a.example"):
        """Send one request to the daemon `name` as a consumer on its machine does."""
        headers = [("Host", host), ("X-Request-Id", call_id), ("X-Deadline-Ms", limit_ms)]
        self.record("sent", name, call_id, method, path, len(body))
        outbound = self.daemons[name].outbound
        answer = await request(outbound, method, path, headers, body, limit_ms / 1000 + 1)
        self.record("answered", name, call_id, "closed" if answer is None else answer[0])
        return answer

    def close(self):
        for daemon in self.daemons.values():
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        self.temporary.cleanup()


def main(folder, scenario):
    """Run `scenario(rig)`, which returns an exit status; any failure of the script itself is 2."""
    rig = None

    def end(number, frame):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)

    async def run():
        nonlocal rig
        rig = Rig(folder)
        async with asyncio.timeout(110):
            return await scenario(rig)

    try:
        status = asyncio.run(run())
    except BaseException as error:
        if rig is not None:
            rig.record("script failed", repr(error))
        status = NOT_RUN
        if not isinstance(error, Exception):
            raise
        import traceback

        traceback.print_exc()
    finally:
        if rig is not None:
            rig.close()
    if rig is not None:
        rig.record("exit", status)
    raise SystemExit(status)
