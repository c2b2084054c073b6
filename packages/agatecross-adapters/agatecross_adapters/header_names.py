"""Names of the header fields that carry a call's metadata; the front end chooses them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Lower-case names of the header fields.

    The `stamp` field proves that an upstream made the response, the `not_run` field marks a
    refusal by an upstream, `expected_instance` names the instance that a request is for, and the
    `time_left` field holds milliseconds. With `limit` an upstream names how many requests it takes
    per second, and with `leaving` it says that it is about to end. A caller sends its key in the
    `authorization` field, after `key_scheme` in lower case; an upstream gets the customer's name in
    `customer` instead.
    """

    call_id: bytes
    time_left: bytes
    stamp: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance: bytes
    limit: bytes
    leaving: bytes
    authorization: bytes
    key_scheme: bytes
    customer: bytes
