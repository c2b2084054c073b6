"""Preference filter: the nearest members with spare capacity."""

from collections.abc import Iterable, Iterator

from ..states import Locality
from .model import Candidate
from .tuning import FAILING_SHARE


def prefer_nearest(candidates: Iterable[Candidate]) -> Iterator[Candidate]:
    """Yield the candidates with room in the nearest locality that has any, or all if none has."""
    rows = list(candidates)
    for locality in Locality:
        near = [
            candidate
            for candidate in rows
            if candidate.locality is locality and has_room(candidate)
        ]
        if near:
            yield from near
            return
    yield from rows


def has_room(candidate: Candidate) -> bool:
    """Return whether the upstream has a free slot and is neither slow nor failing now.

    A slow upstream costs more than the distance to the next locality.
    """
    if candidate.slow or candidate.failures > FAILING_SHARE:
        return False
    return candidate.load < candidate.upstream.slots
