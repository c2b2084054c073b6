"""A mailbox for the path of calls: the owner handles each message before `put` returns."""

from collections.abc import Callable
from typing import Generic, TypeVar

M = TypeVar("M")


class DirectMailbox(Generic[M]):
    """Calls the owner's handler; a queue would cost each call several turns of the loop."""

    def __init__(self) -> None:
        """Start without an owner."""
        self.handler: Callable[[M], None] | None = None

    def set_handler(self, handler: Callable[[M], None]) -> None:
        """Set the owner's handler."""
        self.handler = handler

    def put(self, message: M) -> None:
        """Deliver a message."""
        assert self.handler is not None, "a mailbox must have an owner before it gets messages"
        self.handler(message)
