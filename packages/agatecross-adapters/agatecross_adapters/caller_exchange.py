"""One request of a caller, from its last byte to its response."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from agatecross_core.ids import ZERO_MS, Millis
from agatecross_core.relay.model import RelayRequest, RelayResponse


class ClosedBy(Enum):
    """Which side closed a connection."""

    CALLER = "caller"
    DAEMON = "daemon"


class ResponseQueue(Protocol):
    """Interface of the connection that the responses are written to."""

    def hold_response(self, exchange: "Exchange", size: int) -> None:
        """Count a response instead of its request until it is due."""
        ...

    def write_due_responses(self) -> None:
        """Write the responses that are due, in the order of their requests."""
        ...


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller, and its place in the order of responses.

    `arrived` is when the first byte of the request was read and `deadline` when the caller stops
    waiting, both in milliseconds of the monotonic clock. `on_abandoned` is called when no
    response can be sent any more, or by `notify_handlers_of_close` just before that. `held` is the
    number of bytes that it holds, and `started` is set once the handler is called.
    """

    connection: ResponseQueue
    arrived: Millis
    request: RelayRequest
    host: str
    keep_alive: bool
    response: RelayResponse | None = None
    on_abandoned: Callable[[ClosedBy], None] | None = None
    deadline: Millis = ZERO_MS
    held: int = 0
    started: bool = False

    def respond(self, response: RelayResponse) -> None:
        """Send the response once the earlier requests on the connection are answered."""
        if self.response is None:
            self.response = response
            self.on_abandoned = None
            self.connection.hold_response(self, len(response.body))
            self.connection.write_due_responses()


ExchangeHandler = Callable[[Exchange], None]
