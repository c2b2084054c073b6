"""Retained outcomes of the calls that this daemon claimed."""

from collections import OrderedDict
from dataclasses import dataclass

from ..calls.model import CallResult, Response, ran_result, unknown_result
from ..constants import IDEMPOTENCY_KEY_RETENTION, MAX_IDEMPOTENCY_KEYS, MAX_RETAINED_RESPONSE_BYTES
from ..ids import ClaimId, Millis
from ..states import ClaimedCallState, Outcome, Reason
from .model import OutcomeReply

CLAIMED_CALL_STATE_BY_OUTCOME = {
    Outcome.RAN: ClaimedCallState.RAN,
    Outcome.UNKNOWN: ClaimedCallState.UNKNOWN,
    Outcome.NOT_RUN: ClaimedCallState.NOT_STARTED,
}


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """A claim of this daemon, and the response of its call while that is retained."""

    state: ClaimedCallState
    changed_at: Millis
    response: Response | None = None


class OutcomeStore:
    """Claims of this daemon, oldest change first, limited in age, number and response bytes."""

    def __init__(self, max_response_bytes: int = MAX_RETAINED_RESPONSE_BYTES) -> None:
        """Start empty; `max_response_bytes` limits the total size of the retained responses."""
        self.max_response_bytes = max_response_bytes
        self.response_bytes = 0
        self.claims: OrderedDict[ClaimId, OwnClaim] = OrderedDict()

    def set_state(self, claim_id: ClaimId, state: ClaimedCallState, now: Millis) -> None:
        """Set the state of a claim, which has no response yet."""
        self._forget(claim_id)
        self.claims[claim_id] = OwnClaim(state, now)
        while len(self.claims) > MAX_IDEMPOTENCY_KEYS:
            self._forget(next(iter(self.claims)))

    def finish(self, claim_id: ClaimId, result: CallResult, now: Millis) -> None:
        """Retain the result of a call that was started."""
        self.set_state(claim_id, CLAIMED_CALL_STATE_BY_OUTCOME[result.outcome], now)
        response = result.response
        size = _response_size(response)
        if result.outcome is not Outcome.RAN or response is None or size > self.max_response_bytes:
            return
        self.claims[claim_id] = OwnClaim(ClaimedCallState.RAN, now, response)
        self.response_bytes += size
        self._evict_responses()

    def reply(self, claim_id: ClaimId) -> OutcomeReply:
        """Return the state and response of a claim; the call of an unknown claim may have run."""
        row = self.claims.get(claim_id)
        if row is None:
            return OutcomeReply(ClaimedCallState.UNKNOWN)
        if row.response is None:
            return OutcomeReply(row.state)
        return OutcomeReply(row.state, row.response.status, row.response.headers, row.response.body)

    def expire(self, now: Millis) -> None:
        """Drop the claims past the retention time, except those whose calls are running."""
        old = []
        for claim_id, row in self.claims.items():
            if now - row.changed_at <= IDEMPOTENCY_KEY_RETENTION:
                break
            if row.state is not ClaimedCallState.RUNNING:
                old.append(claim_id)
        for claim_id in old:
            self._forget(claim_id)

    def _evict_responses(self) -> None:
        for claim_id in list(self.claims):
            if self.response_bytes <= self.max_response_bytes:
                return
            row = self.claims[claim_id]
            self.response_bytes -= _response_size(row.response)
            self.claims[claim_id] = OwnClaim(row.state, row.changed_at)

    def _forget(self, claim_id: ClaimId) -> None:
        row = self.claims.pop(claim_id, None)
        self.response_bytes -= _response_size(row.response) if row else 0


def holder_result(reply: OutcomeReply) -> CallResult:
    """Return the result of a call that its holder has run or may have run."""
    if reply.state is ClaimedCallState.RAN and reply.status:
        return ran_result(Response(reply.status, reply.headers, reply.body))
    if reply.state is ClaimedCallState.RAN:
        return CallResult(Outcome.RAN, None, Reason.RESPONSE_EVICTED)
    return unknown_result(Reason.KEY_HOLDER_GONE)


def _response_size(response: Response | None) -> int:
    if response is None:
        return 0
    return len(response.body) + sum(len(name) + len(value) for name, value in response.headers)
