"""Decides when to pull a configuration that a peer has in force and this daemon lacks.

A push is sent once into each link, so it may be lost with the link, or not fit what is in force.
Until the version that a peer has told of is in force, pulls are therefore repeated, each time from
the peer that failed the least.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..constants import NO_DIGEST, NO_VERSION
from ..ids import ZERO_MS, DaemonId, Millis, Version
from ..members.directory import Endpoint
from .offers import PeerVersion, VersionOffers

# A push of a long change is passed on over three levels of the tree within this time; pulls before
# would load the same links. A delta that does not fit is mostly followed by one that does.
NEAR_PULL_DELAY = Millis(400)
# Daemons of the same region deliver a change within this time unless the readers of the region are
# gone; then it is pulled over the link between regions.
REMOTE_PULL_DELAY = Millis(700)
# The daemons of a region are behind together. The first one to pull pushes to the others, which
# then save their pulls over the link between regions.
REMOTE_PULL_JITTER = Millis(300)
# A whole configuration of 40 KB takes 100 ms on a link of 3.5 Mbit/s.
PULL_RETRY_DELAY = Millis(400)
PULL_RETRY_CAP = Millis(1_600)


@dataclass(frozen=True, slots=True)
class PullConfig:
    """Action: ask the peer for what is newer than `base`; without a base it sends all."""

    peer: DaemonId
    base: Version
    wanted: Version


class CatchUp:
    """Pulls until the newest version that a peer has told of is in force."""

    def __init__(self, me: Endpoint, rng: random.Random) -> None:
        """Start without a configuration."""
        self.me = me
        self.rng = rng
        self.version = NO_VERSION
        self.offers: VersionOffers[Endpoint] = VersionOffers(me, rng)
        self.behind_since: Millis | None = None
        self.remote_delay = REMOTE_PULL_DELAY
        self.next_pull_at = ZERO_MS
        self.pull: PeerVersion[Endpoint] | None = None
        self.pulls = 0
        self.needs_whole = False

    def behind(self, now: Millis) -> Millis:
        """Return for how long this daemon has known of a newer version."""
        return ZERO_MS if self.behind_since is None else Millis(now - self.behind_since)

    def version_offered(self, peer: Endpoint, version: Version, now: Millis) -> None:
        """Record that a peer has a version in force, or has sent it."""
        if version <= self.version:
            return
        self.offers.add(PeerVersion(peer, version, NO_DIGEST))
        if self.behind_since is None:
            self._start(now)

    def delta_unfit(self) -> None:
        """Ask for all from now on: the same delta could be the answer to a pull with a base."""
        self.needs_whole = True

    def came_into_force(self, version: Version, source: DaemonId | None, now: Millis) -> None:
        """Drop the offers that are not newer than the version in force, which `source` sent."""
        self.version = version
        self.offers.drop_outdated(source or self.me.daemon_id, version)
        self.needs_whole = False
        self.behind_since = None
        if self.offers.offers:
            self._start(now)

    def retain_peers(self, peers: Iterable[Endpoint]) -> None:
        """Drop the offers of all other daemons."""
        kept = tuple(peers)
        self.offers.retain_members(kept)
        if self.pull is not None and self.pull.peer.daemon_id not in {p.daemon_id for p in kept}:
            self.pull = None
        if not self.offers.offers:
            self.behind_since = None

    def due(self, now: Millis) -> Iterator[PullConfig]:
        """Yield the pull that is due, if any."""
        if self.behind_since is None or now < self.next_pull_at:
            return
        if self.pull is not None:
            self.offers.record_failure(self.pull.peer.daemon_id)
            self.offers.add(self.pull)
            self.pull = None
        offer = self.offers.best_offer(self.version)
        if offer is None:
            return
        if offer.peer.region != self.me.region and self.behind(now) < self.remote_delay:
            return
        self.pull = offer
        self.next_pull_at = Millis(
            now + min(PULL_RETRY_CAP, PULL_RETRY_DELAY * 2 ** min(self.pulls, 8))
        )
        self.pulls += 1
        base = NO_VERSION if self.needs_whole else self.version
        yield PullConfig(offer.peer.daemon_id, base, offer.version)

    def _start(self, now: Millis) -> None:
        """Start to wait for a push; a daemon without a configuration does not wait."""
        self.behind_since = now
        self.pull = None
        self.pulls = 0
        self.next_pull_at = now if self.version == NO_VERSION else Millis(now + NEAR_PULL_DELAY)
        jitter = self.rng.uniform(0, REMOTE_PULL_JITTER)
        self.remote_delay = (
            ZERO_MS if self.version == NO_VERSION else Millis(REMOTE_PULL_DELAY + jitter)
        )
