"""Look-up of customers by their keys."""

import hashlib
from collections.abc import Iterable, Mapping

from .model import Customer

DIGEST_BYTES = 16
SECRET_BYTES = 32


class KeyHasher:
    """Hashes keys with a secret of the process.

    A table is searched by digest. Without the secret, nobody can choose keys with similar digests,
    so the time of a look-up tells nothing about the keys in the table. The digests of the last
    table are kept, because most keys stay from one version to the next.
    """

    def __init__(self, secret: bytes) -> None:
        """Use a secret of `SECRET_BYTES` random bytes."""
        self.secret = secret
        self.digests: dict[str, bytes] = {}

    def digest(self, key: bytes) -> bytes:
        """Return the digest of a key."""
        return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=self.secret).digest()

    def digest_all(self, keys: Iterable[str]) -> Mapping[str, bytes]:
        """Return the digests of the keys of a table, and keep them for the next call."""
        known = self.digests
        self.digests = {
            key: known.get(key) or self.digest(key.encode("utf-8", "replace")) for key in keys
        }
        return self.digests


class KeyTable:
    """Customers by key, for one version of the configuration."""

    def __init__(self, rows: Iterable[tuple[Customer, tuple[str, ...]]], hasher: KeyHasher) -> None:
        """Index each customer by its keys; a key of two customers belongs to the first."""
        entries = list(rows)
        self.hasher = hasher
        self.customers = {customer.name: customer for customer, _ in entries}
        digests = hasher.digest_all(key for _, keys in entries for key in keys)
        self.by_digest: dict[bytes, Customer] = {}
        for customer, keys in entries:
            for key in keys:
                self.by_digest.setdefault(digests[key], customer)

    def find(self, key: bytes) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self.by_digest.get(self.hasher.digest(key))
