"""Durations written as a number and its unit in one string, `1500ms` or `2.5s`."""

from .errors import MessageDecodeError
from .ids import Millis

MILLIS_PER_SECOND = 1000


def parse_duration(text: object) -> Millis:
    """Return `1500ms` or `2.5s` in milliseconds; raises `MessageDecodeError`."""
    if not isinstance(text, str):
        raise MessageDecodeError(f"{text!r} is not a duration")
    number, factor = (text[:-2], 1) if text.endswith("ms") else (text[:-1], MILLIS_PER_SECOND)
    try:
        value = float(number) * factor
    except ValueError as error:
        raise MessageDecodeError(f"{text!r} is not a duration") from error
    if not text.endswith("s") or not 0 <= value < float("inf"):
        raise MessageDecodeError(f"{text!r} is not a duration")
    return Millis(value)


def check_duration(text: str) -> str | None:
    """Check the form of a duration; return a message, or None when it is valid."""
    try:
        parse_duration(text)
    except MessageDecodeError as error:
        return str(error)
    return None
