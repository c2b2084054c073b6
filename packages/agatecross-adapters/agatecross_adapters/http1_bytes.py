"""Encoding of HTTP/1.1 requests and responses as bytes."""

from http import HTTPStatus

from agatecross_core.ids import Millis
from agatecross_core.relay.model import Handover, RelayResponse

from .header_names import HeaderNames

METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))
BODILESS_STATUSES = frozenset((204, 304))
HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
STATUS_LINES: dict[int, bytes] = {
    int(code): b"HTTP/1.1 %d %s\r\n" % (code, HTTPStatus(code).phrase.encode())
    for code in HTTPStatus
}


def split_absolute_form(target: bytes, hosts: list[bytes]) -> tuple[list[bytes], bytes]:
    """Return hosts and path of a target; an absolute form's host replaces the `Host` headers."""
    scheme, separator, rest = target.partition(b"://")
    if not separator or scheme.lower() not in (b"http", b"https"):
        return hosts, target
    host, slash, path = rest.partition(b"/")
    return [host], slash + path if slash else b"/"


def end_to_end_fields(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Drop the hop-by-hop fields, including those that `connection` lists."""
    fields = [field for field in headers if field[0] not in HOP_BY_HOP_FIELDS]
    if len(fields) == len(headers):
        return tuple(fields)
    connection_options = b",".join(
        value for name, value in headers if name == b"connection"
    ).lower()
    if connection_options in (b"", b"close", b"keep-alive"):
        return tuple(fields)
    extra = {name.strip() for name in connection_options.split(b",")}
    return tuple(field for field in fields if field[0] not in extra)


def encode_response(method: bytes, response: RelayResponse, close: bool) -> list[bytes]:
    """Return the parts of a response; `close` announces that the connection closes after it."""
    line = STATUS_LINES.get(response.status) or b"HTTP/1.1 %d Unknown\r\n" % response.status
    out = [line]
    for name, value in response.headers:
        out += (name, b": ", value, b"\r\n")
    if response.status not in BODILESS_STATUSES:
        out.append(b"content-length: %d\r\n" % len(response.body))
    out.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    if method != b"HEAD" and response.status not in BODILESS_STATUSES:
        out.append(response.body)
    return out


def encode_request(handover: Handover, time_left: Millis, names: HeaderNames) -> bytes:
    """Encode a request to the upstream, adding the time left and the expected instance."""
    request = handover.request
    out = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        out += (name, b": ", value, b"\r\n")
    out.append(b"%s: %d\r\n" % (names.time_left, max(1, int(time_left))))
    out.append(b"%s: %s\r\n" % (names.expected_instance, handover.instance.encode("latin-1")))
    if request.body or request.method in METHODS_WITH_BODY:
        out.append(b"content-length: %d\r\n" % len(request.body))
    out += (b"\r\n", request.body)
    return b"".join(out)
