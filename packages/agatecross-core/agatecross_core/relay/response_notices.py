"""What an upstream says of itself in the heads of its responses."""

import math
import re
from dataclasses import dataclass

from .model import HeaderRows

# No sign, no exponent, no "nan": such a value is taken for a fault of the sender.
DECIMAL = re.compile(rb"[0-9]+(?:\.[0-9]*)?|\.[0-9]+")
LEAVING = b"1"


@dataclass(frozen=True, slots=True)
class UpstreamNotices:
    """Notices in one response.

    `limit` is the number of requests per second that the upstream takes from all daemons together:
    infinite if it names none, and None if what it names cannot be read.
    """

    limit: float | None
    leaving: bool


def read_notices(headers: HeaderRows, limit_name: bytes, leaving_name: bytes) -> UpstreamNotices:
    """Return the notices in a response; the header names are in lower case.

    Of several limits the lowest counts.
    """
    values = [value.strip() for name, value in headers if name == limit_name]
    limits = [float(value) for value in values if DECIMAL.fullmatch(value)]
    if limits:
        limit: float | None = min(limits)
    else:
        limit = None if values else math.inf
    leaving = any(name == leaving_name and value.strip() == LEAVING for name, value in headers)
    return UpstreamNotices(limit, leaving)
