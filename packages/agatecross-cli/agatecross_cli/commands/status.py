"""The command `status`: shows the version in force on each daemon."""

from collections.abc import Sequence

from agatecross_core.errors import ExchangeError

from ..command import Command, CommandError, Context, Result
from ..exit_codes import ExitCode
from ..fleet import DaemonStatus, fetch_statuses, list_members


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Query every daemon that the daemon of `--daemon` knows."""
    del arguments
    try:
        members = await list_members(context.http, context.daemon)
    except ExchangeError as error:
        raise CommandError(ExitCode.UNKNOWN, f"daemon {error}") from error
    rows = sorted(await fetch_statuses(context.http, members), key=lambda row: row.daemon_id)
    all_same = len({(row.version, row.digest) for row in rows}) == 1
    answered = all(row.version is not None for row in rows)
    code = ExitCode.SUCCESS if all_same and answered else ExitCode.NOT_IN_FORCE
    return Result(code, tuple(status_line(row) for row in rows), {"daemons": rows})


def status_line(row: DaemonStatus) -> str:
    """Return the output line of one daemon."""
    version = "-" if row.version is None else row.version
    return f"{row.daemon_id} {row.data_centre} {row.state} {version} {row.digest or '-'}"


COMMAND = Command("status", 0, 0, run)
