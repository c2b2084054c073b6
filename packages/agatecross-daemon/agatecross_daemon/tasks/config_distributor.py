"""Distributes configurations over the links between daemons; belongs to the peers task."""

from collections.abc import Callable, Collection, Mapping

from agatecross_adapters.hop_codec import encode_hop_message
from agatecross_adapters.hop_messages import ConfigBlob, ConfigDelta, HopMessage, Pull
from agatecross_core.constants import NO_VERSION
from agatecross_core.distribution.propagation import push_targets
from agatecross_core.ids import ZERO_MS, DaemonId, Millis, Version
from agatecross_core.members.directory import Directory

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..store_messages import (
    ConfigChanged,
    ConfigOrigin,
    ConfigReceived,
    DeltaReceived,
    PeerSource,
)
from .peer_link import PeerLink

MIN_PULL_INTERVAL = Millis(300)
# Daemons of the same region deliver a change within this time unless the readers of the region are
# gone; then a whole configuration is pulled over the link between regions.
REMOTE_PULL_DELAY = Millis(700)

ReplySender = Callable[[HopMessage], None]


class ConfigDistributor:
    """Pushes configurations that came into force, and pulls newer ones from peers."""

    def __init__(
        self,
        directory: Directory,
        links: Mapping[DaemonId, PeerLink],
        store: Sender[ConfigReceived | DeltaReceived],
        log: DecisionLog,
    ) -> None:
        self.directory = directory
        self.links = links
        self.store = store
        self.log = log
        self.version = Version(0)
        self.blob = b""
        self.delta: ConfigDelta | None = None
        self.pulled_at = Millis(0)
        self.behind_since: Millis | None = None

    def config_changed(self, message: ConfigChanged, open_links: Collection[DaemonId]) -> None:
        """Store a configuration that came into force and push it to the selected peers."""
        self.version, self.blob, self.delta = message.version, message.blob, message.delta
        self.behind_since = None
        if message.origin is ConfigOrigin.REGION:
            return
        frame = encode_hop_message(self.delta or ConfigBlob(self.version, self.blob))
        rows = self.directory.rows.values()
        from_store = message.origin is ConfigOrigin.STORE
        for daemon_id in push_targets(self.directory.me, rows, open_links, from_store):
            link = self.links.get(daemon_id)
            if link is not None and link.connection is not None:
                link.connection.send(frame)

    def config_received(
        self, message: ConfigBlob | ConfigDelta, peer: DaemonId | None, now: Millis
    ) -> None:
        """Pass a configuration from a peer to the store task if it is newer."""
        if message.version <= self.version:
            return
        source = PeerSource(self._origin_of(peer), peer, self._behind(now))
        if isinstance(message, ConfigDelta):
            self.store.put(DeltaReceived(message, source))
        else:
            self.store.put(ConfigReceived(message.version, message.data, source))

    def answer_pull(self, version: Version, send_reply: ReplySender) -> None:
        """Answer a pull from a peer that has `version`, with the delta if that is its base."""
        if self.delta is not None and self.delta.base == version:
            send_reply(self.delta)
        elif self.version > version:
            send_reply(ConfigBlob(self.version, self.blob))

    def pull_if_newer(
        self, version: Version, send_reply: ReplySender, peer: DaemonId | None, now: Millis
    ) -> None:
        """Pull a newer version from a peer; from another region only if no push arrived in time."""
        if version <= self.version or now - self.pulled_at < MIN_PULL_INTERVAL:
            return
        if self.behind_since is None:
            self.behind_since = now
        same_region = self._origin_of(peer) is ConfigOrigin.REGION
        if same_region or now - self.behind_since > REMOTE_PULL_DELAY:
            self.pulled_at = now
            self.log.write_change(
                "config_pulled",
                version=version,
                was=self.version,
                peer=peer or "",
                behind_ms=int(self._behind(now)),
            )
            send_reply(Pull(self.version))

    def pull_from_region(self, version: Version) -> None:
        """Request the whole configuration from the first reachable daemon of the region.

        A pull that names the version in force could be answered by the same delta again.
        """
        me = self.directory.me
        for row in self.directory.others():
            link = self.links.get(row.daemon_id)
            if row.region == me.region and link is not None and link.is_open:
                link.send(Pull(NO_VERSION))
                return
        self.log.write_change(
            "config_not_pulled", version=version, reason="no open link in the region"
        )

    def _behind(self, now: Millis) -> Millis:
        return ZERO_MS if self.behind_since is None else Millis(now - self.behind_since)

    def _origin_of(self, peer: DaemonId | None) -> ConfigOrigin:
        row = self.directory.rows.get(peer) if peer is not None else None
        same_region = row is not None and row.region == self.directory.me.region
        return ConfigOrigin.REGION if same_region else ConfigOrigin.OTHER_REGION
