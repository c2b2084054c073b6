"""Checks one table of a document against its schema."""

import difflib
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from ..findings import Finding, Place
from .documents import KeyPath
from .schema import Key

PlaceLookup = Callable[[KeyPath], Place]


def check_table(
    place: PlaceLookup, values: Mapping[str, object], keys: Mapping[str, Key], path: KeyPath
) -> Iterator[Finding]:
    """Yield a finding for each missing, unknown or invalid key of one table."""
    for name, key in keys.items():
        if key.required and name not in values:
            yield Finding(place((*path, name)), "missing", f"key {name!r} is missing")
    for name, value in values.items():
        key_path = (*path, name)
        if name not in keys:
            yield Finding(place(key_path), "unknown-key", unknown_key_message(name, keys))
        else:
            yield from _check_value(place, value, keys[name], key_path)


def unknown_key_message(name: str, keys: Iterable[str]) -> str:
    """Return the message for an unknown key, which suggests a similar known key if there is one."""
    similar = difflib.get_close_matches(name, list(keys), n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else ""
    return f"unknown key {name!r}{hint}"


def _check_value(place: PlaceLookup, value: object, key: Key, path: KeyPath) -> Iterator[Finding]:
    if not has_kind(value, key.kind):
        wanted = {dict: "a table", list: "a list", str: "a string", bool: "true or false"}
        yield Finding(place(path), "type", f"must be {wanted.get(key.kind, 'a number')}")
        return
    if isinstance(value, list):
        yield from _check_list(place, value, key, path)
    if isinstance(value, str) and key.choices and value not in key.choices:
        yield Finding(place(path), "choice", unknown_choice_message(value, key.choices))
    if isinstance(value, str) and key.format_check is not None:
        message = key.format_check(value)
        if message is not None:
            yield Finding(place(path), "form", message)
    if isinstance(value, int | float) and not isinstance(value, bool):
        if not math.isfinite(value):
            yield Finding(place(path), "range", "must be a finite number")
        if key.low is not None and value < key.low:
            yield Finding(place(path), "range", f"must be at least {key.low:g}")
        if key.high is not None and value > key.high:
            yield Finding(place(path), "range", f"must be at most {key.high:g}")


def _check_list(
    place: PlaceLookup, values: list[object], key: Key, path: KeyPath
) -> Iterator[Finding]:
    for value in values:
        if not isinstance(value, str):
            yield Finding(place(path), "type", "must be a list of strings")
        elif key.choices and value not in key.choices:
            yield Finding(place(path), "choice", unknown_choice_message(value, key.choices))


def unknown_choice_message(value: str, choices: Iterable[str]) -> str:
    """Return the message for a value that is not allowed, which suggests a similar choice."""
    similar = difflib.get_close_matches(value, list(choices), n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else ""
    return f"{value!r} is not one of {', '.join(choices)}{hint}"


def has_kind(value: object, kind: type) -> bool:
    """Return whether a value is of a type; integers count as floats, Booleans as neither."""
    if kind in (int, float) and isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, int | float)
    return isinstance(value, kind)
