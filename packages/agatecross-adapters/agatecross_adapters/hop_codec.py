"""Encodes the messages of hop connections with msgpack.

Each message is an array of its tag and its fields in order.
"""

import math
import zlib
from functools import lru_cache
from typing import Any

import msgspec

from agatecross_core.constants import MAX_RESPONSE_BYTES
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import (
    NO_CUSTOMER,
    CallId,
    CustomerName,
    DaemonId,
    HandoverId,
    HomeSlot,
    Incarnation,
    InstanceId,
    Millis,
    ReportNumber,
    RouteName,
    ServiceName,
    StoreEra,
    Version,
)
from agatecross_core.limits.model import CustomerUse, LimitAnswer, LimitReport
from agatecross_core.relay.model import (
    Handover,
    RelayRequest,
    Repeat,
)

from .crash_report_codec import crash_report_fields, crash_report_from_fields
from .endpoint_codec import endpoint_fields, endpoint_from_fields
from .hop_fields import (
    FIELD_TYPES,
    HANDOVER_FIELD_COUNT,
    RESULT_FIELD_COUNT,
    STRIKES_FIELD_COUNT,
    Tag,
)
from .hop_messages import (
    Announce,
    Cancel,
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    HopMessage,
    Invite,
    Ping,
    Pull,
    Result,
    Resume,
    StoreEraNotice,
    Strikes,
)
from .hop_results import result_fields, result_from_fields

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()
# The index of a value is its code on the wire.
REPEAT_CODES = (Repeat.SAFE, Repeat.ONCE)
# Most frames of an idle fleet are pings, which differ only in the version and in the direction.
MAX_PING_BYTES = 8
PINGED_VERSIONS = 32
# A nested array beyond the interpreter's limit raises `RecursionError`.
DECODE_ERRORS = (msgspec.MsgspecError, zlib.error, ValueError, RecursionError)
TAG_BY_VALUE = {tag.value: tag for tag in Tag}


def encode_hop_message(message: HopMessage) -> bytes:
    """Encode a message."""
    return ENCODER.encode(_message_fields(message))


def decode_hop_message(frame: bytes) -> HopMessage | None:
    """Decode a message; raises `MessageDecodeError`.

    Returns None for a message of a type that only later releases know.
    """
    return _decode_ping(frame) if len(frame) <= MAX_PING_BYTES else _decode(frame)


def _decode(frame: bytes) -> HopMessage | None:
    try:
        message = DECODER.decode(frame)
        if not isinstance(message, list) or not message or not isinstance(message[0], int):
            raise MessageDecodeError("hop message: not an array that starts with a tag")
        tag = TAG_BY_VALUE.get(message[0])
        return None if tag is None else _message_from_fields(tag, message[1:])
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"hop message: {error}") from error


_decode_ping = lru_cache(maxsize=2 * PINGED_VERSIONS)(_decode)


def _message_fields(message: HopMessage) -> tuple[Any, ...]:
    match message:
        case Handover():
            request = message.request
            return (
                Tag.HANDOVER,
                message.handover_id,
                message.call_id,
                message.route,
                message.service,
                message.instance,
                REPEAT_CODES.index(message.repeat),
                message.rank,
                int(message.objective_time_left),
                int(message.time_left),
                request.method,
                request.target,
                request.headers,
                request.body,
                message.upstream_limit,
                message.customer,
            )
        case Result(handover_id, result):
            return (Tag.RESULT, handover_id, *result_fields(result))
        case Hello():
            rows = [endpoint_fields(endpoint) for endpoint in message.endpoints]
            return (
                Tag.HELLO,
                message.daemon_id,
                message.incarnation,
                message.version,
                rows,
                message.announce_above,
            )
        case Announce(handover_id, call_id, size, objective_time_left, time_left):
            times = int(objective_time_left), int(time_left)
            return (Tag.ANNOUNCE, handover_id, call_id, size, *times)
        case Invite(handover_id):
            return (Tag.INVITE, handover_id)
        case Cancel(handover_id):
            return (Tag.CANCEL, handover_id)
        case Resume(handover_id):
            return (Tag.RESUME, handover_id)
        case Ping(is_reply, version):
            return (Tag.PING, is_reply, version)
        case Endpoints(endpoints):
            return (Tag.ENDPOINTS, [endpoint_fields(endpoint) for endpoint in endpoints])
        case ConfigBlob(version, data):
            return (Tag.CONFIG, version, data)
        case ConfigDelta(base, version, crc, steps):
            return (Tag.CONFIG_DELTA, base, version, crc, zlib.compress(ENCODER.encode(steps)))
        case Pull(version):
            return (Tag.PULL, version)
        case Strikes(report):
            return (Tag.STRIKES, *crash_report_fields(report))
        case StoreEraNotice(era):
            return (Tag.STORE_ERA, era)
        case LimitReport(slot, number, is_last, uses):
            rows = [(use.customer, use.offered, use.admitted, use.used) for use in uses]
            return (Tag.LIMIT_REPORT, slot, number, is_last, rows)
        case LimitAnswer(slot, number, is_settling, shares):
            return (Tag.LIMIT_ANSWER, slot, number, is_settling, shares)


def _message_from_fields(tag: Tag, all_fields: list[Any]) -> HopMessage:
    fields: Any = msgspec.structs.astuple(msgspec.convert(all_fields, FIELD_TYPES[tag]))
    match tag:
        case Tag.HANDOVER:
            return _handover_from_fields(fields, all_fields[HANDOVER_FIELD_COUNT:])
        case Tag.RESULT:
            return Result(
                HandoverId(fields[0]), result_from_fields(fields, all_fields[RESULT_FIELD_COUNT:])
            )
        case Tag.HELLO:
            daemon_id, incarnation, version, rows, announce_above = fields
            return Hello(
                DaemonId(daemon_id),
                Incarnation(incarnation),
                Version(version),
                tuple(map(endpoint_from_fields, rows)),
                announce_above,
            )
        case Tag.ANNOUNCE:
            handover_id, call_id, size, *times = fields
            return Announce(HandoverId(handover_id), CallId(call_id), size, *map(Millis, times))
        case Tag.INVITE:
            return Invite(HandoverId(fields[0]))
        case Tag.CANCEL:
            return Cancel(HandoverId(fields[0]))
        case Tag.RESUME:
            return Resume(HandoverId(fields[0]))
        case Tag.PING:
            return Ping(fields[0], Version(fields[1]))
        case Tag.ENDPOINTS:
            return Endpoints(tuple(map(endpoint_from_fields, fields[0])))
        case Tag.CONFIG:
            return ConfigBlob(Version(fields[0]), fields[1])
        case Tag.CONFIG_DELTA:
            return _config_delta_from_fields(fields)
        case Tag.PULL:
            return Pull(Version(fields[0]))
        case Tag.STRIKES:
            return Strikes(crash_report_from_fields(fields[0], all_fields[STRIKES_FIELD_COUNT:]))
        case Tag.STORE_ERA:
            return StoreEraNotice(StoreEra(fields[0]))
        case Tag.LIMIT_REPORT:
            slot, number, is_last, uses = fields
            return LimitReport(
                HomeSlot(slot),
                ReportNumber(number),
                is_last,
                tuple(CustomerUse(CustomerName(name), *counts) for name, *counts in uses),
            )
        case Tag.LIMIT_ANSWER:
            slot, number, is_settling, shares = fields
            return LimitAnswer(HomeSlot(slot), ReportNumber(number), is_settling, tuple(shares))


def _handover_from_fields(fields: tuple[Any, ...], rest: list[Any]) -> Handover:
    handover_id, call_id, route, service, instance, repeat, rank, objective_time_left, time_left = (
        fields[:9]
    )
    method, target, headers, body = fields[9:]
    if not (_is_latin1(call_id) and _is_latin1(instance)):
        raise MessageDecodeError("hop message: an id cannot be sent in a header")
    if repeat >= len(REPEAT_CODES):
        raise MessageDecodeError(f"hop message: unknown repeat code {repeat}")
    return Handover(
        HandoverId(handover_id),
        CallId(call_id),
        RouteName(route),
        ServiceName(service),
        InstanceId(instance),
        REPEAT_CODES[repeat],
        rank,
        Millis(objective_time_left),
        Millis(time_left),
        RelayRequest(method, target, tuple(headers), body),
        _upstream_limit(rest),
        CustomerName(msgspec.convert(rest[1], str)) if len(rest) > 1 else NO_CUSTOMER,
    )


def _upstream_limit(rest: list[Any]) -> float:
    """Return the limit that follows the other fields; earlier releases send none."""
    limit = msgspec.convert(rest[0], float) if rest else math.inf
    if not limit >= 0:
        raise MessageDecodeError(f"hop message: {limit} is no limit of an upstream")
    return limit


def _is_latin1(text: str) -> bool:
    return text.isascii() or all(ord(character) < 256 for character in text)


def _config_delta_from_fields(fields: tuple[int, int, int, bytes]) -> ConfigDelta:
    base, version, crc, packed = fields
    encoded_steps = msgspec.convert(DECODER.decode(_decompress(packed)), list[Any])
    steps = tuple(
        step if isinstance(step, bytes) else msgspec.convert(step, tuple[int, int])
        for step in encoded_steps
    )
    return ConfigDelta(Version(base), Version(version), crc, steps)


def _decompress(packed: bytes) -> bytes:
    """Return the decompressed data; raises `MessageDecodeError` above the limit on records."""
    stream = zlib.decompressobj()
    data = stream.decompress(packed, MAX_RESPONSE_BYTES)
    if not stream.eof:
        raise MessageDecodeError("hop message: compressed data is incomplete or too large")
    return data
