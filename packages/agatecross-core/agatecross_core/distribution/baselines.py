"""Follower classes by name, with the rejected designs that benchmarks use as baselines."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from ..ids import Millis
from ..members.records import Member
from .follower import (
    ConfigFollower,
    FollowerAction,
    NotifyPeers,
    PeerVersion,
    PullFrom,
    RecordsRead,
)


class LogOnlyFollower(ConfigFollower):
    """Reads the log on every daemon and pulls nothing from peers."""

    def view_changed(self, members: tuple[Member, ...]) -> None:
        """Update the members, but keep this daemon a reader."""
        super().view_changed(members)
        self.readers = (self.me.daemon_id,)

    def peer_version_received(
        self, message: PeerVersion[Member], now: Millis
    ) -> Iterator[FollowerAction]:
        """Ignore the versions of peers."""
        del message, now
        yield from ()

    def records_read(self, page: RecordsRead, now: Millis) -> Iterator[FollowerAction]:
        """Fold a page without notifying peers."""
        actions = super().records_read(page, now)
        yield from (action for action in actions if not isinstance(action, NotifyPeers))


class FullCopyFollower(ConfigFollower):
    """Pulls all documents from the peer on each change, not only the changed ones."""

    def _start_pull(self, now: Millis) -> Iterator[FollowerAction]:
        for action in super()._start_pull(now):
            if isinstance(action, PullFrom):
                yield replace(action, request=replace(action.request, known={}))
            else:
                yield action


FOLLOWERS_BY_NAME: Mapping[str, type[ConfigFollower]] = {
    "peers": ConfigFollower,
    "log": LogOnlyFollower,
    "full": FullCopyFollower,
}
