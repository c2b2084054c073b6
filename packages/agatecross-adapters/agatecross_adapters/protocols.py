"""Interfaces through which tasks reach external systems and other daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import NO_ERA
from agatecross_core.ids import Address, DaemonId, Millis, Offset, StoreEra, StreamName

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of a stream."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    `first` is the oldest retained offset of the stream, `end` the offset of its next record. `era`
    rises whenever the log comes back from an older copy; it is 0 if the log names none.
    """

    entries: tuple[LogEntry, ...]
    first: Offset
    end: Offset
    era: StoreEra = NO_ERA


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append a record; raises `LogUnavailableError` or `LogOutcomeUnknownError`."""
        ...

    async def read(self, stream: StreamName, start: Offset, limit: int, wait: Millis) -> LogPage:
        """Read records from `start` on, waiting up to `wait` for one; raises `LogError`."""
        ...


class HttpClient(Protocol):
    """Sends requests to HTTP servers over pooled connections."""

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the complete response; raises a subclass of `ExchangeError`."""
        ...


RequestHandler = Callable[[Request], Awaitable[Response]]
"""Handles one request; cancelled when the client closes its connection."""


class HttpListener(Protocol):
    """Serves HTTP requests on one address."""

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start serving and return the bound address; port 0 lets the kernel choose a port."""
        ...

    def close_after_responses(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""
        ...

    async def close(self) -> None:
        """Answer every request that has begun to arrive, then close every connection."""
        ...


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """The newest configuration that was read, if any, and the offset after it.

    `left` is the number of later records that the read did not return.
    """

    data: bytes | None
    offset: Offset
    left: int = 0


@dataclass(frozen=True, slots=True)
class StoreAnswer(Generic[T]):
    """What the store answered, and the era that the answer names, if any.

    The era rises whenever the store comes back from an older copy: what it confirmed in an earlier
    era may be gone, and offsets of an earlier era may stand for other records.
    """

    value: T
    era: StoreEra | None


class FleetStore(Protocol):
    """The platform's store of the configuration and of the daemons' endpoint records.

    Every method raises `StoreError` when the store fails or sends an unusable response.
    """

    async def newest_config(self, timeout: Millis) -> StoreAnswer[ConfigRead]:
        """Return the newest configuration, if any, and the offset from which to follow the log."""
        ...

    async def check(self) -> StoreAnswer[None]:
        """Make a short call that changes nothing, to learn whether the store answers."""
        ...

    async def next_config(
        self, start: Offset, wait: Millis, timeout: Millis
    ) -> StoreAnswer[ConfigRead]:
        """Wait up to `timeout` for an answer that the store may hold for `wait`.

        Raises `HistoryLostError` if the store does not have the records at `start`.
        """
        ...

    async def announce(self, daemon_id: DaemonId, data: bytes) -> StoreAnswer[None]:
        """Store the endpoint record of a daemon."""
        ...

    async def read_announcements(self) -> StoreAnswer[tuple[bytes, ...]]:
        """Return the stored endpoint records."""
        ...

    async def announce_drain(self, daemon_id: DaemonId, data: bytes) -> StoreAnswer[None]:
        """Store a second endpoint record of a daemon, for its upstream that is leaving."""
        ...

    async def withdraw(self, daemon_id: DaemonId) -> StoreAnswer[None]:
        """Delete the stored records of a daemon that is gone."""
        ...
