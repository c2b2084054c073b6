"""Spaces the connections that show whether an upstream still listens."""

import asyncio
from collections.abc import Callable

from agatecross_core.admission.new_connections import PROBE_PERIOD
from agatecross_core.ids import Millis
from agatecross_core.pacing import TokenBucket

from ..mailbox import monotonic_ms

# A crash may reset a connection before the listener is closed; a second probe shows it at once.
PROBE_BURST = 2.0


class ListenProbe:
    """Calls `probe` after resets, at most once in `PROBE_PERIOD` after a burst.

    An upstream that is full resets these connections too, and each reset asks for the next one.
    """

    def __init__(self, probe: Callable[[], None]) -> None:
        self.probe = probe
        self.pace = TokenBucket(PROBE_BURST, PROBE_PERIOD)
        self.timer: asyncio.TimerHandle | None = None

    def schedule(self, now: Millis) -> None:
        """Probe now or as soon as the pace allows, unless that is scheduled."""
        if self.timer is not None:
            return
        if self.pace.take(now):
            self.probe()
            return
        delay = self.pace.wait(1, now)
        self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._on_time)

    def _on_time(self) -> None:
        self.timer = None
        self.pace.take(monotonic_ms())
        self.probe()
