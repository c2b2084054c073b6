"""Callers that keep their connections open until a daemon closes them."""

import asyncio
import itertools
import random
import time

from agatecross_core.ids import CallId

from .events import Asked, History, Seen
from .fleet import Node

NOT_RUN = frozenset((408, 421, 429, 503))
GAP_SECONDS = 0.03
DEADLINE_MS = 1_500
# The daemon answers at the route's timeout of 2 s at the latest; a paused one answers later.
PATIENCE_SECONDS = 8.0
PATHS = (("GET", "/safe/", False), ("POST", "/once/", True), ("POST", "/peer/", True))
CONNECT_SECONDS = 1.0


class Caller:
    """Sends requests one after the other on its own connection."""

    def __init__(
        self,
        name: str,
        nodes: list[Node],
        history: History,
        rng: random.Random,
        gap: float = GAP_SECONDS,
    ) -> None:
        """Ask the daemons of `nodes`, on average `gap` seconds after each answer."""
        self.name = name
        self.nodes = nodes
        self.history = history
        self.rng = rng
        self.gap = gap
        self.numbers = itertools.count()
        self.node = nodes[0]
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.gap))
            method, prefix, once = self.rng.choice(PATHS)
            row = await self.ask(method, prefix, once)
            if row is not None:
                self.history.asked.append(row)

    async def ask(self, method: str, prefix: str, once: bool) -> Asked | None:
        """Send one request; None when no connection could be opened."""
        if self.streams is None and not await self._connect():
            return None
        assert self.streams is not None
        reader, writer = self.streams
        call_id = CallId(f"{self.name}-{next(self.numbers)}")
        body = b"body" if method == "POST" else b""
        head = (
            f"{method} {prefix}{call_id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
            f"x-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        begun = time.monotonic()
        try:
            writer.write(head.encode() + body)
            async with asyncio.timeout(PATIENCE_SECONDS):
                status, close, answer = await _read(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.drop()
            return Asked(call_id, self.node.number, once, begun, time.monotonic(), Seen.BROKEN)
        if close:
            self.drop()
        seen = _judge(status, answer, call_id)
        return Asked(call_id, self.node.number, once, begun, time.monotonic(), seen, status)

    def drop(self) -> None:
        """Close the connection; the next request opens another, perhaps elsewhere."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _connect(self) -> bool:
        self.node = self.rng.choice(self.nodes)
        host, _, port = self.node.callers.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self.streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        return True


def _judge(status: int, answer: bytes, call_id: CallId) -> Seen:
    if status == 200:
        return Seen.ANSWERED if answer.split(b" ")[-1:] == [call_id.encode()] else Seen.FOREIGN
    return Seen.REFUSED if status in NOT_RUN else Seen.FAILED


async def _read(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return int(lines[0].split(" ")[1]), fields.get("connection") == "close", body
