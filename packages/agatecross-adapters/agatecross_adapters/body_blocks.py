"""Collects a body that arrives in parts of any size."""

from typing import Final

# One growing buffer would be moved again and again, which leaves several times its size in holes of
# the heap; a list of all parts takes many times the memory of a body in small chunks.
BLOCK_BYTES: Final = 8_192


class BodyBlocks:
    """Keeps a body in blocks; small parts are joined to one block."""

    __slots__ = ("blocks", "size")

    def __init__(self) -> None:
        """Start with an empty body."""
        self.blocks: list[bytes | bytearray] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part at the end."""
        self.size += len(part)
        last = self.blocks[-1] if self.blocks else None
        if isinstance(last, bytearray) and len(last) + len(part) <= BLOCK_BYTES:
            last += part
        elif 2 * len(part) < BLOCK_BYTES:
            self.blocks.append(bytearray(part))
        else:
            self.blocks.append(part)

    def whole(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.blocks)
