"""How much one response of an upstream may be, counted while it is read."""

from typing import Final

from ..constants import KIB, MAX_RESPONSE_BYTES, MIB

# Bytes of a head, with interim responses and blank lines before it, and of trailers. Common
# HTTP servers limit heads to 8 to 32 KiB.
MAX_RESPONSE_HEAD_BYTES: Final = 64 * KIB
# Bytes of chunk lines for each byte of the body, beyond what a head may be. Each chunk costs the
# parser a call: chunks of five bytes or more always fit, smaller ones in bodies of up to 16 KiB.
MAX_FRAMING_BYTES_PER_BODY_BYTE: Final = 1
# Bytes that the unfinished responses of one upstream may take together: four of the largest. With
# their copies on the way to the caller they fit beside 44 MB at a crest on a machine of 150 MB.
MAX_UNFINISHED_RESPONSE_BYTES: Final = 32 * MIB


class ResponseSize:
    """Counts everything that an upstream sent since it was sent a request.

    `read` is all of it, `body` the part that belongs to a body, `fields` that of header fields and
    trailers, all in bytes.
    """

    __slots__ = ("body", "fields", "read")

    def __init__(self) -> None:
        """Start with nothing read."""
        self.read = 0
        self.body = 0
        self.fields = 0

    @property
    def content_exceeded(self) -> bool:
        """Return whether the body or the fields are too large, however they came."""
        return self.body > MAX_RESPONSE_BYTES or self.fields > MAX_RESPONSE_HEAD_BYTES

    @property
    def exceeded(self) -> bool:
        """Return whether more was read than an unfinished response may take."""
        framing = self.read - self.body
        allowed = MAX_RESPONSE_HEAD_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body
        return self.content_exceeded or framing > allowed
