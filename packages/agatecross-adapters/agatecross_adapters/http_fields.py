"""Removes hop-by-hop header fields, and normalizes request targets."""

import re

from tornado.httputil import HTTPHeaders

from agatecross_core.calls.model import Headers

# Capitalized as tornado's `HTTPHeaders` normalizes field names.
HOP_BY_HOP_FIELDS = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "Content-Length",
        "Te",
        "Trailer",
        "Upgrade",
        "Expect",
        "Proxy-Connection",
    )
)

ABSOLUTE_FORM_PATTERN = re.compile(r"https?://([^/?#]+)(.*)", re.IGNORECASE)


def end_to_end_fields(headers: HTTPHeaders) -> Headers:
    """Drop the hop-by-hop fields, including those that `Connection` lists."""
    connection_options = headers.get("Connection", "").lower()
    if connection_options in ("", "close", "keep-alive"):
        return tuple(field for field in headers.get_all() if field[0] not in HOP_BY_HOP_FIELDS)
    extra = {name.strip() for name in connection_options.split(",")}
    fields = headers.get_all()
    return tuple(
        field
        for field in fields
        if field[0] not in HOP_BY_HOP_FIELDS and field[0].lower() not in extra
    )


def to_origin_form(target: str, headers: Headers) -> tuple[str, Headers]:
    """Return path and headers of a request whose target may be in absolute form.

    The host of an absolute form, `http://host/path`, replaces the one in the `Host` header, as
    RFC 9112, section 3.2.2, requires.
    """
    if target.startswith("/"):
        return target, headers
    match = ABSOLUTE_FORM_PATTERN.fullmatch(target)
    if match is None:
        return target, headers
    host, path = match.groups()
    new_headers = tuple((n, host if n.lower() == "host" else value) for n, value in headers)
    return path if path.startswith("/") else f"/{path}", new_headers
