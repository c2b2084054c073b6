"""Retained outcomes of the claims that this daemon made."""

from collections import OrderedDict
from dataclasses import dataclass

from ..calls.model import CallResult, Response, ran, unknown
from ..constants import IDEMPOTENCY_KEY_RETENTION, MAX_IDEMPOTENCY_KEYS, MAX_RETAINED_RESPONSE_BYTES
from ..ids import ClaimId, Millis
from ..states import ClaimedCallState, Outcome, Reason
from .model import OutcomeReply

STATE_OF = {
    Outcome.RAN: ClaimedCallState.RAN,
    Outcome.UNKNOWN: ClaimedCallState.UNKNOWN,
    Outcome.NOT_RUN: ClaimedCallState.NOT_STARTED,
}


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """A claim of this daemon; the response is there while it is retained."""

    state: ClaimedCallState
    at: Millis
    response: Response | None = None


class OutcomeStore:
    """Own claims with the oldest first, bounded in time, count and response bytes."""

    def __init__(self, max_bytes: int = MAX_RETAINED_RESPONSE_BYTES) -> None:
        """Start empty; `max_bytes` bounds the retained responses."""
        self.max_bytes = max_bytes
        self.bytes = 0
        self.claims: OrderedDict[ClaimId, OwnClaim] = OrderedDict()

    def put(self, claim_id: ClaimId, state: ClaimedCallState, now: Millis) -> None:
        """Set the state of a claim without a response."""
        self._forget(claim_id)
        self.claims[claim_id] = OwnClaim(state, now)
        while len(self.claims) > MAX_IDEMPOTENCY_KEYS:
            self._forget(next(iter(self.claims)))

    def finish(self, claim_id: ClaimId, result: CallResult, now: Millis) -> None:
        """Retain the result of a call that was started."""
        self.put(claim_id, STATE_OF[result.outcome], now)
        response = result.response
        size = _size(response)
        if result.outcome is not Outcome.RAN or response is None or size > self.max_bytes:
            return
        self.claims[claim_id] = OwnClaim(ClaimedCallState.RAN, now, response)
        self.bytes += size
        self._evict()

    def reply(self, claim_id: ClaimId) -> OutcomeReply:
        """Return what is known; a claim that is not known here may have run."""
        row = self.claims.get(claim_id)
        if row is None:
            return OutcomeReply(ClaimedCallState.UNKNOWN)
        if row.response is None:
            return OutcomeReply(row.state)
        return OutcomeReply(row.state, row.response.status, row.response.headers, row.response.body)

    def expire(self, now: Millis) -> None:
        """Drop the claims older than the retention time, except those that still run."""
        old = []
        for claim_id, row in self.claims.items():
            if now - row.at <= IDEMPOTENCY_KEY_RETENTION:
                break
            if row.state is not ClaimedCallState.RUNNING:
                old.append(claim_id)
        for claim_id in old:
            self._forget(claim_id)

    def _evict(self) -> None:
        for claim_id in list(self.claims):
            if self.bytes <= self.max_bytes:
                return
            row = self.claims[claim_id]
            self.bytes -= _size(row.response)
            self.claims[claim_id] = OwnClaim(row.state, row.at)

    def _forget(self, claim_id: ClaimId) -> None:
        row = self.claims.pop(claim_id, None)
        self.bytes -= _size(row.response) if row else 0


def result_of(reply: OutcomeReply) -> CallResult:
    """Return the result of a call that its holder ran or may have run."""
    if reply.state is ClaimedCallState.RAN and reply.status:
        return ran(Response(reply.status, reply.headers, reply.body))
    if reply.state is ClaimedCallState.RAN:
        return CallResult(Outcome.RAN, None, Reason.RESPONSE_EVICTED)
    return unknown(Reason.KEY_HOLDER_GONE)


def _size(response: Response | None) -> int:
    if response is None:
        return 0
    return len(response.body) + sum(len(name) + len(value) for name, value in response.headers)
