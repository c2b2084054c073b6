"""Bounded, non-blocking log of decisions on standard output, one line of key=value pairs each."""

import asyncio
import os
import time
from collections import deque
from typing import Final

from agatecross_core.ids import Millis
from agatecross_core.pacing import TokenBucket

from .events import format_event

FLUSH_SECONDS: Final = 0.1
# Lines wait here while the pipe is full; failures and changes push out the lines of served calls.
MAX_BUFFERED: Final = 2_000
# Lines of served calls: 20 a second let a reader see the usual case and cost under 0.1 % of a core.
SERVED_BURST: Final = 40
SERVED_REFILL: Final = Millis(50)
# Lines of failed calls: an outage of one upstream at the peak of today's deployments fits.
FAILED_BURST: Final = 400
FAILED_REFILL: Final = Millis(5)


class DecisionLog:
    """Collects lines and writes them when the loop is idle; never waits for the reader."""

    def __init__(self, descriptor: int = 1) -> None:
        """Write to the descriptor, which becomes non-blocking."""
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.lines: deque[bytes] = deque()
        self.rest = b""
        self.served = TokenBucket(SERVED_BURST, SERVED_REFILL)
        self.failed = TokenBucket(FAILED_BURST, FAILED_REFILL)
        self.left_out = 0
        self.timer: asyncio.TimerHandle | None = None

    def change(self, event: str, **fields: object) -> None:
        """Log a change of what the process believes, or of its life cycle."""
        self._put(event, fields)

    def call_failed(self, event: str, **fields: object) -> None:
        """Log a decision about a call that was refused, repeated or failed."""
        if self.failed.take(_now()):
            self._put(event, fields)
        else:
            self.left_out += 1

    def wants_served(self) -> bool:
        """Return whether the next served call is logged; the others are counted."""
        if self.served.take(_now()):
            return True
        self.left_out += 1
        return False

    def call_served(self, event: str, **fields: object) -> None:
        """Log a served call for which `wants_served` returned true."""
        self._put(event, fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self.timer = None
        data = self.rest + b"".join(self.lines)
        self.lines.clear()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                data = b""
        self.rest = data
        if data:
            self._schedule()

    def _put(self, event: str, fields: dict[str, object]) -> None:
        if len(self.lines) >= MAX_BUFFERED:
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out"], self.left_out = self.left_out, 0
        stamp = f"time={time.time():.3f} "
        self.lines.append((stamp + format_event(event, fields) + "\n").encode())
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is None:
            try:
                self.timer = asyncio.get_running_loop().call_later(FLUSH_SECONDS, self.flush)
            except RuntimeError:
                self.flush()


def _now() -> Millis:
    return Millis(time.monotonic() * 1000)
