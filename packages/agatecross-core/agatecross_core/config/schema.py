"""Keys of configuration documents, with the types and limits of their values."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..constants import RULE_SET_WITHOUT_LIMITS
from .formats import FormatCheck

LIMITS_RULES = RULE_SET_WITHOUT_LIMITS + 1


@dataclass(frozen=True, slots=True)
class Key:
    """Type of the value of one key, whether the key is required, and which values are allowed.

    `since` is the first rule set that has the key; under earlier ones the key is unknown.
    """

    kind: type
    required: bool = False
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    format_check: FormatCheck | None = None
    since: int = 0


def keys_of_rules(keys: Mapping[str, Key], rules: int) -> Mapping[str, Key]:
    """Return the keys that a rule set has."""
    return {name: key for name, key in keys.items() if key.since <= rules}


METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")

TOP_KEYS: Mapping[str, Key] = {
    "mesh": Key(dict, required=True),
    "regions": Key(dict, required=True),
    "services": Key(dict, required=True),
    "routes": Key(dict, required=True),
    "customers": Key(dict),
}
MESH_KEYS: Mapping[str, Key] = {"name": Key(str, required=True)}
REGION_KEYS: Mapping[str, Key] = {"data_centres": Key(list, required=True)}
SERVICE_KEYS: Mapping[str, Key] = {
    "timeout_ms": Key(int, low=1, high=600_000),
    "attempts": Key(int, low=1, high=5),
    "retry_ratio": Key(float, low=0.0, high=1.0),
    "hedge_quantile": Key(float, low=0.0, high=0.9999),
    "long_share": Key(float, low=0.0, high=1.0),
    "long_ms": Key(int, low=1, high=600_000),
    "idempotent_methods": Key(list, choices=METHODS),
}
ROUTE_KEYS: Mapping[str, Key] = {
    "prefix": Key(str, required=True),
    "service": Key(str, required=True),
    "host": Key(str),
    "enabled": Key(bool),
    "allow_anonymous": Key(bool),
}
CUSTOMER_KEYS: Mapping[str, Key] = {
    "keys": Key(list, required=True),
    "rate_per_second": Key(float, low=0.1, high=1_000_000.0, since=LIMITS_RULES),
    "burst": Key(float, low=0.0, high=1_000_000.0, since=LIMITS_RULES),
}
