"""Callers that reuse a keep-alive connection until a daemon closes it."""

import asyncio
import itertools
import random
import time

from agatecross_core.ids import CallId

from .customers import MAIN_KEY, KeyChoice
from .events import History, RequestOutcome, RequestRecord
from .fleet import Node

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MEAN_REQUEST_GAP_SECONDS = 0.03
DEADLINE_MS = 1_500
# A daemon answers within the route's timeout of 2 s; a paused daemon answers later.
ANSWER_TIMEOUT_SECONDS = 8.0
# Method, path prefix, and whether the request must run at most once.
REQUEST_TYPES = (("GET", "/safe/", False), ("POST", "/once/", True), ("POST", "/peer/", True))
CONNECT_TIMEOUT_SECONDS = 1.0


class Caller:
    """Sends requests sequentially on its own connection."""

    def __init__(
        self,
        name: str,
        nodes: list[Node],
        history: History,
        rng: random.Random,
        mean_gap_seconds: float = MEAN_REQUEST_GAP_SECONDS,
        choose_key: KeyChoice = lambda: MAIN_KEY,
    ) -> None:
        """Send to the daemons of `nodes`, on average `mean_gap_seconds` after each answer."""
        self.choose_key = choose_key
        self.name = name
        self.nodes = nodes
        self.history = history
        self.rng = rng
        self.mean_gap_seconds = mean_gap_seconds
        self.request_numbers = itertools.count()
        self.node = nodes[0]
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.mean_gap_seconds))
            method, prefix, at_most_once = self.rng.choice(REQUEST_TYPES)
            row = await self.send(method, prefix, at_most_once)
            if row is not None:
                self.history.requests.append(row)

    async def send(self, method: str, prefix: str, at_most_once: bool) -> RequestRecord | None:
        """Send one request; return None if no connection could be opened."""
        if self.streams is None and not await self._connect():
            return None
        assert self.streams is not None
        reader, writer = self.streams
        call_id = CallId(f"{self.name}-{next(self.request_numbers)}")
        key = self.choose_key()
        body = b"body" if method == "POST" else b""
        head = (
            f"{method} {prefix}{call_id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
            f"authorization: Token {key}\r\nx-deadline-ms: {DEADLINE_MS}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        started_at = time.monotonic()
        try:
            writer.write(head.encode() + body)
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                status, close, answer = await _read_response(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.disconnect()
            return RequestRecord(
                call_id,
                self.node.number,
                at_most_once,
                started_at,
                time.monotonic(),
                RequestOutcome.BROKEN,
                key=key,
            )
        if close:
            self.disconnect()
        outcome = _classify(status, answer, call_id)
        return RequestRecord(
            call_id,
            self.node.number,
            at_most_once,
            started_at,
            time.monotonic(),
            outcome,
            status,
            key,
        )

    def disconnect(self) -> None:
        """Close the connection; the next request opens one to a randomly chosen daemon."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _connect(self) -> bool:
        self.node = self.rng.choice(self.nodes)
        host, _, port = self.node.caller_address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self.streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        return True


def _classify(status: int, answer: bytes, call_id: CallId) -> RequestOutcome:
    if status == 200:
        return (
            RequestOutcome.ANSWERED
            if answer.split(b" ")[-1:] == [call_id.encode()]
            else RequestOutcome.FOREIGN
        )
    return RequestOutcome.REFUSED if status in NOT_RUN_STATUSES else RequestOutcome.FAILED


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return int(lines[0].split(" ")[1]), fields.get("connection") == "close", body
