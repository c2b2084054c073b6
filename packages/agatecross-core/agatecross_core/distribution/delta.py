"""Deltas between two versions of a document, so that little is sent for a small change."""

import re
from collections.abc import Iterator

from ..errors import DeltaError

# Pieces end at a closing brace, so an unchanged JSON object without nested ones is one piece.
PIECE = re.compile(rb"[^}]*\}|[^}]+")

Copy = tuple[int, int]
Step = Copy | bytes
"""Pieces to copy from the base (index of the first piece, number of pieces), or new bytes."""


def make_delta(base: bytes, target: bytes) -> tuple[Step, ...]:
    """Return the steps that build `target` from the pieces of `base`."""
    return tuple(_make_steps(PIECE.findall(base), PIECE.findall(target)))


def apply_delta(base: bytes, steps: tuple[Step, ...]) -> bytes:
    """Return the target; raises `DeltaError` if a step copies pieces that the base lacks."""
    pieces = PIECE.findall(base)
    pieces_of_target: list[bytes] = []
    for step in steps:
        if isinstance(step, bytes):
            pieces_of_target.append(step)
            continue
        first, count = step
        if first < 0 or count < 1 or first + count > len(pieces):
            raise DeltaError(
                f"step copies pieces {first} to {first + count} (exclusive), base has {len(pieces)}"
            )
        pieces_of_target += pieces[first : first + count]
    return b"".join(pieces_of_target)


def _make_steps(old: list[bytes], new: list[bytes]) -> Iterator[Step]:
    first_positions = {piece: position for position, piece in reversed(list(enumerate(old)))}
    first, count = 0, 0
    new_bytes: list[bytes] = []
    for piece in new:
        if count and first + count < len(old) and old[first + count] == piece:
            count += 1
            continue
        if count:
            yield (first, count)
            count = 0
        position = first_positions.get(piece)
        if position is None:
            new_bytes.append(piece)
            continue
        if new_bytes:
            yield b"".join(new_bytes)
            new_bytes = []
        first, count = position, 1
    if count:
        yield (first, count)
    if new_bytes:
        yield b"".join(new_bytes)
