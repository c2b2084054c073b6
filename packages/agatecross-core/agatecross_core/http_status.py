"""Which numbers are a status of HTTP."""

from typing import Final

LOWEST_STATUS: Final = 100
HIGHEST_STATUS: Final = 599


def is_http_status(status: int) -> bool:
    """Return whether a response with this status is one; parsers take any three digits."""
    return LOWEST_STATUS <= status <= HIGHEST_STATUS
