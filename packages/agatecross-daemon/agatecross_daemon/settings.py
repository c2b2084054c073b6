"""Settings of the daemon, read from TOML and checked whole."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.check import check_table
from agatecross_core.config.model import DecodedDocument, Document
from agatecross_core.config.schema import Key
from agatecross_core.errors import DocumentSyntaxError, SettingsError
from agatecross_core.findings import Finding
from agatecross_core.ids import Address, DaemonId, DataCentreName, DocumentName, RegionName

TOP_KEYS: Mapping[str, Key] = {
    "daemon": Key(dict, required=True),
    "log": Key(dict, required=True),
    "policy": Key(dict),
}
DAEMON_KEYS: Mapping[str, Key] = {
    "id": Key(str, required=True),
    "region": Key(str, required=True),
    "data_centre": Key(str, required=True),
    "host": Key(str, required=True),
    "call_port": Key(int, required=True, low=1, high=65535),
    "peer_port": Key(int, required=True, low=1, high=65535),
    "control_port": Key(int, required=True, low=1, high=65535),
    "admin_port": Key(int, required=True, low=1, high=65535),
    "seed": Key(int),
}
LOG_KEYS: Mapping[str, Key] = {"address": Key(str, required=True)}
POLICY_KEYS: Mapping[str, Key] = {
    "balancing": Key(str),
    "admission": Key(str),
    "distribution": Key(str),
}


TABLES: Mapping[str, Mapping[str, Key]] = {
    "daemon": DAEMON_KEYS,
    "log": LOG_KEYS,
    "policy": POLICY_KEYS,
}


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon; `seed` makes its random choices repeatable."""

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


def load_settings(path: Path) -> Settings:
    """Read the settings; raises `SettingsError` with every finding."""
    document = Document(DocumentName(str(path)), path.read_text(encoding="utf-8"))
    try:
        decoded = decode_toml(document)
    except DocumentSyntaxError as error:
        raise SettingsError(str(error)) from error
    findings = list(_check(decoded))
    if findings:
        raise SettingsError("\n".join(str(finding) for finding in findings))
    return _build(decoded.values["daemon"], decoded.values["log"], decoded.values.get("policy", {}))


def _check(decoded: DecodedDocument) -> Iterator[Finding]:
    yield from check_table(decoded.place, decoded.values, TOP_KEYS, ())
    for name, keys in TABLES.items():
        table = decoded.values.get(name)
        if isinstance(table, Mapping):
            yield from check_table(decoded.place, table, keys, (name,))


def _build(daemon: object, log: object, policy: object) -> Settings:
    assert isinstance(daemon, Mapping)
    assert isinstance(log, Mapping)
    assert isinstance(policy, Mapping)
    host = daemon["host"]
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
    )
