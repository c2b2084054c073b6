"""Requests of one connection in the order of arrival, until their responses are written."""

from collections import deque

from agatecross_core.admission.pipelining import PipelineWindow

from .caller_exchange import Exchange


class RequestQueue:
    """Counts what whole requests and responses hold; starts as many requests as the window allows.

    `held_bytes` is the size of the requests, or of their responses once these are known.
    """

    def __init__(self) -> None:
        """Start with no request."""
        self.exchanges: deque[Exchange] = deque()
        self.unstarted: deque[Exchange] = deque()
        self.window = PipelineWindow()
        self.held_bytes = 0

    def add(self, exchange: Exchange, size: int) -> None:
        """Add a request that holds so many bytes."""
        exchange.held = size
        self.exchanges.append(exchange)
        self.held_bytes += size

    def next_to_start(self, unsent: int, memory_is_short: bool) -> Exchange | None:
        """Return the next request if it may start now, and count it as started."""
        if not self.unstarted or not self.window.may_start(unsent, memory_is_short):
            return None
        exchange = self.unstarted.popleft()
        exchange.started = True
        self.window.start()
        return exchange

    def hold_response(self, exchange: Exchange, size: int) -> None:
        """Count a response instead of its request until it is due."""
        self.held_bytes += size - exchange.held
        exchange.held = size
        self.window.waiting_bytes += size
        if exchange.started:
            self.window.end(size)

    def next_due(self) -> Exchange | None:
        """Remove and return the earliest request if its response is known."""
        if not self.exchanges or self.exchanges[0].response is None:
            return None
        exchange = self.exchanges.popleft()
        self.held_bytes -= exchange.held
        self.window.waiting_bytes -= exchange.held
        return exchange

    def take_unstarted(self) -> list[Exchange]:
        """Return the requests that were not started; none of them will be."""
        unstarted = list(self.unstarted)
        self.unstarted.clear()
        return unstarted

    def drop(self) -> list[Exchange]:
        """Remove and return all requests."""
        dropped = list(self.exchanges)
        self.exchanges.clear()
        self.unstarted.clear()
        self.held_bytes = 0
        return dropped
