"""Delay after which a slow safe call is also tried at a second upstream."""

from ..ids import Millis

# Most calls end within twice the mean time, so an earlier second attempt is mostly wasted.
MIN_DELAY_FACTOR = 2.0
# A second attempt helps most when it can still end within the latency objective, so it is sent when
# this multiple of the mean time is left.
SECOND_ATTEMPT_TIME_FACTOR = 1.5


def hedge_delay(
    mean_time: Millis | None, objective_time_left: Millis, time_left: Millis
) -> Millis | None:
    """Return the delay of the second attempt, or None if it cannot help.

    `mean_time` is the mean time of the calls of the route; `objective_time_left` and `time_left`
    are the times left to the latency objective and to the deadline. All are in milliseconds.
    """
    if mean_time is None:
        return None
    delay = max(
        MIN_DELAY_FACTOR * mean_time, objective_time_left - SECOND_ATTEMPT_TIME_FACTOR * mean_time
    )
    return Millis(delay) if delay + mean_time < time_left else None
