"""The command `publish`."""

import asyncio
import time
import uuid
from pathlib import Path

from agatecross_adapters.codec import encode_record
from agatecross_adapters.protocols import HttpClient, LogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents
from agatecross_core.config.model import ConfigState, Document, PublishRecord
from agatecross_core.constants import CONFIG_STREAM, RULE_SET
from agatecross_core.errors import LogError, LogOutcomeUnknownError
from agatecross_core.ids import Address, PublishId, Version
from agatecross_core.states import Verdict

from .documents import read_documents
from .exit_codes import ExitCode
from .fleet import ask_all, list_members
from .history import Folded, current_state, find_publish

POLL_SECONDS = 0.2
APPEND_TRIES = 3


async def publish(
    folder: Path, log: LogService, http: HttpClient, daemon: Address, timeout: float
) -> ExitCode:
    """Publish a folder and wait until its version is in force everywhere."""
    documents = tuple(read_documents(folder))
    state = await current_state(log)
    _, findings = compile_documents(documents, decode_toml, Version(state.version + 1))
    if findings:
        for finding in findings:
            print(finding)
        return ExitCode.FINDINGS
    record = new_record(state, documents)
    if not record.documents and not record.removed:
        print(f"version {state.version} already holds these documents")
        return ExitCode.SUCCESS
    folded = await append_once(log, record)
    if folded is None:
        print(f"outcome of publish {record.publish_id} is unknown")
        return ExitCode.UNKNOWN
    if folded.verdict is not Verdict.ACCEPTED:
        print(f"not accepted: {folded.verdict.value}; version in force is {folded.state.version}")
        conflict = folded.verdict is Verdict.CONFLICT
        return ExitCode.CONFLICT if conflict else ExitCode.FINDINGS
    print(f"version {folded.state.version} accepted")
    return await wait_in_force(http, daemon, folded.state.version, timeout)


def new_record(state: ConfigState, documents: tuple[Document, ...]) -> PublishRecord:
    """Return the record that turns the current documents into these."""
    before = {document.name: document.text for document in state.documents}
    names = {document.name for document in documents}
    return PublishRecord(
        PublishId(uuid.uuid4().hex),
        state.version,
        RULE_SET,
        tuple(d for d in documents if before.get(d.name) != d.text),
        tuple(name for name in before if name not in names),
    )


async def append_once(log: LogService, record: PublishRecord) -> Folded | None:
    """Append the record; after a lost answer look for it before appending again."""
    for _ in range(APPEND_TRIES):
        try:
            await log.append(CONFIG_STREAM, encode_record(record))
        except LogOutcomeUnknownError:
            await asyncio.sleep(POLL_SECONDS)
        try:
            folded = await find_publish(log, record.publish_id)
        except LogError:
            continue
        if folded is not None:
            return folded
    return None


async def wait_in_force(
    http: HttpClient, daemon: Address, version: Version, timeout: float
) -> ExitCode:
    """Ask the daemons until each has the version in force."""
    started = time.monotonic()
    waiting = await list_members(http, daemon)
    total = len(waiting)
    while time.monotonic() - started < timeout:
        rows = await ask_all(http, waiting)
        behind = {r.daemon_id for r in rows if r.version is None or r.version < version}
        waiting = tuple(member for member in waiting if member.daemon_id in behind)
        if not waiting:
            took = time.monotonic() - started
            print(f"version {version} in force on {total} daemons after {took:.2f} s")
            return ExitCode.SUCCESS
        await asyncio.sleep(POLL_SECONDS)
    print(f"version {version} is not in force on: {', '.join(m.daemon_id for m in waiting)}")
    return ExitCode.NOT_IN_FORCE
