"""A customer and what the configuration says of it."""

from dataclasses import dataclass

from ..ids import CustomerName

# Separates the ranks of customers from the ranks of routes in the rank of a call. Routes have a
# handful of ranks; a higher one counts as the lowest.
ROUTE_RANKS = 16


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer of the services.

    `rank` orders customers by importance, 0 first. The customer may send `rate` requests a second
    to the whole fleet and `burst` requests beyond that; a rate of 0 means no limit.
    """

    name: CustomerName
    rank: int = 0
    rate: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Return whether the customer has a limit."""
        return self.rate > 0


def call_rank(customer: Customer | None, route_rank: int) -> int:
    """Return the rank of a call: the customer's rank decides before the route's.

    Calls without a customer are made by upstreams while they run a call. They go first, because the
    work done for the outer call is lost if they fail.
    """
    customer_rank = 0 if customer is None else max(0, customer.rank)
    return customer_rank * ROUTE_RANKS + min(max(0, route_rank), ROUTE_RANKS - 1)
