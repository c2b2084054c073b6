"""When a leave is confirmed to the upstream that sent it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import InstanceId, Millis

Start = tuple[InstanceId, int]
"""An instance and the Unix milliseconds of its start."""
Reply = Callable[[bool], None]
"""Takes whether the leave is confirmed."""

# An answer that takes a second is no confirmation; a tick of the daemon and the way back fit too.
KEEP_PATIENCE = Millis(750)


@dataclass(slots=True)
class LeaveReplies:
    """Confirms a leave once its drain is kept where it outlives the daemon.

    A confirmation binds after a restart of the whole fleet too. A leave that is not kept in time is
    obeyed, but not confirmed; the upstream may send it again.
    """

    kept: set[Start] = field(default_factory=set)
    waiting: list[tuple[Start, Millis, Reply]] = field(default_factory=list)

    def wait(self, start: Start, reply: Reply, now: Millis) -> None:
        """Reply once the drain is kept, or after the patience."""
        if start in self.kept:
            reply(True)
        else:
            self.waiting.append((start, Millis(now + KEEP_PATIENCE), reply))

    def drain_kept(self, start: Start) -> None:
        """Confirm every leave of this start."""
        self.kept.add(start)
        self._answer(lambda row: row[0] == start, True)

    def expire(self, now: Millis) -> None:
        """Refuse to confirm what was not kept in time."""
        self._answer(lambda row: row[1] <= now, False)

    def _answer(self, due: Callable[[tuple[Start, Millis, Reply]], bool], confirmed: bool) -> None:
        rows = [row for row in self.waiting if due(row)]
        self.waiting = [row for row in self.waiting if not due(row)]
        for _, _, reply in rows:
            reply(confirmed)
