"""Decides for one daemon whether its calls with an idempotency key may start."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..calls.model import CallResult, not_run_result, unknown_result
from ..constants import (
    CLAIM_APPEND_BURST,
    CLAIM_APPEND_REFILL_PERIOD,
    CLAIM_BATCH_WAIT,
    CLAIM_RETRY_WAIT,
    CLAIMS_IDLE_READ_PERIOD,
    IDEMPOTENCY_KEY_RETENTION,
    MAX_BATCH_CLAIMS,
    MAX_CLAIM_RETRY_WAIT,
    MAX_CLOCK_SKEW,
    MAX_IDEMPOTENCY_KEYS,
    MAX_OUTCOME_REQUESTS,
    OUTCOME_POLL_PERIOD,
    OUTCOME_TIMEOUT,
)
from ..ids import Address, CallId, ClaimId, DaemonId, IdempotencyKey, Millis, Offset
from ..pacing import TokenBucket
from ..states import AppendState, ClaimedCallState, Outcome, Reason
from .claims import ClaimsFold
from .model import (
    AnswerCall,
    AppendBatch,
    AskHolder,
    BatchAppended,
    CallSubmitted,
    Claim,
    ClaimedCallFinished,
    ClaimsAction,
    ClaimsBatch,
    ClaimsInput,
    ClaimsRead,
    Grant,
    HolderAnswered,
    OutcomeReply,
    OutcomeRequest,
    ReadClaims,
    ReadFailed,
    Release,
    TimePassed,
)
from .outcomes import OutcomeStore, holder_result
from .stream import Continuity, StreamPosition


class Phase(Enum):
    """What a submitted call waits for.

    - `QUEUED`: the next batch of claims.
    - `APPENDING`: the end of the append of its claim.
    - `APPENDED`: the read of its appended claim.
    - `ASKING`: the answer of the daemon whose claim holds the key.
    - `ASK_LATER`: the time to ask that daemon again.
    - `READ_LATER`: the next read of the stream, after which the call is decided again.
    - `SAME_KEY_RUNNING`: the end of a call with the same key on this daemon.
    """

    QUEUED = "queued"
    APPENDING = "appending"
    APPENDED = "landed"
    ASKING = "asking"
    ASK_LATER = "ask-later"
    READ_LATER = "read-later"
    SAME_KEY_RUNNING = "local"


CLAIM_PENDING_PHASES = frozenset((Phase.QUEUED, Phase.APPENDING, Phase.APPENDED))


@dataclass(slots=True)
class CallAwaitingDecision:
    """A submitted call that was not yet permitted to start or answered.

    `due` is when its claim is appended, its holder is asked again or the stream is read again.
    `unanswered_requests` counts the requests in a row that the holder did not answer.
    """

    submit: CallSubmitted
    phase: Phase
    due: Millis
    claim_id: ClaimId | None = None
    appended_offset: Offset | None = None
    unanswered_requests: int = 0
    poll_period: Millis = OUTCOME_POLL_PERIOD


class ClaimDecider:
    """Claims keys on the log, permits calls to start and answers resubmitted calls."""

    def __init__(
        self,
        me: DaemonId,
        control_address: Address,
        new_claim_id: Callable[[], ClaimId],
        rng: random.Random,
    ) -> None:
        """Start before the first record; claim ids must be unique across process restarts."""
        self.me = me
        self.control_address = control_address
        self.new_claim_id = new_claim_id
        self.rng = rng
        self.fold = ClaimsFold()
        self.outcomes = OutcomeStore()
        self.stream = StreamPosition()
        self.tokens = TokenBucket(CLAIM_APPEND_BURST, CLAIM_APPEND_REFILL_PERIOD)
        self.waiting: dict[CallId, CallAwaitingDecision] = {}
        self.running: dict[ClaimId, IdempotencyKey] = {}
        self.releases: dict[ClaimId, Release] = {}
        self.batch_in_flight: ClaimsBatch | None = None
        self.reading = False
        self.caught_up = False
        self.append_outcome_unknown = False
        self.append_search_started = False
        self.must_report_loss = False
        self.log_failing = False
        self.claims_incomplete_until = Millis(0)
        self.log_retry_at = Millis(0)
        self.max_log_retry_wait = CLAIM_RETRY_WAIT
        self.next_idle_read_at = Millis(0)
        self.next_due_check_at = Millis(0)

    def handle(self, message: ClaimsInput, now: Millis) -> Iterator[ClaimsAction]:
        """Handle one input and yield the resulting actions."""
        match message:
            case CallSubmitted():
                yield from self._submit(message, now)
            case BatchAppended():
                yield from self._append_finished(message, now)
            case ClaimsRead():
                yield from self._page_read(message, now)
            case ReadFailed():
                yield from self._read_failed(now)
            case HolderAnswered():
                yield from self._holder_answered(message, now)
            case ClaimedCallFinished(claim_id, result):
                yield from self._call_finished(claim_id, result, now)
            case TimePassed():
                pass
        yield from self._handle_due_calls(now)
        yield from self._start_append(now)
        yield from self._start_read(now)

    def reply(self, request: OutcomeRequest) -> OutcomeReply:
        """Answer a peer that received a call whose key is held by a claim of this daemon."""
        reply = self.outcomes.reply(request.claim_id)
        if reply.state is ClaimedCallState.NOT_STARTED:
            # The peer has read that this claim holds the key; this daemon may not have read it yet.
            self._release(request.key, request.claim_id)
        return reply

    def has_pending_work(self) -> bool:
        """Return whether `TimePassed` is needed soon, for calls, releases or unread records."""
        return bool(self.waiting or self.releases or not self.caught_up)

    def _submit(self, submit: CallSubmitted, now: Millis) -> Iterator[ClaimsAction]:
        self.fold.expire(now)
        self.outcomes.expire(now)
        waiting = CallAwaitingDecision(submit, Phase.QUEUED, Millis(now + CLAIM_BATCH_WAIT))
        if submit.deadline <= now:
            yield AnswerCall(submit.call_id, not_run_result(Reason.DEADLINE))
        elif self.fold.claim_for(submit.key) is not None:
            self.waiting[submit.call_id] = waiting
            yield from self._decide_without_claim(waiting, now)
        elif now < self.claims_incomplete_until:
            yield AnswerCall(submit.call_id, not_run_result(Reason.CLAIMS_INCOMPLETE))
        elif len(self.fold) + len(self.waiting) >= MAX_IDEMPOTENCY_KEYS:
            yield AnswerCall(submit.call_id, not_run_result(Reason.CLAIMS_FULL))
        else:
            self.waiting[submit.call_id] = waiting

    def _decide_without_claim(
        self, waiting: CallAwaitingDecision, now: Millis
    ) -> Iterator[ClaimsAction]:
        """Decide about a call whose claim does not hold its key."""
        waiting.claim_id, waiting.appended_offset = None, None
        claim = self.fold.claim_for(waiting.submit.key)
        if claim is None and now < self.claims_incomplete_until:
            yield from self._answer(waiting, not_run_result(Reason.CLAIMS_INCOMPLETE))
        elif claim is None:
            waiting.phase, waiting.due = Phase.QUEUED, Millis(now + CLAIM_BATCH_WAIT)
        elif claim.fingerprint != waiting.submit.fingerprint:
            yield from self._answer(waiting, not_run_result(Reason.KEY_MISMATCH))
        elif claim.holder == self.me:
            yield from self._decide_own_claim(waiting, claim, now)
        else:
            yield self._ask_holder(waiting, claim)

    def _decide_own_claim(
        self, waiting: CallAwaitingDecision, claim: Claim, now: Millis
    ) -> Iterator[ClaimsAction]:
        reply = self.outcomes.reply(claim.claim_id)
        if reply.state is ClaimedCallState.RUNNING:
            waiting.phase = Phase.SAME_KEY_RUNNING
        elif reply.state is ClaimedCallState.NOT_STARTED:
            self._release_if_unused(claim)
            waiting.phase, waiting.due = Phase.READ_LATER, Millis(now + CLAIM_RETRY_WAIT)
        else:
            yield from self._answer(waiting, holder_result(reply))

    def _ask_holder(self, waiting: CallAwaitingDecision, claim: Claim) -> AskHolder:
        waiting.phase = Phase.ASKING
        request = OutcomeRequest(claim.key, claim.claim_id)
        return AskHolder(waiting.submit.call_id, claim.control_address, request)

    def _holder_answered(self, message: HolderAnswered, now: Millis) -> Iterator[ClaimsAction]:
        waiting = self.waiting.get(message.call_id)
        if waiting is None or waiting.phase is not Phase.ASKING:
            return
        claim = self.fold.claim_for(waiting.submit.key)
        if claim is None or claim.claim_id != message.claim_id:
            yield from self._decide_without_claim(waiting, now)
            return
        reply = message.reply
        if reply is None:
            waiting.unanswered_requests += 1
            if waiting.unanswered_requests >= MAX_OUTCOME_REQUESTS:
                yield from self._answer(waiting, unknown_result(Reason.KEY_HOLDER_GONE))
            else:
                yield self._ask_holder(waiting, claim)
            return
        waiting.unanswered_requests = 0
        if reply.state is ClaimedCallState.RUNNING:
            waiting.phase, waiting.due = Phase.ASK_LATER, Millis(now + waiting.poll_period)
            waiting.poll_period = min(Millis(2 * waiting.poll_period), OUTCOME_TIMEOUT)
        elif reply.state is ClaimedCallState.NOT_STARTED:
            waiting.phase, waiting.due = Phase.READ_LATER, Millis(now + CLAIM_RETRY_WAIT)
        else:
            yield from self._answer(waiting, holder_result(reply))

    def _call_finished(
        self, claim_id: ClaimId, result: CallResult, now: Millis
    ) -> Iterator[ClaimsAction]:
        self.outcomes.finish(claim_id, result, now)
        key = self.running.pop(claim_id, None)
        if key is None:
            return
        if result.outcome is Outcome.NOT_RUN:
            self.releases[claim_id] = Release(key, claim_id)
        local = [
            w
            for w in self.waiting.values()
            if w.phase is Phase.SAME_KEY_RUNNING and w.submit.key == key
        ]
        for waiting in local:
            yield from self._decide_without_claim(waiting, now)

    def _append_finished(self, message: BatchAppended, now: Millis) -> Iterator[ClaimsAction]:
        batch, self.batch_in_flight = self.batch_in_flight, None
        if batch is None:
            return
        self._record_log_result(message.state is AppendState.WRITTEN, now)
        if message.state is AppendState.WRITTEN and message.offset is not None:
            self.must_report_loss = self.must_report_loss and not batch.lost
            self.caught_up = bool(self.stream.last_record_digest)
            for release in batch.releases:
                self.releases.pop(release.claim_id, None)
            for waiting in self._in_phase(Phase.APPENDING):
                waiting.phase, waiting.appended_offset = Phase.APPENDED, message.offset
            return
        if message.state is AppendState.LOST:
            self.append_outcome_unknown, self.append_search_started = True, False
            return
        refused_phases = (
            (Phase.APPENDING,) if self.stream.last_record_digest else CLAIM_PENDING_PHASES
        )
        for phase in refused_phases:
            for waiting in self._in_phase(phase):
                yield from self._answer(waiting, not_run_result(Reason.LOG_UNAVAILABLE))

    def _read_failed(self, now: Millis) -> Iterator[ClaimsAction]:
        self.reading = False
        self._record_log_result(False, now)
        for waiting in self._in_phase(Phase.QUEUED):
            yield from self._answer(waiting, not_run_result(Reason.LOG_UNAVAILABLE))

    def _record_log_result(self, success: bool, now: Millis) -> None:
        """Set when to use the log again: after a failure, a random wait whose maximum doubles."""
        self.log_failing = not success
        if success:
            self.max_log_retry_wait, self.log_retry_at = CLAIM_RETRY_WAIT, now
            return
        self.log_retry_at = Millis(
            now + self.rng.uniform(CLAIM_BATCH_WAIT, self.max_log_retry_wait)
        )
        self.max_log_retry_wait = min(Millis(2 * self.max_log_retry_wait), MAX_CLAIM_RETRY_WAIT)

    def _page_read(self, page: ClaimsRead, now: Millis) -> Iterator[ClaimsAction]:
        self.reading = False
        self._record_log_result(True, now)
        self.next_idle_read_at = Millis(now + CLAIMS_IDLE_READ_PERIOD)
        self.fold.expire(now)
        continuity = self.stream.check(page)
        if continuity is not Continuity.CONTINUOUS:
            self.stream.restart(page)
            self.must_report_loss = self.must_report_loss or continuity is Continuity.REPLACED
            self.caught_up = False
            yield from self._refuse_until_complete(now)
            return
        for row in self.stream.advance(page):
            if row.batch is None:
                # The record may contain claims that this release cannot decode.
                yield from self._refuse_until_complete(now)
            else:
                yield from self._fold_batch(row.batch, page.wall_ms, now)
        self.caught_up = self.stream.next_offset >= page.end
        yield from self._decide_read_claims(now)
        if self.caught_up and self.append_outcome_unknown and self.append_search_started:
            self.append_outcome_unknown = False
            # The batch is not in the stream so far. A late copy is harmless, because the claims are
            # appended again with the same ids.
            for waiting in self._in_phase(Phase.APPENDING):
                waiting.phase, waiting.due = Phase.QUEUED, now

    def _fold_batch(self, batch: ClaimsBatch, wall_ms: int, now: Millis) -> Iterator[ClaimsAction]:
        self.fold.fold(batch, now)
        for claim in batch.claims:
            if claim.holder == self.me:
                self._release_if_unused(claim)
        if batch.lost and wall_ms - batch.at_ms < IDEMPOTENCY_KEY_RETENTION + MAX_CLOCK_SKEW:
            self.must_report_loss = False
            yield from self._refuse_until_complete(now)

    def _refuse_until_complete(self, now: Millis) -> Iterator[ClaimsAction]:
        """Refuse keyed calls until every claim that may be missing is past its retention time."""
        self.claims_incomplete_until = Millis(now + IDEMPOTENCY_KEY_RETENTION)
        for phase in CLAIM_PENDING_PHASES:
            for waiting in self._in_phase(phase):
                yield from self._answer(waiting, not_run_result(Reason.CLAIMS_INCOMPLETE))

    def _decide_read_claims(self, now: Millis) -> Iterator[ClaimsAction]:
        """Decide about the calls that waited for this read.

        The claim of such a call holds its key, or was read without getting the key, or the call
        waits to be decided again.
        """
        for waiting in list(self.waiting.values()):
            claim = self.fold.claim_for(waiting.submit.key)
            if waiting.phase is Phase.READ_LATER and waiting.due <= now:
                yield from self._decide_without_claim(waiting, now)
            elif waiting.phase not in CLAIM_PENDING_PHASES or waiting.claim_id is None:
                continue
            elif claim is not None and claim.claim_id == waiting.claim_id:
                yield from self._grant(waiting, claim, now)
            elif (
                waiting.appended_offset is not None
                and self.stream.next_offset > waiting.appended_offset
            ):
                yield from self._decide_without_claim(waiting, now)

    def _grant(
        self, waiting: CallAwaitingDecision, claim: Claim, now: Millis
    ) -> Iterator[ClaimsAction]:
        if waiting.submit.deadline <= now:
            yield from self._end_at_deadline(waiting)
            return
        del self.waiting[waiting.submit.call_id]
        self.outcomes.set_state(claim.claim_id, ClaimedCallState.RUNNING, now)
        self.running[claim.claim_id] = claim.key
        yield Grant(waiting.submit.call_id, claim.claim_id)

    def _release_if_unused(self, claim: Claim) -> None:
        """Release a claim of this daemon that holds its key although its call will not start."""
        holding_claim = self.fold.claim_for(claim.key)
        if holding_claim is None or holding_claim.claim_id != claim.claim_id:
            return
        if self.outcomes.reply(claim.claim_id).state is not ClaimedCallState.NOT_STARTED:
            return
        self._release(claim.key, claim.claim_id)

    def _release(self, key: IdempotencyKey, claim_id: ClaimId) -> None:
        if not any(waiting.claim_id == claim_id for waiting in self.waiting.values()):
            self.releases[claim_id] = Release(key, claim_id)

    def _end_at_deadline(self, waiting: CallAwaitingDecision) -> Iterator[ClaimsAction]:
        if waiting.phase in CLAIM_PENDING_PHASES:
            reason = Reason.LOG_UNAVAILABLE if self.log_failing else Reason.DEADLINE
            yield from self._answer(waiting, not_run_result(reason))
        else:
            yield from self._answer(waiting, unknown_result(Reason.TIMEOUT))

    def _answer(self, waiting: CallAwaitingDecision, result: CallResult) -> Iterator[ClaimsAction]:
        del self.waiting[waiting.submit.call_id]
        claim = self.fold.claim_for(waiting.submit.key)
        if claim is not None and claim.claim_id == waiting.claim_id:
            self._release_if_unused(claim)
        yield AnswerCall(waiting.submit.call_id, result)

    def _handle_due_calls(self, now: Millis) -> Iterator[ClaimsAction]:
        if now < self.next_due_check_at:
            return
        self.next_due_check_at = Millis(now + CLAIM_BATCH_WAIT)
        for waiting in list(self.waiting.values()):
            if waiting.submit.deadline <= now:
                yield from self._end_at_deadline(waiting)
            elif waiting.phase is Phase.ASK_LATER and waiting.due <= now:
                yield from self._decide_without_claim(waiting, now)

    def _start_append(self, now: Millis) -> Iterator[ClaimsAction]:
        busy = self.batch_in_flight is not None or self.append_outcome_unknown
        if busy or not self.caught_up:
            return
        # An empty stream first gets a record without claims, because a daemon that has read no
        # record cannot detect the loss of the stream.
        no_record_read = not self.stream.last_record_digest
        queued = [] if no_record_read else list(self._in_phase(Phase.QUEUED))
        other_work_due = now >= self.log_retry_at and (
            no_record_read or self.releases or self.must_report_loss
        )
        due = other_work_due or any(w.due <= now for w in queued)
        if not due or not self.tokens.take(now):
            return
        claims = tuple(self._new_claim(w, now) for w in queued[:MAX_BATCH_CLAIMS])
        releases = tuple(self.releases.values())[:MAX_BATCH_CLAIMS]
        self.batch_in_flight = ClaimsBatch(claims, releases, 0, self.must_report_loss)
        yield AppendBatch(self.batch_in_flight)

    def _new_claim(self, waiting: CallAwaitingDecision, now: Millis) -> Claim:
        waiting.phase, waiting.appended_offset = Phase.APPENDING, None
        claim_id = waiting.claim_id or self.new_claim_id()
        waiting.claim_id = claim_id
        self.outcomes.set_state(claim_id, ClaimedCallState.NOT_STARTED, now)
        submit = waiting.submit
        return Claim(submit.key, claim_id, self.me, self.control_address, submit.fingerprint)

    def _start_read(self, now: Millis) -> Iterator[ClaimsAction]:
        if self.reading or now < self.log_retry_at or not self._wants_read(now):
            return
        self.reading = True
        self.append_search_started = self.append_outcome_unknown
        yield ReadClaims(self.stream.next_read_offset())

    def _wants_read(self, now: Millis) -> bool:
        if not self.caught_up or self.append_outcome_unknown or now >= self.next_idle_read_at:
            return True
        return any(
            w.phase is Phase.APPENDED or (w.phase is Phase.READ_LATER and w.due <= now)
            for w in self.waiting.values()
        )

    def _in_phase(self, phase: Phase) -> Iterator[CallAwaitingDecision]:
        yield from [w for w in self.waiting.values() if w.phase is phase]
