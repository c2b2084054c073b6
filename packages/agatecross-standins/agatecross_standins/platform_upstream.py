"""Stand-in for an upstream on the users' platform, whose responses can be scripted to be faulty."""

import asyncio
import json
import time
from collections import Counter, deque
from collections.abc import Iterable
from enum import Enum

import httptools

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis

from .endless import EndlessPart, EndlessWriter

HEARTBEAT_TIMEOUT = Millis(2_000)


class Answer(Enum):
    """How one request is answered.

    `WHOLE` is a complete response and `SHED` refuses the request as not run. `EXTRA` writes a
    second response after the first, `UNFRAMED` has no content length, `UNSTAMPED` has no response
    stamp, and `HOLD` waits until `released` is set on the upstream.
    """

    WHOLE = "whole"
    ERROR = "error"
    SHED = "shed"
    RESET = "reset"
    EXTRA = "extra"
    GARBLED = "garbled"
    TRUNCATED = "truncated"
    UNFRAMED = "unframed"
    UNSTAMPED = "unstamped"
    ENCODED = "encoded"
    HOLD = "hold"
    CRASH = "crash"


ScriptedAnswer = Answer | EndlessPart | bytes
"""How one request is answered; bytes are written unchanged."""


class PlatformUpstream:
    """Serves requests, records their runs, and sends heartbeats to its daemon.

    `runs` counts the runs of each request id; `run_starts` has the monotonic start time and the
    request id of each run. `limit` is the text that responses name as the limit in requests per
    second, and `named_limits` holds the monotonic time and the text of each that did so; with
    `leaving`, responses say that the upstream is about to end, first at `said_leaving_at`. While it
    is `full`, it resets each new connection; `accepted` counts the new connections.
    """

    def __init__(self, name: str, service: str, born: int = 1) -> None:
        self.name = name
        self.service = service
        self.born = born
        self.sequence = 0
        self.script: deque[ScriptedAnswer] = deque()
        self.trickles = False
        self.work_seconds = 0.0
        self.body_bytes = 0
        self.limit = ""
        self.leaving = False
        self.full = False
        self.accepted = 0
        self.said_leaving_at: float | None = None
        self.named_limits: list[tuple[float, str]] = []
        self.runs: Counter[str] = Counter()
        self.run_starts: list[tuple[float, str]] = []
        self.received_requests: list[dict[str, str]] = []
        self.released = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.connections: set[PlatformUpstreamConnection] = set()
        self.address = Address("")

    async def listen(self) -> Address:
        """Start serving and return the address; after a crash it is the same as before."""
        loop = asyncio.get_running_loop()
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await loop.create_server(
            lambda: PlatformUpstreamConnection(self), "127.0.0.1", port
        )
        self.address = Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")
        return self.address

    def crash(self) -> None:
        """Stop serving and reset every connection."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self) -> None:
        """Start again under the same id as a new incarnation, with the sequence starting over."""
        self.born += 1
        self.sequence = 0
        await self.listen()

    def queue_answers(self, answers: Iterable[ScriptedAnswer]) -> None:
        """Queue answers for the next requests; requests after them get a complete response."""
        self.script.extend(answers)

    def notices(self) -> bytes:
        """Return the header fields with which a response tells the upstream's limit and its end."""
        fields = b""
        if self.limit:
            self.named_limits.append((time.monotonic(), self.limit))
            fields += b"server-limit: %s\r\n" % self.limit.encode()
        if self.leaving:
            self.said_leaving_at = self.said_leaving_at or time.monotonic()
            fields += b"server-leaving: 1\r\n"
        return fields

    async def heartbeat(self, daemon: Address, state: str = "ready", **changes: object) -> int:
        """Send a heartbeat to the daemon and return the status of its response."""
        self.sequence += 1
        fields: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": "north-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        return await self.send_announcement(
            daemon, "heartbeat", json.dumps({**fields, **changes}).encode()
        )

    async def send_announcement(self, daemon: Address, action: str, body: bytes) -> int:
        """Send one announcement to the daemon and return the status of its response."""
        path = f"/-/instances/{self.name}/{action}"
        http = TornadoHttpClient()
        response = await http.send(daemon, Request("POST", path, (), body), HEARTBEAT_TIMEOUT)
        http.close()
        return response.status


class PlatformUpstreamConnection(asyncio.Protocol):
    """One accepted connection; parses requests and writes the scripted responses."""

    transport: asyncio.Transport

    def __init__(self, upstream: PlatformUpstream) -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.fields: dict[str, str] = {}
        self.target = b""
        self.body = b""
        self.endless: EndlessWriter | None = None
        self.held_answers: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it if the upstream is full."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.upstream.connections.add(self)
        self.upstream.accepted += 1
        if self.upstream.full:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its held answers."""
        self.upstream.connections.discard(self)
        for held_answer in self.held_answers:
            held_answer.cancel()

    def pause_writing(self) -> None:
        """Pause an endless response while the peer does not read it."""
        if self.endless is not None:
            self.endless.pause()

    def resume_writing(self) -> None:
        """Continue an endless response."""
        if self.endless is not None:
            self.endless.resume()

    def data_received(self, data: bytes) -> None:
        """Parse requests."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.fields, self.target, self.body = {}, b"", b""

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.fields[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Answer as scripted, or refuse a request that expects another instance."""
        upstream = self.upstream
        fields = {**self.fields, ":target": self.target.decode(), ":body": self.body.decode()}
        upstream.received_requests.append(fields)
        expected = self.fields.get("x-expect-instance", upstream.name)
        if expected != upstream.name:
            self._write_response(
                421, b"", extra=b"x-instance-id: " + upstream.name.encode() + b"\r\n"
            )
            return
        answer = upstream.script.popleft() if upstream.script else Answer.WHOLE
        call_id = self.fields.get("x-request-id", "")
        if answer is Answer.SHED:
            self._write_response(503, b"", extra=b"x-not-run: 1\r\n")
            return
        upstream.runs[call_id] += 1
        upstream.run_starts.append((time.monotonic(), call_id))
        self._respond(answer, f"{upstream.name} {call_id}".encode().ljust(upstream.body_bytes))

    def _respond(self, answer: ScriptedAnswer, body: bytes) -> None:
        stamp = b"x-response-stamp: s\r\n"
        match answer:
            case Answer.WHOLE if self.upstream.work_seconds:
                call_id = self.fields.get("x-request-id", "").encode()
                asyncio.get_running_loop().call_later(
                    self.upstream.work_seconds, self._write_response, 200, body, stamp, call_id
                )
            case Answer.WHOLE:
                self._write_response(200, body, stamp)
            case Answer.ERROR:
                self._write_response(500, body, stamp)
            case Answer.RESET:
                self.transport.abort()
            case Answer.CRASH:
                self.upstream.crash()
            case Answer.EXTRA:
                self._write_response(200, body, stamp)
                self._write_response(200, b"extra", stamp)
            case Answer.GARBLED:
                self.transport.write(b"\x00\x01 these bytes are no response\r\n\r\n")
            case Answer.TRUNCATED:
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n" + stamp + b"\r\nx"
                )
                self.transport.close()
            case Answer.UNFRAMED:
                self.transport.write(b"HTTP/1.1 200 OK\r\n" + stamp + b"\r\n" + body)
                self.transport.close()
            case Answer.UNSTAMPED:
                self._write_response(200, body, b"")
            case Answer.ENCODED:
                self._write_response(200, body, stamp + b"content-encoding: gzip\r\n")
            case EndlessPart():
                self.endless = EndlessWriter(self.transport, answer, self.upstream.trickles)
                self.endless.start()
            case bytes():
                self.transport.write(answer)
            case _:
                held_answer = asyncio.ensure_future(self._respond_when_released(body, stamp))
                self.held_answers.add(held_answer)
                held_answer.add_done_callback(self.held_answers.discard)

    async def _respond_when_released(self, body: bytes, stamp: bytes) -> None:
        call_id = self.fields.get("x-request-id", "").encode()
        await self.upstream.released.wait()
        self._write_response(200, body, stamp, call_id)

    def _write_response(
        self, status: int, body: bytes, extra: bytes, call_id: bytes | None = None
    ) -> None:
        if self.transport.is_closing():
            return
        echoed = self.fields.get("x-request-id", "").encode() if call_id is None else call_id
        extra += self.upstream.notices()
        self.transport.write(
            b"HTTP/1.1 %d X\r\nx-request-id: %s\r\ncontent-length: %d\r\n%s\r\n%s"
            % (status, echoed, len(body), extra, body)
        )
