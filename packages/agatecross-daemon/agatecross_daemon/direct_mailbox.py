"""A synchronous mailbox: the owner handles each message before `put` returns."""

from collections.abc import Callable
from typing import Generic, TypeVar

M = TypeVar("M")


class DirectMailbox(Generic[M]):
    """Calls the owner's handler directly.

    A queue would cost each relayed call several iterations of the event loop.
    """

    def __init__(self) -> None:
        """Create a mailbox without a handler."""
        self.handler: Callable[[M], None] | None = None

    def set_handler(self, handler: Callable[[M], None]) -> None:
        """Set the handler of the owning task."""
        self.handler = handler

    def put(self, message: M) -> None:
        """Deliver a message and return when it is handled."""
        assert self.handler is not None, "mailbox received a message before its handler was set"
        self.handler(message)
