"""Fields of the messages of hop connections, in their order on the wire.

A message is an array of its tag and of these fields. A later release may append fields, which are
ignored. The types are structs because msgspec prepares the check of a struct only once, and that of
a tuple at each conversion.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import Any

from msgspec import Struct

from .wire_types import Count, Share


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
    LIMIT_REPORT = 13
    LIMIT_ANSWER = 14
    ANNOUNCE = 15
    INVITE = 16


HeaderFields = list[tuple[bytes, bytes]]
EncodedEndpoints = list[list[Any]]


class HelloFields(Struct, array_like=True):
    """Fields of `Hello`; earlier releases need no announcement."""

    daemon_id: str
    incarnation: Count
    version: Count
    endpoints: EncodedEndpoints
    announce_above: Count = 0


class HandoverFields(Struct, array_like=True):
    """Fields of `Handover` that every release sends."""

    handover_id: int
    call_id: str
    route: str
    service: str
    instance: str
    repeat: Count
    rank: int
    objective_time_left: int
    time_left: int
    method: bytes
    target: bytes
    headers: HeaderFields
    body: bytes


class HandoverIdFields(Struct, array_like=True):
    """Fields of `Cancel`, `Resume` and `Invite`."""

    handover_id: int


class AnnounceFields(Struct, array_like=True):
    """Fields of `Announce`."""

    handover_id: int
    call_id: str
    size: Count
    objective_time_left: int
    time_left: int


class PingFields(Struct, array_like=True):
    """Fields of `Ping`."""

    is_reply: bool
    version: Count


class ResultFields(Struct, array_like=True):
    """Fields of `Result` without its response."""

    handover_id: int
    outcome: Count
    reason: str | None
    reached_upstream: bool
    load: Count
    slots: Count
    cost: Count


class ResponseFields(Struct, array_like=True):
    """The response of a `Result`, which follows its other fields."""

    status: Count
    headers: HeaderFields
    body: bytes


class EndpointsFields(Struct, array_like=True):
    """Fields of `Endpoints`."""

    endpoints: EncodedEndpoints


class ConfigFields(Struct, array_like=True):
    """Fields of `ConfigBlob`."""

    version: Count
    data: bytes


class PullFields(Struct, array_like=True):
    """Fields of `Pull`."""

    version: Count


class StrikesFields(Struct, array_like=True):
    """Fields of `Strikes`."""

    strikes: list[tuple[str, str, Count]]


class ConfigDeltaFields(Struct, array_like=True):
    """Fields of `ConfigDelta`, with the steps compressed."""

    base: Count
    version: Count
    crc: Count
    steps: bytes


class StoreEraFields(Struct, array_like=True):
    """Fields of `StoreEraNotice`."""

    era: Count


class LimitReportFields(Struct, array_like=True):
    """Fields of `LimitReport`."""

    slot: str
    number: Count
    is_last: bool
    uses: list[tuple[str, Count, Count, int]]


class LimitAnswerFields(Struct, array_like=True):
    """Fields of `LimitAnswer`."""

    slot: str
    number: Count
    is_settling: bool
    shares: list[tuple[str, Share]]


class EndpointFields(Struct, array_like=True):
    """Fields of an endpoint; earlier releases send no rate of the link."""

    daemon_id: str
    incarnation: Count
    sequence: Count
    address: str
    region: str
    data_centre: str
    service: str
    instance: str | None
    born: Count
    state: str
    slots: Count
    cold: Count
    leaving: bool
    reaches_store: bool
    store_latency: Count
    link_rate: Count = 0


FIELD_TYPES: Mapping[Tag, type[Struct]] = {
    Tag.HELLO: HelloFields,
    Tag.HANDOVER: HandoverFields,
    Tag.CANCEL: HandoverIdFields,
    Tag.RESUME: HandoverIdFields,
    Tag.PING: PingFields,
    Tag.RESULT: ResultFields,
    Tag.ENDPOINTS: EndpointsFields,
    Tag.CONFIG: ConfigFields,
    Tag.PULL: PullFields,
    Tag.STRIKES: StrikesFields,
    Tag.CONFIG_DELTA: ConfigDeltaFields,
    Tag.STORE_ERA: StoreEraFields,
    Tag.LIMIT_REPORT: LimitReportFields,
    Tag.LIMIT_ANSWER: LimitAnswerFields,
    Tag.ANNOUNCE: AnnounceFields,
    Tag.INVITE: HandoverIdFields,
}
HANDOVER_FIELD_COUNT = len(HandoverFields.__struct_fields__)
RESULT_FIELD_COUNT = len(ResultFields.__struct_fields__)
STRIKES_FIELD_COUNT = len(StrikesFields.__struct_fields__)
