"""Reads and appends to the claims stream; exchanges the outcomes of claims with peers."""

import asyncio
import hashlib
import time
from collections.abc import Iterable, Iterator
from dataclasses import replace

from agatecross_adapters.codec import decode_record, encode_record
from agatecross_adapters.protocols import LogPage, LogService
from agatecross_core.calls.model import CallResult
from agatecross_core.constants import (
    CLAIM_BATCH_WAIT,
    CLAIMS_PAGE_RECORDS,
    CLAIMS_STREAM,
    OUTCOME_TIMEOUT,
)
from agatecross_core.errors import (
    LogError,
    LogOutcomeUnknownError,
    LogUnavailableError,
    MessageDecodeError,
)
from agatecross_core.idempotency.decider import ClaimDecider
from agatecross_core.idempotency.model import (
    AnswerCall,
    AppendBatch,
    AskHolder,
    BatchAppended,
    CallSubmitted,
    ClaimsAction,
    ClaimsBatch,
    ClaimsInput,
    ClaimsRead,
    Grant,
    HolderAnswered,
    OffsetBatch,
    OutcomeReply,
    OutcomeRequest,
    ReadClaims,
    ReadFailed,
    TimePassed,
)
from agatecross_core.ids import CallId, Millis, Offset
from agatecross_core.states import AppendState

from ..events import log_warning
from ..mailbox import Ask, Mailbox, Sender, monotonic_ms
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks

ACTIVE_WAIT_SECONDS = CLAIM_BATCH_WAIT / 1000
IDLE_WAIT_SECONDS = 1.0

ClaimAsk = Ask[CallSubmitted, Grant | CallResult]
ClaimsMessage = ClaimAsk | ReceivedAsk | ClaimsInput


class ClaimsTask:
    """Carries out the decisions of its `ClaimDecider`: appends, reads, and requests to holders."""

    def __init__(
        self,
        mailbox: Mailbox[ClaimsMessage],
        decider: ClaimDecider,
        control: Sender[ControlAsk],
        log: LogService,
    ) -> None:
        self.mailbox = mailbox
        self.decider = decider
        self.control = control
        self.log = log
        self.asks: dict[CallId, ClaimAsk] = {}
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            while True:
                self._handle(await self._next_message())
        finally:
            self.subtasks.cancel()

    async def _next_message(self) -> ClaimsMessage:
        seconds = ACTIVE_WAIT_SECONDS if self.decider.has_pending_work() else IDLE_WAIT_SECONDS
        try:
            async with asyncio.timeout(seconds):
                return await self.mailbox.get()
        except TimeoutError:
            return TimePassed()

    def _handle(self, message: ClaimsMessage) -> None:
        if not isinstance(message, Ask):
            self._execute_actions(self.decider.handle(message, monotonic_ms()))
        elif isinstance(message.payload, CallSubmitted):
            submit = message.payload
            self.asks[submit.call_id] = message
            self._execute_actions(self.decider.handle(submit, monotonic_ms()))
        else:
            request = message.payload.message
            assert isinstance(request, OutcomeRequest)
            message.answer(self.decider.reply(request))

    def _execute_actions(self, actions: Iterable[ClaimsAction]) -> None:
        for action in actions:
            match action:
                case AppendBatch(batch):
                    self.subtasks.start(self._append_batch(batch))
                case ReadClaims(start):
                    self.subtasks.start(self._read_claims(start))
                case Grant(call_id):
                    self.asks.pop(call_id).answer(action)
                case AnswerCall(call_id, result):
                    self.asks.pop(call_id).answer(result)
                case AskHolder():
                    self.subtasks.start(self._ask_holder(action))

    async def _append_batch(self, batch: ClaimsBatch) -> None:
        record = replace(batch, at_ms=_wall_clock_ms())
        try:
            offset = await self.log.append(CLAIMS_STREAM, encode_record(record))
        except LogUnavailableError as error:
            log_warning("claims_append_failed", reason=error)
            self.mailbox.put(BatchAppended(AppendState.REFUSED))
        except LogOutcomeUnknownError as error:
            log_warning("claims_append_unknown", reason=error)
            self.mailbox.put(BatchAppended(AppendState.LOST))
        else:
            self.mailbox.put(BatchAppended(AppendState.WRITTEN, offset))

    async def _read_claims(self, start: Offset) -> None:
        try:
            page = await self.log.read(CLAIMS_STREAM, start, CLAIMS_PAGE_RECORDS, Millis(0))
        except LogError as error:
            log_warning("claims_read_failed", reason=error)
            self.mailbox.put(ReadFailed())
            return
        records = tuple(_decode_page(page))
        wall_ms = _wall_clock_ms()
        self.mailbox.put(ClaimsRead(records, page.first, page.end, wall_ms, page.era))

    async def _ask_holder(self, action: AskHolder) -> None:
        answer = await send_control(self.control, action.holder, action.request, OUTCOME_TIMEOUT)
        reply = answer if isinstance(answer, OutcomeReply) else None
        self.mailbox.put(HolderAnswered(action.call_id, action.request.claim_id, reply))


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)


def _decode_page(page: LogPage) -> Iterator[OffsetBatch]:
    for entry in page.entries:
        digest = hashlib.blake2b(entry.data, digest_size=16).hexdigest()
        try:
            batch = decode_record(entry.data, ClaimsBatch)
        except MessageDecodeError as error:
            log_warning("record_ignored", offset=entry.offset, reason=error)
            batch = None
        yield OffsetBatch(entry.offset, digest, batch)
