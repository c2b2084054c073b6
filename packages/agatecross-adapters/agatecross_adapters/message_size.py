"""Size of one request while it is read, whatever the parser shows of it."""

from agatecross_core.admission.connection_budget import FIELD_BYTES

# The colon and the line end of a header field; a client may send no space.
FIELD_OVERHEAD_BYTES = 3
# Bytes beside the counted ones: request line, white space, and what one piece of data may hold.
FRAMING_SLACK_BYTES = 16_384
# Of the bytes beside the counted ones, the parser keeps a field that is not whole.
MAX_COLLECTED_BYTES = 65_536
# Two header limits, as clients may count a head with or without its separators.
HEADS = 2
# A chunk of one byte takes five bytes of framing, a few more with leading zeros.
FRAMING_BYTES_PER_BODY_BYTE = 8


class MessageSize:
    """Counts what was read since the request before.

    `read` is the total, `head` the target and the fields, `body` and `trailers` their own; `fields`
    is the number of header fields.
    """

    __slots__ = ("body", "fields", "head", "read", "trailers")

    def __init__(self) -> None:
        """Start with nothing read."""
        self.read = self.head = self.body = self.trailers = self.fields = 0

    def add_target(self, count: int) -> None:
        """Count a part of the target."""
        self.head += count

    def add_field(self, count: int) -> None:
        """Count one header field, given the length of its name and value."""
        self.head += count + FIELD_OVERHEAD_BYTES
        self.fields += 1

    def add_trailer(self, count: int) -> None:
        """Count one trailer, given the length of its name and value."""
        self.trailers += count + FIELD_OVERHEAD_BYTES

    def add_body(self, count: int) -> None:
        """Count a part of the body."""
        self.body += count

    @property
    def held(self) -> int:
        """Return the bytes that the objects of this request take, with what the parser collects."""
        unseen = min(max(0, self.read - self.head - self.body), MAX_COLLECTED_BYTES)
        return self.head + self.body + self.fields * FIELD_BYTES + unseen

    def framing_exceeded(self, head_limit: int) -> bool:
        """Return whether more was read beside the body than a request inside the limits has."""
        allowed = HEADS * head_limit + FRAMING_SLACK_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.body
        return self.read - self.body > allowed
