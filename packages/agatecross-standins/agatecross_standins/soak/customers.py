"""Customers of a soak: their keys, one of which each version replaces, and a customer's limit."""

from collections.abc import Callable

from agatecross_core.ids import Version

MAIN_KEY = "k-main"
# Its callers send several times the limit of their customer.
HOT_KEY = "k-hot"
UNKNOWN_KEY = "k-unknown"
HOT_RATE = 20.0
HOT_BURST = 10.0
VERSION_PREFIX = "k-version-"

KeyChoice = Callable[[], str]
"""Returns the key of a caller's next request."""


def version_key(version: Version) -> str:
    """Return the key that only one version has."""
    return f"{VERSION_PREFIX}{version}"


def version_of(key: str) -> Version | None:
    """Return the only version that has a key, or None for other keys."""
    number = key.removeprefix(VERSION_PREFIX)
    return Version(int(number)) if number != key else None


def customer_rows(version: Version) -> list[dict[str, object]]:
    """Return the customers of a version as the configuration has them."""
    return [
        {"name": "main", "keys": [MAIN_KEY, version_key(version)]},
        {"name": "hot", "keys": [HOT_KEY], "ratePerS": HOT_RATE, "burst": HOT_BURST},
    ]
