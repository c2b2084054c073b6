"""Required filter: members that accept new calls."""

from collections.abc import Iterable, Iterator

from ..states import MemberState, UpstreamState
from .model import Candidate


def keep_healthy(candidates: Iterable[Candidate]) -> Iterator[Candidate]:
    """Yield candidates that are alive and whose upstream is ready."""
    for candidate in candidates:
        if candidate.member.state is not MemberState.ALIVE:
            continue
        if candidate.upstream.state is UpstreamState.READY:
            yield candidate
