"""Third filter of the pipeline: checks merged sites, and passes on sites and findings."""

import difflib
from collections.abc import Iterable, Iterator, Mapping

from ..findings import Finding
from .check_table import check_table
from .formats import check_name
from .model import MergedSite
from .schema import (
    CUSTOMER_KEYS,
    MESH_KEYS,
    REGION_KEYS,
    ROUTE_KEYS,
    SERVICE_KEYS,
    TOP_KEYS,
    Key,
    keys_of_rules,
)


def check_sites(
    items: Iterable[MergedSite | Finding], rules: int
) -> Iterator[MergedSite | Finding]:
    """Yield each item, and after each site its findings, except those already yielded here."""
    seen: set[Finding] = set()
    for item in items:
        yield item
        if isinstance(item, Finding):
            continue
        for finding in _check_site(item, rules):
            if finding not in seen:
                seen.add(finding)
                yield finding


def _check_site(site: MergedSite, rules: int) -> Iterator[Finding]:
    yield from check_table(site.place, site.values, TOP_KEYS, ())
    yield from check_table(site.place, _table(site.values, "mesh"), MESH_KEYS, ("mesh",))
    yield from _check_named(site, "regions", REGION_KEYS)
    yield from _check_named(site, "services", SERVICE_KEYS)
    yield from _check_named(site, "routes", ROUTE_KEYS)
    yield from _check_named(site, "customers", keys_of_rules(CUSTOMER_KEYS, rules))
    yield from _check_routes(site)
    yield from _check_customer_keys(site)
    yield from _check_customer_limits(site)


def _table(values: Mapping[str, object], key: str) -> Mapping[str, object]:
    value = values.get(key)
    return value if isinstance(value, Mapping) else {}


def _check_named(site: MergedSite, table: str, keys: Mapping[str, Key]) -> Iterator[Finding]:
    for name, value in _table(site.values, table).items():
        path = (table, name)
        if not isinstance(value, Mapping):
            yield Finding(site.place(path), "type", "must be a table")
            continue
        yield from check_table(site.place, value, keys, path)


def _check_routes(site: MergedSite) -> Iterator[Finding]:
    services = _table(site.values, "services")
    route_by_match: dict[tuple[object, object], str] = {}
    for name, route in _table(site.values, "routes").items():
        if not isinstance(route, Mapping) or route.get("enabled") is False:
            continue
        path = ("routes", name)
        service, prefix = route.get("service"), route.get("prefix")
        if isinstance(service, str) and service not in services:
            similar = difflib.get_close_matches(service, list(services), n=1)
            hint = f"; did you mean {similar[0]!r}?" if similar else ""
            message = f"service {service!r} does not exist{hint}"
            yield Finding(site.place((*path, "service")), "no-such-service", message)
        if isinstance(prefix, str) and not prefix.startswith("/"):
            yield Finding(site.place((*path, "prefix")), "prefix", "must start with '/'")
        match = (route.get("host", ""), prefix)
        if match in route_by_match:
            message = f"route {route_by_match[match]!r} has the same host and prefix"
            yield Finding(site.place((*path, "prefix")), "same-match", message)
        route_by_match.setdefault(match, name)


def _check_customer_keys(site: MergedSite) -> Iterator[Finding]:
    """Yield findings on keys; their text names customers, never a key."""
    holders: dict[str, str] = {}
    for name, customer in _table(site.values, "customers").items():
        place = site.place(("customers", name, "keys"))
        if (message := check_name(name)) is not None:
            yield Finding(site.place(("customers", name)), "form", message)
        keys = customer.get("keys") if isinstance(customer, Mapping) else None
        for key in keys if isinstance(keys, list) else ():
            if not isinstance(key, str):
                continue
            if not key or not key.isascii() or not key.isprintable() or " " in key:
                yield Finding(place, "form", "a key must be printable ASCII without spaces")
            elif holders.setdefault(key, name) != name:
                message = f"customer {holders[key]!r} holds one of these keys"
                yield Finding(place, "same-key", message)


def _check_customer_limits(site: MergedSite) -> Iterator[Finding]:
    for name, customer in _table(site.values, "customers").items():
        given = customer.keys() if isinstance(customer, Mapping) else ()
        if "burst" in given and "rate_per_second" not in given:
            place = site.place(("customers", name, "burst"))
            yield Finding(place, "no-rate", "a burst needs the key 'rate_per_second'")
