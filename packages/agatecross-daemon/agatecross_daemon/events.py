"""Structured log events, one line of key=value pairs each."""

import json

from absl import logging

UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/+-,@"
)


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    logging.info("%s", format_event(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event at level WARNING."""
    logging.warning("%s", format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return the pairs in order; values with characters that need quoting are JSON strings."""
    pairs = {"event": event, **fields}
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def _format_value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return (
        text if text and set(text) <= UNQUOTED_CHARACTERS else json.dumps(text, ensure_ascii=False)
    )
