"""Durations written as a number with its unit, such as `1500ms` or `2.5s`."""

from .errors import MessageDecodeError
from .ids import Millis

MILLIS_PER_SECOND = 1000


def parse_duration(text: object) -> Millis:
    """Parse `1500ms` or `2.5s` into milliseconds; raises `MessageDecodeError` if invalid."""
    if not isinstance(text, str):
        raise MessageDecodeError(f"{text!r} is not a duration such as '1500ms' or '2.5s'")
    number, factor = (text[:-2], 1) if text.endswith("ms") else (text[:-1], MILLIS_PER_SECOND)
    try:
        value = float(number) * factor
    except ValueError as error:
        raise MessageDecodeError(
            f"{text!r} is not a duration such as '1500ms' or '2.5s'"
        ) from error
    if not text.endswith("s") or not 0 <= value < float("inf"):
        raise MessageDecodeError(f"{text!r} is not a duration such as '1500ms' or '2.5s'")
    return Millis(value)


def check_duration(text: str) -> str | None:
    """Return an error message for an invalid duration, or None if it is valid."""
    try:
        parse_duration(text)
    except MessageDecodeError as error:
        return str(error)
    return None
