"""When a safe call that takes long is also tried at a second upstream."""

from ..ids import Millis

# Most runs end within twice the usual time, so a second attempt before that is mostly wasted.
MIN_DELAY_FACTOR = 2.0
# A second attempt helps most when it can still end within the latency objective.
SECOND_ATTEMPT_TIME_FACTOR = 1.5


def hedge_delay(mean_time: Millis | None, objective: Millis, time_left: Millis) -> Millis | None:
    """Return after how long a call is tried a second time; None when that cannot help.

    `usual` is the mean time of the route's calls, `objective` and `left` are what remains of the
    latency objective and of the deadline, all in milliseconds.
    """
    if mean_time is None:
        return None
    delay = max(MIN_DELAY_FACTOR * mean_time, objective - SECOND_ATTEMPT_TIME_FACTOR * mean_time)
    return Millis(delay) if delay + mean_time < time_left else None
