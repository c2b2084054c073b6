"""Names of the header fields that carry a call's metadata, chosen by the front end."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Lower-case names of the fields.

    `stamp` proves that a response comes from an upstream; `not_run` marks a refusal by an upstream;
    `time_left` is in milliseconds.
    """

    call_id: bytes
    time_left: bytes
    stamp: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance: bytes
