"""Followers of the rejected alternatives, for comparison in benchmarks."""

from collections.abc import Iterator
from dataclasses import replace

from ..ids import Millis
from .follower import (
    ConfigFollower,
    FollowerAction,
    NotifyPeers,
    PeerVersion,
    PullFrom,
    ReadLog,
    RecordsRead,
)


class LogOnlyFollower(ConfigFollower):
    """Reads the log on every daemon and takes nothing from peers."""

    def tick(self, now: Millis) -> Iterator[FollowerAction]:
        """Start a read when none is in flight."""
        del now
        if not self.reading:
            self.reading = True
            yield ReadLog(self.position)

    def peer_version(self, message: PeerVersion, now: Millis) -> Iterator[FollowerAction]:
        """Ignore the versions of peers."""
        del message, now
        yield from ()

    def records_read(self, page: RecordsRead) -> Iterator[FollowerAction]:
        """Fold a page without telling the peers."""
        actions = super().records_read(page)
        yield from (action for action in actions if not isinstance(action, NotifyPeers))


class FullCopyFollower(ConfigFollower):
    """Gets all documents from the peer on each change, not only those that differ."""

    def peer_version(self, message: PeerVersion, now: Millis) -> Iterator[FollowerAction]:
        """Pull without naming the documents that are here."""
        for action in super().peer_version(message, now):
            if isinstance(action, PullFrom):
                yield replace(action, request=replace(action.request, known={}))
            else:
                yield action
