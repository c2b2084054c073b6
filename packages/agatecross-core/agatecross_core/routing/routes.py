"""Finds the route of a call in the configuration in force."""

from ..config.model import Route, SiteConfig


def find_route(site: SiteConfig, host: str, path: str) -> Route | None:
    """Return the first matching route; routes are ordered by host, then by longest prefix."""
    for route in site.routes:
        if route.host and route.host != host:
            continue
        if matches_prefix(path, route.prefix):
            return route
    return None


def matches_prefix(path: str, prefix: str) -> bool:
    """Return whether a path is under a prefix, compared by whole segments."""
    path = path.split("?", 1)[0]
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")
