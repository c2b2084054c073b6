"""Constants of the choice of an upstream, with their units."""

from typing import Final

from ..ids import Millis

# Members of each locality that one choice considers; the power of two choices needs two of them to
# pass the filters.
SAMPLE_PER_LOCALITY: Final = 4

# Latency statistics of one upstream.
MEDIAN_STEP_SHARE: Final = 0.05
RECENT_LATENCY_WEIGHT: Final = 0.5
RECENT_LATENCY_HALF_LIFE: Final = Millis(300)
# Distance of the slow threshold from the median, in mean deviations: 0.5 % of calls with
# gamma-distributed work (shape 4) exceed four of them, and 3.5 % with exponential work. A service
# whose calls all take about the same time needs a minimum distance.
SLOW_DEVIATIONS: Final = 4.0
SLOW_MIN_SPREAD_SHARE: Final = 1.0
SLOW_MARGIN: Final = Millis(2)
MEDIAN_MIN_SAMPLES: Final = 5
# After this time without new evidence, one more call checks whether the upstream is still slow.
# About as long as a slow period on a shared power feed; 200 ms sent more calls into each period.
SLOW_HOLD_TIME: Final = Millis(400)
MAX_SLOW_HOLD_TIME: Final = Millis(5_000)
ADAPTIVE_FAILURE_WEIGHT: Final = 0.2
ADAPTIVE_FAILURE_HALF_LIFE: Final = Millis(1_000)
ADAPTIVE_FAILURE_COST: Final = 20.0
# Two failures in a row reach this share.
FAILING_SHARE: Final = 0.3

# The load that a target reported loses its weight within this time.
REPORT_LIFETIME: Final = Millis(1_000)

# Ejection after failed connections, doubled for each further failure.
ADAPTIVE_INITIAL_EJECTION_TIME: Final = Millis(500)
ADAPTIVE_MAX_EJECTION_TIME: Final = Millis(10_000)

# Cold start of an upstream: initial share of its calls, and time until it gets all of them.
RAMP_INITIAL_SHARE: Final = 0.1
RAMP_TIME: Final = Millis(5_000)

# Groups of upstreams that slow down together.
BUCKET_WIDTH: Final = Millis(100)
HISTORY_BUCKETS: Final = 600
MAX_TRACKED_UPSTREAMS: Final = 512
MAX_CORRELATED_UPSTREAMS: Final = 64
GROUP_SEARCH_PERIOD: Final = Millis(1_000)
GROUP_LINK_LIFETIME: Final = Millis(60_000)
FLEET_PEAK_SLOW_SHARE: Final = 0.5
# Higher than for the fleet: a group may contain half of the upstreams of one service.
SERVICE_PEAK_SLOW_SHARE: Final = 0.75
PEAK_MIN_OBSERVATIONS: Final = 3
# Slow periods last several buckets, so buckets are not independent: a pair needs this many separate
# common periods, a strong correlation, and a z-score that noise does not reach in the 2,016 pairs
# of 64 upstreams.
GROUP_MIN_COMMON_PERIODS: Final = 3
GROUP_MIN_CORRELATION: Final = 0.35
GROUP_MIN_Z_SCORE: Final = 4.5

# Hedging.
MAX_LATENCY_SAMPLES: Final = 512
HEDGE_MIN_SAMPLES: Final = 32
QUANTILE_REFRESH_SAMPLES: Final = 32
REFUSAL_WEIGHT: Final = 0.05
HEDGE_MAX_REFUSAL_SHARE: Final = 0.05
HEDGE_MAX_UTILISATION: Final = 0.7
