import asyncio
import base64
import contextlib
import json
import os
import random
from dataclasses import replace

import msgspec
from behave import then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_example
from hypothesis import strategies as st
from platform_steps import SETTINGS_FILE

from agatecross_adapters.call_headers import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    SERVICE_HEADER,
    decode_call,
)
from agatecross_adapters.endpoint_codec import decode_endpoint, encode_endpoint
from agatecross_adapters.hop_codec import Tag, decode_hop_message, encode_hop_message
from agatecross_adapters.hop_messages import (
    Announce,
    Cancel,
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    Invite,
    Ping,
    Pull,
    Result,
    Resume,
    Strikes,
)
from agatecross_adapters.http1_bytes import encode_request
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.admission.slot_queue import CallAwaitingSlot, SlotQueue
from agatecross_core.calls.model import Request, Response
from agatecross_core.config.documents import Document
from agatecross_core.customers.keys import KeyHasher
from agatecross_core.distribution.delta import apply_delta
from agatecross_core.distribution.propagation import ConfigOrigin, push_targets, reader_role
from agatecross_core.errors import (
    DeltaError,
    DocumentSyntaxError,
    MessageDecodeError,
    SettingsError,
    StoreError,
)
from agatecross_core.ids import Millis, Offset
from agatecross_core.limits.model import CustomerUse, LimitAnswer, LimitReport
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.heartbeat_filter import HeartbeatFilter
from agatecross_core.members.records import Clearance, Strike
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.quarantine.suspects import SuspectTable
from agatecross_core.relay.model import (
    Handover,
    RelayRequest,
    RelayResponse,
    RelayResult,
    Repeat,
    not_run_result,
)
from agatecross_core.relay.transfer_turns import AnnouncedRequest, TransferTurns
from agatecross_core.routing.host_table import WeightedSplit
from agatecross_core.routing.lowest_cost import LowestCostBalancer
from agatecross_core.states import Outcome, Reason, UpstreamState
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.sidecar_settings import sidecar_settings
from agatecross_platform.configuration import decode_config
from agatecross_platform.front_end import HEADER_NAMES
from agatecross_platform.heartbeats import decode_heartbeat, decode_leave
from agatecross_platform.store import PlatformStore
from agatecross_standins.platform_config import config_record

ME = Endpoint("d0", 1, 0, "127.0.0.1:1", "north", "north-a", "s0", "u0", 1, UpstreamState.READY, 8)
PEER = replace(ME, daemon_id="d1", address="127.0.0.1:2", instance="u1")
HEADERS = ((b"host", b"a.example"), (b"x-request-id", b"c1"))
REQUEST = RelayRequest(b"GET", b"/safe/1", HEADERS, b"")
HANDOVER = Handover(1, "c1", "r", "s0", "u0", Repeat.SAFE, 1, Millis(500), Millis(900), REQUEST)
RESPONSE = RelayResponse(200, HEADERS, b"body")
REPORT = CrashReport((Strike("f", "d1", 1),), ("g",), (Clearance("h", (("d1", 1),)),))
KEY_HASHER = KeyHasher(b"secret")
HOP_SAMPLES = [
    encode_hop_message(message)
    for message in (
        Hello("d1", 1, 7, (PEER,), 12_500),
        HANDOVER,
        Announce(1, "c1", 60_000, Millis(500), Millis(900)),
        Invite(1),
        Cancel(1),
        Resume(1),
        Ping(False, 7),
        Result(1, RelayResult(Outcome.RAN, None, RESPONSE, True, 3, 8, Millis(40))),
        Result(1, not_run_result(Reason.OVERLOADED, 3, 8)),
        Endpoints((PEER,)),
        ConfigBlob(8, b"blob"),
        ConfigDelta(7, 8, 1, (b"new", (0, 2))),
        Pull(7),
        Strikes(REPORT),
        LimitReport("0/1", 3, False, (CustomerUse("ann", 5, 4, -1),)),
        LimitAnswer("0/1", 3, False, (("ann", 0.25),)),
    )
]
HEARTBEAT = {
    "service": "s0",
    "address": "127.0.0.1:9",
    "zone": "north-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldRemaining": "0ms",
    "sequence": 4,
    "born": 1,
}
RECORD = bytes((6,)) + b"config" + config_record(7)
LOG_PAGE = bytes(16) + len(RECORD).to_bytes(4, "big") + RECORD
LISTING = json.dumps(
    {
        "items": [{"key": "d1", "offset": 1, "value": base64.b64encode(b"v").decode()}],
        "more": False,
        "end": 2,
    }
).encode()
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


@st.composite
def edited(draw, samples):
    """Draw a valid input and change, drop or insert a few bytes of it."""
    data = bytearray(draw(st.sampled_from(samples)))
    for _ in range(draw(st.integers(0, 4))):
        place = draw(st.integers(0, max(0, len(data) - 1)))
        match draw(st.sampled_from(("set", "cut", "insert", "end"))):
            case "set" if data:
                data[place] = draw(st.integers(0, 255))
            case "cut":
                del data[place : place + draw(st.integers(1, 8))]
            case "insert":
                data[place:place] = draw(st.binary(max_size=6))
            case "end":
                del data[place:]
    return bytes(data)


@st.composite
def hop_frames(draw):
    """Draw a message with a known tag in which some fields have arbitrary values."""
    fields = msgspec.msgpack.decode(draw(st.sampled_from(HOP_SAMPLES)))
    for _ in range(draw(st.integers(1, 3))):
        fields[draw(st.integers(0, len(fields) - 1))] = draw(VALUES)
    return msgspec.msgpack.encode(fields)


@st.composite
def documents(draw, sample):
    """Draw a JSON document in which some fields have arbitrary values or are missing."""
    document = json.loads(sample)
    for key in draw(st.lists(st.sampled_from(sorted(document)), max_size=3)):
        value = draw(VALUES | st.just("-"))
        if value == "-":
            document.pop(key, None)
        else:
            document[key] = value
    return json.dumps(document, default=str).encode()


class OneAnswerClient:
    """Answers each request to the store with the same body."""

    def __init__(self, body):
        self.body = body

    async def send(self, address, request, timeout):
        return Response(200, (), self.body)


def use_hop_message(data):
    message = decode_hop_message(data)
    match message:
        case Hello(endpoints=rows) | Endpoints(endpoints=rows):
            use_endpoints(rows)
        case Result(_, result):
            balancer = LowestCostBalancer("north", "north-a", random.Random(1))
            balancer.record_start(PEER, "r")
            balancer.record_result("d1", result, Millis(5), "r", 3, Millis(10))
            assert balancer.cost(PEER, Millis(20)) >= 0
        case Handover():
            objective = Millis(message.objective_time_left)
            waiting = CallAwaitingSlot(
                message.handover_id,
                message.route,
                message.rank,
                objective,
                Millis(message.time_left),
            )
            list(SlotQueue().admit(waiting, Millis(1)))
            encode_request(message, message.time_left, HEADER_NAMES)
            message.call_id.encode("latin-1")
        case Announce(handover_id, _, size, objective, left):
            turns = TransferTurns(5)
            for name in (handover_id, -1):
                list(turns.announce(AnnouncedRequest(name, size, objective, left), Millis(1)))
        case Strikes(report):
            SuspectTable().add(report, Millis(1))
        case ConfigDelta(_, version, crc, steps):
            assert version >= 0 and crc >= 0
            with contextlib.suppress(DeltaError):
                apply_delta(config_record(7), steps)
        case ConfigBlob(version, _) | Pull(version) | Ping(_, version):
            assert version >= 0
    if message is not None:
        assert decode_hop_message(encode_hop_message(message)) == message


def use_endpoints(rows):
    directory = Directory(ME)
    directory.merge(rows)
    reader_role(directory.me, directory.rows.values(), directory.rows)
    list(push_targets(directory.me, directory.rows.values(), directory.rows, ConfigOrigin.STORE))
    balancer = LowestCostBalancer("north", "north-a", random.Random(1))
    for endpoints in directory.by_service.values():
        balancer.choose(endpoints, (), "r", Millis(1), Millis(1))
    assert all(":" in row.address for row in directory.rows.values())


def use_configuration(data):
    table = decode_config(data, KEY_HASHER)
    route = table.find("a.example", "/safe/1")
    if route is not None:
        WeightedSplit().pick(route)
        assert route.timeout >= 0


def use_heartbeat(data):
    HeartbeatFilter("s0", "127.0.0.1:9").accept(decode_heartbeat("u0", data), Millis(1))


def use_log_page(data):
    store = PlatformStore("127.0.0.1:1", OneAnswerClient(data))
    asyncio.run(store.next_config(Offset(0), Millis(1), Millis(2)))


def use_listing(data):
    store = PlatformStore("127.0.0.1:1", OneAnswerClient(data))
    asyncio.run(store.newest_config(Millis(2)))


def use_settings(data):
    sidecar_settings(decode_toml(Document("node.toml", data.decode("utf-8", "replace"))))


# For each decoder: the inputs, the use of a decoded value, and the documented errors.
DECODERS = {
    "hop messages": (
        edited(HOP_SAMPLES)
        | hop_frames()
        | st.builds(
            lambda tag, fields: msgspec.msgpack.encode([tag, *fields]),
            st.sampled_from([*Tag, 99]),
            st.lists(VALUES, max_size=14),
        ),
        use_hop_message,
        MessageDecodeError,
    ),
    "endpoint records": (
        edited([encode_endpoint(PEER)]),
        lambda data: use_endpoints([decode_endpoint(data)]),
        MessageDecodeError,
    ),
    "configurations": (
        edited([config_record(7)]) | documents(config_record(7)),
        use_configuration,
        MessageDecodeError,
    ),
    "heartbeats": (
        edited([json.dumps(HEARTBEAT).encode()]) | documents(json.dumps(HEARTBEAT)),
        use_heartbeat,
        MessageDecodeError,
    ),
    "leave requests": (
        edited([b'{"born": 5}', b""]) | documents('{"born": 5}'),
        decode_leave,
        MessageDecodeError,
    ),
    "store log pages": (edited([LOG_PAGE, bytes(16)]), use_log_page, StoreError),
    "store listings": (edited([LISTING]) | documents(LISTING), use_listing, StoreError),
    "sidecar settings": (
        edited([SETTINGS_FILE.encode()]),
        use_settings,
        (SettingsError, DocumentSyntaxError),
    ),
}


@then(
    "{count:d} inputs of seed {number:d} for the decoder of {decoder} give a usable value or its "
    "documented error"
)
def step_decoder(context, count, number, decoder):
    inputs, use, errors = DECODERS[decoder]

    @seed(number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_example(inputs)
    def run(data):
        with contextlib.suppress(errors):
            use(data)

    run()


def edited_bytes(rng, sample):
    data = bytearray(sample)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(data))
        if rng.random() < 0.5:
            data[place] = rng.randrange(256)
        else:
            data[place:place] = rng.randbytes(rng.randint(1, 6))
    return bytes(data)


def new_input(rng, what, listener):
    if what == "random bytes":
        return rng.randbytes(rng.randint(1, 400))
    if what == "edited frames":
        frame = edited_bytes(rng, rng.choice(HOP_SAMPLES))
        return len(frame).to_bytes(4, "big") + frame
    body = json.dumps(HEARTBEAT)
    line = "GET /safe/1" if listener == "callers" else "POST /-/instances/u0/heartbeat"
    head = f"{line} HTTP/1.1\r\nhost: a.example\r\ncontent-length: {len(body)}\r\n\r\n{body}"
    return edited_bytes(rng, head.encode())


async def send_input(address, data):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(OSError):
        writer.write(data)
        await writer.drain()
        writer.write_eof()
        await asyncio.wait_for(reader.read(4096), 5)
    writer.close()


@when("{count:d} connections with {what} of seed {number:d} come to the {listener} listener of d0")
def step_send_inputs(context, count, what, number, listener):
    rng = random.Random(number)
    address = getattr(context.testbed.sidecars[0].settings, listener)

    async def work():
        for _ in range(count):
            await send_input(address, new_input(rng, what, listener))

    context.testbed.run(work())


@then("every task of d0 runs, and a caller of d0 gets 200")
def step_still_serving(context):
    testbed = context.testbed
    response = testbed.run(testbed.send(0, "GET /safe/1"))
    ended = [task for task in testbed.tasks[0] if task.done()]
    assert not ended, ended
    assert response.status == 200, response


@when("{count:d} lines are logged while nobody reads them")
def step_stalled_reader(context, count):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.reader, context.log = reader, DecisionLog(writer)

    async def work():
        for number in range(count):
            context.log.write_change("line", number=number)
            if number % 100 == 0:
                context.log.flush()

    asyncio.run(work())


@then("at most {most:d} lines are kept, and a later line tells how many were left out")
def step_bounded_lines(context, most):
    log = context.log
    kept = log.unwritten.count(b"\n") + len(log.buffered_lines)
    assert 0 < kept <= most, kept

    async def read_all():
        data = b""
        while log.unwritten or log.buffered_lines:
            data += os.read(context.reader, 1 << 20)
            log.flush()
        log.write_change("last")
        log.flush()
        return data + os.read(context.reader, 1 << 20)

    lines = asyncio.run(read_all()).splitlines()
    assert b"event=last" in lines[-1] and b"left_out=" in lines[-1], lines[-1]


@then('a call whose time left is "{text}" is "{result}"')
def step_time_left(context, text, result):
    headers = ((CALL_ID_HEADER, "c1"), (SERVICE_HEADER, "s0"), (DEADLINE_HEADER, text))
    call = decode_call(Request("GET", "/", headers, b""), Millis(1))
    assert (call is not None) == (result == "accepted"), call
