"""The rule of preference filters."""

from collections.abc import Callable, Iterable, Iterator

from .model import Candidate


def prefer(
    candidates: Iterable[Candidate], wanted: Callable[[Candidate], bool]
) -> Iterator[Candidate]:
    """Yield the wanted candidates, or all when none is wanted."""
    rows = list(candidates)
    yield from [row for row in rows if wanted(row)] or rows
