"""Positional encoding of the core's dataclasses, so that messages carry no field names."""

import dataclasses
import functools
import operator
import types
from collections.abc import Mapping
from enum import Enum
from typing import Annotated, Any, Final, Union, get_args, get_origin, get_type_hints

import msgspec

from agatecross_core.ids import Address, Incarnation, Millis, Offset, Version

# Peers increment incarnations and versions; an unbounded one could grow too large to encode.
MAX_COUNTER: Final = 2**53
COUNTER_TYPE: Final = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
WIRE_TYPES: Final[Mapping[Any, Any]] = {
    Address: Annotated[str, msgspec.Meta(pattern=r"^[^\s/]+:[0-9]{1,5}$")],
    Incarnation: COUNTER_TYPE,
    Version: COUNTER_TYPE,
    Offset: COUNTER_TYPE,
    Millis: float,
    int: Annotated[int, msgspec.Meta(ge=-MAX_COUNTER, le=MAX_COUNTER)],
}


@functools.cache
def wire_struct(message_type: type) -> type[msgspec.Struct]:
    """Return the positional struct type of a dataclass."""
    hints = get_type_hints(message_type)
    fields = [_struct_field(field, hints[field.name]) for field in dataclasses.fields(message_type)]
    return msgspec.defstruct(message_type.__name__, fields, array_like=True, frozen=True)


def _struct_field(field: "dataclasses.Field[object]", hint: object) -> Any:
    if field.default is dataclasses.MISSING:
        return (field.name, wire_type(hint))
    return (field.name, wire_type(hint), field.default)


def wire_type(hint: Any) -> Any:
    """Return the type that encodes a field with this type hint."""
    if hint in WIRE_TYPES:
        return WIRE_TYPES[hint]
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return wire_struct(hint)
    if get_origin(hint) in (Union, types.UnionType):
        return functools.reduce(operator.or_, (wire_type(part) for part in get_args(hint)))
    if get_origin(hint) is None or (isinstance(hint, type) and issubclass(hint, Enum)):
        return hint
    parts = tuple(part if part is ... else wire_type(part) for part in get_args(hint))
    return get_origin(hint)[parts]


def to_wire(message: Any) -> msgspec.Struct:
    """Convert a message to its positional struct."""
    message_type: Any = type(message)
    return msgspec.convert(message, wire_struct(message_type), from_attributes=True)


def from_wire(data: bytes | msgspec.Raw, message_type: type) -> Any:
    """Decode a positional message into its dataclass; raises `msgspec.MsgspecError`."""
    struct = msgspec.msgpack.decode(data, type=wire_struct(message_type))
    return msgspec.convert(struct, message_type, from_attributes=True)
