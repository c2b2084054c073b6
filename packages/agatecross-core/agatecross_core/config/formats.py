"""Checks of the format of strings; each returns a message, or None if the string is valid."""

import ipaddress
from collections.abc import Callable
from functools import lru_cache

from ..constants import MAX_MEMBERS

FormatCheck = Callable[[str], str | None]

MAX_PORT = 65_535


def check_ip(text: str) -> str | None:
    """Check an IP address without a port."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP address"
    return None


# Peers describe the same addresses again and again, in every greeting and with every change.
@lru_cache(maxsize=2 * MAX_MEMBERS)
def check_address(text: str) -> str | None:
    """Check an address of the form `ip:port`; an IPv6 address may be in brackets."""
    host, _, port = text.rpartition(":")
    if check_ip(host.removeprefix("[").removesuffix("]")) is not None:
        return f"{text!r} is not an address of the form ip:port"
    # `isdecimal` alone also accepts digits of other scripts, which peers do not parse.
    if not (port.isascii() and port.isdecimal() and 1 <= int(port[:6]) <= MAX_PORT):
        return f"{text!r} has no port from 1 to {MAX_PORT}"
    return None


def check_name(text: str) -> str | None:
    """Check that a name is not empty and contains no white space."""
    if not text or any(character.isspace() for character in text):
        return f"{text!r} is empty or contains white space"
    return None
