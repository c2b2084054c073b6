"""Table of routes by host and longest path prefix, with weighted backends."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..customers.keys import KeyTable
from ..ids import Millis, RouteName, ServiceName, Version
from ..relay.model import Repeat


@dataclass(frozen=True, slots=True)
class HostRoute:
    """One route.

    `objective` is the time within which an answer has its full value; `rank` orders routes by
    importance, 0 first; `attempts` is the number of upstreams that may run one request; `backends`
    are services with their weights. Without `allow_anonymous`, a request needs the key of a
    customer if the configuration has customers.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    timeout: Millis
    objective: Millis
    rank: int
    attempts: int
    backends: tuple[tuple[ServiceName, float], ...]
    allow_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send, in bytes, and on how long it may take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_timeout: Millis
    idle_timeout: Millis


class HostTable:
    """One complete configuration, compiled for look-ups.

    `unknown_kinds` are the routes, with their kinds, that the decoder took for the strictest kind.
    `customers` is None if the configuration has no customers.
    """

    def __init__(
        self,
        version: Version,
        routes: Iterable[HostRoute],
        limits: CallerLimits,
        services: frozenset[ServiceName],
        unknown_kinds: tuple[tuple[RouteName, str], ...] = (),
        customers: KeyTable | None = None,
    ) -> None:
        """Index the routes by host and prefix."""
        self.version = version
        self.unknown_kinds = unknown_kinds
        self.customers = customers
        self.limits = limits
        self.services = services
        self.hosts: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest matching prefix; prefixes start and end with `/`."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            prefixes = self.hosts.get(host.lower().partition(":")[0])
            if prefixes is None:
                return None
        end = path.find("?")
        end = path.rfind("/", 0, len(path) if end < 0 else end)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedSplit:
    """Smooth weighted round robin over the backends of each route."""

    def __init__(self) -> None:
        """Start without routes."""
        self.credits: dict[RouteName, dict[ServiceName, float]] = {}

    def pick(self, route: HostRoute) -> ServiceName:
        """Return the service that is furthest behind its share."""
        if len(route.backends) == 1:
            return route.backends[0][0]
        credits = self.credits.setdefault(route.name, {})
        total = 0.0
        for service, weight in route.backends:
            credits[service] = credits.get(service, 0.0) + weight
            total += weight
        best = max(route.backends, key=lambda row: credits[row[0]] if row[1] > 0 else -1e18)[0]
        credits[best] -= total
        return best

    def retain(self, table: HostTable) -> None:
        """Forget the routes that a new configuration removed or split differently."""
        if not self.credits:
            return
        splits = {
            route.name: {service for service, _ in route.backends}
            for prefixes in table.hosts.values()
            for route in prefixes.values()
        }
        self.credits = {
            name: row for name, row in self.credits.items() if splits.get(name) == set(row)
        }
