"""Chooses the peer from which to pull a newer version."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import DaemonId, Digest, Version
from ..members.records import Member


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A peer has this version in force."""

    peer: Member
    version: Version
    digest: Digest


class VersionOffers:
    """The newer versions that peers offer; at most one for each live member."""

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Start without offers."""
        self.me = me
        self.rng = rng
        self.offers: dict[DaemonId, PeerVersion] = {}
        self.failures: dict[DaemonId, int] = {}
        self.refused: set[tuple[Version, Digest]] = set()

    def add(self, offer: PeerVersion) -> None:
        """Keep the newest offer of a peer."""
        self.offers[offer.peer.daemon_id] = offer

    def record_failure(self, peer: DaemonId) -> None:
        """Drop the offer of a peer whose answer was of no use, and prefer the others from now."""
        self.offers.pop(peer, None)
        self.failures[peer] = self.failures.get(peer, 0) + 1

    def refuse(self, version: Version, digest: Digest) -> None:
        """Never pull this version again: whoever has it, its documents stay the same."""
        self.refused.add((version, digest))

    def drop_outdated(self, peer: DaemonId, version: Version) -> None:
        """Drop the offers that are no longer newer, and forget the failures of the peer."""
        self.failures.pop(peer, None)
        self.offers = {name: o for name, o in self.offers.items() if o.version > version}
        self.refused = {row for row in self.refused if row[0] > version}

    def retain_members(self, members: Iterable[Member]) -> None:
        """Forget peers that are gone."""
        live = {member.daemon_id for member in members}
        self.offers = {name: o for name, o in self.offers.items() if name in live}
        self.failures = {name: n for name, n in self.failures.items() if name in live}

    def best_offer(self, version: Version) -> PeerVersion | None:
        """Return the newest offer above `version` from the nearest peer with fewest failures."""
        newer = [
            offer
            for offer in self.offers.values()
            if offer.version > version and (offer.version, offer.digest) not in self.refused
        ]
        return min(newer, key=self._order, default=None)

    def choose_position_peer(self, members: Iterable[Member]) -> Member | None:
        """Return a random peer among those with the fewest failures."""
        peers = [m for m in members if m.daemon_id != self.me.daemon_id]
        fewest = min((self.failures.get(m.daemon_id, 0) for m in peers), default=0)
        best = [m for m in peers if self.failures.get(m.daemon_id, 0) == fewest]
        return self.rng.choice(best) if best else None

    def _order(self, offer: PeerVersion) -> tuple[int, int, int, float]:
        failures = self.failures.get(offer.peer.daemon_id, 0)
        return failures, -offer.version, self._distance(offer.peer), self.rng.random()

    def _distance(self, peer: Member) -> int:
        if peer.data_centre == self.me.data_centre:
            return 0
        return 1 if peer.region == self.me.region else 2
