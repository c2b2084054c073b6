"""Prometheus metrics of relayed calls: counters, gauges and a latency histogram."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from agatecross_core.admission.connection_budget import Place, ShedReason
from agatecross_core.ids import ServiceName
from agatecross_core.limits.usage import CustomerRates
from agatecross_core.relay.model import RelayResult
from agatecross_core.states import Locality, Reason

# From the latency added by one hop to the longest route timeouts.
LATENCY_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
MILLISECONDS_PER_SECOND = 1000.0


class RelayMetrics:
    """Metrics of one daemon.

    Label values are names of configured services, of a few customers, and enum values only.
    """

    def __init__(self) -> None:
        """Create and register the metrics."""
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "agatecross_calls_total",
            "Calls by service, outcome and reason.",
            ("service", "outcome", "reason"),
            registry=self.registry,
        )
        self.refusals = Counter(
            "agatecross_refusals_total",
            "Requests without a route or before a configuration.",
            ("reason",),
            registry=self.registry,
        )
        self.handovers = Counter(
            "agatecross_handovers_total",
            "Attempts by service and by the distance of the upstream.",
            ("service", "locality"),
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "agatecross_call_seconds",
            "Time from the first byte of a request to its answer.",
            ("service",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.version = Gauge(
            "agatecross_config_version", "Configuration in force.", registry=self.registry
        )
        self.config_behind_seconds = Histogram(
            "agatecross_config_behind_seconds",
            "Time for which a daemon knew of a newer configuration before it was in force.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.unreadable_configs = Counter(
            "agatecross_configs_unreadable_total",
            "Configuration records that could not be decoded, each counted once.",
            registry=self.registry,
        )
        self.unknown_kinds = Gauge(
            "agatecross_config_unknown_kinds",
            "Routes of the configuration in force whose kind is unknown.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "agatecross_store_calls_total",
            "Calls to the platform's store by operation and result.",
            ("operation", "result"),
            registry=self.registry,
        )
        self.store_era = Gauge(
            "agatecross_store_era",
            "Era that the platform's store named last; it rises when the store is restored.",
            registry=self.registry,
        )
        self.store_rewrites = Counter(
            "agatecross_store_records_rewritten_total",
            "Records of this daemon that were written again because the store was restored.",
            ("record",),
            registry=self.registry,
        )
        self.silent_connections = Counter(
            "agatecross_silent_connections_total",
            "Connections that were closed because the other end did not answer.",
            ("to",),
            registry=self.registry,
        )
        self.upstream_requests_refused = Counter(
            "agatecross_upstream_requests_refused_total",
            "Heartbeats and leave requests of the local upstream that could not be decoded.",
            ("request",),
            registry=self.registry,
        )
        self.limited_customers = Gauge(
            "agatecross_limited_customers",
            "Customers beyond their limit, of those whose home this daemon is.",
            registry=self.registry,
        )
        self.customer_rates = Gauge(
            "agatecross_customer_calls_per_second",
            "Calls here of the limited customers with most calls; the others together.",
            ("customer", "calls"),
            registry=self.registry,
        )
        self.shed = Counter(
            "agatecross_connections_shed_total",
            "Connections or requests refused or closed for lack of memory or places.",
            ("at", "reason"),
            registry=self.registry,
        )
        self.peers = Gauge(
            "agatecross_connected_peers", "Daemons with an open link.", registry=self.registry
        )

    def count_call(self, service: ServiceName, result: RelayResult, duration_ms: float) -> None:
        """Count a call and record its duration."""
        reason = result.reason.value if result.reason else ""
        self.calls.labels(service, result.outcome.value, reason).inc()
        self.call_seconds.labels(service).observe(duration_ms / MILLISECONDS_PER_SECOND)

    def count_handover(self, service: ServiceName, locality: Locality) -> None:
        """Count an attempt at an upstream."""
        self.handovers.labels(service, locality.name.lower()).inc()

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was routed to a service."""
        self.refusals.labels(reason.value).inc()

    def count_shed(self, place: Place, reason: ShedReason) -> None:
        """Count a connection or request that was refused or closed."""
        self.shed.labels(place.value, reason.value).inc()

    def set_customer_rates(self, rows: Iterable[CustomerRates]) -> None:
        """Replace the rows of customers."""
        self.customer_rates.clear()
        for row in rows:
            self.customer_rates.labels(row.customer, "offered").set(row.offered_per_second)
            self.customer_rates.labels(row.customer, "admitted").set(row.admitted_per_second)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
