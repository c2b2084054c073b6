"""Rate-limited, non-blocking log of decisions on standard output, one key=value line for each."""

import asyncio
import os
import time
from collections import deque
from typing import Final

from agatecross_core.ids import Millis
from agatecross_core.pacing import TokenBucket

from .events import format_event

FLUSH_DELAY_SECONDS: Final = 0.1
# Bounds the lines that wait for the next flush; further lines are dropped and counted.
MAX_BUFFERED_LINES: Final = 2_000
# Lines of served calls: 20 a second show the usual case and cost less than 0.1 % of a core.
SERVED_BURST_LINES: Final = 40
SERVED_REFILL_INTERVAL_MS: Final = Millis(50)
# Lines of failed calls: enough for the outage of one upstream at a deployment's peak load.
FAILED_BURST_LINES: Final = 400
FAILED_REFILL_INTERVAL_MS: Final = Millis(5)


class DecisionLog:
    """Buffers lines and writes them from a timer; never waits for the reader of the output."""

    def __init__(self, descriptor: int = 1) -> None:
        """Write to the file descriptor, which is set to non-blocking mode."""
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffered_lines: deque[bytes] = deque()
        self.unwritten = b""
        self.served_limiter = TokenBucket(SERVED_BURST_LINES, SERVED_REFILL_INTERVAL_MS)
        self.failed_limiter = TokenBucket(FAILED_BURST_LINES, FAILED_REFILL_INTERVAL_MS)
        self.dropped = 0
        self.timer: asyncio.TimerHandle | None = None

    def write_change(self, event: str, **fields: object) -> None:
        """Log a change of the daemon's state or of what it knows about others; not rate-limited."""
        self._append_line(event, fields)

    def write_failed_call(self, event: str, **fields: object) -> None:
        """Log a decision about a refused, retried or failed call, within the rate limit."""
        if self.failed_limiter.take(_monotonic_ms()):
            self._append_line(event, fields)
        else:
            self.dropped += 1

    def should_write_served_call(self) -> bool:
        """Return whether the next served call is logged; the others are counted."""
        if self.served_limiter.take(_monotonic_ms()):
            return True
        self.dropped += 1
        return False

    def write_served_call(self, event: str, **fields: object) -> None:
        """Log a served call for which `should_write_served_call` returned true."""
        self._append_line(event, fields)

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        self.timer = None
        # While the reader stalls, further lines wait in the bounded buffer.
        data = self.unwritten or self._take_lines()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :] or self._take_lines()
            except BlockingIOError:
                break
            except OSError:
                # The reader is gone, and there is no other place to report it.
                data = b""
        self.unwritten = data
        if data:
            self._schedule_flush()

    def _take_lines(self) -> bytes:
        data = b"".join(self.buffered_lines)
        self.buffered_lines.clear()
        return data

    def _append_line(self, event: str, fields: dict[str, object]) -> None:
        if len(self.buffered_lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            fields["left_out"], self.dropped = self.dropped, 0
        prefix = f"time={time.time():.3f} "
        self.buffered_lines.append((prefix + format_event(event, fields) + "\n").encode())
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self.timer is None:
            try:
                self.timer = asyncio.get_running_loop().call_later(FLUSH_DELAY_SECONDS, self.flush)
            except RuntimeError:
                self.flush()


def _monotonic_ms() -> Millis:
    return Millis(time.monotonic() * 1000)
