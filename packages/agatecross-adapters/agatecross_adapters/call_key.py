"""Reads the key of a request from its header fields, and replaces it by the customer's name."""

from collections.abc import Iterator

from agatecross_core.customers.model import Customer
from agatecross_core.relay.model import HeaderRows

from .header_names import HeaderNames


def read_key(headers: HeaderRows, names: HeaderNames) -> bytes | None:
    """Return the key, or None if the request has no credentials.

    Credentials of another scheme, or several that differ, give an empty key, which nobody holds.
    """
    credentials = {value for name, value in headers if name == names.authorization}
    if not credentials:
        return None
    if len(credentials) > 1:
        return b""
    scheme, _, key = credentials.pop().strip().partition(b" ")
    return key.strip() if scheme.lower() == names.key_scheme else b""


def name_customer(
    headers: HeaderRows, customer: Customer | None, names: HeaderNames
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the header fields for the upstream: the customer's name in place of the key."""
    for header in headers:
        if header[0] not in (names.authorization, names.customer):
            yield header
    if customer is not None:
        yield names.customer, customer.name.encode("latin-1", "replace")
