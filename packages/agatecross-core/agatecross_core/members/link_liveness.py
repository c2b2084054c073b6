"""Decides when a connection between daemons is pinged, and when it counts as silent.

An open connection may go silent without a reset. A message that nobody sends again is therefore
followed by a ping: a connection keeps the order of short frames, so the answer shows that the
message has arrived. Without an answer the connection is replaced, and the greeting on the new one
brings both ends up to date.
"""

from enum import Enum

from ..ids import Millis

# Two retransmissions of a lost packet between regions take about 600 ms.
PONG_TIMEOUT = Millis(700)
# While handovers are pending, a silent connection must be detected well within their deadlines.
BUSY_PING_PERIOD = Millis(250)
# Bounds the pings that follow messages such as cancellations, which come often under load.
CONFIRMATION_SPACING = Millis(100)
# A link of 3.5 Mbit/s carries 437 bytes in a millisecond, shared by four pushes of a change.
SLOWEST_PUSH_BYTES_PER_MS = 109.0


class LinkStep(Enum):
    """What to do with a connection now."""

    WAIT = "wait"
    PING = "ping"
    CLOSE = "close"


class LinkLiveness:
    """Tracks the pings of one link; its owner sends them and reports what it sends and receives."""

    def __init__(self, period: Millis, last_ping_at: Millis) -> None:
        """Ping an idle connection each `period`, as if the last ping had been at `last_ping_at`."""
        self.period = period
        self.last_ping_at = last_ping_at
        # The latest time for the answer to the ping that was sent, None without one.
        self.pong_due_at: Millis | None = None
        self.unconfirmed = False
        self.unconfirmed_bytes = 0

    @property
    def next_check_at(self) -> Millis:
        """Return the time before which nothing is due on a connection without handovers."""
        if self.pong_due_at is not None:
            return self.pong_due_at
        period = CONFIRMATION_SPACING if self.unconfirmed else self.period
        return Millis(self.last_ping_at + period)

    def set_period(self, period: Millis, now: Millis, elapsed: Millis) -> None:
        """Change the period; `elapsed` of the first one is over.

        With a random part elapsed, links whose period changes together are not pinged together.
        """
        if period != self.period:
            self.period = period
            self.last_ping_at = Millis(now - elapsed)

    def connection_opened(self) -> None:
        """Start with a new connection."""
        self.pong_due_at = None
        self.unconfirmed = False
        self.unconfirmed_bytes = 0

    def message_sent(self, size: int) -> None:
        """Record that a message of `size` bytes was sent, which nobody repeats."""
        self.unconfirmed = True
        self.unconfirmed_bytes += size

    def pong_received(self) -> None:
        """Record the answer to the last ping."""
        self.pong_due_at = None

    def next_step(self, now: Millis, received_at: Millis, is_busy: bool) -> LinkStep:
        """Return what to do if the last byte came at `received_at`; a ping counts as sent.

        A connection on which bytes still arrive is not silent, even if the answer is late.
        """
        if self.pong_due_at is not None:
            is_silent = now > self.pong_due_at and now - received_at > PONG_TIMEOUT
            return LinkStep.CLOSE if is_silent else LinkStep.WAIT
        since_ping = now - self.last_ping_at
        period = BUSY_PING_PERIOD if is_busy else self.period
        is_quiet = now - received_at > period or not is_busy
        is_confirmation_due = self.unconfirmed and since_ping >= CONFIRMATION_SPACING
        if not is_confirmation_due and not (is_quiet and since_ping > period):
            return LinkStep.WAIT
        transfer_time = self.unconfirmed_bytes / SLOWEST_PUSH_BYTES_PER_MS
        self.last_ping_at = now
        self.pong_due_at = Millis(now + PONG_TIMEOUT + transfer_time)
        self.unconfirmed = False
        self.unconfirmed_bytes = 0
        return LinkStep.PING
