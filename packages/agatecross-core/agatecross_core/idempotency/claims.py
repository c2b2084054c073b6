"""The fold over the claims stream."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from ..constants import IDEMPOTENCY_KEY_RETENTION
from ..ids import IdempotencyKey, Millis
from .model import Claim, ClaimsBatch, Release


@dataclass(frozen=True, slots=True)
class HeldKey:
    """The claim that holds a key, and when this daemon last read a claim of the key."""

    claim: Claim
    read_at: Millis


class ClaimsFold:
    """The claims that hold keys, after folding a prefix of the claims stream."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.held: OrderedDict[IdempotencyKey, HeldKey] = OrderedDict()

    def __len__(self) -> int:
        return len(self.held)

    def claim_for(self, key: IdempotencyKey) -> Claim | None:
        """Return the claim that holds the key, or None."""
        row = self.held.get(key)
        return row.claim if row else None

    def fold(self, batch: ClaimsBatch, now: Millis) -> None:
        """Fold one record that was read at `now`: first its releases, then its claims."""
        for release in batch.releases:
            self._release(release)
        for claim in batch.claims:
            self._claim(claim, now)

    def expire(self, now: Millis) -> None:
        """Drop the keys of which no claim was read during the retention time."""
        while self.held:
            key, row = next(iter(self.held.items()))
            if now - row.read_at <= IDEMPOTENCY_KEY_RETENTION:
                return
            del self.held[key]

    def _claim(self, claim: Claim, now: Millis) -> None:
        row = self.held.get(claim.key)
        # A claim that does not get the key extends its retention too: another daemon that expired
        # the key earlier may have started the call of this claim.
        self.held[claim.key] = replace(row, read_at=now) if row else HeldKey(claim, now)
        self.held.move_to_end(claim.key)

    def _release(self, release: Release) -> None:
        row = self.held.get(release.key)
        if row is not None and row.claim.claim_id == release.claim_id:
            del self.held[release.key]
