"""The operators' view of limited customers, as HTTP resources."""

from collections.abc import Sequence
from urllib.parse import unquote

import msgspec

from agatecross_core.calls.model import Response
from agatecross_core.ids import CustomerName, Millis
from agatecross_core.limits.gate import CustomerGate
from agatecross_core.limits.usage import CustomerUsage, largest_usages, metric_rows, usage_of

from .relay_metrics import RelayMetrics

CUSTOMERS_PATH = "/agatecross/v1/customers"
MAX_LISTED_CUSTOMERS = 1_000


def customer_of_path(path: str) -> str | None:
    """Return the customer that a path asks for, empty for all, or None for another resource."""
    path = path.split("?", 1)[0]
    if path == CUSTOMERS_PATH:
        return ""
    name = path.removeprefix(f"{CUSTOMERS_PATH}/")
    return unquote(name) if name != path else None


def list_customers(gate: CustomerGate, customer: str, now: Millis) -> tuple[CustomerUsage, ...]:
    """Return the named customer, or those with the most calls lately."""
    if not customer:
        return tuple(largest_usages(gate, MAX_LISTED_CUSTOMERS, now))
    usage = usage_of(gate, CustomerName(customer), now)
    return () if usage is None else (usage,)


def customers_response(rows: Sequence[CustomerUsage]) -> Response:
    """Return the rows as JSON."""
    return Response(200, (("Content-Type", "application/json"),), msgspec.json.encode(rows))


def metrics_response(path: str, gate: CustomerGate, metrics: RelayMetrics, now: Millis) -> Response:
    """Return the metrics of a daemon on the users' platform, or its customers by their path."""
    customer = customer_of_path(path)
    if customer is not None:
        return customers_response(list_customers(gate, customer, now))
    metrics.set_customer_rates(metric_rows(gate, now))
    return Response(200, (("Content-Type", "text/plain; version=0.0.4"),), metrics.render())
