"""Stand-ins of the platform's store, backends, consumers and links, and the daemon's processes.

Uses the standard library only. All addresses are loopback addresses with free ports.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
# Bounds of the small deployments (SYSTEM.md).
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "configApply": "2000ms",
    "budgetRatio": 0.2,
    "budgetWindow": "10s",
    "budgetSlack": 58,
    "recover": "15s",
}
HEARTBEAT_SECONDS = 1.5
# A script may run for 120 s.
MAX_SECONDS = 110.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def free_ports(count):
    """Return free ports of the loopback interface, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def bound_address(server):
    """Return the address at which a server listens."""
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


class Record:
    """The record of one run, written to `record.txt` beside the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, event, **fields):
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {words}\n")
        self.file.flush()


async def read_message(reader):
    """Return start line, fields with lower-case names and body, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def response(status, body=b"", fields=()):
    """Return the bytes of a response with a length."""
    out = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n" % (status, len(body))
    for name, value in fields:
        out += f"{name}: {value}\r\n".encode()
    return out + b"\r\n" + body


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.server = None
        self.address = ""
        self.changed = asyncio.Event()

    async def start(self):
        """Start serving."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = bound_address(self.server)

    def put(self, topic, key, value):
        """Append one record."""
        name = key.encode()
        self.topics.setdefault(topic, []).append(bytes((len(name),)) + name + value)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                writer.write(await self._answer(method, target, message[2]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        json_fields = (("content-type", "application/json"),)
        await asyncio.sleep(0.004)
        if parts.path == "/-/log-append":
            offset = len(self.topics.get(topic, ()))
            while body:
                size = int.from_bytes(body[:4], "big")
                record, body = body[4 : 4 + size], body[4 + size :]
                key_size = record[0]
                self.put(topic, record[1 : 1 + key_size].decode(), record[1 + key_size :])
            reply = {"offset": offset, "end": len(self.topics.get(topic, ()))}
            return response(200, json.dumps(reply).encode(), json_fields)
        rows = self.topics.get(topic, [])
        if parts.path == "/-/log-newest":
            newest = {}
            for offset, row in enumerate(rows):
                key = row[1 : 1 + row[0]].decode()
                newest[key] = (offset, row[1 + row[0] :])
            items = [
                {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            reply = {"items": items, "more": False, "end": len(rows)}
            return response(200, json.dumps(reply).encode(), json_fields)
        if parts.path == "/-/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(self.topics.get(topic, ())) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except TimeoutError:
                    break
            rows = self.topics.get(topic, [])
            page = len(rows).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for row in rows[start:]:
                page += len(row).to_bytes(4, "big") + row
            return response(200, page)
        return response(404)

    def close(self):
        """Stop serving."""
        self.server.close()


class Backend:
    """One application backend: runs `slots` requests at once and queues a few more.

    `runs` holds the time and the request id of each run. `lose_answer` tells for a request id
    whether its answer is lost: the request runs, and nothing is ever sent for it.
    """

    def __init__(self, instance, service, record, slots=12, work=0.1):
        self.instance = instance
        self.service = service
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queued = 0
        self.running = 0
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.lose_answer = lambda call_id: False
        self.server = None
        self.address = ""
        self.announced = ""
        self.lost = 0
        self.up = False
        self.writers = set()
        self.serving = set()

    async def start(self):
        """Start serving, at a free port or at the port that it had."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = bound_address(self.server)
        self.announced = self.announced or self.address
        self.up = True

    def crash(self):
        """End at once: the port refuses, connections are reset, work is dropped."""
        self.record.write("backend_crashed", backend=self.instance, running=self.running)
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.serving):
            task.cancel()

    async def restart(self, instance):
        """Start again as a new lifetime with a new id."""
        self.instance = instance
        self.slots = asyncio.Semaphore(self.slot_count)
        self.queued = self.running = self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.start()
        self.record.write("backend_started", backend=self.instance)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.serving.add(asyncio.current_task())
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._run(*message)
                if answer is None:
                    # "A connection on which a response is lost returns nothing further."
                    while await reader.read(65536):
                        pass
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.serving.discard(asyncio.current_task())
            writer.close()

    async def _run(self, line, fields, body):
        call_id = fields.get("x-request-id", "")
        echo = ("x-request-id", call_id)
        not_run = (echo, ("x-not-run", "1"))
        if fields.get("x-expect-instance", self.instance) != self.instance:
            return response(421, b"", not_run)
        if not call_id:
            return response(400, b"", not_run)
        if self.slots.locked() and self.queued >= 4 * self.slot_count:
            return response(503, b"", not_run)
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            self.running += 1
            self.runs.append((self.record.now(), call_id))
            self.record.write(
                "run",
                backend=self.instance,
                id=call_id,
                deadline=fields.get("x-deadline-ms"),
                request=line.replace(" ", "_"),
            )
            await self.work_on(line)
            self.running -= 1
        if self.lose_answer(call_id):
            self.lost += 1
            self.record.write("answer_lost", backend=self.instance, id=call_id)
            return None
        stamp = ("x-response-stamp", f"{self.instance}.{call_id}")
        alive = ("keep-alive", "timeout=10")
        return response(200, f"{self.instance} {call_id}".encode(), (echo, stamp, alive))

    async def work_on(self, line):
        """Do the work of one request."""
        await asyncio.sleep(self.work)

    def check_in_fields(self, state="ready", **changes):
        """Return the fields of the next check-in."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.announced,
            "zone": "bursa-a",
            "version": "v1",
            "slots": self.slot_count,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }

    async def check_in(self, control, state="ready"):
        """Send a check-in; return the status, 0 without an answer within a second."""
        return await post_instance(control, self.instance, "heartbeat", self.check_in_fields(state))

    async def leave(self, control):
        """Say that this backend is gone; return the status."""
        return await post_instance(control, self.instance, "leave", {"born": self.born})

    async def beat(self, control):
        """Check in every heartbeat interval until cancelled."""
        while True:
            if self.up:
                await self.check_in(control)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def close(self):
        """Stop serving."""
        self.server.close()


async def post_instance(control, instance, action, fields):
    """Post a check-in or a leave; return the status, 0 without an answer within a second."""
    body = json.dumps(fields).encode()
    head = (
        f"POST /-/instances/{instance}/{action} HTTP/1.1\r\nHost: {control}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    host, _, port = control.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            message = await read_message(reader)
        return int(message[0].split(" ")[1]) if message else 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


class Link:
    """A proxy to one address; `silence` makes its open connections silent for good.

    `delay` is the time one way, in seconds. A silent connection on which the dialing side has sent
    data is reset after `user_timeout` seconds, as the TCP_USER_TIMEOUT of that side would do.
    """

    def __init__(self, delay=0.0, user_timeout=None):
        self.delay = delay
        self.user_timeout = user_timeout
        self.target = ""
        self.address = ""
        self.server = None
        self.open = set()
        self.silent = set()

    async def start(self, target):
        """Start forwarding to `target`."""
        self.target = target
        self.server = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        self.address = bound_address(self.server)

    def silence(self):
        """Forward nothing more on the open connections; new ones work."""
        self.silent |= self.open
        return len(self.open)

    async def _forward_connection(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        key = object()
        self.open.add(key)
        await asyncio.gather(
            self._forward(key, reader, other_writer, writer),
            self._forward(key, other_reader, writer, other_writer),
        )
        self.open.discard(key)

    async def _forward(self, key, reader, writer, source):
        reset = None
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if key not in self.silent:
                    writer.write(data)
                    await writer.drain()
                elif self.user_timeout is not None and reset is None:
                    loop = asyncio.get_running_loop()
                    reset = loop.call_later(self.user_timeout, source.transport.abort)
            if key not in self.silent:
                writer.close()
        except OSError:
            if key not in self.silent:
                writer.transport.abort()

    def close(self):
        """Stop forwarding."""
        self.server.close()


def render(template, values):
    """Render the deploy file's template: values, and sections that are shown if a value is true."""

    def value_of(path):
        found = values
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match):
        return render(match[2], values) if value_of(match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda m: "" if value_of(m[1]) is None else str(value_of(m[1])), text
    )


class Machine:
    """One sidecar machine: its daemon's process, its backend and the addresses between them."""

    def __init__(self, name, zone, region, backend, store_address, folder, record):
        self.name = name
        self.backend = backend
        self.record = record
        self.folder = Path(folder)
        ports = free_ports(5)
        names = ("inbound", "outbound", "ready", "control")
        self.listen = {n: f"127.0.0.1:{p}" for n, p in zip(names, ports, strict=False)}
        self.fields = {
            "nodeName": name,
            "zone": zone,
            "region": region,
            "ip": "127.0.0.1",
            "internalPorts": {"0": ports[4]},
            "heartbeatInterval": "1500ms",
            "appAddress": backend.announced,
            "service": backend.service,
            "listen": self.listen,
            "limits": {"linkMbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"address": store_address},
        }
        self.process = None
        # Where peers reach this daemon, if not at the address where it listens.
        self.announced = None
        self.settings = self.folder / f"{name}.toml"

    def start(self):
        """Start the daemon with the command and the settings of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["agatecrossd"]
        template = (REPOSITORY / role["template"]).read_text(encoding="utf-8")
        text = render(template, self.fields)
        if self.announced is not None:
            text = text.replace("[listen]", f'[listen]\npeers_announced = "{self.announced}"')
        self.settings.write_text(text, encoding="utf-8")
        command = role["run"].replace("/etc/agatecross/node.toml", str(self.settings)).split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {**kept, "PYTHONPATH": str(REPOSITORY / "target/deps")}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=env, stdout=log, stderr=log
            )
        self.record.write("daemon_started", machine=self.name)

    def signal(self, number):
        """Send a signal to the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.record.write("signal", machine=self.name, number=int(number))
            self.process.send_signal(number)

    def end(self):
        """Kill the daemon and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, seconds=20.0):
        """Wait until the daemon answers its readiness check with 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        lines = (self.folder / f"{self.name}.log").read_text(encoding="utf-8").splitlines()
        self.record.write("not_ready", exit=self.process.poll(), last=lines[-1:])
        return False

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        host, _, port = self.listen["ready"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message is not None and " 200 " in message[0] + " "


class Consumer:
    """Sends requests one after the other on a kept connection to its machine's daemon."""

    def __init__(self, name, machine, record):
        self.name = name
        self.machine = machine
        self.record = record
        self.number = 0
        self.streams = None

    async def send(self, method, path, deadline_ms, body=b"", patience=None):
        """Send one request; return a row with id, times, status (0: no answer) and body."""
        self.number += 1
        call_id = f"{self.name}-{self.number}"
        row = {"id": call_id, "path": path, "sent": self.record.now()}
        row |= {"status": 0, "body": b"", "retry": 0.0, "why": ""}
        self.record.write("sent", id=call_id, machine=self.machine.name, request=f"{method}_{path}")
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {call_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(patience or deadline_ms / 1000 + 1.0):
                if self.streams is None:
                    host, _, port = self.machine.listen["outbound"].rpartition(":")
                    self.streams = await asyncio.open_connection(host, int(port))
                reader, writer = self.streams
                writer.write(head.encode() + body)
                message = await read_message(reader)
                row["why"] = "" if message is not None else "closed"
                if message is not None:
                    row["status"] = int(message[0].split(" ")[1])
                    row["body"] = message[2]
                    row["retry"] = float(message[1].get("retry-after", 0))
                    if message[1].get("connection") == "close":
                        self.close()
        except TimeoutError:
            row["why"] = "no answer in time"
        except (OSError, asyncio.IncompleteReadError):
            row["why"] = "closed" if self.streams is not None else "not connected"
        row["answered"] = self.record.now()
        if not row["status"]:
            self.close()
        self.record.write("answered", id=call_id, status=row["status"])
        return row

    def close(self):
        """Close the connection; the next request opens another one."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


def config(version, routes):
    """Return the operator's configuration of (prefix, kind, service, timeout, attempts) rows."""
    rows = [
        {
            "name": "r" + prefix.strip("/"),
            "host": "shop.example",
            "pathPrefix": prefix,
            "kind": kind,
            "service": service,
            "timeout": timeout,
            "targetLatency": "400ms",
            "attempts": attempts,
            "priority": 1,
        }
        for prefix, kind, service, timeout, attempts in routes
    ]
    services = [{"name": name} for name in sorted({row["service"] for row in rows})]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeout": "5s",
        "idleTimeout": "15s",
    }
    record = {"version": f"r{version}", "routes": rows, "services": services, "limits": limits}
    return json.dumps(record).encode()


def check_running(machines):
    """Raise if a daemon has ended, so that its absence isn't taken for a broken rule."""
    ended = [m.name for m in machines if m.process is None or m.process.poll() is not None]
    if ended:
        raise RuntimeError(f"daemons have ended: {ended}")


def run(main, folder):
    """Run `main(record, folder_for_files)`; exit with its result, or 2 if it could not run.

    A signal or the end of the time ends it in the same way, after its processes have ended.
    """
    record = Record(folder)
    files = tempfile.mkdtemp(prefix="review-")

    async def run_and_exit():
        result = 2
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                result = await main(record, files)
        except (Exception, asyncio.CancelledError) as error:
            record.write("could_not_run", error=repr(error).replace(" ", "_"))
        shutil.rmtree(files, ignore_errors=True)
        record.write("result", exit=result)
        # Ends at once: connections that are still open need no orderly end.
        sys.stdout.flush()
        os._exit(result)

    asyncio.run(run_and_exit())
