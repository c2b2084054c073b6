"""Appends a publish record so that a lost answer does not publish it twice."""

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
from .history import Folded, History, read_history

RETRY_BASE = Millis(100)
RETRY_CAP = Millis(2_000)
APPEND_TRIES = 4
READ_TRIES = 6


async def append_once(context: Context, record: PublishRecord) -> tuple[History, Folded]:
    """Return the history and the folded record; raises `CommandError` with what is known."""
    maybe_applied = False
    reason = ""
    for attempt in range(APPEND_TRIES):
        try:
            await context.log.append(CONFIG_STREAM, encode_record(record))
            maybe_applied = True
        except LogOutcomeUnknownError as error:
            maybe_applied, reason = True, error.reason
        except LogError as error:
            reason = error.reason
        if not maybe_applied:
            await _pause(attempt)
            continue
        history = await _read(context.log, record)
        folded = history.find(record.publish_id)
        if folded is not None:
            return history, folded
    if maybe_applied:
        raise _unknown(record, reason)
    raise CommandError(
        ExitCode.LOG_UNREACHABLE, f"log service unreachable, nothing was published: {reason}"
    )


async def _read(log: LogService, record: PublishRecord) -> History:
    reason = ""
    for attempt in range(READ_TRIES):
        try:
            return await read_history(log)
        except LogError as error:
            reason = error.reason
            await _pause(attempt)
    raise _unknown(record, reason)


def _unknown(record: PublishRecord, reason: str) -> CommandError:
    message = (
        f"outcome of publish {record.publish_id} is unknown: {reason}; "
        "`agatecross log` shows it once the log service answers"
    )
    return CommandError(ExitCode.UNKNOWN, message)


async def _pause(attempt: int) -> None:
    delay = full_jitter(attempt, RETRY_BASE, RETRY_CAP, random.Random())
    await asyncio.sleep(delay / 1000)
