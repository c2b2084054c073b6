"""Tells how long data that a task reads may have waited while the process was paused."""

from .ids import ZERO_MS, Millis

PAUSE_TICK_PERIOD = Millis(100)
# A busy event loop is late by some tens of milliseconds; a longer gap is a pause of the process.
MIN_PAUSE = Millis(300)
# All data that arrived during a pause is read within this time after it.
READ_AFTER_PAUSE_TIME = Millis(100)


class PauseClock:
    """Notices pauses by the gaps between its ticks.

    All times are on a clock that goes on while the machine is suspended. What a peer or a caller
    said before the pause, such as the time left of a call, is older by the length of the pause.
    """

    def __init__(self, now: Millis) -> None:
        """Start at `now`."""
        self.ticked_at = now
        self.pause = ZERO_MS
        self.pause_ended_at = Millis(0)

    def tick(self, now: Millis) -> None:
        """Record that the process runs; called every `PAUSE_TICK_PERIOD`."""
        gap = self._gap(now)
        if gap:
            self.pause, self.pause_ended_at = gap, now
        self.ticked_at = now

    def waited(self, now: Millis) -> Millis:
        """Return how long data that is read now may have waited because of a pause."""
        gap = self._gap(now)
        if gap:
            return gap
        recent = self.pause and now - self.pause_ended_at < READ_AFTER_PAUSE_TIME
        return self.pause if recent else ZERO_MS

    def _gap(self, now: Millis) -> Millis:
        gap = now - self.ticked_at - PAUSE_TICK_PERIOD
        return Millis(gap) if gap >= MIN_PAUSE else ZERO_MS
