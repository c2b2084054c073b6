"""The command `customers`: shows limit, use and refusals of customers over the fleet."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from agatecross_adapters.protocols import HttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address
from agatecross_core.limits.model import Standing
from agatecross_core.limits.usage import CustomerUsage

from ..command import Command, CommandError, Context, Result
from ..exit_codes import ExitCode
from ..fleet import MAX_CONCURRENT_REQUESTS, REQUEST_TIMEOUT_MS, list_members

CUSTOMERS_PATH = "/agatecross/v1/customers"
OK = 200
MAX_LINES = 50
NO_CUSTOMERS = "no limited customer has called"


@dataclass(frozen=True, slots=True)
class CustomerRow:
    """A customer over the daemons that answered.

    `share` is the lowest that a daemon admits. `alone` counts the daemons that do not follow a
    home and admit their part of the limit; more than one home means that the fleet is divided.
    """

    customer: str
    rate_per_second: float
    burst: float
    offered_per_second: float
    admitted_per_second: float
    refused: int
    share: float
    homes: tuple[str, ...]
    daemons: int
    alone: int


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Ask every daemon that the daemon of `--daemon` knows, or that one if it lists none."""
    customer = arguments[0] if arguments else ""
    try:
        members = await list_members(context.http, context.daemon)
        addresses = {row.admin_address for row in members}
    except ExchangeError:
        # A daemon on the users' platform has no list of members at its metrics address.
        addresses = {context.daemon}
    answers = await _fetch_all(context.http, addresses, customer)
    if all(rows is None for rows in answers.values()):
        raise CommandError(ExitCode.UNKNOWN, f"daemon {context.daemon} does not answer")
    rows = sum_up(row for answer in answers.values() for row in answer or ())
    silent = tuple(sorted(address for address, answer in answers.items() if answer is None))
    lines = [customer_line(row) for row in rows[:MAX_LINES]]
    if len(rows) > MAX_LINES:
        lines.append(f"and {len(rows) - MAX_LINES} more customers")
    if not rows:
        lines.append(f"no limited customer {customer!r} has called" if customer else NO_CUSTOMERS)
    if silent:
        lines.append(f"no answer from {', '.join(silent)}")
    code = ExitCode.NOT_IN_FORCE if silent else ExitCode.SUCCESS
    return Result(code, tuple(lines), {"customers": rows, "silent": silent})


def sum_up(usages: Iterable[CustomerUsage]) -> list[CustomerRow]:
    """Return a row for each customer, most calls first."""
    by_customer: dict[str, list[CustomerUsage]] = {}
    for usage in usages:
        by_customer.setdefault(usage.customer, []).append(usage)
    rows = [_sum_customer(customer, group) for customer, group in by_customer.items()]
    return sorted(rows, key=lambda row: (-row.offered_per_second, row.customer))


def _sum_customer(customer: str, rows: Sequence[CustomerUsage]) -> CustomerRow:
    return CustomerRow(
        customer,
        max(row.rate_per_second for row in rows),
        max(row.burst for row in rows),
        sum(row.offered_per_second for row in rows),
        sum(row.admitted_per_second for row in rows),
        sum(row.refused for row in rows),
        min(row.share for row in rows),
        tuple(sorted({row.home for row in rows if row.home})),
        len(rows),
        sum(row.standing is Standing.ALONE for row in rows),
    )


def customer_line(row: CustomerRow) -> str:
    """Return the output line of a customer."""
    followers = f"{row.daemons} daemons" + (f" ({row.alone} alone)" if row.alone else "")
    return (
        f"{row.customer} limit {row.rate_per_second:g}/s burst {row.burst:g} "
        f"offered {row.offered_per_second:.1f}/s admitted {row.admitted_per_second:.1f}/s "
        f"refused {row.refused} share {row.share:.2f} "
        f"home {','.join(row.homes) or '-'} {followers}"
    )


async def _fetch_all(
    http: HttpClient, addresses: Iterable[Address], customer: str
) -> dict[Address, tuple[CustomerUsage, ...] | None]:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch(address: Address) -> tuple[CustomerUsage, ...] | None:
        async with semaphore:
            return await _fetch_usage(http, address, customer)

    ordered = sorted(addresses)
    answers = await asyncio.gather(*(fetch(address) for address in ordered))
    return dict(zip(ordered, answers, strict=True))


async def _fetch_usage(
    http: HttpClient, address: Address, customer: str
) -> tuple[CustomerUsage, ...] | None:
    """Return the rows of a daemon, or None if it does not answer or has no such view."""
    path = f"{CUSTOMERS_PATH}/{quote(customer, safe='')}" if customer else CUSTOMERS_PATH
    try:
        response = await http.send(address, Request("GET", path, (), b""), REQUEST_TIMEOUT_MS)
        if response.status != OK:
            return None
        return msgspec.json.decode(response.body, type=tuple[CustomerUsage, ...])
    except (ExchangeError, msgspec.MsgspecError):
        return None


COMMAND = Command("customers [CUSTOMER]", 0, 1, run)
