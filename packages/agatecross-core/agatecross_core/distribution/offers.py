"""Chooses the peer from which to pull a newer version."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from ..ids import DaemonId, DataCentreName, Digest, RegionName, Version


class Peer(Protocol):
    """A daemon and its place."""

    @property
    def daemon_id(self) -> DaemonId:
        """Return the id of the daemon."""
        ...

    @property
    def region(self) -> RegionName:
        """Return the region of the daemon."""
        ...

    @property
    def data_centre(self) -> DataCentreName:
        """Return the data centre of the daemon."""
        ...


PeerT = TypeVar("PeerT", bound=Peer)


@dataclass(frozen=True, slots=True)
class PeerVersion(Generic[PeerT]):
    """The version in force at a peer."""

    peer: PeerT
    version: Version
    digest: Digest


class VersionOffers(Generic[PeerT]):
    """Newer versions that peers offer, at most one for each live member."""

    def __init__(self, me: PeerT, rng: random.Random) -> None:
        """Start without offers."""
        self.me = me
        self.rng = rng
        self.offers: dict[DaemonId, PeerVersion[PeerT]] = {}
        self.failures: dict[DaemonId, int] = {}
        self.refused: set[tuple[Version, Digest]] = set()

    def add(self, offer: PeerVersion[PeerT]) -> None:
        """Store the newest offer of a peer."""
        self.offers[offer.peer.daemon_id] = offer

    def record_failure(self, peer: DaemonId) -> None:
        """Drop the offer of a peer whose pull failed, and prefer other peers from now on."""
        self.offers.pop(peer, None)
        self.failures[peer] = self.failures.get(peer, 0) + 1

    def refuse(self, version: Version, digest: Digest) -> None:
        """Do not pull this version again; its documents are the same at every peer."""
        self.refused.add((version, digest))

    def drop_outdated(self, peer: DaemonId, version: Version) -> None:
        """Drop offers that are not newer than `version`, and reset the failures of the peer."""
        self.failures.pop(peer, None)
        self.offers = {name: o for name, o in self.offers.items() if o.version > version}
        self.refused = {row for row in self.refused if row[0] > version}

    def retain_members(self, members: Iterable[PeerT]) -> None:
        """Forget peers that are no longer members."""
        live = {member.daemon_id for member in members}
        self.offers = {name: o for name, o in self.offers.items() if name in live}
        self.failures = {name: n for name, n in self.failures.items() if name in live}

    def best_offer(self, version: Version) -> PeerVersion[PeerT] | None:
        """Return an offer above `version`: fewest failures, then newest, then nearest peer."""
        newer = [
            offer
            for offer in self.offers.values()
            if offer.version > version and (offer.version, offer.digest) not in self.refused
        ]
        return min(newer, key=self._order, default=None)

    def choose_position_peer(self, members: Iterable[PeerT]) -> PeerT | None:
        """Return a peer to ask for its log position, at random among those with fewest failures."""
        peers = [m for m in members if m.daemon_id != self.me.daemon_id]
        fewest = min((self.failures.get(m.daemon_id, 0) for m in peers), default=0)
        best = [m for m in peers if self.failures.get(m.daemon_id, 0) == fewest]
        return self.rng.choice(best) if best else None

    def _order(self, offer: PeerVersion[PeerT]) -> tuple[int, int, int, float]:
        failures = self.failures.get(offer.peer.daemon_id, 0)
        return failures, -offer.version, self._distance(offer.peer), self.rng.random()

    def _distance(self, peer: PeerT) -> int:
        if peer.data_centre == self.me.data_centre:
            return 0
        return 1 if peer.region == self.me.region else 2
