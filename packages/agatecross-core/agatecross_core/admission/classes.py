"""Filter that classifies calls as short or long by the observed cost of similar calls."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from ..calls.model import Call
from ..constants import (
    COST_BASELINE_FALL_WEIGHT,
    COST_BASELINE_RISE_TIME,
    EXPECTED_COST_HALF_LIFE,
    MAX_COST_SHAPES,
    MIN_COST_BASELINE,
    RECENT_COST_WEIGHT,
)
from ..ids import Millis
from ..states import WorkClass
from .model import CallShape, ClassPolicy, Entry, FilterItem

MAX_SHAPE_SEGMENTS = 6
# The baseline rises with the time since the previous sample, of which at most this much counts.
MAX_SAMPLE_GAP = Millis(1_000)


def shape_of(call: Call) -> CallShape:
    """Return the shape of a call; path segments with a digit become `*`, the query is dropped."""
    path = call.request.path.partition("?")[0]
    segments = path.split("/")[: MAX_SHAPE_SEGMENTS + 1]
    normalised = "/".join("*" if any(map(str.isdigit, part)) else part for part in segments)
    return CallShape(call.service, call.request.method, normalised)


@dataclass(slots=True)
class ShapeCost:
    """Observed cost of the calls of one shape, in milliseconds.

    `baseline` is the cost without a slowdown, `recent` a moving average of the last calls.
    """

    baseline: float
    recent: float
    updated_at: Millis


class CostTable:
    """Observed costs of at most `max_shapes` shapes; evicts the least recently observed shape."""

    def __init__(self, max_shapes: int = MAX_COST_SHAPES) -> None:
        self.max_shapes = max_shapes
        self.costs: OrderedDict[CallShape, ShapeCost] = OrderedDict()

    def observe(self, shape: CallShape, elapsed: Millis, now: Millis) -> float:
        """Record one sample and return its ratio to the previous baseline."""
        cost = self.costs.get(shape)
        if cost is None:
            self.costs[shape] = ShapeCost(elapsed, elapsed, now)
            if len(self.costs) > self.max_shapes:
                self.costs.popitem(last=False)
            return 1.0
        self.costs.move_to_end(shape)
        ratio = elapsed / max(cost.baseline, MIN_COST_BASELINE)
        gap = min(now - cost.updated_at, MAX_SAMPLE_GAP)
        rise = 1 - math.exp(-gap / COST_BASELINE_RISE_TIME)
        cost.baseline += (elapsed - cost.baseline) * (
            COST_BASELINE_FALL_WEIGHT if elapsed < cost.baseline else rise
        )
        cost.recent += (elapsed - cost.recent) * RECENT_COST_WEIGHT
        cost.updated_at = now
        return ratio

    def observe_running(self, shape: CallShape, elapsed: Millis, now: Millis) -> None:
        """Record the time of a running call if the table has no sample of its shape."""
        if shape not in self.costs:
            self.observe(shape, elapsed, now)

    def baseline_cost(self, shape: CallShape) -> float:
        """Return the cost of a shape without a slowdown, or 0 if the shape is unknown."""
        cost = self.costs.get(shape)
        return cost.baseline if cost else 0.0

    def expected_cost(self, shape: CallShape, now: Millis) -> float:
        """Return the recent cost of a shape, which decays while no call of the shape ends."""
        cost = self.costs.get(shape)
        if cost is None:
            return 0.0
        return cost.recent * float(0.5 ** ((now - cost.updated_at) / EXPECTED_COST_HALF_LIFE))


def classify(
    items: Iterable[FilterItem], costs: CostTable, policy: ClassPolicy
) -> Iterator[FilterItem]:
    """Mark the entries whose shape has a baseline of at least `long_ms` as long."""
    for item in items:
        if isinstance(item, Entry) and costs.baseline_cost(item.shape) >= policy.long_ms:
            yield replace(item, work_class=WorkClass.LONG)
        else:
            yield item
