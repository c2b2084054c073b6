"""Flow of one relayed call: the next upstream, whether to repeat the call, and the final result."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

from ..ids import ZERO_MS, DaemonId, Millis
from ..members.directory import Endpoint
from ..states import Outcome, Reason
from .model import Attempt, RelayResult, Repeat, not_run_result

# Until a handover has reached an upstream, further attempts take no token of the retry budget, but
# each costs a round trip between daemons.
MAX_HANDOVERS = 3
# A handover with less time left than this cannot end in time.
MIN_TIME_LEFT = Millis(10)
SERVER_ERROR = 500

ChooseEndpoint = Callable[[tuple[DaemonId, ...]], Endpoint | None]
"""Returns the endpoint for the next attempt, given those tried before."""


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """Limits of repeats of a call; `attempts` is the number of upstreams that may run it.

    `least_time` is the time without which no upstream can end the call, 0 if it is unknown.
    """

    repeat: Repeat
    attempts: int
    least_time: Millis = ZERO_MS


def relay(
    policy: RelayPolicy,
    choose: ChooseEndpoint,
    time_left: Callable[[], Millis],
    may_repeat: Callable[[], bool],
) -> Generator[Attempt, RelayResult, RelayResult]:
    """Yield attempts, receive their results, and return the final result.

    Load pattern: callers that come back late, and calls of running upstreams near their deadline.
    Without enough time left they are answered "not run" at once instead of being handed over.
    """
    tried: tuple[DaemonId, ...] = ()
    arrivals = 0
    reported: RelayResult | None = None
    for number in range(MAX_HANDOVERS):
        if time_left() < max(MIN_TIME_LEFT, policy.least_time):
            return reported or not_run_result(Reason.DEADLINE)
        endpoint = choose(tried)
        if endpoint is None or endpoint.instance is None:
            return reported or not_run_result(Reason.NO_UPSTREAM)
        if arrivals and not may_repeat():
            return reported or not_run_result(Reason.RETRY_BUDGET)
        result = yield Attempt(endpoint.daemon_id, endpoint.instance, number)
        tried = (*tried, endpoint.daemon_id)
        arrivals += result.reached_upstream
        reported = reported_result(reported, result)
        if not is_repeatable(result, policy, arrivals):
            return reported
    return reported or not_run_result(Reason.NO_UPSTREAM)


def is_repeatable(result: RelayResult, policy: RelayPolicy, arrivals: int) -> bool:
    """Return whether another attempt is allowed after this result."""
    if result.reason in (Reason.TIMEOUT, Reason.CANCELLED):
        return False
    if result.outcome is Outcome.NOT_RUN:
        return arrivals <= policy.attempts
    if policy.repeat is Repeat.ONCE or arrivals >= policy.attempts:
        return False
    return not is_served(result)


def is_served(result: RelayResult) -> bool:
    """Return whether a result is a response without a server error, which no repeat improves."""
    return result.response is not None and result.response.status < SERVER_ERROR


def reported_result(earlier: RelayResult | None, latest: RelayResult) -> RelayResult:
    """Return the result for the caller: after a possible run, no refusal may say "not run".

    A server error of an upstream is kept when its repeat brought no answer, and an answer is kept
    when a second attempt failed.
    """
    if earlier is None or (latest.outcome is Outcome.RAN and not is_served(earlier)):
        return latest
    if earlier.outcome is Outcome.NOT_RUN:
        return latest
    return earlier
