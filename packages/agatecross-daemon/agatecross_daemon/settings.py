"""Settings of the daemon with the project's own interface: TOML schema and validation."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from agatecross_core.admission.policies import POLICIES
from agatecross_core.config.documents import DecodedDocument
from agatecross_core.config.formats import check_address, check_ip, check_name
from agatecross_core.config.schema import Key
from agatecross_core.distribution.baselines import FOLLOWERS_BY_NAME
from agatecross_core.errors import SettingsError
from agatecross_core.findings import Finding, sort_findings
from agatecross_core.ids import Address, DaemonId, DataCentreName, RegionName
from agatecross_core.routing.balancers import BALANCERS

from .client_limits import FLEET_LIMITS_KEYS, ClientLimits, client_limits
from .settings_file import check_tables, read_settings
from .telemetry import TelemetrySettings

TOP_LEVEL_KEYS: Mapping[str, Key] = {
    "daemon": Key(dict, required=True),
    "log": Key(dict, required=True),
    "policy": Key(dict),
    "telemetry": Key(dict),
    "address_map": Key(dict),
    "limits": Key(dict),
}
DAEMON_KEYS: Mapping[str, Key] = {
    "id": Key(str, required=True, format_check=check_name),
    "region": Key(str, required=True, format_check=check_name),
    "data_centre": Key(str, required=True, format_check=check_name),
    "host": Key(str, required=True, format_check=check_ip),
    "call_port": Key(int, required=True, low=1, high=65535),
    "peer_port": Key(int, required=True, low=1, high=65535),
    "control_port": Key(int, required=True, low=1, high=65535),
    "admin_port": Key(int, required=True, low=1, high=65535),
    "seed": Key(int),
}
LOG_KEYS: Mapping[str, Key] = {"address": Key(str, required=True, format_check=check_address)}
POLICY_KEYS: Mapping[str, Key] = {
    "balancing": Key(str, choices=tuple(sorted(BALANCERS))),
    "admission": Key(str, choices=tuple(sorted(POLICIES))),
    "distribution": Key(str, choices=tuple(sorted(FOLLOWERS_BY_NAME))),
}
TELEMETRY_KEYS: Mapping[str, Key] = {
    "sample_ratio": Key(float, low=0.0, high=1.0),
    "spans_to_log": Key(bool),
    "otlp_endpoint": Key(str),
}
PORT_KEYS = ("call_port", "peer_port", "control_port", "admin_port")


DEFAULT_TELEMETRY = TelemetrySettings()
TABLE_KEYS: Mapping[str, Mapping[str, Key]] = {
    "daemon": DAEMON_KEYS,
    "log": LOG_KEYS,
    "policy": POLICY_KEYS,
    "telemetry": TELEMETRY_KEYS,
    "limits": FLEET_LIMITS_KEYS,
}


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon; `seed` makes its random choices reproducible."""

    daemon_id: DaemonId
    region: RegionName
    data_centre: DataCentreName
    call_address: Address
    peer_address: Address
    control_address: Address
    admin_address: Address
    log_address: Address
    seed: int | None = None
    balancing: str = "adaptive"
    admission: str = "adaptive"
    distribution: str = "peers"
    telemetry: TelemetrySettings = DEFAULT_TELEMETRY
    address_map: Mapping[Address, Address] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)


def load_settings(path: Path) -> Settings:
    """Read the settings file; raises `SettingsError` with every finding."""
    return fleet_settings(read_settings(path))


def fleet_settings(decoded: DecodedDocument) -> Settings:
    """Validate and return the settings; raises `SettingsError` with every finding."""
    findings = list(sort_findings(_check_settings(decoded)))
    if findings:
        raise SettingsError("\n".join(str(finding) for finding in findings))
    return _build_settings(decoded.values)


def _check_settings(decoded: DecodedDocument) -> Iterator[Finding]:
    yield from check_tables(decoded, TOP_LEVEL_KEYS, TABLE_KEYS)
    yield from _check_ports(decoded)
    yield from _check_address_map(decoded)


def _check_address_map(decoded: DecodedDocument) -> Iterator[Finding]:
    addresses = decoded.values.get("address_map")
    if not isinstance(addresses, Mapping):
        return
    for name, value in addresses.items():
        for message in (check_address(name), check_address(str(value))):
            if message is not None:
                yield Finding(decoded.place(("address_map", name)), "form", message)


def _check_ports(decoded: DecodedDocument) -> Iterator[Finding]:
    daemon = decoded.values.get("daemon")
    if not isinstance(daemon, Mapping):
        return
    first_uses: dict[object, str] = {}
    for name in PORT_KEYS:
        port = daemon.get(name)
        if not isinstance(port, int):
            continue
        if port in first_uses:
            message = f"{first_uses[port]!r} has the same port"
            yield Finding(decoded.place(("daemon", name)), "same-port", message)
        first_uses.setdefault(port, name)


def _build_settings(values: Mapping[str, object]) -> Settings:
    daemon, log, policy = _table(values, "daemon"), _table(values, "log"), _table(values, "policy")
    host = daemon["host"]
    addresses = _table(values, "address_map").items()
    return Settings(
        DaemonId(daemon["id"]),
        RegionName(daemon["region"]),
        DataCentreName(daemon["data_centre"]),
        Address(f"{host}:{daemon['call_port']}"),
        Address(f"{host}:{daemon['peer_port']}"),
        Address(f"{host}:{daemon['control_port']}"),
        Address(f"{host}:{daemon['admin_port']}"),
        Address(log["address"]),
        daemon.get("seed"),
        policy.get("balancing", "adaptive"),
        policy.get("admission", "adaptive"),
        policy.get("distribution", "peers"),
        TelemetrySettings(**_table(values, "telemetry")),
        {Address(name): Address(value) for name, value in addresses},
        client_limits(_table(values, "limits")),
    )


def _table(values: Mapping[str, object], name: str) -> Mapping[str, Any]:
    table = values.get(name, {})
    assert isinstance(table, Mapping)
    return table
