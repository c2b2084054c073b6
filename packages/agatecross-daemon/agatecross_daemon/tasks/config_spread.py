"""Spreads configurations over the links between daemons; belongs to the peers task."""

from collections.abc import Callable, Collection, Mapping

from agatecross_adapters.hop_codec import encode_hop
from agatecross_adapters.hop_messages import ConfigBlob, ConfigDelta, HopMessage, Pull
from agatecross_core.distribution.feeding import push_targets
from agatecross_core.ids import DaemonId, Millis, Version
from agatecross_core.members.directory import Directory

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..source_messages import ConfigChanged, ConfigOrigin, ConfigReceived, DeltaReceived
from .peer_link import PeerLink

PULL_PERIOD = Millis(300)
# The own region learns a change within this time, or its readers are gone; then a whole
# configuration crosses the link between regions.
REMOTE_PULL_DELAY = Millis(700)

Answer = Callable[[HopMessage], None]


class ConfigSpread:
    """Pushes what came into force, and pulls what peers have and this daemon lacks."""

    def __init__(
        self,
        directory: Directory,
        links: Mapping[DaemonId, PeerLink],
        source: Sender[ConfigReceived | DeltaReceived],
        log: DecisionLog,
    ) -> None:
        self.directory = directory
        self.links = links
        self.source = source
        self.log = log
        self.version = Version(0)
        self.blob = b""
        self.delta: ConfigDelta | None = None
        self.pulled_at = Millis(0)
        self.behind_since: Millis | None = None

    def changed(self, message: ConfigChanged, open_links: Collection[DaemonId]) -> None:
        """Take a configuration that came into force, and push it to the daemons fed from here."""
        self.version, self.blob, self.delta = message.version, message.blob, message.delta
        self.behind_since = None
        if message.origin is ConfigOrigin.REGION:
            return
        frame = encode_hop(self.delta or ConfigBlob(self.version, self.blob))
        rows = self.directory.rows.values()
        from_store = message.origin is ConfigOrigin.STORE
        for daemon_id in push_targets(self.directory.me, rows, open_links, from_store):
            link = self.links.get(daemon_id)
            if link is not None and link.connection is not None:
                link.connection.send(frame)

    def received(self, message: ConfigBlob | ConfigDelta, peer: DaemonId | None) -> None:
        """Pass on what a peer sent, if it is newer."""
        if message.version <= self.version:
            return
        origin = self._origin(peer)
        if isinstance(message, ConfigDelta):
            self.source.put(DeltaReceived(message, origin))
        else:
            self.source.put(ConfigReceived(message.version, message.data, origin))

    def pulled(self, version: Version, answer: Answer) -> None:
        """Answer a peer that has `version`, with a difference where it fits."""
        if self.delta is not None and self.delta.base == version:
            answer(self.delta)
        elif self.version > version:
            answer(ConfigBlob(self.version, self.blob))

    def peer_has(
        self, version: Version, answer: Answer, peer: DaemonId | None, now: Millis
    ) -> None:
        """Pull a newer version from a peer; from another region only when no push came."""
        if version <= self.version or now - self.pulled_at < PULL_PERIOD:
            return
        if self.behind_since is None:
            self.behind_since = now
        near = self._origin(peer) is ConfigOrigin.REGION
        if near or now - self.behind_since > REMOTE_PULL_DELAY:
            self.pulled_at = now
            answer(Pull(self.version))

    def pull_from_region(self, version: Version) -> None:
        """Ask the first reachable daemon of the region for a whole configuration."""
        me = self.directory.me
        for row in self.directory.others():
            link = self.links.get(row.daemon_id)
            if row.region == me.region and link is not None and link.is_open:
                link.send(Pull(self.version))
                return
        self.log.write_change(
            "config_not_pulled", version=version, reason="no open link in the region"
        )

    def _origin(self, peer: DaemonId | None) -> ConfigOrigin:
        row = self.directory.rows.get(peer) if peer is not None else None
        near = row is not None and row.region == self.directory.me.region
        return ConfigOrigin.REGION if near else ConfigOrigin.OTHER_REGION
