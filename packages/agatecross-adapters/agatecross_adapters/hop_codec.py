"""Encodes the messages of hop connections with msgpack.

Each message is an array of its tag and its fields in order.
"""

import math
import zlib
from collections.abc import Mapping
from enum import IntEnum
from typing import Any

import msgspec

from agatecross_core.config.formats import check_address
from agatecross_core.constants import MAX_RESPONSE_BYTES
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import (
    NO_CUSTOMER,
    Address,
    CallId,
    CustomerName,
    DaemonId,
    DataCentreName,
    Fingerprint,
    HandoverId,
    Incarnation,
    InstanceId,
    Millis,
    RegionName,
    RouteName,
    ServiceName,
    StoreEra,
    Version,
)
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import (
    Handover,
    RelayRequest,
    Repeat,
)
from agatecross_core.states import UpstreamState

from .hop_messages import (
    Cancel,
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    HopMessage,
    Ping,
    Pull,
    Result,
    Resume,
    StoreEraNotice,
    Strikes,
)
from .hop_results import (
    RESULT_FIELD_COUNT,
    Count,
    HeaderFields,
    ResultFields,
    result_fields,
    result_from_fields,
)


class Tag(IntEnum):
    """Message type, the first field of each message."""

    HELLO = 1
    HANDOVER = 2
    CANCEL = 3
    RESUME = 4
    PING = 5
    RESULT = 6
    ENDPOINTS = 7
    CONFIG = 8
    PULL = 9
    STRIKES = 10
    CONFIG_DELTA = 11
    STORE_ERA = 12


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()
# The index of a value is its code on the wire.
REPEAT_CODES = (Repeat.SAFE, Repeat.ONCE)
# A nested array beyond the interpreter's limit raises `RecursionError`.
DECODE_ERRORS = (msgspec.MsgspecError, zlib.error, ValueError, RecursionError)
STATE_BY_VALUE = {state.value: state for state in UpstreamState}
TAG_BY_VALUE = {tag.value: tag for tag in Tag}

EndpointFields = tuple[
    str, Count, Count, str, str, str, str, str | None, Count, str, Count, Count, bool, bool, Count
]
HandoverFields = tuple[
    int, str, str, str, str, Count, int, int, int, bytes, bytes, HeaderFields, bytes
]
FIELD_TYPES: Mapping[Tag, tuple[Any, int]] = {
    Tag.HELLO: (tuple[str, Count, Count, list[list[Any]]], 4),
    Tag.HANDOVER: (HandoverFields, 13),
    Tag.CANCEL: (tuple[int], 1),
    Tag.RESUME: (tuple[int], 1),
    Tag.PING: (tuple[bool, Count], 2),
    Tag.RESULT: (ResultFields, 7),
    Tag.ENDPOINTS: (tuple[list[list[Any]]], 1),
    Tag.CONFIG: (tuple[Count, bytes], 2),
    Tag.PULL: (tuple[Count], 1),
    Tag.STRIKES: (tuple[list[tuple[str, str, Count]]], 1),
    Tag.CONFIG_DELTA: (tuple[Count, Count, Count, bytes], 4),
    Tag.STORE_ERA: (tuple[Count], 1),
}
"""Type and number of the fields after the tag; a later release may append fields."""

# Earlier releases send no rate of the link, which follows these fields.
ENDPOINT_FIELD_COUNT = 15


def encode_hop_message(message: HopMessage) -> bytes:
    """Encode a message."""
    return ENCODER.encode(_message_fields(message))


def decode_hop_message(frame: bytes) -> HopMessage | None:
    """Decode a message; raises `MessageDecodeError`.

    Returns None for a message of a type that only later releases know.
    """
    try:
        message = DECODER.decode(frame)
        if not isinstance(message, list) or not message or not isinstance(message[0], int):
            raise MessageDecodeError("hop message: not an array that starts with a tag")
        tag = TAG_BY_VALUE.get(message[0])
        return None if tag is None else _message_from_fields(tag, message[1:])
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"hop message: {error}") from error


def encode_endpoint(endpoint: Endpoint) -> bytes:
    """Encode an endpoint record for the log."""
    return ENCODER.encode(_endpoint_fields(endpoint))


def decode_endpoint(data: bytes) -> Endpoint:
    """Decode an endpoint record from the log; raises `MessageDecodeError`."""
    try:
        return _endpoint_from_fields(msgspec.convert(DECODER.decode(data), list[Any]))
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"endpoint: {error}") from error


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
            rows = [_endpoint_fields(endpoint) for endpoint in message.endpoints]
            return (Tag.HELLO, message.daemon_id, message.incarnation, message.version, rows)
        case Cancel(handover_id):
            return (Tag.CANCEL, handover_id)
        case Resume(handover_id):
            return (Tag.RESUME, handover_id)
        case Ping(is_reply, version):
            return (Tag.PING, is_reply, version)
        case Endpoints(endpoints):
            return (Tag.ENDPOINTS, [_endpoint_fields(endpoint) for endpoint in endpoints])
        case ConfigBlob(version, data):
            return (Tag.CONFIG, version, data)
        case ConfigDelta(base, version, crc, steps):
            return (Tag.CONFIG_DELTA, base, version, crc, zlib.compress(ENCODER.encode(steps)))
        case Pull(version):
            return (Tag.PULL, version)
        case Strikes(strikes):
            rows = [
                (strike.fingerprint, strike.daemon_id, strike.incarnation) for strike in strikes
            ]
            return (Tag.STRIKES, rows)
        case StoreEraNotice(era):
            return (Tag.STORE_ERA, era)


def _message_from_fields(tag: Tag, all_fields: list[Any]) -> HopMessage:
    field_types, count = FIELD_TYPES[tag]
    fields: Any = msgspec.convert(all_fields[:count], field_types)
    match tag:
        case Tag.HANDOVER:
            return _handover_from_fields(fields, all_fields[count:])
        case Tag.RESULT:
            return Result(
                HandoverId(fields[0]), result_from_fields(fields, all_fields[RESULT_FIELD_COUNT:])
            )
        case Tag.HELLO:
            daemon_id, incarnation, version, rows = fields
            return Hello(
                DaemonId(daemon_id),
                Incarnation(incarnation),
                Version(version),
                tuple(map(_endpoint_from_fields, rows)),
            )
        case Tag.CANCEL:
            return Cancel(HandoverId(fields[0]))
        case Tag.RESUME:
            return Resume(HandoverId(fields[0]))
        case Tag.PING:
            return Ping(fields[0], Version(fields[1]))
        case Tag.ENDPOINTS:
            return Endpoints(tuple(map(_endpoint_from_fields, fields[0])))
        case Tag.CONFIG:
            return ConfigBlob(Version(fields[0]), fields[1])
        case Tag.CONFIG_DELTA:
            return _config_delta_from_fields(fields)
        case Tag.PULL:
            return Pull(Version(fields[0]))
        case Tag.STRIKES:
            return Strikes(tuple(_strike_from_fields(strike) for strike in fields[0]))
        case Tag.STORE_ERA:
            return StoreEraNotice(StoreEra(fields[0]))


def _handover_from_fields(fields: HandoverFields, rest: list[Any]) -> Handover:
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


def _strike_from_fields(fields: tuple[str, str, int]) -> Strike:
    return Strike(Fingerprint(fields[0]), DaemonId(fields[1]), Incarnation(fields[2]))


def _endpoint_fields(endpoint: Endpoint) -> tuple[Any, ...]:
    return (
        endpoint.daemon_id,
        endpoint.incarnation,
        endpoint.sequence,
        endpoint.address,
        endpoint.region,
        endpoint.data_centre,
        endpoint.service,
        endpoint.instance,
        endpoint.born,
        endpoint.state.value,
        endpoint.slots,
        int(endpoint.cold),
        endpoint.leaving,
        endpoint.reaches_store,
        int(endpoint.store_latency),
        endpoint.link_rate,
    )


def _endpoint_from_fields(all_fields: list[Any]) -> Endpoint:
    fields: EndpointFields = msgspec.convert(all_fields[:ENDPOINT_FIELD_COUNT], EndpointFields)
    daemon, incarnation, sequence, address, region, centre, service, instance, born = fields[:9]
    state, slots, cold, leaving, reaches_store, store_latency = fields[9:]
    rest = all_fields[ENDPOINT_FIELD_COUNT:]
    link_rate = msgspec.convert(rest[0], Count) if rest else 0
    if (message := check_address(address)) is not None:
        raise MessageDecodeError(f"endpoint: {message}")
    return Endpoint(
        DaemonId(daemon),
        Incarnation(incarnation),
        sequence,
        Address(address),
        RegionName(region),
        DataCentreName(centre),
        ServiceName(service),
        InstanceId(instance) if instance is not None else None,
        born,
        # An upstream in a state that only later releases know gets no calls.
        STATE_BY_VALUE.get(state, UpstreamState.STARTING),
        slots,
        Millis(cold),
        leaving,
        reaches_store,
        Millis(store_latency),
        link_rate,
    )
