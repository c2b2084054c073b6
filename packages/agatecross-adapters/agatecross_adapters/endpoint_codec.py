"""Encodes endpoint records, for hop connections and for the log."""

from typing import Annotated, Any

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

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()
# A nested array beyond the interpreter's limit raises `RecursionError`.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
STATE_BY_VALUE = {state.value: state for state in UpstreamState}

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
EndpointFields = tuple[
    str, Count, Count, str, str, str, str, str | None, Count, str, Count, Count, bool, bool, Count
]
# Earlier releases send no rate of the link, which follows these fields.
ENDPOINT_FIELD_COUNT = 15


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
