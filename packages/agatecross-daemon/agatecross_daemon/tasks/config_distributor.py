"""Distributes configurations over the links between daemons; belongs to the peers task."""

import random
import zlib
from collections.abc import Callable, Collection, Mapping

from agatecross_adapters.hop_messages import ConfigBlob, ConfigDelta, HopMessage, Pull
from agatecross_adapters.hop_sending import encode_for_sending
from agatecross_core.constants import NO_VERSION
from agatecross_core.distribution.catch_up import CatchUp
from agatecross_core.distribution.propagation import ConfigOrigin, push_targets
from agatecross_core.ids import DaemonId, Millis, Version
from agatecross_core.members.directory import Directory

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..store_messages import (
    ConfigChanged,
    ConfigReceived,
    ConfigSource,
    DeltaReceived,
)
from .peer_link import PeerLink

COMPRESSION_LEVEL = 6

ReplySender = Callable[[HopMessage], None]


class ConfigDistributor:
    """Pushes configurations that came into force, and pulls newer ones from peers."""

    def __init__(
        self,
        directory: Directory,
        links: Mapping[DaemonId, PeerLink],
        store: Sender[ConfigReceived | DeltaReceived],
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.directory = directory
        self.links = links
        self.store = store
        self.log = log
        self.version = NO_VERSION
        self.data = b""
        # The configuration in force, compressed; None until a peer needs it whole.
        self.blob: bytes | None = None
        self.delta: ConfigDelta | None = None
        # Where the version in force came from, which decides to whom it is pushed.
        self.origin = ConfigOrigin.REGION
        self.catch_up = CatchUp(directory.me, rng)
        # The connection over which a peer was last heard works; another one may be silently dead.
        self.reply_senders: dict[DaemonId, ReplySender] = {}

    def config_changed(
        self, message: ConfigChanged, open_links: Collection[DaemonId], now: Millis
    ) -> None:
        """Store a configuration that came into force and push it to the selected peers."""
        self.version, self.data, self.delta = message.version, message.data, message.delta
        self.blob = None
        source = message.source
        self.origin = source.origin
        self.catch_up.came_into_force(message.version, source.daemon_id, now)
        rows = self.directory.rows.values()
        targets = tuple(push_targets(self.directory.me, rows, open_links, source.origin))
        if not targets:
            return
        change = encode_for_sending(self.delta or self._whole())
        for daemon_id in targets:
            if (link := self.links.get(daemon_id)) is not None:
                link.send_encoded(change)

    def link_opened(
        self, link: PeerLink, version: Version, open_links: Collection[DaemonId]
    ) -> None:
        """Push again to a peer that greets with an older version, if this daemon pushes to it.

        The change may have been lost with the connection before, or the link was closed then.
        """
        if not NO_VERSION < version < self.version:
            return
        rows = self.directory.rows.values()
        if link.daemon_id in push_targets(self.directory.me, rows, open_links, self.origin):
            self.answer_pull(version, link.send)

    def config_received(
        self,
        message: ConfigBlob | ConfigDelta,
        send_reply: ReplySender,
        peer: DaemonId | None,
        now: Millis,
    ) -> None:
        """Pass a configuration from a peer to the store task if it is newer."""
        if message.version <= self.version:
            return
        source = ConfigSource(self._origin_of(peer), peer, self.catch_up.behind(now))
        self.version_offered(message.version, send_reply, peer, now)
        if isinstance(message, ConfigDelta):
            self.store.put(DeltaReceived(message, source))
        else:
            self.store.put(ConfigReceived(message.version, message.data, source))

    def answer_pull(self, version: Version, send_reply: ReplySender) -> None:
        """Answer a pull from a peer that has `version`, with the delta if that is its base."""
        if self.delta is not None and self.delta.base == version:
            send_reply(self.delta)
        elif self.version > version:
            send_reply(self._whole())

    def version_offered(
        self, version: Version, send_reply: ReplySender, peer: DaemonId | None, now: Millis
    ) -> None:
        """Record that a peer has a version; it is pulled if no push brings it in time."""
        row = self.directory.rows.get(peer) if peer is not None else None
        if row is None or version <= self.version:
            return
        self.reply_senders[row.daemon_id] = send_reply
        self.catch_up.version_offered(row, version, now)
        self.pull_if_due(now)

    def delta_unfit(self, version: Version) -> None:
        """Pull the whole configuration from a peer that has the version of an unfit delta."""
        self.catch_up.delta_unfit()
        if self.catch_up.behind_since is None:
            self.log.write_change(
                "config_not_pulled", version=version, reason="sender of the delta is unknown"
            )

    def pull_if_due(self, now: Millis) -> None:
        """Ask a peer for the newest version that peers have told of, if it is overdue."""
        for pull in self.catch_up.due(now):
            self.log.write_change(
                "config_pulled",
                version=pull.wanted,
                was=self.version,
                base=pull.base,
                peer=pull.peer,
                behind_ms=int(self.catch_up.behind(now)),
            )
            self.reply_senders[pull.peer](Pull(pull.base))

    def peer_removed(self, daemon_id: DaemonId) -> None:
        """Drop what a daemon offered that is considered gone."""
        self.reply_senders.pop(daemon_id, None)
        self.catch_up.retain_peers(self.directory.others())

    def _whole(self) -> ConfigBlob:
        if self.blob is None:
            self.blob = zlib.compress(self.data, COMPRESSION_LEVEL)
        return ConfigBlob(self.version, self.blob)

    def _origin_of(self, peer: DaemonId | None) -> ConfigOrigin:
        row = self.directory.rows.get(peer) if peer is not None else None
        same_region = row is not None and row.region == self.directory.me.region
        return ConfigOrigin.REGION if same_region else ConfigOrigin.OTHER_REGION
