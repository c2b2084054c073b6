"""Queries the daemons for the version that they have in force."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from agatecross_adapters.protocols import HttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, DaemonId, Digest, Millis, Version
from agatecross_core.members.records import Member

REQUEST_TIMEOUT_MS = Millis(2_000)
MAX_CONCURRENT_REQUESTS = 64


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Status of one daemon; `version` is `None` when it does not answer."""

    daemon_id: DaemonId
    data_centre: str
    state: str
    version: Version | None
    digest: Digest


@dataclass(frozen=True, slots=True)
class StatusBody:
    """The fields of a daemon's status that the client uses."""

    daemon_id: DaemonId
    state: str
    version: Version
    digest: Digest


async def list_members(http: HttpClient, daemon: Address) -> tuple[Member, ...]:
    """Return the members that a daemon knows; raises `ExchangeError`."""
    request = Request("GET", "/agatecross/v1/members", (), b"")
    response = await http.send(daemon, request, REQUEST_TIMEOUT_MS)
    try:
        return msgspec.json.decode(response.body, type=tuple[Member, ...])
    except msgspec.MsgspecError as error:
        raise ExchangeError(daemon, f"cannot decode the list of members: {error}") from error


async def fetch_version(http: HttpClient, daemon: Address) -> Version | None:
    """Return the version in force on one daemon, or `None` when it does not answer."""
    request = Request("GET", "/agatecross/v1/status", (), b"")
    try:
        response = await http.send(daemon, request, REQUEST_TIMEOUT_MS)
        return msgspec.json.decode(response.body, type=StatusBody).version
    except (ExchangeError, msgspec.MsgspecError):
        return None


async def fetch_statuses(http: HttpClient, members: Iterable[Member]) -> list[DaemonStatus]:
    """Return the status of each member, with a bounded number of concurrent requests."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch_limited(member: Member) -> DaemonStatus:
        async with semaphore:
            return await fetch_status(http, member)

    return list(await asyncio.gather(*(fetch_limited(member) for member in members)))


async def fetch_status(http: HttpClient, member: Member) -> DaemonStatus:
    """Return the status of one member; it is `unreachable` when it does not answer."""
    request = Request("GET", "/agatecross/v1/status", (), b"")
    try:
        response = await http.send(member.admin_address, request, REQUEST_TIMEOUT_MS)
        body = msgspec.json.decode(response.body, type=StatusBody)
    except (ExchangeError, msgspec.MsgspecError):
        return DaemonStatus(member.daemon_id, member.data_centre, "unreachable", None, Digest(""))
    return DaemonStatus(member.daemon_id, member.data_centre, body.state, body.version, body.digest)
