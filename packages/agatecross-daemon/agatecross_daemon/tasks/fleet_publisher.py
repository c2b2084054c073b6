"""Tells the entry task which endpoints can be reached; belongs to the peers task."""

import asyncio
from collections.abc import Mapping

from agatecross_core.ids import DaemonId
from agatecross_core.members.directory import Directory

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..relay_messages import FleetChanged
from .peer_link import PeerLink

# While many daemons start, each of them greets and describes its upstream; the table that calls use
# is built once for what arrives together.
PUBLISH_DELAY_SECONDS = 0.02


class FleetPublisher:
    """Publishes the directory's ready endpoints: this daemon's and those with an open link.

    What became unusable must be published at once, by `publish`.
    """

    def __init__(
        self,
        directory: Directory,
        links: Mapping[DaemonId, PeerLink],
        entry: Sender[FleetChanged],
        log: DecisionLog,
    ) -> None:
        self.directory = directory
        self.links = links
        self.entry = entry
        self.log = log
        self.published_links: frozenset[DaemonId] = frozenset()
        self.timer: asyncio.TimerHandle | None = None

    def publish_soon(self) -> None:
        """Publish what became usable, together with what follows within the delay."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(PUBLISH_DELAY_SECONDS, self.publish)

    def publish(self) -> None:
        """Publish the reachable endpoints now, and log the links that opened or were lost."""
        self.close()
        open_links = frozenset(i for i, link in self.links.items() if link.is_open)
        if open_links != self.published_links:
            self.log.write_change(
                "peers_changed",
                lost=",".join(sorted(self.published_links - open_links)),
                gained=",".join(sorted(open_links - self.published_links)),
            )
            self.published_links = open_links
        reachable = open_links | {self.directory.me.daemon_id}
        by_service = {
            service: tuple(row for row in rows if row.daemon_id in reachable)
            for service, rows in self.directory.by_service.items()
        }
        self.entry.put(FleetChanged(by_service, len(self.directory.rows)))

    def close(self) -> None:
        """Drop a publication that is due later."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
