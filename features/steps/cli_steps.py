import asyncio
import io
import json
import shutil
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when

import agatecross_cli.append as append_module
import agatecross_cli.in_force as in_force
from agatecross_adapters.codec import encode_record
from agatecross_adapters.protocols import LogEntry, LogPage
from agatecross_cli.command import Context
from agatecross_cli.commands.publish import COMMAND as PUBLISH
from agatecross_cli.commands.publish import new_record
from agatecross_cli.documents import read_documents
from agatecross_cli.fleet import DaemonStatus
from agatecross_cli.history import read_history
from agatecross_cli.in_force import WaitReporter
from agatecross_cli.main import execute
from agatecross_cli.output import FORMATTERS
from agatecross_core.calls.model import Response
from agatecross_core.config.documents import BASE, Document
from agatecross_core.config.model import ConfigState, PublishRecord
from agatecross_core.errors import (
    ConnectFailedError,
    LogOutcomeUnknownError,
    LogUnavailableError,
)
from agatecross_core.members.records import Member
from agatecross_core.states import MemberState
from agatecross_standins.fleet import fetch, wait_until

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class MemoryLog:
    """A log in memory whose next operations fail as its attributes say."""

    def __init__(self):
        self.data = []
        self.append_faults = []
        self.reads_left = None
        self.before_append = None

    async def append(self, stream, data):
        if self.before_append:
            self.data.append(self.before_append)
            self.before_append = None
        fault = self.append_faults.pop(0) if self.append_faults else "none"
        if fault == "refused":
            raise LogUnavailableError(stream, "refused")
        if fault != "lost":
            self.data.append(data)
        if fault != "none":
            raise LogOutcomeUnknownError(stream, "no answer")
        return len(self.data) - 1

    async def read(self, stream, start, limit, wait):
        if self.reads_left is not None:
            self.reads_left -= 1
            if self.reads_left < 0:
                raise LogUnavailableError(stream, "outage")
        entries = [LogEntry(i, row) for i, row in enumerate(self.data)][start : start + limit]
        return LogPage(tuple(entries), 0, len(self.data))


class MemoryDaemons:
    """Two daemons that have the log's newest version in force, unless `case` says otherwise."""

    def __init__(self, log):
        self.log = log
        self.case = ""
        self.members = [
            Member(name, 1, MemberState.ALIVE, "r", "a", *(f"127.0.0.1:{port}" for port in ports))
            for name, ports in (("d1", (1, 2, 3, 4)), ("d2", (5, 6, 7, 8)))
        ]

    async def send(self, address, request, timeout):
        if self.case == "the daemon does not answer":
            raise ConnectFailedError(address, "refused")
        if request.path.endswith("/members"):
            return Response(200, (), msgspec.json.encode(self.members))
        reads_left, self.log.reads_left = self.log.reads_left, None
        state = (await read_history(self.log)).state
        self.log.reads_left = reads_left
        version, digest = state.version, state.digest
        if self.case == "the daemons are ahead of the log":
            version += 1
        if address == self.members[1].admin_address:
            version -= self.case == "a daemon stays behind"
            digest = "x" if self.case == "a daemon has another digest" else digest
        body = {"daemon_id": "d", "state": "ready", "version": version, "digest": digest}
        return Response(200, (), msgspec.json.encode(body))


def copy_example(context, name):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.folder = Path(directory.name) / name
    shutil.copytree(EXAMPLES / name, context.folder)


def edit_file(context, file, old, new):
    path = context.folder / file
    text = path.read_text(encoding="utf-8")
    assert old in text, (file, old)
    path.write_text(text.replace(old, new, 1), encoding="utf-8")


def change_timeout(context, value):
    path = context.folder / "overlays" / "aarhus-a.toml"
    path.write_text(f"[services.van-booking]\ntimeout_ms = {value}\n", encoding="utf-8")


@given('a log that holds the example configuration "{name}" as version 1 by "{author}"')
def fill_log(context, name, author):
    copy_example(context, name)
    context.log = MemoryLog()
    documents = tuple(read_documents(context.folder))
    context.log.data.append(encode_record(new_record(ConfigState(), documents, author)))


@when('an operator publishes a changed folder while "{case}"')
def publish_while(context, case):
    log = context.log
    daemons = MemoryDaemons(log)
    daemons.case = case
    if case != "the folder did not change":
        change_timeout(context, 3111)
    faults = {
        "an applied append is not answered": ["applied"],
        "a lost append is not answered": ["lost"],
        "two appends are refused": ["refused"] * 2,
        "every append is refused": ["refused"] * 99,
    }
    log.append_faults = faults.get(case, [])
    if case == "another publish comes first":
        other = Document(BASE, (context.folder / "base.toml").read_text() + "# changed\n")
        log.before_append = encode_record(PublishRecord("other", 1, 1, (other,), (), "bob"))
    log.reads_left = {"reads fail": 0, "reads fail after the append": 1}.get(case)
    parent = 0 if case == "another parent is required" else None
    context_of_run = Context(log, daemons, "127.0.0.1:4", 0.1, "carol", "", parent)
    base, append_module.RETRY_BASE_DELAY_MS = append_module.RETRY_BASE_DELAY_MS, 0.1
    try:
        run = execute(PUBLISH, context_of_run, [str(context.folder)])
        context.run = asyncio.run(run)
    finally:
        append_module.RETRY_BASE_DELAY_MS = base


@then('the result has code {code:d} and {records:d} new records and its text has "{text}"')
def check_result(context, code, records, text):
    shown = "\n".join(context.run.lines) + json.dumps(msgspec.to_builtins(context.run.body))
    assert context.run.code == code, (context.run.code, shown)
    assert len(context.log.data) == 1 + records, len(context.log.data)
    assert text in shown, shown


def parse_status(word):
    if word.startswith("!"):
        return DaemonStatus(word[1:], "a", "unreachable", None, "")
    return DaemonStatus(word, "a", "ready", 1, "")


@given('a publish of version {version:d} whose daemons are asked at "{asked}"')
def ask_daemons(context, version, asked):
    reports = WaitReporter(version, 0.0)
    context.reports = []
    for row in asked.split("; "):
        at, *words = row.split()
        reason = "daemon 127.0.0.1:4: refused" if words == ["?"] else ""
        behind = () if reason else tuple(map(parse_status, words))
        context.reports += ((at, line) for line in reports.report(behind, reason, float(at)))


@then('it reports at "{reported}" on standard error "{text}"')
def check_reports(context, reported, text):
    assert [at for at, _ in context.reports] == reported.split(), context.reports
    assert text in context.reports[-1][1], context.reports


@then('it reports at "" on standard error ""')
def check_no_reports(context):
    assert context.reports == [], context.reports


@when("an operator publishes a changed folder in {output_format} while a daemon stays behind")
def publish_while_daemon_behind(context, output_format):
    error, output = io.StringIO(), io.StringIO()
    first = mock.patch.object(in_force, "FIRST_REPORT_SECONDS", 0.0)
    with first, redirect_stderr(error), redirect_stdout(output):
        publish_while(context, "a daemon stays behind")
        print(FORMATTERS[output_format](context.run))
    context.shown = (output.getvalue(), error.getvalue())


@then('standard error names "{text}" and standard output has only the result in {output_format}')
def check_streams(context, text, output_format):
    output, error = context.shown
    assert text in error, error
    (line,) = output.splitlines()
    if output_format == "json":
        assert json.loads(line)["exit_code"] == 4, output
    else:
        assert line == "version 2 accepted, but not in force on: d2", output


@given('a copy of the example configuration "{name}" with five faults')
def write_faults(context, name):
    copy_example(context, name)
    edit_file(context, "base.toml", "hedge_quantile", "hedge_quantle")
    edit_file(context, "base.toml", "attempts = 2", "attempts = 20")
    edit_file(context, "base.toml", 'service = "van-booking"', 'service = "van-bookin"')
    edit_file(context, "overlays/aalborg-b.toml", "timeout_ms = 3000", 'timeout_ms = "3000"')
    edit_file(context, "overlays/aarhus-a.toml", "timeout_ms = 3000", "timeout_ms = = 3000")


@when('the client runs with "{arguments}"')
def run_client(context, arguments):
    if not hasattr(context, "folder"):
        copy_example(context, "lysknude")
    words = arguments.replace("FOLDER", str(context.folder)).split()
    command = [sys.executable, "-m", "agatecross_cli", *words]
    context.result = subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False
    )


@when('the client runs with ""')
def run_client_bare(context):
    run_client(context, "")


@then('it ends with code {code:d} and its output has "{text}"')
def check_output(context, code, text):
    result = context.result
    assert result.returncode == code, result
    assert text in result.stdout + result.stderr, result
    assert "Traceback" not in result.stderr, result


@then('it ends with code {code:d} and lists exactly these findings as "{output_format}"')
def check_listed(context, code, output_format):
    assert context.result.returncode == code, context.result
    wanted = [tuple(row) for row in context.table]
    if output_format == "json":
        rows = json.loads(context.result.stdout)["result"]["findings"]
        found = [(r["file"], str(r["line"]), r["key"], r["code"]) for r in rows]
        assert all(r["message"] for r in rows), rows
    else:
        parts = [line.split(":", 3) for line in context.result.stdout.splitlines()]
        found = [(p[0], p[1], p[2].strip(), p[3].rsplit("[", 1)[1].rstrip("]")) for p in parts]
    assert sorted(found) == sorted(wanted), found


@when("three operators publish at once on version {version:d}")
def publish_at_once(context, version):
    def run(author):
        folder = Path(tempfile.mkdtemp(dir=context.fleet.directory))
        shutil.copytree(EXAMPLES / "lysknude", folder, dirs_exist_ok=True)
        overlay = folder / "overlays" / "aarhus-a.toml"
        number = 3001 + ["anna", "bent", "carl"].index(author)
        overlay.write_text(f"[services.van-booking]\ntimeout_ms = {number}\n")
        flags = (f"--author={author}", f"--parent={version}", "--format=json")
        return context.fleet.run_cli("publish", str(folder), *flags)

    authors = ("anna", "bent", "carl")
    with ThreadPoolExecutor(3) as pool:
        context.results = dict(zip(authors, pool.map(run, authors), strict=True))


@then('the exit codes are "{codes}" and the refused publishes name the winner')
def check_exit_codes(context, codes):
    results = context.results
    found = sorted(result.returncode for result in results.values())
    assert ", ".join(map(str, found)) == codes, results
    winner = next(author for author, result in results.items() if result.returncode == 0)
    for result in results.values():
        if result.returncode == 3:
            body = json.loads(result.stdout)["result"]
            assert body["winner"]["author"] == winner, body


@then("every daemon has version {version:d}")
def check_versions(context, version):
    context.fleet.wait_version(version)
    rows = [context.fleet.status(node) for node in context.fleet.nodes]
    assert {row["version"] for row in rows} == {version}, rows
    assert len({row["digest"] for row in rows}) == 1, rows


@when("an operator publishes while answers of the log are lost")
def publish_with_lost_answers(context):
    copy_example(context, "lysknude")
    change_timeout(context, 3200)
    # Daemons' announcements may use up some of the lost answers; the publish needs one.
    context.fleet.set_log_switches(lose_answers=3)
    context.result = context.fleet.run_cli("publish", str(context.folder), "--author=dora")
    context.fleet.set_log_switches(lose_answers=0)


def read_log_records(context):
    result = context.fleet.run_cli("log", "--format=json")
    assert result.returncode == 0, result
    return json.loads(result.stdout)["result"]["records"]


@then('the log holds one publish by "{author}"')
def check_published_once(context, author):
    rows = [row for row in read_log_records(context) if row["author"] == author]
    assert [row["verdict"] for row in rows] == ["accepted"], rows


@when("a publish with a bad overlay is appended without the client's check")
def append_bad_publish(context):
    text = "[services.van-booking]\n\ntimeout_ms = -1\nattemps = 1\n"
    documents = (
        Document("aalborg-b", text),
        Document("aarhus-a", "[services.van-booking]\ntimeout_ms = 9999\n"),
    )
    record = PublishRecord("bad", 3, 1, documents, (), "eve")
    url = f"http://{context.fleet.log_address}/streams/config/records"
    status, _, _ = fetch(url, "POST", encode_record(record))
    assert status == 200


@then('the log shows it as rejected with findings at "{places}"')
def check_rejected(context, places):
    row = next(row for row in read_log_records(context) if row["publish_id"] == "bad")
    assert row["verdict"] == "rejected", row
    found = [f"{f['file']}:{f['line']}" for f in row["findings"]]
    assert found == places.split(", "), row["findings"]
    # A reader logs the verdict once it has folded the record.
    outputs = list(context.fleet.directory.glob("*-daemon.out"))
    wait_until(
        lambda: any("verdict=rejected findings=2" in path.read_text() for path in outputs),
        "a daemon to report the findings",
    )


@when("the log fails and half of the daemons are replaced")
def replace_half_of_daemons(context):
    fleet = context.fleet
    fleet.set_log_switches(outage=True)
    for node in fleet.nodes[::2]:
        fleet.stop_daemon(node, signal.SIGKILL)
        fleet.start_daemon(node)
    for node in fleet.nodes:
        wait_until(lambda node=node: fleet.status(node) is not None, f"{node.name} to start")


@then('the client\'s "{command}" ends with code {code:d} and shows "{text}"')
def check_command(context, command, code, text):
    folders = {"FOLDER": str(context.folder), "EXAMPLE": str(EXAMPLES / "lysknude")}
    result = context.fleet.run_cli(*(folders.get(word, word) for word in command.split()))
    assert result.returncode == code, result
    assert text in result.stdout + result.stderr, result


@when("the log works again and is empty")
def restore_empty_log(context):
    context.fleet.set_log_switches(outage=False, reset=True)


@when("an operator publishes until the log holds the version in force")
def publish_until(context):
    change_timeout(context, 3300)
    codes = []

    def accepted():
        result = context.fleet.run_cli("publish", str(context.folder))
        codes.append(result.returncode)
        return result.returncode != 5

    wait_until(accepted, "the snapshot after the log was replaced", 60)
    assert codes[-1] == 0, codes
