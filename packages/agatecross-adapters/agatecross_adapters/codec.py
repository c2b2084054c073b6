"""Encoding of control messages (msgpack) and log records (JSON)."""

from collections.abc import Mapping
from typing import Final, TypeVar

import msgspec

from agatecross_core.config.model import ConfigRecord, PublishRecord, SnapshotRecord
from agatecross_core.distribution.pulls import NoticeAck, PullReply, PullRequest, VersionNotice
from agatecross_core.errors import MessageDecodeError
from agatecross_core.idempotency.model import ClaimsBatch, OutcomeReply, OutcomeRequest
from agatecross_core.limits.requests import UseReply, UseRequest
from agatecross_core.members.records import (
    AnnounceRecord,
    IndirectProbe,
    Probe,
    ProbeAck,
    SyncReply,
    SyncRequest,
)
from agatecross_core.quarantine.model import StrikeAck, StrikeNotice

from .wire import from_wire, to_wire

T = TypeVar("T")

ControlMessage = (
    Probe
    | ProbeAck
    | IndirectProbe
    | SyncRequest
    | SyncReply
    | VersionNotice
    | NoticeAck
    | PullRequest
    | PullReply
    | OutcomeRequest
    | OutcomeReply
    | StrikeNotice
    | StrikeAck
    | UseRequest
    | UseReply
)
LogRecord = ConfigRecord | AnnounceRecord | ClaimsBatch

CONTROL_TYPE_BY_TAG: Final[Mapping[int, type]] = {
    1: Probe,
    2: ProbeAck,
    3: IndirectProbe,
    4: SyncRequest,
    5: SyncReply,
    6: VersionNotice,
    7: NoticeAck,
    8: PullRequest,
    9: PullReply,
    20: OutcomeRequest,
    21: OutcomeReply,
    22: StrikeNotice,
    23: StrikeAck,
    24: UseRequest,
    25: UseReply,
}
TAG_BY_CONTROL_TYPE: Final = {
    message_type: tag for tag, message_type in CONTROL_TYPE_BY_TAG.items()
}
RECORD_TYPE_BY_KIND: Final[Mapping[str, type]] = {
    "publish": PublishRecord,
    "snapshot": SnapshotRecord,
    "announce": AnnounceRecord,
    "claims": ClaimsBatch,
}
KIND_BY_RECORD_TYPE: Final = {
    record_type: kind for kind, record_type in RECORD_TYPE_BY_KIND.items()
}


def encode_control(message: ControlMessage) -> bytes:
    """Encode a control message as a pair of its tag and its positional fields.

    Raises `MessageDecodeError` if a peer could not decode the message, for example because an
    upstream announced a count beyond 2**53.
    """
    try:
        return msgspec.msgpack.encode((TAG_BY_CONTROL_TYPE[type(message)], to_wire(message)))
    except (msgspec.MsgspecError, UnicodeEncodeError) as error:
        raise MessageDecodeError(f"control message: {error}") from error


def decode_control(data: bytes) -> ControlMessage:
    """Decode a control message; raises `MessageDecodeError`."""
    try:
        tag, body = msgspec.msgpack.decode(data, type=tuple[int, msgspec.Raw])
        if tag not in CONTROL_TYPE_BY_TAG:
            raise MessageDecodeError(f"unknown control message tag {tag}")
        message: ControlMessage = from_wire(body, CONTROL_TYPE_BY_TAG[tag])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageDecodeError(f"control message: {error}") from error
    return message


def encode_record(record: LogRecord) -> bytes:
    """Encode a log record as a JSON object with `kind` and `body`."""
    return msgspec.json.encode({"kind": KIND_BY_RECORD_TYPE[type(record)], "body": record})


def decode_record(data: bytes, record_type: type[T]) -> T:
    """Decode a log record of the expected type or union; raises `MessageDecodeError`."""
    try:
        envelope = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        kind = msgspec.json.decode(envelope.get("kind", msgspec.Raw(b'""')), type=str)
        if kind not in RECORD_TYPE_BY_KIND:
            raise MessageDecodeError(f"unknown record kind {kind!r}")
        record: object = msgspec.json.decode(
            envelope.get("body", msgspec.Raw(b"null")), type=RECORD_TYPE_BY_KIND[kind]
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageDecodeError(f"log record: {error}") from error
    if not isinstance(record, record_type):
        raise MessageDecodeError(f"record of kind {kind!r} does not belong to this stream")
    return record
