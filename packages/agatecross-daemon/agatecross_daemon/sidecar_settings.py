"""Settings of a daemon that relays calls on the users' platform: TOML schema and validation."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from agatecross_core.config.formats import check_address, check_name
from agatecross_core.config.model import DecodedDocument
from agatecross_core.config.schema import Key
from agatecross_core.durations import check_duration, parse_duration
from agatecross_core.errors import SettingsError
from agatecross_core.findings import Finding, sort_findings
from agatecross_core.ids import Address, DaemonId, DataCentreName, Millis, RegionName, ServiceName

from .client_limits import LIMITS_KEYS, ClientLimits, client_limits
from .settings_file import check_tables

DEFAULT_APPLY_WITHIN = "2s"
TOP_LEVEL_KEYS: Mapping[str, Key] = {
    "sidecar": Key(dict, required=True),
    "listen": Key(dict, required=True),
    "upstream": Key(dict, required=True),
    "store": Key(dict, required=True),
    "retries": Key(dict, required=True),
    "shutdown": Key(dict, required=True),
    "limits": Key(dict),
}
NAME_KEY = Key(str, required=True, format_check=check_name)
DURATION_KEY = Key(str, required=True, format_check=check_duration)
ADDRESS_KEY = Key(str, required=True, format_check=check_address)
TABLE_KEYS: Mapping[str, Mapping[str, Key]] = {
    "sidecar": {
        "id": NAME_KEY,
        "region": NAME_KEY,
        "data_centre": NAME_KEY,
        "link_mbps": Key(float, low=0.0, high=1_000_000.0),
        "seed": Key(int),
    },
    "listen": {
        "callers": ADDRESS_KEY,
        "peers": ADDRESS_KEY,
        "peers_announced": Key(str, format_check=check_address),
        "ready": ADDRESS_KEY,
        "heartbeats": ADDRESS_KEY,
        "metrics": ADDRESS_KEY,
    },
    "upstream": {
        "service": NAME_KEY,
        "address": ADDRESS_KEY,
        "heartbeat": DURATION_KEY,
    },
    "store": {"address": ADDRESS_KEY, "apply_within": Key(str, format_check=check_duration)},
    "retries": {
        "ratio": Key(float, required=True, low=0.0, high=1.0),
        "slack": Key(float, required=True, low=0.0, high=100_000),
        "window": DURATION_KEY,
    },
    "shutdown": {"grace": DURATION_KEY},
    "limits": LIMITS_KEYS,
}


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Retries that the whole fleet may send to one service per `window`, in milliseconds."""

    ratio: float
    slack: float
    window: Millis


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of one daemon; `grace` is the time from SIGTERM to SIGKILL, in milliseconds.

    `announced` is the address at which peers reach the listener at `peers`. `apply_within` is the
    time in milliseconds from the store's answer to the operator until a configuration is in force
    on every daemon. `link_rate` is the rate of the daemon's own link in Mbit/s, 0 if it is unknown.
    """

    daemon_id: DaemonId
    region: RegionName
    data_centre: DataCentreName
    callers: Address
    peers: Address
    ready: Address
    heartbeats: Address
    metrics: Address
    service: ServiceName
    upstream: Address
    heartbeat_period: Millis
    store: Address
    retries: RetrySettings
    grace: Millis
    announced: Address
    apply_within: Millis
    seed: int | None = None
    link_rate: int = 0
    limits: ClientLimits = field(default_factory=ClientLimits)


def is_sidecar_settings(decoded: DecodedDocument) -> bool:
    """Return whether the settings are for a daemon on the users' platform."""
    return "sidecar" in decoded.values


def sidecar_settings(decoded: DecodedDocument) -> SidecarSettings:
    """Validate and return the settings; raises `SettingsError` with every finding."""
    findings = list(sort_findings(_check_settings(decoded)))
    if findings:
        raise SettingsError("\n".join(str(finding) for finding in findings))
    return _build_settings(decoded.values)


def _check_settings(decoded: DecodedDocument) -> Iterator[Finding]:
    yield from check_tables(decoded, TOP_LEVEL_KEYS, TABLE_KEYS)
    listen = decoded.values.get("listen")
    if isinstance(listen, Mapping):
        yield from _check_distinct_addresses(decoded, listen)


def _check_distinct_addresses(
    decoded: DecodedDocument, listen: Mapping[str, object]
) -> Iterator[Finding]:
    first_uses: dict[object, str] = {}
    for name, address in listen.items():
        if address in first_uses:
            message = f"{first_uses[address]!r} has the same address"
            yield Finding(decoded.place(("listen", name)), "same-address", message)
        first_uses.setdefault(address, name)


def _build_settings(values: Mapping[str, Any]) -> SidecarSettings:
    sidecar, listen, upstream = values["sidecar"], values["listen"], values["upstream"]
    retries = values["retries"]
    return SidecarSettings(
        DaemonId(sidecar["id"]),
        RegionName(sidecar["region"]),
        DataCentreName(sidecar["data_centre"]),
        Address(listen["callers"]),
        Address(listen["peers"]),
        Address(listen["ready"]),
        Address(listen["heartbeats"]),
        Address(listen["metrics"]),
        ServiceName(upstream["service"]),
        Address(upstream["address"]),
        parse_duration(upstream["heartbeat"]),
        Address(values["store"]["address"]),
        RetrySettings(retries["ratio"], retries["slack"], parse_duration(retries["window"])),
        parse_duration(values["shutdown"]["grace"]),
        Address(listen.get("peers_announced", listen["peers"])),
        parse_duration(values["store"].get("apply_within", DEFAULT_APPLY_WITHIN)),
        sidecar.get("seed"),
        int(sidecar.get("link_mbps", 0)),
        client_limits(values.get("limits", {})),
    )
