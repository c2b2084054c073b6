"""Holds the configuration in force; part of the store task."""

import zlib
from collections.abc import Callable

from agatecross_adapters.hop_messages import ConfigDelta
from agatecross_core.distribution.delta import apply_delta as apply_steps
from agatecross_core.distribution.delta import make_delta
from agatecross_core.distribution.propagation import ConfigOrigin
from agatecross_core.errors import DeltaError, MessageDecodeError
from agatecross_core.ids import Version
from agatecross_core.routing.host_table import HostTable

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..relay_messages import TableInForce
from ..relay_metrics import MILLISECONDS_PER_SECOND, RelayMetrics
from ..store_messages import ConfigChanged, ConfigSource, FullConfigNeeded

ConfigDecoder = Callable[[bytes], HostTable]
"""Returns the compiled configuration; raises `MessageDecodeError`."""


class ConfigHolder:
    """Puts whole configurations in force, from the store or from peers; versions never decrease."""

    def __init__(
        self,
        decode: ConfigDecoder,
        entry: Sender[TableInForce],
        peers: Sender[ConfigChanged | FullConfigNeeded],
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        self.decode = decode
        self.entry = entry
        self.peers = peers
        self.log = log
        self.metrics = metrics
        self.version = Version(0)
        self.data = b""
        self.unreadable_checksum: int | None = None
        self.other_content_checksum: int | None = None

    def apply_delta(self, delta: ConfigDelta, source: ConfigSource) -> None:
        """Put the result of a delta in force if it is newer and its base is in force."""
        if delta.version <= self.version:
            return
        try:
            if delta.base != self.version:
                raise DeltaError(
                    f"delta is based on version {delta.base}, in force is version {self.version}"
                )
            data = apply_steps(self.data, delta.steps)
            if zlib.crc32(data) != delta.crc:
                raise DeltaError("delta result does not match its checksum")
        except DeltaError as error:
            self.log.write_change(
                "config_delta_unfit",
                version=delta.version,
                peer=source.daemon_id or "",
                reason=str(error),
            )
            self.peers.put(FullConfigNeeded(delta.version))
            return
        self.apply(data, source, delta)

    def apply(self, data: bytes, source: ConfigSource, received: ConfigDelta | None = None) -> None:
        """Put a configuration in force if it can be decoded and is newer than the present one."""
        try:
            table = self.decode(data)
        except MessageDecodeError as error:
            self._report_unreadable(data, source.origin, error)
            return
        if table.version <= self.version:
            if table.version == self.version and data != self.data:
                self._report_other_content(data, source)
            return
        self.log.write_change(
            "config_in_force",
            version=table.version,
            was=self.version,
            source=source.origin.value,
            peer=source.daemon_id or "",
            form="whole" if received is None else "delta",
            behind_ms=int(source.behind),
            routes=sum(map(len, table.hosts.values())),
        )
        self._report_unknown_kinds(table)
        delta = received or self._delta_to(table.version, data)
        self.version, self.data = table.version, data
        self.metrics.version.set(table.version)
        self.metrics.config_behind_seconds.observe(source.behind / MILLISECONDS_PER_SECOND)
        self.entry.put(TableInForce(table))
        self.peers.put(ConfigChanged(table.version, data, delta, source))

    def _report_unreadable(
        self, data: bytes, origin: ConfigOrigin, error: MessageDecodeError
    ) -> None:
        """Log and count a record once, though the store and every peer deliver it again."""
        checksum = zlib.crc32(data)
        if checksum == self.unreadable_checksum:
            return
        self.unreadable_checksum = checksum
        self.metrics.unreadable_configs.inc()
        self.log.write_change(
            "config_malformed", source=origin.value, in_force=self.version, reason=str(error)
        )

    def _report_other_content(self, data: bytes, source: ConfigSource) -> None:
        """Log once that a version given twice has other content; only a later one settles that."""
        checksum = zlib.crc32(data)
        if checksum == self.other_content_checksum:
            return
        self.other_content_checksum = checksum
        self.log.write_change(
            "config_content_differs",
            version=self.version,
            source=source.origin.value,
            peer=source.daemon_id or "",
        )

    def _report_unknown_kinds(self, table: HostTable) -> None:
        self.metrics.unknown_kinds.set(len(table.unknown_kinds))
        if table.unknown_kinds:
            route, kind = table.unknown_kinds[0]
            self.log.write_change(
                "config_kind_unknown",
                version=table.version,
                routes=len(table.unknown_kinds),
                first=route,
                kind=kind,
            )

    def _delta_to(self, version: Version, data: bytes) -> ConfigDelta | None:
        if not self.version:
            return None
        return ConfigDelta(self.version, version, zlib.crc32(data), make_delta(self.data, data))
