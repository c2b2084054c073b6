"""Reuse of the decoded parts of a document that the next version holds unchanged."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

T = TypeVar("T")


class KeptParts(Generic[T]):
    """The parts of the last version by their encoded form; most stay in the next one."""

    def __init__(self) -> None:
        """Start without parts."""
        self.parts: dict[bytes, T] = {}

    def decode_all(
        self, encoded_parts: Iterable[bytes], decode: Callable[[bytes], T]
    ) -> Iterable[T]:
        """Return the decoded parts in order, equal ones once, and keep them for the next version.

        If `decode` raises, the parts of the last version stay.
        """
        known = self.parts
        self.parts = {data: known.get(data) or decode(data) for data in encoded_parts}
        return self.parts.values()
