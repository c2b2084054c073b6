"""The pipeline from a request to one candidate, closed by the power of two choices."""

import random
from collections.abc import Iterable

from ..members.view import FleetView
from .candidates import candidates
from .health import healthy
from .load import LoadTable
from .locality import nearest
from .model import Candidate, ChoiceRequest, Position


def choose(
    request: ChoiceRequest, view: FleetView, load: LoadTable, here: Position, rng: random.Random
) -> Candidate | None:
    """Return the candidate for one attempt, or None when no upstream can serve it."""
    return less_loaded(nearest(healthy(candidates(request, view, load, here))), rng)


def less_loaded(candidates: Iterable[Candidate], rng: random.Random) -> Candidate | None:
    """Return the less loaded of two random candidates."""
    rows = list(candidates)
    if len(rows) <= 1:
        return rows[0] if rows else None
    return min(rng.sample(rows, 2), key=cost)


def cost(candidate: Candidate) -> float:
    """Return the expected wait: outstanding calls for each slot, scaled by observed latency."""
    waiting = (candidate.outstanding + 1) / max(1, candidate.upstream.slots)
    return waiting * max(candidate.latency_ms, 0.1)
