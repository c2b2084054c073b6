"""Common rule of the preference filters: if no candidate passes, all do."""

from collections.abc import Callable, Iterable, Iterator

from .model import Candidate


def prefer(
    candidates: Iterable[Candidate], wanted: Callable[[Candidate], bool]
) -> Iterator[Candidate]:
    """Yield the wanted candidates, or all if none is wanted."""
    rows = list(candidates)
    yield from [candidate for candidate in rows if wanted(candidate)] or rows
