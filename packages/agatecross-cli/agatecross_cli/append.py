"""Appends a publish record in such a way that a lost answer cannot publish it twice."""

import asyncio
import random

from agatecross_adapters.codec import encode_record
from agatecross_adapters.protocols import LogService
from agatecross_core.config.model import PublishRecord
from agatecross_core.constants import CONFIG_STREAM
from agatecross_core.errors import LogError, LogOutcomeUnknownError
from agatecross_core.ids import Millis
from agatecross_core.pacing import full_jitter

from .command import CommandError, Context
from .exit_codes import ExitCode
from .history import FoldedRecord, History, read_history

RETRY_BASE_DELAY_MS = Millis(100)
RETRY_MAX_DELAY_MS = Millis(2_000)
MAX_APPEND_ATTEMPTS = 4
MAX_READ_ATTEMPTS = 6


async def append_once(context: Context, record: PublishRecord) -> tuple[History, FoldedRecord]:
    """Append the record and return the history with the folded record.

    After an append that may have been applied, the log is searched for the publish id before the
    next attempt. Raises a `CommandError` whose message tells whether nothing was published or the
    outcome is unknown.
    """
    may_be_applied = False
    reason = ""
    for attempt in range(MAX_APPEND_ATTEMPTS):
        try:
            await context.log.append(CONFIG_STREAM, encode_record(record))
            may_be_applied = True
        except LogOutcomeUnknownError as error:
            may_be_applied, reason = True, error.reason
        except LogError as error:
            reason = error.reason
        if not may_be_applied:
            await _wait_before_retry(attempt)
            continue
        history = await _read_with_retries(context.log, record)
        folded = history.find_publish(record.publish_id)
        if folded is not None:
            return history, folded
    if may_be_applied:
        raise _unknown_outcome_error(record, reason)
    raise CommandError(
        ExitCode.LOG_UNREACHABLE, f"log service unreachable, nothing was published: {reason}"
    )


async def _read_with_retries(log: LogService, record: PublishRecord) -> History:
    reason = ""
    for attempt in range(MAX_READ_ATTEMPTS):
        try:
            return await read_history(log)
        except LogError as error:
            reason = error.reason
            await _wait_before_retry(attempt)
    raise _unknown_outcome_error(record, reason)


def _unknown_outcome_error(record: PublishRecord, reason: str) -> CommandError:
    message = (
        f"outcome of publish {record.publish_id} is unknown: {reason}; "
        "`agatecross log` shows it once the log service answers"
    )
    return CommandError(ExitCode.UNKNOWN, message)


async def _wait_before_retry(attempt: int) -> None:
    delay = full_jitter(attempt, RETRY_BASE_DELAY_MS, RETRY_MAX_DELAY_MS, random.Random())
    await asyncio.sleep(delay / 1000)
