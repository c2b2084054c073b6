"""Third filter of the pipeline: checks merged sites, and passes on sites and findings."""

import difflib
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from ..findings import Finding, Place
from .formats import check_name
from .model import KeyPath, MergedSite
from .schema import CUSTOMER_KEYS, MESH_KEYS, REGION_KEYS, ROUTE_KEYS, SERVICE_KEYS, TOP_KEYS, Key

PlaceLookup = Callable[[KeyPath], Place]


def check_sites(items: Iterable[MergedSite | Finding]) -> Iterator[MergedSite | Finding]:
    """Yield each item, and after each site its findings, except those already yielded here."""
    seen: set[Finding] = set()
    for item in items:
        yield item
        if isinstance(item, Finding):
            continue
        for finding in _check_site(item):
            if finding not in seen:
                seen.add(finding)
                yield finding


def _check_site(site: MergedSite) -> Iterator[Finding]:
    yield from check_table(site.place, site.values, TOP_KEYS, ())
    yield from check_table(site.place, _table(site.values, "mesh"), MESH_KEYS, ("mesh",))
    yield from _check_named(site, "regions", REGION_KEYS)
    yield from _check_named(site, "services", SERVICE_KEYS)
    yield from _check_named(site, "routes", ROUTE_KEYS)
    yield from _check_named(site, "customers", CUSTOMER_KEYS)
    yield from _check_routes(site)
    yield from _check_customer_keys(site)


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


def check_table(
    place: PlaceLookup, values: Mapping[str, object], keys: Mapping[str, Key], path: KeyPath
) -> Iterator[Finding]:
    """Yield a finding for each missing, unknown or invalid key of one table."""
    for name, key in keys.items():
        if key.required and name not in values:
            yield Finding(place((*path, name)), "missing", f"key {name!r} is missing")
    for name, value in values.items():
        key_path = (*path, name)
        if name not in keys:
            yield Finding(place(key_path), "unknown-key", unknown_key_message(name, keys))
        else:
            yield from _check_value(place, value, keys[name], key_path)


def unknown_key_message(name: str, keys: Iterable[str]) -> str:
    """Return the message for an unknown key, which suggests a similar known key if there is one."""
    similar = difflib.get_close_matches(name, list(keys), n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else ""
    return f"unknown key {name!r}{hint}"


def _check_value(place: PlaceLookup, value: object, key: Key, path: KeyPath) -> Iterator[Finding]:
    if not has_kind(value, key.kind):
        wanted = {dict: "a table", list: "a list", str: "a string", bool: "true or false"}
        yield Finding(place(path), "type", f"must be {wanted.get(key.kind, 'a number')}")
        return
    if isinstance(value, list):
        yield from _check_list(place, value, key, path)
    if isinstance(value, str) and key.choices and value not in key.choices:
        yield Finding(place(path), "choice", unknown_choice_message(value, key.choices))
    if isinstance(value, str) and key.format_check is not None:
        message = key.format_check(value)
        if message is not None:
            yield Finding(place(path), "form", message)
    if isinstance(value, int | float) and not isinstance(value, bool):
        if not math.isfinite(value):
            yield Finding(place(path), "range", "must be a finite number")
        if key.low is not None and value < key.low:
            yield Finding(place(path), "range", f"must be at least {key.low:g}")
        if key.high is not None and value > key.high:
            yield Finding(place(path), "range", f"must be at most {key.high:g}")


def _check_list(
    place: PlaceLookup, values: list[object], key: Key, path: KeyPath
) -> Iterator[Finding]:
    for value in values:
        if not isinstance(value, str):
            yield Finding(place(path), "type", "must be a list of strings")
        elif key.choices and value not in key.choices:
            yield Finding(place(path), "choice", unknown_choice_message(value, key.choices))


def unknown_choice_message(value: str, choices: Iterable[str]) -> str:
    """Return the message for a value that is not allowed, which suggests a similar choice."""
    similar = difflib.get_close_matches(value, list(choices), n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else ""
    return f"{value!r} is not one of {', '.join(choices)}{hint}"


def has_kind(value: object, kind: type) -> bool:
    """Return whether a value is of a type; integers count as floats, Booleans as neither."""
    if kind in (int, float) and isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, int | float)
    return isinstance(value, kind)


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
