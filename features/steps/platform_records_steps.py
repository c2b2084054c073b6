import asyncio
import json
from pathlib import Path

from behave import then, when
from platform_steps import poll_until

from agatecross_adapters.log_http import HttpLogService
from agatecross_core.calls.model import Response
from agatecross_core.config.kept_parts import KeptParts
from agatecross_core.customers.keys import KeyHasher
from agatecross_core.errors import LogOutcomeUnknownError, LogUnavailableError, MessageDecodeError
from agatecross_core.ids import Millis, Offset
from agatecross_platform.configuration import decode_config
from agatecross_standins.platform_config import config_record

KEY_HASHER = KeyHasher(b"secret")


@when('a configuration has a route of the kind "{kind}"')
@when('a configuration has a route of the kind ""')
def step_kind(context, kind=""):
    context.host_table = decode_config(config_record(7, [("/k/", kind, "s0")]), KEY_HASHER)


@then('its requests run "{runs}", and the table names {unknown:d} routes of an unknown kind')
def step_runs(context, runs, unknown):
    route = context.host_table.find("a.example", "/k/1")
    assert route.repeat.value == runs, route
    assert len(context.host_table.unknown_kinds) == unknown, context.host_table.unknown_kinds


@when('a configuration with the routes "{after}" follows one with the routes "{before}"')
def step_follows(context, after, before):
    kept_routes = KeptParts()
    for version, text in ((7, before), (8, after)):
        rows = [tuple(words.split()) for words in text.split("; ")]
        context.record = config_record(version, rows)
        context.host_table = decode_config(context.record, KEY_HASHER, kept_routes)


@then("its table is the one that a daemon compiles that has just started")
def step_same_table(context):
    started, followed = decode_config(context.record, KEY_HASHER), context.host_table
    assert followed.version == started.version, followed.version
    assert followed.hosts == started.hosts, followed.hosts
    assert followed.unknown_kinds == started.unknown_kinds, followed.unknown_kinds


def set_field(document, field, value):
    *parents, last = [int(part) if part.isdigit() else part for part in field.split(".")]
    for part in parents:
        document = document[part]
    if value == "-":
        del document[last]
    else:
        document[last] = json.loads(value)


@when('the configuration\'s "{field}" becomes "{value}"')
def step_change_field(context, field, value):
    document = json.loads(config_record(7))
    set_field(document, field, value)
    context.record = json.dumps(document).encode()


@then('decoding gives "{result}"')
def step_decode(context, result):
    try:
        found = f"version {decode_config(context.record, KEY_HASHER).version}"
    except MessageDecodeError:
        found = "unreadable"
    assert found == result, found


@when('the operator writes version {version:d} of one more route, a "{kind}" at "{prefix}"')
def step_write_kind(context, version, kind, prefix):
    record = config_record(version, [(prefix, kind, "s0")])

    async def work():
        context.testbed.store.append_record("keyed.op", "config", record)

    context.testbed.run(work())


@then('the daemons that read it have logged "{event}" once each, with version {version:d} in force')
def step_logged_once(context, event, version):
    counts = []
    for path in context.testbed.log_paths():
        lines = [row for row in Path(path).read_text().splitlines() if f"event={event}" in row]
        assert all(f"in_force={version}" in row for row in lines), lines
        counts.append(len(lines))
    assert max(counts) == 1, counts


@when("the same unreadable configuration is written and read {count:d} times")
def step_unreadable(context, count):
    testbed = context.testbed

    async def work():
        for _ in range(count):
            testbed.store.append_record("keyed.op", "config", b'{"version": 5}')
            end = testbed.store.topics["keyed.op"].end
            readers = [row.store for row in testbed.sidecars if row.store.is_reader()]
            await poll_until(lambda e=end, r=readers: all(s.offset == e for s in r), "a read")

    testbed.run(work())


class OneAnswer:
    """Answers each request to the log service alike."""

    def __init__(self, status, body):
        self.response = Response(status, (), body)

    async def send(self, address, request, timeout):
        return self.response


@when('the log service answers {operation} with status {status:d} and body "{body}"')
@when('the log service answers {operation} with status {status:d} and body ""')
def step_log_answer(context, operation, status, body=""):
    data = b"\xff" if body == "\\xff" else body.encode()
    log = HttpLogService("127.0.0.1:1", OneAnswer(status, data))
    work = (
        log.append("config", b"record")
        if operation == "append"
        else log.read("config", Offset(0), 9, Millis(1))
    )
    try:
        asyncio.run(work)
        context.end = "done"
    except LogOutcomeUnknownError:
        context.end = "outcome unknown"
    except LogUnavailableError:
        context.end = "unavailable"


@then('the operation ends as "{end}"')
def step_log_end(context, end):
    assert context.end == end, context.end
