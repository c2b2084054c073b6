"""Records, messages and actions of the claims on idempotency keys."""

from dataclasses import dataclass

from ..calls.model import CallResult, Headers
from ..ids import Address, CallId, ClaimId, DaemonId, Fingerprint, IdempotencyKey, Millis, Offset
from ..states import AppendState, ClaimedCallState


@dataclass(frozen=True, slots=True)
class Claim:
    """Record: `holder` wants to run the call with this key; answers at `control_address`."""

    key: IdempotencyKey
    claim_id: ClaimId
    holder: DaemonId
    control_address: Address
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class Release:
    """Record: the claim was not and will not be used to run the call."""

    key: IdempotencyKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimsBatch:
    """Record of the claims stream: its releases are folded before its claims.

    `at_ms` is the writer's wall clock; `lost` says that earlier records of the stream are missing.
    """

    claims: tuple[Claim, ...] = ()
    releases: tuple[Release, ...] = ()
    at_ms: int = 0
    lost: bool = False


@dataclass(frozen=True, slots=True)
class OffsetBatch:
    """A record of the claims stream with the digest of its data; None when it is unreadable."""

    offset: Offset
    digest: str
    batch: ClaimsBatch | None


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Control message: asks the holder for the outcome behind a claim."""

    key: IdempotencyKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Control message: state behind a claim; status 0 when the response is no longer there."""

    state: ClaimedCallState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Submit:
    """Input: a call with a key arrived."""

    call_id: CallId
    key: IdempotencyKey
    fingerprint: Fingerprint
    deadline: Millis


@dataclass(frozen=True, slots=True)
class BatchAppended:
    """Input: the append in flight ended; `offset` is there when it landed."""

    state: AppendState
    offset: Offset | None = None


@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """Input: a page of the stream; `wall_ms` is this instance's wall clock."""

    records: tuple[OffsetBatch, ...]
    first: Offset
    end: Offset
    wall_ms: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Input: the read in flight gave no page."""


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """Input: the holder's answer for a waiting call; None when it gave none."""

    call_id: CallId
    claim_id: ClaimId
    reply: OutcomeReply | None


@dataclass(frozen=True, slots=True)
class CallFinished:
    """Input: a call that was granted its claim has a result."""

    claim_id: ClaimId
    result: CallResult


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Input: time went on."""


ClaimsInput = (
    Submit | BatchAppended | ClaimsRead | ReadFailed | HolderAnswered | CallFinished | TimePassed
)


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Action: append the record."""

    batch: ClaimsBatch


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Action: read the stream from `start` to its end."""

    start: Offset


@dataclass(frozen=True, slots=True)
class Grant:
    """Action: start the call; its result must come back as `CallFinished`."""

    call_id: CallId
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class Answer:
    """Action: answer the call with this result; it is not to be started."""

    call_id: CallId
    result: CallResult


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Action: send the request to the holder."""

    call_id: CallId
    holder: Address
    request: OutcomeRequest


ClaimsAction = AppendBatch | ReadClaims | Grant | Answer | AskHolder
