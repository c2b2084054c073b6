"""Whether the upstreams of a service shed most of what reaches them."""

from collections.abc import Callable, Generator

from ..admission.slot_use import RecentSums
from ..ids import Millis, ServiceName
from ..states import Reason
from .model import Attempt, RelayResult

SHEDDING_WINDOW = Millis(1_000)
# One daemon sends a service some ten calls a second; fewer results than this show nothing.
MIN_RECENT_RESULTS = 3.0
SHEDDING_SHARE = 0.5

Flow = Generator[Attempt, RelayResult, RelayResult]


class SheddingServices:
    """Finds the services whose upstreams shed at least half of the calls of the last second.

    Load pattern: all upstreams of a service shed for some seconds. Asking one after the other uses
    up the budget of repeats and gives each of them more to shed.
    """

    def __init__(self) -> None:
        """Start without results."""
        self.results: RecentSums[ServiceName] = RecentSums(SHEDDING_WINDOW)
        self.shed: RecentSums[ServiceName] = RecentSums(SHEDDING_WINDOW)

    def record(self, service: ServiceName, result: RelayResult, now: Millis) -> None:
        """Record the result of an attempt, if its request reached the upstream."""
        if result.reached_upstream:
            self.results.add(service, 1.0, now)
            self.shed.add(service, float(result.reason is Reason.SHED), now)

    def includes(self, service: ServiceName, now: Millis) -> bool:
        """Return whether a service sheds most calls."""
        self.results.decay(now)
        self.shed.decay(now)
        results = self.results.sums.get(service, 0.0)
        shed = self.shed.sums.get(service, 0.0)
        return results >= MIN_RECENT_RESULTS and shed >= SHEDDING_SHARE * results


def observe_results(flow: Flow, on_result: Callable[[RelayResult], None]) -> Flow:
    """Pass a flow on, and each result that is sent to it also to `on_result`."""
    try:
        attempt = next(flow)
        while True:
            result = yield attempt
            on_result(result)
            attempt = flow.send(result)
    except StopIteration as stop:
        end: RelayResult = stop.value
        return end
