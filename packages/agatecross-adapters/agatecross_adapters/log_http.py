"""Client of the log service over HTTP."""

import base64
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import msgspec

from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import NO_ERA
from agatecross_core.errors import (
    ConnectFailedError,
    ExchangeError,
    LogOutcomeUnknownError,
    LogUnavailableError,
)
from agatecross_core.ids import Address, Millis, Offset, StoreEra, StreamName

from .protocols import HttpClient, LogEntry, LogPage

T = TypeVar("T")

APPEND_TIMEOUT = Millis(2_000)
READ_TIMEOUT_MARGIN = Millis(2_000)
# With these, the service says that it has not acted on the request. After any other failure, an
# append may have taken effect.
REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )
)


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Body of the response to an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class EntryBody:
    """One record of a page, its data in base64."""

    offset: int
    data: str


@dataclass(frozen=True, slots=True)
class PageBody:
    """Body of the response to a read."""

    entries: tuple[EntryBody, ...]
    first: int
    end: int
    era: int = NO_ERA


class HttpLogService:
    """Client of a log service that serves `/streams/{name}/records`."""

    def __init__(self, address: Address, http: HttpClient) -> None:
        self.address = address
        self.http = http

    async def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append a record; raises `LogUnavailableError` or `LogOutcomeUnknownError`."""
        request = Request("POST", f"/streams/{stream}/records", (), data)
        try:
            response = await self.http.send(self.address, request, APPEND_TIMEOUT)
        except ConnectFailedError as error:
            raise LogUnavailableError(stream, error.reason) from error
        except ExchangeError as error:
            raise LogOutcomeUnknownError(stream, error.reason) from error
        if response.status in REFUSAL_STATUSES:
            raise LogUnavailableError(stream, f"append refused with status {response.status}")
        if response.status != HTTPStatus.OK:
            raise LogOutcomeUnknownError(stream, f"append answered with status {response.status}")
        try:
            return Offset(_decode_body(stream, response, AppendReply).offset)
        except LogUnavailableError as error:
            raise LogOutcomeUnknownError(stream, error.reason) from error

    async def read(self, stream: StreamName, start: Offset, limit: int, wait: Millis) -> LogPage:
        """Read records from `start` on, waiting up to `wait` for one; raises `LogError`."""
        query = f"start={start}&limit={limit}&wait_ms={int(wait)}"
        request = Request("GET", f"/streams/{stream}/records?{query}", (), b"")
        try:
            response = await self.http.send(
                self.address, request, Millis(wait + READ_TIMEOUT_MARGIN)
            )
        except ExchangeError as error:
            raise LogUnavailableError(stream, error.reason) from error
        if response.status != 200:
            raise LogUnavailableError(stream, f"read refused with status {response.status}")
        page = _decode_body(stream, response, PageBody)
        try:
            entries = tuple(
                LogEntry(Offset(entry.offset), base64.b64decode(entry.data, validate=True))
                for entry in page.entries
            )
        except ValueError as error:
            raise LogUnavailableError(stream, f"undecodable record: {error}") from error
        return LogPage(entries, Offset(page.first), Offset(page.end), StoreEra(page.era))


def _decode_body(stream: StreamName, response: Response, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise LogUnavailableError(stream, f"undecodable response: {error}") from error
