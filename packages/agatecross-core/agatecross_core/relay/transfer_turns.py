"""Turns in which other daemons send long requests over the link of this daemon."""

from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass

from ..admission.slot_queue import RefuseHandover
from ..ids import ZERO_MS, HandoverId, Millis
from ..states import Reason

# A request that occupies the link for longer is announced first. A shorter one is sent at once,
# because the announcement costs a round trip: up to some 20 ms between regions.
LONG_TRANSFER = Millis(20)
BYTES_PER_MS_AND_MBIT = 125
# Share of the link that long requests get while short calls need the rest.
TURNS_SHARE = 5 / 6
# A request must be expected to arrive within this share of the time to its objective. The rest is
# for its slot and its run; otherwise it would be refused after all of its bytes were sent.
ARRIVAL_SHARE = 0.7
# The sender's own link may be busy. The turn passes on when a request has not arrived after this
# multiple of the time that it needs, and a round trip.
OVERDUE_FACTOR = 2.0
MAX_ROUND_TRIP = Millis(50)


@dataclass(frozen=True, slots=True)
class AnnouncedRequest:
    """A handover whose request of `size` bytes another daemon wants to send.

    After `objective_at` its answer loses value, after `deadline` it is useless; both are times on
    the monotonic clock.
    """

    handover_id: HandoverId
    size: int
    objective_at: Millis
    deadline: Millis


@dataclass(frozen=True, slots=True)
class InviteRequest:
    """Action: let the other daemon send the request now."""

    handover_id: HandoverId


class TransferTurns:
    """Invites one long request after the other, the earliest objective first.

    Load pattern: uploads arrive at an upstream whose daemon has a narrow link. Sent at once, they
    fill the queue of the link, and the short calls of running upstreams wait behind all of them.
    A request that would arrive too late is refused before its bytes are sent.
    """

    def __init__(self, link_rate: int) -> None:
        """Take the rate of the own link in Mbit/s; without it no request is announced."""
        self.bytes_per_ms = link_rate * BYTES_PER_MS_AND_MBIT
        # The invited request that has not arrived, when it should arrive and when it is overdue.
        self.invited: HandoverId | None = None
        self.link_free_at = ZERO_MS
        self.overdue_at = ZERO_MS
        self.waiting: list[AnnouncedRequest] = []

    @property
    def announce_above(self) -> int:
        """Return the size above which requests are announced, 0 if none is."""
        return int(LONG_TRANSFER * self.bytes_per_ms)

    def next_invitation(self) -> Millis | None:
        """Return when the next request is invited at the latest, or None if none waits."""
        return self.overdue_at if self.waiting else None

    def announce(
        self, request: AnnouncedRequest, now: Millis
    ) -> Iterator[InviteRequest | RefuseHandover]:
        """Invite, queue or refuse a request."""
        latest = now + ARRIVAL_SHARE * (request.objective_at - now)
        if self.invited is not None and self._expected_end(request, now) > latest:
            yield RefuseHandover(request.handover_id, Reason.OVERLOADED)
            return
        insort(self.waiting, request, key=_objective)
        yield from self.invite_next(now)

    def end(self, handover_id: HandoverId, now: Millis) -> Iterator[InviteRequest | RefuseHandover]:
        """Pass the turn on: the request has arrived, or nobody waits for its answer any more."""
        if self.invited == handover_id:
            self.invited = None
        else:
            self.waiting = [row for row in self.waiting if row.handover_id != handover_id]
        yield from self.invite_next(now)

    def invite_next(self, now: Millis) -> Iterator[InviteRequest | RefuseHandover]:
        """Invite the next request if the link is free or the invited one is overdue.

        Those that cannot arrive before their deadline any more are refused.
        """
        waiting, self.waiting = self.waiting, []
        for row in waiting:
            if now + self._duration(row) < row.deadline:
                self.waiting.append(row)
            else:
                yield RefuseHandover(row.handover_id, Reason.DEADLINE)
        if self.waiting and (self.invited is None or now >= self.overdue_at):
            request = self.waiting.pop(0)
            duration = self._duration(request)
            self.invited = request.handover_id
            self.link_free_at = Millis(now + duration)
            self.overdue_at = Millis(now + OVERDUE_FACTOR * duration + MAX_ROUND_TRIP)
            yield InviteRequest(request.handover_id)

    def _expected_end(self, request: AnnouncedRequest, now: Millis) -> float:
        ahead = self.waiting[: bisect_right(self.waiting, _objective(request), key=_objective)]
        start = max(now, self.link_free_at)
        return start + sum(map(self._duration, ahead)) + self._duration(request)

    def _duration(self, request: AnnouncedRequest) -> float:
        rate = TURNS_SHARE * self.bytes_per_ms
        return request.size / rate if rate else 0.0


def _objective(request: AnnouncedRequest) -> Millis:
    return request.objective_at
