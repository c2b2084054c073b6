"""Decides whether a request is allowed, and for which customer it counts."""

from dataclasses import dataclass

from ..states import Reason
from .keys import KeyTable
from .model import Customer


@dataclass(frozen=True, slots=True)
class Access:
    """The decision: the customer, if any, or the reason why the request is refused."""

    customer: Customer | None = None
    refusal: Reason | None = None


ANONYMOUS = Access()


def decide_access(table: KeyTable | None, allow_anonymous: bool, key: bytes | None) -> Access:
    """Return the decision on a request with this key.

    Without customers in the configuration, every request is allowed and keys mean nothing. A key
    that no customer holds is refused on every route, so that a withdrawn key is of no use.
    """
    if table is None:
        return ANONYMOUS
    if key is None:
        return ANONYMOUS if allow_anonymous else Access(refusal=Reason.NO_KEY)
    customer = table.find(key)
    return Access(refusal=Reason.UNKNOWN_KEY) if customer is None else Access(customer)
