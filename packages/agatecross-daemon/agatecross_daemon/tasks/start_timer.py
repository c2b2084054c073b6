"""Starts calls that wait for the limit of an upstream, as soon as the limit allows."""

import asyncio
from collections.abc import Callable

from agatecross_core.admission.slot_queue import SlotQueue
from agatecross_core.ids import Millis


class StartTimer:
    """Calls `start` once the limit lets the next waiting call start; a free slot needs no timer."""

    def __init__(self, queue: SlotQueue, start: Callable[[], None]) -> None:
        self.queue = queue
        self.start = start
        self.timer: asyncio.TimerHandle | None = None

    def schedule(self, now: Millis) -> None:
        """Start the timer if a call waits for the limit only, and no timer runs."""
        delay = self.queue.next_start(now)
        if delay is None or self.timer is not None:
            return
        self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._on_time)

    def _on_time(self) -> None:
        self.timer = None
        self.start()
