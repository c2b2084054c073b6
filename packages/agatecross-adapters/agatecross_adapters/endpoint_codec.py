"""Encodes endpoint records, for hop connections and for the log."""

from typing import Any

import msgspec

from agatecross_core.config.formats import check_address
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import (
    Address,
    DaemonId,
    DataCentreName,
    Incarnation,
    InstanceId,
    Millis,
    RegionName,
    ServiceName,
)
from agatecross_core.members.directory import Endpoint
from agatecross_core.states import UpstreamState

from .hop_fields import EndpointFields

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()
# A nested array beyond the interpreter's limit raises `RecursionError`.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
STATE_BY_VALUE = {state.value: state for state in UpstreamState}


def encode_endpoint(endpoint: Endpoint) -> bytes:
    """Encode an endpoint record for the log."""
    return ENCODER.encode(endpoint_fields(endpoint))


def decode_endpoint(data: bytes) -> Endpoint:
    """Decode an endpoint record from the log; raises `MessageDecodeError`."""
    try:
        return endpoint_from_fields(msgspec.convert(DECODER.decode(data), list[Any]))
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"endpoint: {error}") from error


def endpoint_fields(endpoint: Endpoint) -> tuple[Any, ...]:
    """Return the fields of an endpoint record."""
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


def endpoint_from_fields(all_fields: list[Any]) -> Endpoint:
    """Return the endpoint record with these fields; raises if they are malformed."""
    wire = msgspec.convert(all_fields, EndpointFields)
    if (message := check_address(wire.address)) is not None:
        raise MessageDecodeError(f"endpoint: {message}")
    return Endpoint(
        DaemonId(wire.daemon_id),
        Incarnation(wire.incarnation),
        wire.sequence,
        Address(wire.address),
        RegionName(wire.region),
        DataCentreName(wire.data_centre),
        ServiceName(wire.service),
        InstanceId(wire.instance) if wire.instance is not None else None,
        wire.born,
        # An upstream in a state that only later releases know gets no calls.
        STATE_BY_VALUE.get(wire.state, UpstreamState.STARTING),
        wire.slots,
        Millis(wire.cold),
        wire.leaving,
        wire.reaches_store,
        Millis(wire.store_latency),
        wire.link_rate,
    )
