"""When a safe call that takes long is also tried at a second upstream."""

from ..ids import Millis

# Most runs end within twice the usual time, so a second attempt before that is mostly wasted.
MIN_USUAL_TIMES = 2.0
# A second attempt helps most when it can still end within the latency objective.
ROOM_FOR_SECOND = 1.5


def hedge_delay(usual: Millis | None, objective: Millis, left: Millis) -> Millis | None:
    """Return after how long a call is tried a second time; None when that cannot help.

    `usual` is the mean time of the route's calls, `objective` and `left` are what remains of the
    latency objective and of the deadline, all in milliseconds.
    """
    if usual is None:
        return None
    delay = max(MIN_USUAL_TIMES * usual, objective - ROOM_FOR_SECOND * usual)
    return Millis(delay) if delay + usual < left else None
