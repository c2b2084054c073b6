"""Limits on the size of a response of an upstream, checked while it is read."""

from typing import Final

from ..constants import KIB, MAX_RESPONSE_BYTES, MIB

# Limit on a head with the interim responses and blank lines before it, and on trailers. Common HTTP
# servers limit heads to 8 to 32 KiB.
MAX_RESPONSE_HEAD_BYTES: Final = 64 * KIB
# Limit on chunk lines per byte of the body, in addition to the limit on a head. Each chunk costs a
# parser call: chunks of five bytes or more always fit, smaller ones in bodies of up to 16 KiB.
MAX_FRAMING_BYTES_PER_BODY_BYTE: Final = 1
# Limit on all unfinished responses of one upstream together: four of the largest. On a machine with
# 150 MB, they and their copies on the way to the caller fit beside the 44 MB in use at a load peak.
MAX_UNFINISHED_RESPONSE_BYTES: Final = 32 * MIB


class ResponseSize:
    """Counts the bytes that an upstream has sent since it was sent a request.

    `read` is the total, `body` the part that belongs to a body, and `fields` the part that belongs
    to header fields and trailers.
    """

    __slots__ = ("body", "fields", "read")

    def __init__(self) -> None:
        """Start with nothing read."""
        self.read = 0
        self.body = 0
        self.fields = 0

    @property
    def content_exceeded(self) -> bool:
        """Return whether the body or the fields are too large, regardless of the framing."""
        return self.body > MAX_RESPONSE_BYTES or self.fields > MAX_RESPONSE_HEAD_BYTES

    @property
    def exceeded(self) -> bool:
        """Return whether more was read than an unfinished response may contain."""
        framing = self.read - self.body
        allowed = MAX_RESPONSE_HEAD_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body
        return self.content_exceeded or framing > allowed
