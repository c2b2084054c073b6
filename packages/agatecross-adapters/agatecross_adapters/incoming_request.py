"""Request that a connection is reading."""

from agatecross_core.relay.model import RelayRequest

from .body_blocks import BodyBlocks
from .http1_bytes import end_to_end_fields, split_absolute_form
from .message_size import MessageSize

FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class IncomingRequest:
    """Collects the parts of one request and counts their size."""

    __slots__ = ("body", "expects_continue", "framing_fields", "headers", "size", "target")

    def __init__(self) -> None:
        """Start with nothing read."""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = BodyBlocks()
        self.size = MessageSize()
        self.framing_fields = 0
        self.expects_continue = False

    def add_target(self, part: bytes) -> None:
        """Add a part of the request target."""
        self.target += part
        self.size.add_target(len(part))

    def add_field(self, name: bytes, value: bytes) -> None:
        """Add one header field, whose name is in lower case."""
        self.size.add_field(len(name) + len(value))
        self.headers.append((name, value))
        if name in FRAMING_FIELDS:
            self.framing_fields += 1
        elif name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def head_without_upgrade(self, method: bytes, version: str) -> bytes:
        """Return the head of this request as a client that offers no other protocol sends it."""
        fields = [b"%s: %s\r\n" % row for row in self.headers if row[0] != b"upgrade"]
        start = b"%s %s HTTP/%s\r\n" % (method, self.target, version.encode())
        return start + b"".join(fields) + b"\r\n"

    def complete(self, method: bytes) -> tuple[RelayRequest, bytes] | None:
        """Return the whole request and its host, or None without exactly one valid target."""
        hosts = [value for name, value in self.headers if name == b"host"]
        target = self.target
        if not target.startswith(b"/"):
            hosts, target = split_absolute_form(target, hosts)
        if len(hosts) != 1 or not target.startswith(b"/"):
            return None
        fields = end_to_end_fields(self.headers)
        return RelayRequest(method, target, fields, self.body.whole()), hosts[0]
