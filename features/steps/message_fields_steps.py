import asyncio
import copy
import json
from pathlib import Path
from typing import get_args

import msgspec
from behave import then, when
from fuzz_steps import HEARTBEAT, KEY_HASHER
from hypothesis import given as given_example
from hypothesis import seed, settings
from hypothesis import strategies as st
from platform_records_steps import set_field

from agatecross_core.errors import MessageDecodeError
from agatecross_platform.configuration import WireConfig, decode_config
from agatecross_platform.heartbeats import (
    WireHeartbeat,
    WireLeave,
    decode_heartbeat,
    decode_leave,
)
from agatecross_standins.platform_config import config_record

TENANT = {"name": "t", "keys": ["k"], "priority": 1, "ratePerS": 1.5, "burst": 1.5}
CONFIGURATION = json.loads(config_record(7, tenants=[TENANT]))
CONFIGURATION["routes"][0]["trafficSplit"] = [{"service": "s0", "weight": 1.5}]
# For each message: its type, a document with all of its fields, and its decoder.
MESSAGES = {
    "heartbeats": (WireHeartbeat, HEARTBEAT, lambda data: decode_heartbeat("u0", data)),
    "leave requests": (WireLeave, {"born": 5}, decode_leave),
    "configurations": (WireConfig, CONFIGURATION, lambda data: decode_config(data, KEY_HASHER)),
}
OTHER_VALUES = (None, True, 7, 1.5, "text", [1.5], {"a": 1})
INVALID_NUMBERS = (-1, 2**63, 10**30)


def struct_within(kind):
    """Return the message type that a field's type names, if any."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    return next((found for arg in get_args(kind) if (found := struct_within(arg))), None)


def fields_of(kind, document, parents=()):
    """Yield path, sample value and necessity of each field of a message type."""
    for field in msgspec.structs.fields(kind):
        path, value = (*parents, field.encode_name), document[field.encode_name]
        yield ".".join(path), value, field.required
        if (inner := struct_within(field.type)) is not None:
            is_list = isinstance(value, list)
            rows = value[0] if is_list else value
            yield from fields_of(inner, rows, (*path, "0") if is_list else path)


def is_other_type(value, sample, is_required):
    if value is None:
        return is_required
    if isinstance(sample, float) and type(value) is int:
        return False
    return type(value) is not type(sample)


def edits(messages, fault):
    """Yield each edit of one field, as its path and the JSON of its value."""
    kind, document, _ = MESSAGES[messages]
    for path, sample, is_required in fields_of(kind, document):
        if fault == "missing" and is_required:
            yield path, "-"
        elif fault == "of another type":
            for value in OTHER_VALUES:
                if is_other_type(value, sample, is_required):
                    yield path, json.dumps(value)
        elif fault == "out of range" and type(sample) is int:
            yield from ((path, json.dumps(value)) for value in INVALID_NUMBERS)


@then("{count:d} {messages} of seed {number:d} with one field {fault} are unreadable")
def step_unreadable_fields(context, count, messages, number, fault):
    _, document, decode = MESSAGES[messages]

    @seed(number)
    @settings(max_examples=count, deadline=None, database=None)
    @given_example(st.sampled_from(list(edits(messages, fault))))
    def run(edit):
        edited = copy.deepcopy(document)
        set_field(edited, *edit)
        try:
            decode(json.dumps(edited).encode())
        except MessageDecodeError:
            return
        raise AssertionError(edit)

    run()


@when('upstream "{name}" sends its daemon a heartbeat of a later start with "{field}" as {value}')
def step_send_edited(context, name, field, value):
    number = int(name[1:])
    upstream = context.testbed.upstreams[number]
    changes = {"service": upstream.service, "address": upstream.address, "born": upstream.born + 1}
    document = {**HEARTBEAT, **changes}
    set_field(document, field, value)

    async def work():
        daemon = context.testbed.sidecars[number].settings.heartbeats
        body = json.dumps(document).encode()
        context.beat_status = await upstream.send_announcement(daemon, "heartbeat", body)
        await asyncio.sleep(0.2)

    context.testbed.run(work())


@then("the heartbeat is answered with {status:d}")
def step_beat_status(context, status):
    assert context.beat_status == status, context.beat_status


@when('upstream "{name}" sends its daemon {count:d} times the {request} request "{body}"')
def step_send_bodies(context, name, count, request, body):
    number = int(name[1:])
    upstream, testbed = context.testbed.upstreams[number], context.testbed
    address = testbed.sidecars[number].settings.heartbeats
    text = json.dumps({**HEARTBEAT, "state": "x" * 5_000}) if body == "LONG" else body

    async def work():
        return [
            await upstream.send_announcement(address, request, text.encode()) for _ in range(count)
        ]

    context.statuses = testbed.run(work())


@then("each is answered with {status:d}")
def step_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("d{number:d} has counted {count:d} in '{metric}'")
def step_counted(context, number, count, metric):
    text = context.testbed.sidecars[number].metrics.render().decode()
    rows = [line for line in text.splitlines() if line.startswith(metric)]
    values = [float(line.rpartition(" ")[2]) for line in rows]
    assert sum(values) == count, rows


@then('d{number:d} has written between {least:d} and {most:d} lines of "{event}" for "{request}"')
def step_lines(context, number, least, most, event, request):
    context.testbed.sidecars[number].log.flush()
    text = Path(context.testbed.log_paths()[number]).read_text()
    rows = [line for line in text.splitlines() if f"event={event} request={request} " in line]
    assert least <= len(rows) <= most, rows
    assert all(len(row) < 1_000 for row in rows), rows
