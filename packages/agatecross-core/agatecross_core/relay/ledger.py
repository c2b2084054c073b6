"""Records the handovers to an upstream, so that each of them runs at most once."""

import random
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..ids import (
    HANDOVER_COUNTER_BITS,
    HANDOVER_ORIGIN_BITS,
    HandoverId,
    Millis,
    handover_counter,
    handover_origin,
)
from ..states import Reason
from .model import RelayResult, not_run_result, unknown_result

# An entry daemon asks again as soon as it has a new connection; 10 s also covers its pauses.
HANDOVER_RETENTION = Millis(10_000)
MAX_LEDGER_ROWS = 20_000
# Twice the daemons of the largest planned fleet, so that restarts do not push out living ones.
MAX_ORIGINS = 4_096
# Results are kept because an answer may be lost on the way. 8 MiB is a twentieth of the memory of a
# small daemon.
MAX_STORED_RESULT_BYTES = 8 * 1024 * 1024


def new_handover_ids(rng: random.Random) -> Iterator[HandoverId]:
    """Yield ids unlike those of other daemons and earlier runs; a used-up origin is replaced."""
    while True:
        origin = rng.getrandbits(HANDOVER_ORIGIN_BITS) << HANDOVER_COUNTER_BITS
        yield from (HandoverId(origin | number) for number in range(1 << HANDOVER_COUNTER_BITS))


class HandoverState(Enum):
    """State of a handover as the daemon next to the upstream knows it."""

    PENDING = "pending"
    DONE = "done"
    FENCED = "fenced"


@dataclass(slots=True)
class HandoverRecord:
    """What is known of one handover; `recorded_at` is the time of its last change of state."""

    state: HandoverState
    recorded_at: Millis
    result: RelayResult | None = None


class Ledger:
    """Bounded table of handovers, those that changed their state last at the end.

    Each entry daemon numbers its handovers, so `forgotten`, with the highest number that was
    dropped for each of them, tells a handover that never arrived from one that is forgotten.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.rows: OrderedDict[HandoverId, HandoverRecord] = OrderedDict()
        self.forgotten: OrderedDict[int, int] = OrderedDict()
        self.result_bytes = 0

    def accept(self, handover_id: HandoverId, now: Millis) -> bool:
        """Record a new handover; return False if it was seen or fenced before.

        One that may have been forgotten counts as seen, because it may have run.
        """
        self._expire(now)
        if handover_id in self.rows or self._may_be_forgotten(handover_id):
            return False
        self.rows[handover_id] = HandoverRecord(HandoverState.PENDING, now)
        return True

    def finish(self, handover_id: HandoverId, result: RelayResult, now: Millis) -> None:
        """Store the result of a pending handover; it is kept from now on for the retention time."""
        row = self.rows.get(handover_id)
        if row is not None and row.state is HandoverState.PENDING:
            row.state = HandoverState.DONE
            row.recorded_at = now
            self.rows.move_to_end(handover_id)
            row.result = result
            self.result_bytes += _body_bytes(result)
            self._evict_responses()

    def resume(self, handover_id: HandoverId, now: Millis) -> RelayResult | None:
        """Return the result of a handover, or None while it is pending.

        A handover that has not arrived is fenced: it is refused now, and also if it arrives later.
        One that may have been forgotten is unknown, since it may have run.
        """
        self._expire(now)
        row = self.rows.get(handover_id)
        if row is None and self._may_be_forgotten(handover_id):
            return unknown_result(Reason.RESPONSE_EVICTED)
        if row is None:
            self.rows[handover_id] = HandoverRecord(HandoverState.FENCED, now)
            return not_run_result(Reason.FENCED)
        if row.state is HandoverState.FENCED:
            return not_run_result(Reason.FENCED)
        return row.result

    def _expire(self, now: Millis) -> None:
        """Drop rows that are old or too many; pending ones stay, as the slots bound them."""
        excess = len(self.rows) - MAX_LEDGER_ROWS
        expired: list[HandoverId] = []
        for handover_id, row in self.rows.items():
            if row.state is HandoverState.PENDING:
                continue
            if now - row.recorded_at <= HANDOVER_RETENTION and len(expired) >= excess:
                break
            expired.append(handover_id)
        for handover_id in expired:
            row = self.rows.pop(handover_id)
            if row.result is not None:
                self.result_bytes -= _body_bytes(row.result)
            self._forget(handover_id)

    def _forget(self, handover_id: HandoverId) -> None:
        origin, counter = handover_origin(handover_id), handover_counter(handover_id)
        self.forgotten[origin] = max(counter, self.forgotten.get(origin, counter))
        self.forgotten.move_to_end(origin)
        if len(self.forgotten) > MAX_ORIGINS:
            self.forgotten.popitem(last=False)

    def _may_be_forgotten(self, handover_id: HandoverId) -> bool:
        highest = self.forgotten.get(handover_origin(handover_id))
        return highest is not None and handover_counter(handover_id) <= highest

    def _evict_responses(self) -> None:
        for row in self.rows.values():
            if self.result_bytes <= MAX_STORED_RESULT_BYTES:
                return
            if row.result is not None and row.result.response is not None:
                self.result_bytes -= _body_bytes(row.result)
                row.result = RelayResult(row.result.outcome, Reason.RESPONSE_EVICTED, None, True)


def _body_bytes(result: RelayResult) -> int:
    return len(result.response.body) if result.response else 0
