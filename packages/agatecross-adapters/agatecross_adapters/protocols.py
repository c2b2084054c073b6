"""The interfaces between the tasks and the outside systems."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from agatecross_core.calls.model import Request, Response
from agatecross_core.ids import Address, DaemonId, Millis, Offset, StreamName

from .codec import ControlMessage


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of a stream."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from a stream; `first` is the oldest retained offset, `end` the next to be given."""

    entries: tuple[LogEntry, ...]
    first: Offset
    end: Offset


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append a record; raises `LogUnavailableError` or `LogOutcomeUnknownError`."""
        ...

    async def read(self, stream: StreamName, start: Offset, limit: int, wait: Millis) -> LogPage:
        """Return records from `start`, waiting up to `wait` for one; raises `LogError`."""
        ...


class HttpClient(Protocol):
    """Carries one request to an HTTP server over a pooled connection."""

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the whole response; raises a subclass of `ExchangeError`."""
        ...


RequestHandler = Callable[[Request], Awaitable[Response]]
"""Answers one request; cancelled when the requester closes its connection."""


class HttpListener(Protocol):
    """Serves HTTP requests on one address."""

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start to serve and return the bound address; port 0 lets the kernel choose."""
        ...

    def close_after_responses(self) -> None:
        """Close each connection with its next response; new connections are still accepted."""
        ...

    async def close(self) -> None:
        """Answer every request that has begun to arrive, and close every connection."""
        ...


ControlHandler = Callable[[ControlMessage], Awaitable[ControlMessage]]


class PeerTransport(Protocol):
    """Control requests between daemons."""

    async def listen(self, address: Address, handler: ControlHandler) -> Address:
        """Start to answer control requests and return the bound address."""
        ...

    async def request(
        self, peer: Address, message: ControlMessage, timeout: Millis
    ) -> ControlMessage:
        """Return the peer's answer; raises `PeerError`."""
        ...

    async def close(self) -> None:
        """Close the listener and every connection."""
        ...


class FleetStore(Protocol):
    """What the platform keeps for a fleet: the configuration and the daemons' descriptions.

    Every method raises `StoreError` when the platform did not answer as asked.
    """

    async def newest_config(self) -> tuple[bytes | None, Offset]:
        """Return the newest configuration, if there is one, and the offset to follow from."""
        ...

    async def next_config(self, start: Offset, wait: Millis) -> tuple[bytes | None, Offset]:
        """Wait for a configuration from `start`; raises `HistoryLostError` if it is gone."""
        ...

    async def announce(self, daemon_id: DaemonId, data: bytes) -> None:
        """Keep the description of a daemon."""
        ...

    async def read_announcements(self) -> tuple[bytes, ...]:
        """Return the kept descriptions."""
        ...

    async def announce_drain(self, daemon_id: DaemonId, data: bytes) -> None:
        """Keep the description of a daemon whose upstream leaves, beside its newest one."""
        ...

    async def withdraw(self, daemon_id: DaemonId) -> None:
        """Drop what is kept of a daemon that is gone."""
        ...
