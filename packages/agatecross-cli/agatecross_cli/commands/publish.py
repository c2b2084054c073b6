"""The command `publish`: appends a publish once and waits until it is in force everywhere."""

import uuid
from collections.abc import Sequence
from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents, lowest_rules
from agatecross_core.config.documents import Document
from agatecross_core.config.model import ConfigState, PublishRecord
from agatecross_core.ids import PublishId, Version
from agatecross_core.states import PublishVerdict

from ..append import append_once
from ..command import Command, CommandError, Context, Result
from ..documents import read_documents
from ..exit_codes import ExitCode
from ..findings_output import findings_result
from ..fleet import fetch_version
from ..history import History, read_history
from ..in_force import wait_in_force

MAX_HISTORY_READS = 3


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Publish a folder and wait until its version is in force everywhere."""
    documents = tuple(read_documents(Path(arguments[0])))
    history = await read_parent_history(context)
    state = history.state
    if context.parent not in (None, state.version):
        return conflict_result(history, "", Version(context.parent or 0))
    _, findings = compile_documents(documents, decode_toml, Version(state.version + 1))
    if findings:
        return findings_result(findings)
    record = new_record(state, documents, context.author)
    if not record.documents and not record.removed:
        line = f"version {state.version} already holds these documents"
        return Result(ExitCode.SUCCESS, (line,), {"version": state.version, "changed": False})
    history, folded = await append_once(context, record)
    match folded.verdict:
        case PublishVerdict.ACCEPTED:
            version, digest = folded.state.version, folded.state.digest
            return await wait_in_force(context, version, digest, record.publish_id)
        case PublishVerdict.CONFLICT:
            return conflict_result(history, record.publish_id, record.parent)
        case _:
            return findings_result(folded.findings)


async def read_parent_history(context: Context) -> History:
    """Return the history on the log.

    Raises `CommandError` when a daemon has a newer version in force than the log holds.
    """
    daemon_version = None
    for _ in range(MAX_HISTORY_READS):
        history = await read_history(context.log)
        state = history.state
        daemon_version = await fetch_version(context.http, context.daemon)
        if daemon_version is None or daemon_version <= state.version:
            return history
    # The log would accept a publish now, but no daemon would put it in force.
    message = (
        f"the log holds version {state.version}, but version {daemon_version} is in force: "
        "the log was replaced; the daemons write a snapshot, try again in a few seconds"
    )
    raise CommandError(ExitCode.LOG_UNREACHABLE, message)


def new_record(
    state: ConfigState, documents: tuple[Document, ...], author: str = ""
) -> PublishRecord:
    """Return the record that changes the documents of `state` to these."""
    before = {document.name: document.text for document in state.documents}
    names = {document.name for document in documents}
    return PublishRecord(
        PublishId(uuid.uuid4().hex),
        state.version,
        lowest_rules(documents, decode_toml),
        tuple(d for d in documents if before.get(d.name) != d.text),
        tuple(name for name in before if name not in names),
        author,
    )


def conflict_result(history: History, publish_id: str, parent: Version) -> Result:
    """Return the result of a publish whose parent is not the newest version.

    It names the publish that became the next version after the parent.
    """
    next_version = Version(parent + 1)
    winner = find_accepted_publish(history, next_version)
    author, winner_id = (winner.author, winner.publish_id) if winner else ("", "")
    version = history.state.version
    reason = f"version {next_version} by {author or 'unknown'} was accepted first"
    if version < next_version:
        reason = f"version {parent} does not exist"
    line = f"conflict: {reason}; the newest version is {version}; nothing was applied"
    body = {
        "publish_id": publish_id,
        "parent": parent,
        "version": version,
        "winner": {"version": next_version, "author": author, "publish_id": winner_id},
    }
    return Result(ExitCode.CONFLICT, (line,), body)


def find_accepted_publish(history: History, version: Version) -> PublishRecord | None:
    """Return the publish that created a version, if the log still holds it."""
    for row in history.rows:
        accepted = row.verdict is PublishVerdict.ACCEPTED and row.state.version == version
        if accepted and isinstance(row.record, PublishRecord):
            return row.record
    return None


COMMAND = Command("publish FOLDER", 1, 1, run)
