"""Shares the turns of the event loop among connections that have sent much."""

import asyncio
from collections import deque
from typing import Final, Protocol

# Parsed in one turn of the loop, beside requests that arrive in one short read. New connections are
# accepted and upstreams read once a turn.
TURN_BYTES: Final = 32_768


class WaitingConnection(Protocol):
    """A connection that has data to parse."""

    def continue_parsing(self) -> None:
        """Parse more of the data that was received."""
        ...


class ReadingTurns:
    """Counts the bytes parsed in this turn, and continues waiting connections in later ones."""

    def __init__(self) -> None:
        """Start with a whole turn."""
        self.left = TURN_BYTES
        self.waiting: deque[WaitingConnection] = deque()
        self.scheduled = False

    def take(self, size: int) -> bool:
        """Return whether so many bytes may be parsed now, and count them."""
        if self.left <= 0:
            return False
        self.left -= size
        self._schedule()
        return True

    def wait(self, connection: WaitingConnection) -> None:
        """Continue this connection in a later turn, after those that wait already."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self.start_turn)

    def start_turn(self) -> None:
        """Continue as many waiting connections as fit into a turn."""
        self.scheduled = False
        self.left = TURN_BYTES
        # A connection that is continued may wait again.
        for _ in range(len(self.waiting)):
            if self.left <= 0:
                break
            self.waiting.popleft().continue_parsing()
        if self.waiting:
            self._schedule()
