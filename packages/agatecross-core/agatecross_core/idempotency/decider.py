"""The decision of one daemon about its calls with an idempotency key."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..calls.model import CallResult, not_run, unknown
from ..constants import (
    CLAIM_APPEND_BURST,
    CLAIM_APPEND_REFILL,
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
    Answer,
    AppendBatch,
    AskHolder,
    BatchAppended,
    CallFinished,
    Claim,
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
    Submit,
    TimePassed,
)
from .outcomes import OutcomeStore, result_of
from .stream import Continuity, StreamPosition


class Phase(Enum):
    """What a submitted call waits for."""

    QUEUED = "queued"
    APPENDING = "appending"
    LANDED = "landed"
    ASKING = "asking"
    ASK_LATER = "ask-later"
    READ_LATER = "read-later"
    LOCAL = "local"


OWN_CLAIM_PHASES = frozenset((Phase.QUEUED, Phase.APPENDING, Phase.LANDED))


@dataclass(slots=True)
class Waiting:
    """A submitted call; `due` is when it is batched or polled again."""

    submit: Submit
    phase: Phase
    due: Millis
    claim_id: ClaimId | None = None
    landed: Offset | None = None
    tries: int = 0
    poll: Millis = OUTCOME_POLL_PERIOD


class ClaimDecider:
    """Claims keys on the log, grants calls their start and answers resubmissions."""

    def __init__(
        self,
        me: DaemonId,
        control_address: Address,
        new_claim_id: Callable[[], ClaimId],
        rng: random.Random,
    ) -> None:
        """Start with an unread stream; claim ids must differ between restarts of the process."""
        self.me = me
        self.control_address = control_address
        self.new_claim_id = new_claim_id
        self.rng = rng
        self.fold = ClaimsFold()
        self.store = OutcomeStore()
        self.stream = StreamPosition()
        self.tokens = TokenBucket(CLAIM_APPEND_BURST, CLAIM_APPEND_REFILL)
        self.waiting: dict[CallId, Waiting] = {}
        self.running: dict[ClaimId, IdempotencyKey] = {}
        self.releases: dict[ClaimId, Release] = {}
        self.in_flight: ClaimsBatch | None = None
        self.reading = False
        self.caught_up = False
        self.answer_lost = False
        self.search_started = False
        self.mark_lost = False
        self.log_failing = False
        self.blocked_until = Millis(0)
        self.retry_at = Millis(0)
        self.backoff = CLAIM_RETRY_WAIT
        self.idle_read_at = Millis(0)
        self.next_sweep_at = Millis(0)

    def handle(self, message: ClaimsInput, now: Millis) -> Iterator[ClaimsAction]:
        """Take one input and yield what is to be done."""
        match message:
            case Submit():
                yield from self._submit(message, now)
            case BatchAppended():
                yield from self._appended(message, now)
            case ClaimsRead():
                yield from self._read(message, now)
            case ReadFailed():
                yield from self._read_failed(now)
            case HolderAnswered():
                yield from self._holder_answered(message, now)
            case CallFinished(claim_id, result):
                yield from self._finished(claim_id, result, now)
            case TimePassed():
                pass
        yield from self._sweep(now)
        yield from self._append(now)
        yield from self._start_read(now)

    def reply(self, request: OutcomeRequest) -> OutcomeReply:
        """Answer a peer that has a resubmission of a call whose claim names this daemon."""
        reply = self.store.reply(request.claim_id)
        if reply.state is ClaimedCallState.NOT_STARTED:
            # The peer has read this claim as the holder of the key, which this daemon may not have.
            self._release(request.key, request.claim_id)
        return reply

    def active(self) -> bool:
        """Return whether something waits for time to pass."""
        return bool(self.waiting or self.releases or not self.caught_up)

    def _submit(self, submit: Submit, now: Millis) -> Iterator[ClaimsAction]:
        self.fold.expire(now)
        self.store.expire(now)
        waiting = Waiting(submit, Phase.QUEUED, Millis(now + CLAIM_BATCH_WAIT))
        if submit.deadline <= now:
            yield Answer(submit.call_id, not_run(Reason.DEADLINE))
        elif self.fold.holder(submit.key) is not None:
            self.waiting[submit.call_id] = waiting
            yield from self._contend(waiting, now)
        elif now < self.blocked_until:
            yield Answer(submit.call_id, not_run(Reason.CLAIMS_INCOMPLETE))
        elif len(self.fold) + len(self.waiting) >= MAX_IDEMPOTENCY_KEYS:
            yield Answer(submit.call_id, not_run(Reason.CLAIMS_FULL))
        else:
            self.waiting[submit.call_id] = waiting

    def _contend(self, waiting: Waiting, now: Millis) -> Iterator[ClaimsAction]:
        """Decide about a call whose own claim does not hold its key."""
        waiting.claim_id, waiting.landed = None, None
        claim = self.fold.holder(waiting.submit.key)
        if claim is None and now < self.blocked_until:
            yield from self._answer(waiting, not_run(Reason.CLAIMS_INCOMPLETE))
        elif claim is None:
            waiting.phase, waiting.due = Phase.QUEUED, Millis(now + CLAIM_BATCH_WAIT)
        elif claim.fingerprint != waiting.submit.fingerprint:
            yield from self._answer(waiting, not_run(Reason.KEY_MISMATCH))
        elif claim.holder == self.me:
            yield from self._contend_here(waiting, claim, now)
        else:
            yield self._ask(waiting, claim)

    def _contend_here(self, waiting: Waiting, claim: Claim, now: Millis) -> Iterator[ClaimsAction]:
        reply = self.store.reply(claim.claim_id)
        if reply.state is ClaimedCallState.RUNNING:
            waiting.phase = Phase.LOCAL
        elif reply.state is ClaimedCallState.NOT_STARTED:
            self._release_if_unused(claim)
            waiting.phase, waiting.due = Phase.READ_LATER, Millis(now + CLAIM_RETRY_WAIT)
        else:
            yield from self._answer(waiting, result_of(reply))

    def _ask(self, waiting: Waiting, claim: Claim) -> AskHolder:
        waiting.phase = Phase.ASKING
        request = OutcomeRequest(claim.key, claim.claim_id)
        return AskHolder(waiting.submit.call_id, claim.control_address, request)

    def _holder_answered(self, message: HolderAnswered, now: Millis) -> Iterator[ClaimsAction]:
        waiting = self.waiting.get(message.call_id)
        if waiting is None or waiting.phase is not Phase.ASKING:
            return
        claim = self.fold.holder(waiting.submit.key)
        if claim is None or claim.claim_id != message.claim_id:
            yield from self._contend(waiting, now)
            return
        reply = message.reply
        if reply is None:
            waiting.tries += 1
            if waiting.tries >= MAX_OUTCOME_REQUESTS:
                yield from self._answer(waiting, unknown(Reason.KEY_HOLDER_GONE))
            else:
                yield self._ask(waiting, claim)
            return
        waiting.tries = 0
        if reply.state is ClaimedCallState.RUNNING:
            waiting.phase, waiting.due = Phase.ASK_LATER, Millis(now + waiting.poll)
            waiting.poll = min(Millis(2 * waiting.poll), OUTCOME_TIMEOUT)
        elif reply.state is ClaimedCallState.NOT_STARTED:
            waiting.phase, waiting.due = Phase.READ_LATER, Millis(now + CLAIM_RETRY_WAIT)
        else:
            yield from self._answer(waiting, result_of(reply))

    def _finished(
        self, claim_id: ClaimId, result: CallResult, now: Millis
    ) -> Iterator[ClaimsAction]:
        self.store.finish(claim_id, result, now)
        key = self.running.pop(claim_id, None)
        if key is None:
            return
        if result.outcome is Outcome.NOT_RUN:
            self.releases[claim_id] = Release(key, claim_id)
        local = [w for w in self.waiting.values() if w.phase is Phase.LOCAL and w.submit.key == key]
        for waiting in local:
            yield from self._contend(waiting, now)

    def _appended(self, message: BatchAppended, now: Millis) -> Iterator[ClaimsAction]:
        batch, self.in_flight = self.in_flight, None
        if batch is None:
            return
        self._log_answered(message.state is AppendState.WRITTEN, now)
        if message.state is AppendState.WRITTEN and message.offset is not None:
            self.mark_lost = self.mark_lost and not batch.lost
            self.caught_up = bool(self.stream.last_digest)
            for release in batch.releases:
                self.releases.pop(release.claim_id, None)
            for waiting in self._in_phase(Phase.APPENDING):
                waiting.phase, waiting.landed = Phase.LANDED, message.offset
            return
        if message.state is AppendState.LOST:
            self.answer_lost, self.search_started = True, False
            return
        refused = (Phase.APPENDING,) if self.stream.last_digest else OWN_CLAIM_PHASES
        for phase in refused:
            for waiting in self._in_phase(phase):
                yield from self._answer(waiting, not_run(Reason.LOG_UNAVAILABLE))

    def _read_failed(self, now: Millis) -> Iterator[ClaimsAction]:
        self.reading = False
        self._log_answered(False, now)
        for waiting in self._in_phase(Phase.QUEUED):
            yield from self._answer(waiting, not_run(Reason.LOG_UNAVAILABLE))

    def _log_answered(self, success: bool, now: Millis) -> None:
        """Retry reads and releases after a failure with full jitter and growing waits."""
        self.log_failing = not success
        if success:
            self.backoff, self.retry_at = CLAIM_RETRY_WAIT, now
            return
        self.retry_at = Millis(now + self.rng.uniform(CLAIM_BATCH_WAIT, self.backoff))
        self.backoff = min(Millis(2 * self.backoff), MAX_CLAIM_RETRY_WAIT)

    def _read(self, page: ClaimsRead, now: Millis) -> Iterator[ClaimsAction]:
        self.reading = False
        self._log_answered(True, now)
        self.idle_read_at = Millis(now + CLAIMS_IDLE_READ_PERIOD)
        self.fold.expire(now)
        continuity = self.stream.check(page)
        if continuity is not Continuity.WHOLE:
            self.stream.restart(page)
            self.mark_lost = self.mark_lost or continuity is Continuity.REPLACED
            self.caught_up = False
            yield from self._block(now)
            return
        for row in self.stream.advance(page):
            if row.batch is None:
                # The record may hold claims that this release cannot read.
                yield from self._block(now)
            else:
                yield from self._fold(row.batch, page.wall_ms, now)
        self.caught_up = self.stream.next >= page.end
        yield from self._resolve(now)
        if self.caught_up and self.answer_lost and self.search_started:
            self.answer_lost = False
            # The lost append did not land so far; the same claim ids make a late copy harmless.
            for waiting in self._in_phase(Phase.APPENDING):
                waiting.phase, waiting.due = Phase.QUEUED, now

    def _fold(self, batch: ClaimsBatch, wall_ms: int, now: Millis) -> Iterator[ClaimsAction]:
        self.fold.fold(batch, now)
        for claim in batch.claims:
            if claim.holder == self.me:
                self._release_if_unused(claim)
        if batch.lost and wall_ms - batch.at_ms < IDEMPOTENCY_KEY_RETENTION + MAX_CLOCK_SKEW:
            self.mark_lost = False
            yield from self._block(now)

    def _block(self, now: Millis) -> Iterator[ClaimsAction]:
        """Refuse calls with a key until every claim that may be missing is out of retention."""
        self.blocked_until = Millis(now + IDEMPOTENCY_KEY_RETENTION)
        for phase in OWN_CLAIM_PHASES:
            for waiting in self._in_phase(phase):
                yield from self._answer(waiting, not_run(Reason.CLAIMS_INCOMPLETE))

    def _resolve(self, now: Millis) -> Iterator[ClaimsAction]:
        """Decide about the calls whose claims were read or should have been."""
        for waiting in list(self.waiting.values()):
            claim = self.fold.holder(waiting.submit.key)
            if waiting.phase is Phase.READ_LATER and waiting.due <= now:
                yield from self._contend(waiting, now)
            elif waiting.phase not in OWN_CLAIM_PHASES or waiting.claim_id is None:
                continue
            elif claim is not None and claim.claim_id == waiting.claim_id:
                yield from self._grant(waiting, claim, now)
            elif waiting.landed is not None and self.stream.next > waiting.landed:
                yield from self._contend(waiting, now)

    def _grant(self, waiting: Waiting, claim: Claim, now: Millis) -> Iterator[ClaimsAction]:
        if waiting.submit.deadline <= now:
            yield from self._give_up(waiting)
            return
        del self.waiting[waiting.submit.call_id]
        self.store.put(claim.claim_id, ClaimedCallState.RUNNING, now)
        self.running[claim.claim_id] = claim.key
        yield Grant(waiting.submit.call_id, claim.claim_id)

    def _release_if_unused(self, claim: Claim) -> None:
        """Release an own claim that holds its key for a call that was given up or lost it."""
        holder = self.fold.holder(claim.key)
        if holder is None or holder.claim_id != claim.claim_id:
            return
        if self.store.reply(claim.claim_id).state is not ClaimedCallState.NOT_STARTED:
            return
        self._release(claim.key, claim.claim_id)

    def _release(self, key: IdempotencyKey, claim_id: ClaimId) -> None:
        if not any(waiting.claim_id == claim_id for waiting in self.waiting.values()):
            self.releases[claim_id] = Release(key, claim_id)

    def _give_up(self, waiting: Waiting) -> Iterator[ClaimsAction]:
        if waiting.phase in OWN_CLAIM_PHASES:
            reason = Reason.LOG_UNAVAILABLE if self.log_failing else Reason.DEADLINE
            yield from self._answer(waiting, not_run(reason))
        else:
            yield from self._answer(waiting, unknown(Reason.TIMEOUT))

    def _answer(self, waiting: Waiting, result: CallResult) -> Iterator[ClaimsAction]:
        del self.waiting[waiting.submit.call_id]
        claim = self.fold.holder(waiting.submit.key)
        if claim is not None and claim.claim_id == waiting.claim_id:
            self._release_if_unused(claim)
        yield Answer(waiting.submit.call_id, result)

    def _sweep(self, now: Millis) -> Iterator[ClaimsAction]:
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = Millis(now + CLAIM_BATCH_WAIT)
        for waiting in list(self.waiting.values()):
            if waiting.submit.deadline <= now:
                yield from self._give_up(waiting)
            elif waiting.phase is Phase.ASK_LATER and waiting.due <= now:
                yield from self._contend(waiting, now)

    def _append(self, now: Millis) -> Iterator[ClaimsAction]:
        busy = self.in_flight is not None or self.answer_lost
        if busy or not self.caught_up:
            return
        # A daemon that has read no record could not tell that the stream was lost.
        start = not self.stream.last_digest
        queued = [] if start else list(self._in_phase(Phase.QUEUED))
        own_work = now >= self.retry_at and (start or self.releases or self.mark_lost)
        due = own_work or any(w.due <= now for w in queued)
        if not due or not self.tokens.take(now):
            return
        claims = tuple(self._new_claim(w, now) for w in queued[:MAX_BATCH_CLAIMS])
        releases = tuple(self.releases.values())[:MAX_BATCH_CLAIMS]
        self.in_flight = ClaimsBatch(claims, releases, 0, self.mark_lost)
        yield AppendBatch(self.in_flight)

    def _new_claim(self, waiting: Waiting, now: Millis) -> Claim:
        waiting.phase, waiting.landed = Phase.APPENDING, None
        claim_id = waiting.claim_id or self.new_claim_id()
        waiting.claim_id = claim_id
        self.store.put(claim_id, ClaimedCallState.NOT_STARTED, now)
        submit = waiting.submit
        return Claim(submit.key, claim_id, self.me, self.control_address, submit.fingerprint)

    def _start_read(self, now: Millis) -> Iterator[ClaimsAction]:
        if self.reading or now < self.retry_at or not self._wants_read(now):
            return
        self.reading = True
        self.search_started = self.answer_lost
        yield ReadClaims(self.stream.start())

    def _wants_read(self, now: Millis) -> bool:
        if not self.caught_up or self.answer_lost or now >= self.idle_read_at:
            return True
        return any(
            w.phase is Phase.LANDED or (w.phase is Phase.READ_LATER and w.due <= now)
            for w in self.waiting.values()
        )

    def _in_phase(self, phase: Phase) -> Iterator[Waiting]:
        yield from [w for w in self.waiting.values() if w.phase is phase]
