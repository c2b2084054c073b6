"""Differences between two versions of a document, so that a change is small on a link."""

import re
from collections.abc import Iterator

from ..errors import DeltaError

# Objects of JSON and similar notations end with a brace, so an unchanged object is one piece.
PIECE = re.compile(rb"[^}]*\}|[^}]+")

Copy = tuple[int, int]
Step = Copy | bytes
"""A run of pieces of the base (first piece, number of pieces), or new bytes."""


def make_delta(base: bytes, target: bytes) -> tuple[Step, ...]:
    """Return the steps that build `target` from the pieces of `base`."""
    return tuple(_joined(PIECE.findall(base), PIECE.findall(target)))


def apply_delta(base: bytes, steps: tuple[Step, ...]) -> bytes:
    """Return the target; raises `DeltaError` when a step does not fit the base."""
    pieces = PIECE.findall(base)
    out: list[bytes] = []
    for step in steps:
        if isinstance(step, bytes):
            out.append(step)
            continue
        first, count = step
        if first < 0 or count < 1 or first + count > len(pieces):
            raise DeltaError(f"pieces {first} to {first + count} of {len(pieces)}")
        out += pieces[first : first + count]
    return b"".join(out)


def _joined(old: list[bytes], new: list[bytes]) -> Iterator[Step]:
    places = {piece: place for place, piece in reversed(list(enumerate(old)))}
    first, count = 0, 0
    fresh: list[bytes] = []
    for piece in new:
        if count and first + count < len(old) and old[first + count] == piece:
            count += 1
            continue
        if count:
            yield (first, count)
            count = 0
        place = places.get(piece)
        if place is None:
            fresh.append(piece)
            continue
        if fresh:
            yield b"".join(fresh)
            fresh = []
        first, count = place, 1
    if count:
        yield (first, count)
    if fresh:
        yield b"".join(fresh)
