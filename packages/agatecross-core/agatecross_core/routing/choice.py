"""Pipeline from a request to one candidate; its last step is the power of two choices."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import Millis
from .candidates import prefer_untried
from .ejection import Ejections
from .groups import GroupDetector
from .locality import prefer_nearest
from .model import Candidate, ChoiceRequest
from .observations import ObservationTable
from .ramp import Ramp
from .tuning import ADAPTIVE_FAILURE_COST


@dataclass(frozen=True, slots=True)
class Filters:
    """The filters that keep state between choices."""

    observations: ObservationTable
    ejections: Ejections
    groups: GroupDetector
    ramp: Ramp


def choose(
    request: ChoiceRequest,
    ready: Iterable[Candidate],
    filters: Filters,
    rng: random.Random,
    now: Millis,
) -> Candidate | None:
    """Return the candidate for one attempt, or None when no upstream can serve it."""
    rows = prefer_untried(request, iter(ready))
    rows = filters.groups.prefer_outside_tried_groups(request, rows)
    rows = filters.ejections.prefer_not_ejected(rows, now)
    rows = filters.groups.prefer_outside_slow_groups(rows, filters.observations, now)
    rows = filters.ramp.limit_newly_ready(rows, now)
    return pick_less_loaded(prefer_nearest(rows), rng)


def pick_less_loaded(candidates: Iterable[Candidate], rng: random.Random) -> Candidate | None:
    """Return the less loaded of two random candidates."""
    rows = list(candidates)
    if len(rows) <= 1:
        return rows[0] if rows else None
    return min(rng.sample(rows, 2), key=candidate_cost)


def candidate_cost(candidate: Candidate) -> float:
    """Return the expected wait: load per slot, scaled by expected latency and failures.

    Failures raise the cost because a failing upstream answers fastest and has no load.
    """
    waiting = (candidate.load + 1) / max(1, candidate.upstream.slots)
    return (
        waiting * max(candidate.latency_ms, 0.1) * (1 + ADAPTIVE_FAILURE_COST * candidate.failures)
    )
