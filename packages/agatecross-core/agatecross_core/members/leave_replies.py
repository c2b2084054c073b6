"""When a leave is confirmed to the upstream that sent it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import InstanceId, Millis

UpstreamStart = tuple[InstanceId, int]
"""An instance and the Unix milliseconds of its start."""
LeaveReply = Callable[[bool], None]
"""Takes whether the leave is confirmed."""

# An answer that takes a second is no confirmation; a tick of the daemon and the way back fit too.
DRAIN_STORE_TIMEOUT = Millis(750)


@dataclass(slots=True)
class LeaveReplies:
    """Confirms a leave once its drain is kept where it outlives the daemon.

    A confirmation binds after a restart of the whole fleet too. A leave that is not kept in time is
    obeyed, but not confirmed; the upstream may send it again.
    """

    stored: set[UpstreamStart] = field(default_factory=set)
    waiting: list[tuple[UpstreamStart, Millis, LeaveReply]] = field(default_factory=list)

    def wait(self, start: UpstreamStart, reply: LeaveReply, now: Millis) -> None:
        """Reply once the drain is kept, or after the patience."""
        if start in self.stored:
            reply(True)
        else:
            self.waiting.append((start, Millis(now + DRAIN_STORE_TIMEOUT), reply))

    def drain_stored(self, start: UpstreamStart) -> None:
        """Confirm every leave of this start."""
        self.stored.add(start)
        self._answer(lambda row: row[0] == start, True)

    def expire(self, now: Millis) -> None:
        """Refuse to confirm what was not kept in time."""
        self._answer(lambda row: row[1] <= now, False)

    def _answer(
        self, due: Callable[[tuple[UpstreamStart, Millis, LeaveReply]], bool], confirmed: bool
    ) -> None:
        rows = [row for row in self.waiting if due(row)]
        self.waiting = [row for row in self.waiting if not due(row)]
        for _, _, reply in rows:
            reply(confirmed)
