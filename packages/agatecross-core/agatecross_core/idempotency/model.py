"""Records, control messages, inputs and actions of claims on idempotency keys."""

from dataclasses import dataclass

from ..calls.model import CallResult, Headers
from ..constants import NO_ERA
from ..ids import (
    Address,
    CallId,
    ClaimId,
    DaemonId,
    Fingerprint,
    IdempotencyKey,
    Millis,
    Offset,
    StoreEra,
)
from ..states import AppendState, ClaimedCallState


@dataclass(frozen=True, slots=True)
class Claim:
    """Record: `holder`, reached at `control_address`, wants to run the call with this key."""

    key: IdempotencyKey
    claim_id: ClaimId
    holder: DaemonId
    control_address: Address
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class Release:
    """Record: the claim has not been used to run the call and never will be."""

    key: IdempotencyKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimsBatch:
    """Record of the claims stream; its releases are folded before its claims.

    `at_ms` is the wall clock of the writer in milliseconds. `lost` tells readers that earlier
    records of the stream are missing.
    """

    claims: tuple[Claim, ...] = ()
    releases: tuple[Release, ...] = ()
    at_ms: int = 0
    lost: bool = False


@dataclass(frozen=True, slots=True)
class OffsetBatch:
    """A claims stream record and the digest of its data; `batch` is None if undecodable."""

    offset: Offset
    digest: str
    batch: ClaimsBatch | None


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Control message: asks the holder for the outcome of the call of a claim."""

    key: IdempotencyKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Control message: state of the call of a claim; status 0 if there is no response."""

    state: ClaimedCallState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallSubmitted:
    """Input: a call with an idempotency key arrived."""

    call_id: CallId
    key: IdempotencyKey
    fingerprint: Fingerprint
    deadline: Millis


@dataclass(frozen=True, slots=True)
class BatchAppended:
    """Input: the append in flight ended; `offset` is set if the record was written."""

    state: AppendState
    offset: Offset | None = None


@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """Input: a page of the claims stream.

    `first` is the oldest retained offset, `end` the offset after the newest record, and `wall_ms`
    the wall clock of this instance in milliseconds. `era` rises whenever the log comes back from an
    older copy.
    """

    records: tuple[OffsetBatch, ...]
    first: Offset
    end: Offset
    wall_ms: int
    era: StoreEra = NO_ERA


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Input: the read in flight failed."""


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """Input: the holder's answer for a waiting call; `reply` is None if it did not answer."""

    call_id: CallId
    claim_id: ClaimId
    reply: OutcomeReply | None


@dataclass(frozen=True, slots=True)
class ClaimedCallFinished:
    """Input: a call that a `Grant` started ended with this result."""

    claim_id: ClaimId
    result: CallResult


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Input: time passed, so that calls, appends or reads may be due."""


ClaimsInput = (
    CallSubmitted
    | BatchAppended
    | ClaimsRead
    | ReadFailed
    | HolderAnswered
    | ClaimedCallFinished
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Action: append the record to the claims stream."""

    batch: ClaimsBatch


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Action: read the claims stream from `start` to its end."""

    start: Offset


@dataclass(frozen=True, slots=True)
class Grant:
    """Action: start the call; its result must be reported as `ClaimedCallFinished`."""

    call_id: CallId
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Action: answer the call with this result instead of starting it."""

    call_id: CallId
    result: CallResult


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Action: send the request to the holder."""

    call_id: CallId
    holder: Address
    request: OutcomeRequest


ClaimsAction = AppendBatch | ReadClaims | Grant | AnswerCall | AskHolder
