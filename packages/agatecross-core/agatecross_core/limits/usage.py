"""Use of limited customers as one daemon sees it, for operators and metrics."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import CustomerName, DaemonId, Millis
from .gate import Account, CustomerGate
from .homes import slot_of
from .model import Standing

# Customers with a row of their own in metrics; a row each would be one per customer and daemon.
METRIC_ROWS = 8
# Older calls no longer show in rates; skipping their customers keeps large tables cheap to read.
RECENT = Millis(15_000)
OTHER_CUSTOMERS = CustomerName("(others)")


@dataclass(frozen=True, slots=True)
class CustomerUsage:
    """Limit and use of a customer.

    The rates are those of the calls that this daemon got lately, `refused` counts calls since its
    start, `share` is the part of its calls that the home admits, and `standing` tells whether this
    daemon follows the home.
    """

    customer: CustomerName
    rate_per_second: float
    burst: float
    offered_per_second: float
    admitted_per_second: float
    refused: int
    share: float
    standing: Standing
    home: DaemonId | None


@dataclass(frozen=True, slots=True)
class CustomerRates:
    """Calls a second of a customer, or of all that have no row of their own."""

    customer: CustomerName
    offered_per_second: float
    admitted_per_second: float


def usage_of(gate: CustomerGate, customer: CustomerName, now: Millis) -> CustomerUsage | None:
    """Return the use of a customer, or None if it has no limit or has not called this daemon."""
    account, row = gate.accounts.get(customer), gate.customers.get(customer)
    if account is None or row is None:
        return None
    reporter = gate.reporters[slot_of(customer, gate.homes)]
    return CustomerUsage(
        customer,
        row.rate,
        row.burst,
        account.offered.rate(now),
        account.admitted.rate(now),
        account.refused,
        reporter.shares.get(customer, 1.0),
        reporter.standing(customer, now),
        reporter.home,
    )


def largest_usages(gate: CustomerGate, count: int, now: Millis) -> Iterator[CustomerUsage]:
    """Yield the use of the customers with the most calls lately, most first."""
    rates = ((account.offered.rate(now), name) for name, account in _recent(gate, now))
    for _, name in heapq.nlargest(count, rates):
        usage = usage_of(gate, name, now)
        if usage is not None:
            yield usage


def metric_rows(gate: CustomerGate, now: Millis) -> Iterator[CustomerRates]:
    """Yield the rates of the largest customers, and the sums of all others."""
    rates = [
        (account.offered.rate(now), account.admitted.rate(now), name)
        for name, account in _recent(gate, now)
    ]
    largest = heapq.nlargest(METRIC_ROWS, rates)
    for offered, admitted, name in largest:
        yield CustomerRates(name, offered, admitted)
    if len(rates) > len(largest):
        offered = sum(row[0] for row in rates) - sum(row[0] for row in largest)
        admitted = sum(row[1] for row in rates) - sum(row[1] for row in largest)
        yield CustomerRates(OTHER_CUSTOMERS, offered, admitted)


def _recent(gate: CustomerGate, now: Millis) -> Iterator[tuple[CustomerName, Account]]:
    for name, account in gate.accounts.items():
        if now - account.offered.at < RECENT:
            yield name, account
