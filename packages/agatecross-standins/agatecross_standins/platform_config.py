"""The operator's configuration record on the users' platform, for tests and the soak."""

import json
from collections.abc import Iterable, Mapping

Route = tuple[str, str, str]
"""Path prefix, kind (as `safe`, `unsafe` or `download`) and service."""

DEFAULT_ROUTES: tuple[Route, ...] = (
    ("/safe/", "safe", "s0"),
    ("/once/", "unsafe", "s0"),
    ("/peer/", "unsafe", "s1"),
)
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 65536,
    "headerTimeout": "3s",
    "idleTimeout": "15s",
}


def config_record(
    version: int,
    extra: Iterable[Route] = (),
    timeout: str = "2s",
    tenants: Iterable[Mapping[str, object]] = (),
) -> bytes:
    """Return the record of a version with the default and the extra routes, all on one host.

    `timeout` is a duration and applies to every route. Only the route `/open/` can be used without
    a key if there are `tenants`.
    """
    rows = [
        {
            "name": f"r{prefix}",
            "host": "a.example",
            "pathPrefix": prefix,
            "kind": kind,
            "timeout": timeout,
            "targetLatency": "500ms",
            "priority": 1,
            "service": service,
            "attempts": 2,
            "allowAnonymous": prefix == "/open/",
        }
        for prefix, kind, service in (*DEFAULT_ROUTES, *extra)
    ]
    services = [{"name": name} for name in ("s0", "s1")]
    record: dict[str, object] = {
        "version": f"r{version}",
        "routes": rows,
        "services": services,
        "limits": LIMITS,
    }
    if tenants := list(tenants):
        record["tenants"] = tenants
    return json.dumps(record).encode()
