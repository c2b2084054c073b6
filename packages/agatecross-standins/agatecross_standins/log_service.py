"""Stand-in for the platform's log service, with switches that simulate its failures.

HTTP interface: `POST /streams/{name}/records` appends the body and returns `{"offset": n}`;
`GET /streams/{name}/records?start=&limit=&wait_ms=` returns a page; `PUT /switches` sets the
switches, for example `{"outage": true}`.
"""

import asyncio
import base64
import contextlib
import json
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from absl import app, flags
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

PORT = flags.DEFINE_integer("port", None, "Port on 127.0.0.1.", required=True)
RETENTION_RECORDS = flags.DEFINE_integer(
    "retention_records", 100_000, "Records retained per stream."
)
APPENDS_PER_SECOND = flags.DEFINE_float(
    "appends_per_second", 500.0, "Rate limit of appends over all streams."
)

# Capacity of the token bucket, as the time in which it refills.
RATE_LIMIT_BURST_SECONDS = 0.5


@dataclass(slots=True)
class Stream:
    """One stream: retained records and the next offset."""

    records: deque[bytes] = field(default_factory=deque)
    end: int = 0
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def first(self) -> int:
        """Return the oldest retained offset."""
        return self.end - len(self.records)


@dataclass(slots=True)
class Switches:
    """Failures to simulate.

    During an `outage` all requests fail; the next `lose_answers` appends are applied, but their
    connection is closed without a response.
    """

    outage: bool = False
    lose_answers: int = 0
    delay_ms: int = 0
    retention_records: int = 100_000


class LogState:
    """Streams, switches and the append rate limit."""

    def __init__(self, switches: Switches, appends_per_second: float) -> None:
        self.streams: dict[str, Stream] = {}
        self.copied: dict[str, Stream] = {}
        self.era = 1
        self.switches = switches
        self.appends_per_second = appends_per_second
        self.tokens = appends_per_second * RATE_LIMIT_BURST_SECONDS
        self.refilled_at = time.monotonic()
        self.counts = {"appends": 0, "reads": 0, "limited": 0}

    def stream(self, name: str) -> Stream:
        """Return a stream, created on first use."""
        return self.streams.setdefault(name, Stream())

    def copy_streams(self) -> None:
        """Make the copy from which the next restore comes back."""
        self.copied = {
            name: Stream(deque(stream.records), stream.end) for name, stream in self.streams.items()
        }

    def restore(self) -> None:
        """Come back from the copy, in a new era."""
        replaced, self.streams = self.streams, self.copied
        self.copy_streams()
        self.era += 1
        for stream in replaced.values():
            stream.appended.set()

    def take_token(self) -> bool:
        """Take a token for one append from the rate limit; return whether there was one."""
        now = time.monotonic()
        limit = self.appends_per_second * RATE_LIMIT_BURST_SECONDS
        self.tokens = min(limit, self.tokens + (now - self.refilled_at) * self.appends_per_second)
        self.refilled_at = now
        if self.tokens < 1:
            self.counts["limited"] += 1
            return False
        self.tokens -= 1
        return True

    def append(self, name: str, data: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        stream.records.append(data)
        stream.end += 1
        while len(stream.records) > self.switches.retention_records:
            stream.records.popleft()
        stream.appended.set()
        stream.appended = asyncio.Event()
        self.counts["appends"] += 1
        return stream.end - 1


class LogHandler(RequestHandler):
    """Base of the handlers that fail during an outage."""

    def initialize(self, state: LogState) -> None:
        """Store the shared state."""
        self.state = state

    async def prepare(self) -> None:
        """Apply the outage and delay switches."""
        if self.state.switches.delay_ms:
            await asyncio.sleep(self.state.switches.delay_ms / 1000)
        if self.state.switches.outage:
            self.send_error(503)


class RecordsHandler(LogHandler):
    """Appends records to a stream and reads them."""

    def post(self, name: str) -> None:
        """Append the body as one record."""
        if not self.state.take_token():
            self.send_error(429)
            return
        offset = self.state.append(name, self.request.body)
        if self.state.switches.lose_answers > 0:
            self.state.switches.lose_answers -= 1
            self.detach().close()
            return
        self.finish({"offset": offset})

    async def get(self, name: str) -> None:
        """Return a page; if it would be empty, wait for a record up to `wait_ms`."""
        start = int(self.get_query_argument("start", "0"))
        limit = int(self.get_query_argument("limit", "100"))
        wait_ms = int(self.get_query_argument("wait_ms", "0"))
        stream = self.state.stream(name)
        self.state.counts["reads"] += 1
        if start >= stream.end and wait_ms:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.appended.wait(), wait_ms / 1000)
        if self.state.switches.outage:
            self.send_error(503)
            return
        stream = self.state.stream(name)
        begin = max(start, stream.first)
        rows = list(stream.records)[begin - stream.first :][:limit]
        entries = [
            {"offset": begin + index, "data": base64.b64encode(row).decode()}
            for index, row in enumerate(rows)
        ]
        page = {"entries": entries, "first": stream.first, "end": stream.end}
        self.finish({**page, "era": self.state.era})


class SwitchesHandler(RequestHandler):
    """Sets the switches; works during an outage."""

    def initialize(self, state: LogState) -> None:
        """Store the shared state."""
        self.state = state

    def put(self) -> None:
        """Set the given switches.

        `reset` drops every stream, `copy` copies them, and `restore` comes back from that copy.
        """
        changes = json.loads(self.request.body)
        if changes.pop("copy", False):
            self.state.copy_streams()
        if changes.pop("restore", False):
            self.state.restore()
        if changes.pop("reset", False):
            self.state.streams.clear()
        for name, value in changes.items():
            setattr(self.state.switches, name, value)
        self.finish({})

    def get(self) -> None:
        """Return the counts."""
        self.finish(self.state.counts)


async def serve(state: LogState, port: int) -> None:
    """Serve until the process ends."""
    shared = {"state": state}
    routes = [
        (r"/streams/([a-z0-9.-]+)/records", RecordsHandler, shared),
        (r"/switches", SwitchesHandler, shared),
    ]
    server = HTTPServer(Application(routes, log_function=lambda handler: None))
    server.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Start the service."""
    del argv
    switches = Switches(retention_records=RETENTION_RECORDS.value)
    asyncio.run(serve(LogState(switches, APPENDS_PER_SECOND.value), PORT.value))


if __name__ == "__main__":
    app.run(main)
