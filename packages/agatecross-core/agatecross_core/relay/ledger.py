"""Records the handovers to an upstream, so that each of them runs at most once."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import HandoverId, Millis
from ..states import Reason
from .model import RelayResult, not_run_result

# An entry daemon asks again within the longest timeout of a route; 10 s also covers reconnects.
HANDOVER_RETENTION = Millis(10_000)
MAX_LEDGER_ROWS = 20_000
# Results are kept because an answer may be lost on the way. 8 MiB is a twentieth of the memory of a
# small daemon.
MAX_STORED_RESULT_BYTES = 8 * 1024 * 1024


class HandoverState(Enum):
    """State of a handover as the daemon next to the upstream knows it."""

    PENDING = "pending"
    DONE = "done"
    FENCED = "fenced"


@dataclass(slots=True)
class HandoverRecord:
    """What is known of one handover."""

    state: HandoverState
    recorded_at: Millis
    result: RelayResult | None = None


class Ledger:
    """Bounded table of handovers in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: OrderedDict[HandoverId, HandoverRecord] = OrderedDict()
        self.result_bytes = 0

    def accept(self, handover_id: HandoverId, now: Millis) -> bool:
        """Record a new handover; return False if it was seen or fenced before."""
        self._expire(now)
        if handover_id in self.rows:
            return False
        self.rows[handover_id] = HandoverRecord(HandoverState.PENDING, now)
        return True

    def finish(self, handover_id: HandoverId, result: RelayResult) -> None:
        """Store the result of a pending handover."""
        row = self.rows.get(handover_id)
        if row is not None and row.state is HandoverState.PENDING:
            row.state = HandoverState.DONE
            row.result = result
            self.result_bytes += _body_bytes(result)
            self._evict_responses()

    def resume(self, handover_id: HandoverId, now: Millis) -> RelayResult | None:
        """Return the result of a handover, or None while it is pending.

        A handover that has not arrived is fenced: it is refused now, and also if it arrives later.
        """
        self._expire(now)
        row = self.rows.get(handover_id)
        if row is None:
            self.rows[handover_id] = HandoverRecord(HandoverState.FENCED, now)
            return not_run_result(Reason.FENCED)
        if row.state is HandoverState.FENCED:
            return not_run_result(Reason.FENCED)
        return row.result

    def _expire(self, now: Millis) -> None:
        while self.rows:
            handover_id, row = next(iter(self.rows.items()))
            expired = now - row.recorded_at > HANDOVER_RETENTION or len(self.rows) > MAX_LEDGER_ROWS
            if not expired or row.state is HandoverState.PENDING:
                return
            del self.rows[handover_id]
            if row.result is not None:
                self.result_bytes -= _body_bytes(row.result)

    def _evict_responses(self) -> None:
        for row in self.rows.values():
            if self.result_bytes <= MAX_STORED_RESULT_BYTES:
                return
            if row.result is not None and row.result.response is not None:
                self.result_bytes -= _body_bytes(row.result)
                row.result = RelayResult(row.result.outcome, Reason.RESPONSE_EVICTED, None, True)


def _body_bytes(result: RelayResult) -> int:
    return len(result.response.body) if result.response else 0
