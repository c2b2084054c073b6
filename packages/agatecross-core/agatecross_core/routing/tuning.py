"""Constants of the choice of an upstream, with their units."""

from typing import Final

from ..ids import Millis

# Members of each locality that one choice looks at; the power of two choices needs two of them to
# pass the filters.
SAMPLE_PER_LOCALITY: Final = 4

# Latency statistics of one upstream.
MEDIAN_STEP_SHARE: Final = 0.05
RECENT_LATENCY_WEIGHT: Final = 0.5
RECENT_LATENCY_HALF_LIFE: Final = Millis(300)
# Four mean deviations: 0.5 % of calls with gamma-distributed work (shape 4) exceed this, 3.5 % with
# exponential work. Services with even work need a least distance.
SLOW_DEVIATIONS: Final = 4.0
SLOW_MIN_SPREAD_SHARE: Final = 1.0
SLOW_MARGIN: Final = Millis(2)
MEDIAN_MIN_SAMPLES: Final = 5
# After this time without new evidence one more call finds out whether the upstream is still slow.
# About as long as a moment on a shared power feed; 200 ms sent more calls into each of them.
SLOW_HOLD_TIME: Final = Millis(400)
MAX_SLOW_HOLD_TIME: Final = Millis(5_000)
FAILURE_WEIGHT: Final = 0.2
FAILURE_HALF_LIFE: Final = Millis(1_000)
FAILURE_COST: Final = 20.0
# Two failures in a row reach this share.
FAILING_SHARE: Final = 0.3

# Load that a target reported loses its weight within this time.
REPORT_LIFETIME: Final = Millis(1_000)

# Ejection after failed connections, doubled for each further failure.
EJECTION_TIME: Final = Millis(500)
MAX_EJECTION_TIME: Final = Millis(10_000)

# Cold start: share of its calls at first, and time until it gets all of them.
RAMP_START: Final = 0.1
RAMP_TIME: Final = Millis(5_000)

# Groups of upstreams that slow down together.
BUCKET_WIDTH: Final = Millis(100)
HISTORY_BUCKETS: Final = 600
MAX_TRACKED_UPSTREAMS: Final = 512
MAX_CORRELATED_UPSTREAMS: Final = 64
GROUP_SEARCH_PERIOD: Final = Millis(1_000)
GROUP_LINK_LIFETIME: Final = Millis(60_000)
FLEET_PEAK_SLOW_SHARE: Final = 0.5
# Higher than the fleet's: a group may hold half of the upstreams of one service.
SERVICE_PEAK_SLOW_SHARE: Final = 0.75
PEAK_MIN_OBSERVATIONS: Final = 3
# Slow moments last several buckets, so buckets are not independent: a pair needs this many
# separate coincidences, a strong correlation, and a deviation that noise does not reach in the
# 2,016 pairs of 64 upstreams.
GROUP_MIN_COMMON_PERIODS: Final = 3
GROUP_MIN_CORRELATION: Final = 0.35
GROUP_MIN_DEVIATION: Final = 4.5

# Hedging.
MAX_LATENCY_SAMPLES: Final = 512
HEDGE_MIN_SAMPLES: Final = 32
QUANTILE_REFRESH_SAMPLES: Final = 32
REFUSAL_WEIGHT: Final = 0.05
HEDGE_MAX_REFUSAL_SHARE: Final = 0.05
HEDGE_MAX_UTILISATION: Final = 0.7
