"""Stand-in for an upstream with slots, delays and an announced state, and switches for failures.

It announces itself to its daemon each second (`PUT /agatecross/v1/upstream`), answers every call
with its own address and the id of the call, and records each execution. `PUT /switches` sets the
switches; `GET /executions` returns the recorded executions and the ids of the calls that completed
or were cancelled because their connection was closed.
"""

import asyncio
import contextlib
import json
import os
import signal
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

PORT = flags.DEFINE_integer("port", None, "Port on 127.0.0.1.", required=True)
ADMIN = flags.DEFINE_string("admin", None, "Admin address of the daemon.", required=True)
SERVICE = flags.DEFINE_string("service", None, "Service of this upstream.", required=True)
SLOTS = flags.DEFINE_integer("slots", 12, "Calls that run concurrently; calls above this are shed.")
CONNECTIONS = flags.DEFINE_integer("connections", 110, "Number of connections to announce.")
SHED = flags.DEFINE_bool(
    "shed", True, "Shed calls above the number of slots instead of queueing them."
)
WORK_MS = flags.DEFINE_float("work_ms", 5.0, "Duration of a call, in milliseconds.")
COLD_START_MS = flags.DEFINE_float(
    "cold_start_ms", 0.0, "Milliseconds in the state starting after the process has started."
)
EXECUTIONS_FILE = flags.DEFINE_string(
    "executions_file", "", "File for one JSON line per execution, kept if the process is killed."
)

ANNOUNCE_INTERVAL_SECONDS = 1.0
CRASH_EXIT_CODE = 70


@dataclass(slots=True)
class Switches:
    """Simulated behaviour; `crash_on` and `hold_on` apply to paths that contain their text."""

    slow_factor: float = 1.0
    draining: bool = False
    silent: bool = False
    crash_on: str = ""
    hold_on: str = ""


@dataclass(frozen=True, slots=True)
class Execution:
    """One started call: start in wall-clock seconds, deadline in milliseconds as received."""

    call_id: str
    key: str
    method: str
    path: str
    started_at: float
    deadline_ms: str


class UpstreamProcessState:
    """Switches, slots and recorded calls, shared by all handlers."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.slots = asyncio.Semaphore(SLOTS.value)
        self.switches_changed = asyncio.Condition()
        self.executions: list[Execution] = []
        self.completed: list[str] = []
        self.cancelled: list[str] = []
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)

    def announcement_body(self) -> dict[str, object]:
        """Return the body of the announcement."""
        cold = time.monotonic() - self.started_at < COLD_START_MS.value / 1000
        state = "draining" if self.switches.draining else "starting" if cold else "ready"
        return {
            "service": SERVICE.value,
            "address": f"127.0.0.1:{PORT.value}",
            "slots": SLOTS.value,
            "connections": CONNECTIONS.value,
            "state": state,
            "born": self.born,
        }


class WorkHandler(RequestHandler):
    """Runs one call."""

    def initialize(self, state: UpstreamProcessState) -> None:
        """Store the shared state."""
        self.state = state
        self.running: asyncio.Future[None] | None = None

    async def work(self) -> None:
        """Occupy a slot for the duration of the call, then respond."""
        if SHED.value and self.state.slots.locked():
            self.set_header("Agatecross-Outcome", "not-run")
            self.send_error(503)
            return
        call_id = self.request.headers.get("Agatecross-Call-Id", "")
        self.running = asyncio.ensure_future(self._run())
        try:
            await self.running
        except asyncio.CancelledError:
            self.state.cancelled.append(call_id)
            return
        self.state.completed.append(call_id)
        body = {
            "upstream": f"127.0.0.1:{PORT.value}",
            "service": SERVICE.value,
            "call_id": call_id,
            "customer": self.request.headers.get("Agatecross-Customer", ""),
            "credentials": self.request.headers.get("Authorization", ""),
            "echo": self.request.headers.get("X-Echo", ""),
        }
        size = int(self.get_query_argument("size", "0"))
        self.finish(body | {"padding": "x" * size} if size else body)

    def on_connection_close(self) -> None:
        """Cancel the call, because the daemon closes the connection of a cancelled call."""
        if self.running is not None:
            self.running.cancel()

    async def _run(self) -> None:
        state = self.state
        path = self.request.path
        async with state.slots:
            execution = self._make_execution()
            state.executions.append(execution)
            append_execution(execution)
            if state.switches.crash_on and state.switches.crash_on in path:
                os._exit(CRASH_EXIT_CODE)
            if state.switches.silent:
                await asyncio.Event().wait()
            async with state.switches_changed:
                await state.switches_changed.wait_for(
                    lambda: not state.switches.hold_on or state.switches.hold_on not in path
                )
            work = float(self.get_query_argument("work_ms", str(WORK_MS.value)))
            await asyncio.sleep(work * state.switches.slow_factor / 1000)

    get = post = put = delete = work

    def _make_execution(self) -> Execution:
        headers = self.request.headers
        return Execution(
            headers.get("Agatecross-Call-Id", ""),
            headers.get("Idempotency-Key", ""),
            self.request.method or "",
            self.request.path,
            time.time(),
            headers.get("Agatecross-Deadline-Ms", ""),
        )


def append_execution(execution: Execution) -> None:
    """Append the execution to the configured file; called before a crash switch takes effect."""
    if EXECUTIONS_FILE.value:
        line = json.dumps({**asdict(execution), "port": PORT.value}) + "\n"
        with open(EXECUTIONS_FILE.value, "a", encoding="utf-8") as file:
            file.write(line)


class SwitchesHandler(RequestHandler):
    """Sets the switches and returns the recorded executions."""

    def initialize(self, state: UpstreamProcessState) -> None:
        """Store the shared state."""
        self.state = state

    async def put(self) -> None:
        """Set the given switches."""
        for name, value in json.loads(self.request.body).items():
            setattr(self.state.switches, name, value)
        async with self.state.switches_changed:
            self.state.switches_changed.notify_all()
        self.finish({})

    def get(self) -> None:
        """Return the recorded executions."""
        state = self.state
        rows = [asdict(row) for row in state.executions]
        ends = {"completed": state.completed, "cancelled": state.cancelled}
        self.finish({"executions": rows, **ends})


async def announce(state: UpstreamProcessState) -> None:
    """Announce the upstream to its daemon each second."""
    client = AsyncHTTPClient()
    url = f"http://{ADMIN.value}/agatecross/v1/upstream"
    while True:
        body = json.dumps(state.announcement_body())
        with contextlib.suppress(HTTPClientError, OSError):
            await client.fetch(HTTPRequest(url, method="PUT", body=body, request_timeout=1.0))
        await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


async def serve(state: UpstreamProcessState, port: int) -> None:
    """Serve until SIGTERM."""
    shared = {"state": state}
    routes = [
        (r"/(?:switches|executions)", SwitchesHandler, shared),
        (r".*", WorkHandler, shared),
    ]
    server = HTTPServer(Application(routes, log_function=lambda handler: None))
    server.listen(port, "127.0.0.1")
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    announcing = asyncio.ensure_future(announce(state))
    await stop.wait()
    announcing.cancel()


def main(argv: Sequence[str]) -> None:
    """Start the upstream."""
    del argv
    asyncio.run(serve(UpstreamProcessState(), PORT.value))


if __name__ == "__main__":
    app.run(main)
