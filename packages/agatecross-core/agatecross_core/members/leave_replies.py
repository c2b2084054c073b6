"""Decides when to confirm a leave to the upstream that sent it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import InstanceId, Millis

UpstreamStart = tuple[InstanceId, int]
"""An instance and its start time in Unix milliseconds."""

LeaveReply = Callable[[bool], None]
"""Callback that receives whether the leave is confirmed."""

# An answer only counts as a confirmation if it takes less than a second. The rest of that second
# covers a tick of the daemon and the transfer of the answer.
DRAIN_STORE_TIMEOUT = Millis(750)


@dataclass(slots=True)
class LeaveReplies:
    """Confirms a leave once its drain is stored where it outlives the daemon.

    A confirmed leave also applies after a restart of the whole fleet. A leave whose drain is not
    stored in time still takes effect, but is not confirmed; the upstream may send it again.
    """

    stored: set[UpstreamStart] = field(default_factory=set)
    waiting: list[tuple[UpstreamStart, Millis, LeaveReply]] = field(default_factory=list)

    def reply_when_stored(self, start: UpstreamStart, reply: LeaveReply, now: Millis) -> None:
        """Reply once the drain is stored, or after `DRAIN_STORE_TIMEOUT`."""
        if start in self.stored:
            reply(True)
        else:
            self.waiting.append((start, Millis(now + DRAIN_STORE_TIMEOUT), reply))

    def drain_stored(self, start: UpstreamStart) -> None:
        """Confirm all waiting leaves of this start; later ones are confirmed on arrival."""
        self.stored.add(start)
        self._answer(lambda row: row[0] == start, True)

    def drain_lost(self, start: UpstreamStart) -> None:
        """Confirm no further leave of this start until its drain is stored again."""
        self.stored.discard(start)

    def expire(self, now: Millis) -> None:
        """Reply to the leaves whose drain was not stored in time that they are not confirmed."""
        self._answer(lambda row: row[1] <= now, False)

    def _answer(
        self, due: Callable[[tuple[UpstreamStart, Millis, LeaveReply]], bool], confirmed: bool
    ) -> None:
        rows = [row for row in self.waiting if due(row)]
        self.waiting = [row for row in self.waiting if not due(row)]
        for _, _, reply in rows:
            reply(confirmed)
