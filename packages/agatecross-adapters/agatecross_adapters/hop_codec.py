"""Encodes the messages of hop connections with msgpack.

Each message is an array of its tag and its fields in order.
"""

import zlib
from enum import IntEnum
from typing import Any

import msgspec

from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import (
    Address,
    CallId,
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
    Version,
)
from agatecross_core.members.directory import Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import (
    Handover,
    RelayRequest,
    RelayResponse,
    RelayResult,
    Repeat,
)
from agatecross_core.states import Outcome, Reason, UpstreamState

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
    Strikes,
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


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()
# The index of a value is its code on the wire.
REPEAT_CODES = (Repeat.SAFE, Repeat.ONCE)
OUTCOME_CODES = (Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN)
DECODE_ERRORS = (
    msgspec.MsgspecError,
    zlib.error,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
)
REASON_BY_VALUE = {reason.value: reason for reason in Reason}


def encode_hop_message(message: HopMessage) -> bytes:
    """Encode a message."""
    return ENCODER.encode(_message_fields(message))


def decode_hop_message(frame: bytes) -> HopMessage:
    """Decode a message; raises `MessageDecodeError`."""
    try:
        tag, *fields = DECODER.decode(frame)
        return _message_from_fields(tag, fields)
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"hop message: {error}") from error


def encode_endpoint(endpoint: Endpoint) -> bytes:
    """Encode an endpoint record for the log."""
    return ENCODER.encode(_endpoint_fields(endpoint))


def decode_endpoint(data: bytes) -> Endpoint:
    """Decode an endpoint record from the log; raises `MessageDecodeError`."""
    try:
        return _endpoint_from_fields(DECODER.decode(data))
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
            )
        case Result(handover_id, result):
            return (Tag.RESULT, handover_id, *_result_fields(result))
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


def _result_fields(result: RelayResult) -> tuple[Any, ...]:
    reason = result.reason.value if result.reason else None
    head = (
        OUTCOME_CODES.index(result.outcome),
        reason,
        result.reached_upstream,
        result.load,
        result.slots,
        int(result.cost),
    )
    response = result.response
    if response is None:
        return head
    return (*head, response.status, response.headers, response.body)


def _message_from_fields(tag: int, fields: list[Any]) -> HopMessage:
    match tag:
        case Tag.HANDOVER:
            return _handover_from_fields(fields)
        case Tag.RESULT:
            return Result(HandoverId(fields[0]), _result_from_fields(fields[1:]))
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
            return Ping(bool(fields[0]), Version(fields[1]))
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
        case _:
            raise MessageDecodeError(f"unknown hop message tag {tag}")


def _handover_from_fields(fields: list[Any]) -> Handover:
    handover_id, call_id, route, service, instance, repeat, rank, objective_time_left, time_left = (
        fields[:9]
    )
    method, target, headers, body = fields[9:]
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
        RelayRequest(method, target, tuple((name, value) for name, value in headers), body),
    )


def _result_from_fields(fields: list[Any]) -> RelayResult:
    outcome, reason, reached_upstream, load, slots, cost, *rest = fields
    response = None
    if rest:
        status, headers, body = rest
        response = RelayResponse(status, tuple((name, value) for name, value in headers), body)
    return RelayResult(
        OUTCOME_CODES[outcome],
        REASON_BY_VALUE[reason] if reason else None,
        response,
        reached_upstream,
        load,
        slots,
        Millis(cost),
    )


def _config_delta_from_fields(fields: list[Any]) -> ConfigDelta:
    base, version, crc, packed = fields
    encoded_steps = DECODER.decode(zlib.decompress(packed))
    steps = tuple(
        step if isinstance(step, bytes) else (int(step[0]), int(step[1])) for step in encoded_steps
    )
    return ConfigDelta(Version(base), Version(version), crc, steps)


def _strike_from_fields(fields: list[Any]) -> Strike:
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
    )


def _endpoint_from_fields(fields: list[Any]) -> Endpoint:
    daemon, incarnation, sequence, address, region, centre, service, instance, born = fields[:9]
    state, slots, cold, leaving, reaches_store, store_latency = fields[9:15]
    for text in (daemon, address, region, centre, service):
        if not isinstance(text, str):
            raise TypeError(f"{text!r} is not a string")
    for number in (incarnation, sequence, born, slots, cold, store_latency):
        if not isinstance(number, int):
            raise TypeError(f"{number!r} is not an integer")
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
        UpstreamState(state),
        slots,
        Millis(cold),
        bool(leaving),
        bool(reaches_store),
        Millis(store_latency),
    )
