"""Which header fields belong to one connection only."""

from tornado.httputil import HTTPHeaders

from agatecross_core.calls.model import Headers

# In the normal form of tornado's `HTTPHeaders`.
HOP_FIELDS = frozenset(
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


def end_to_end(headers: HTTPHeaders) -> Headers:
    """Return the fields without those of the connection and those that `Connection` names."""
    named = headers.get("Connection", "").lower()
    if named in ("", "close", "keep-alive"):
        return tuple(row for row in headers.get_all() if row[0] not in HOP_FIELDS)
    extra = {name.strip() for name in named.split(",")}
    rows = headers.get_all()
    return tuple(row for row in rows if row[0] not in HOP_FIELDS and row[0].lower() not in extra)
