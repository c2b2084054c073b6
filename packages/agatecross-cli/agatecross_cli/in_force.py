"""Waits until a version is in force on every live daemon."""

import asyncio
import sys
import time
from collections.abc import Iterator, Sequence

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Digest, PublishId, Version

from .command import Context, Result
from .exit_codes import ExitCode
from .fleet import DaemonStatus, fetch_statuses, list_members

POLL_SECONDS = 0.2
# Most publishes are in force everywhere before this and need no progress report.
FIRST_REPORT_SECONDS = 1.0
REPORT_INTERVAL_SECONDS = 5.0
# Keeps a line readable when a whole data centre is behind.
MAX_NAMES_SHOWN = 10


class WaitReporter:
    """Decides when progress is reported, and names the daemons that do not have the version yet."""

    def __init__(self, version: Version, started_at: float) -> None:
        self.version = version
        self.started_at = started_at
        self.last_report_at = started_at
        self.last_reported: str | None = None

    def report(self, behind: Sequence[DaemonStatus], reason: str, now: float) -> Iterator[str]:
        """Yield a line when one is due; `reason` tells why the daemons could not be queried."""
        detail = f": {reason}" if reason else f" for: {_format_names(behind)}"
        waited = now - self.started_at
        if not (behind or reason) or waited < FIRST_REPORT_SECONDS:
            return
        if detail != self.last_reported or now - self.last_report_at >= REPORT_INTERVAL_SECONDS:
            self.last_reported, self.last_report_at = detail, now
            yield f"version {self.version} accepted, waiting {waited:.0f} s{detail}"


def _format_names(behind: Sequence[DaemonStatus]) -> str:
    rows = sorted(behind, key=lambda row: row.daemon_id)
    shown = ", ".join(f"{row.daemon_id} ({_format_version(row)})" for row in rows[:MAX_NAMES_SHOWN])
    more = len(rows) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _format_version(row: DaemonStatus) -> str:
    return "no answer" if row.version is None else f"version {row.version}"


async def wait_in_force(
    context: Context, version: Version, digest: Digest, publish_id: PublishId
) -> Result:
    """Poll the daemons until each has the version, or a later one, in force."""
    started_at = time.monotonic()
    reporter = WaitReporter(version, started_at)
    reason = f"version {version} accepted, but the wait for the daemons timed out"
    behind: tuple[DaemonStatus, ...] = ()
    while True:
        query_error = ""
        try:
            # List the members each time: a daemon that died meanwhile need not have the version.
            members = await list_members(context.http, context.daemon)
            rows = await fetch_statuses(context.http, members)
        except ExchangeError as error:
            query_error = f"daemon {error}"
            reason = f"version {version} accepted, but {query_error}"
        else:
            behind = tuple(row for row in rows if not has_version_in_force(row, version, digest))
            if not behind:
                return _success_result(
                    version, publish_id, len(rows), time.monotonic() - started_at
                )
            names = ", ".join(sorted(row.daemon_id for row in behind))
            reason = f"version {version} accepted, but not in force on: {names}"
        now = time.monotonic()
        for line in reporter.report(() if query_error else behind, query_error, now):
            print(f"agatecross: {line}", file=sys.stderr, flush=True)
        if now - started_at >= context.timeout:
            break
        await asyncio.sleep(POLL_SECONDS)
    body = {"version": version, "publish_id": publish_id, "in_force": False, "behind": behind}
    return Result(ExitCode.NOT_IN_FORCE, (reason,), body)


def has_version_in_force(row: DaemonStatus, version: Version, digest: Digest) -> bool:
    """Return whether a daemon has this version or a later one in force."""
    if row.version is None or row.version < version:
        return False
    return row.version > version or row.digest == digest


def _success_result(
    version: Version, publish_id: PublishId, daemons: int, seconds: float
) -> Result:
    line = f"version {version} in force on {daemons} daemons after {seconds:.2f} s"
    body = {
        "version": version,
        "publish_id": publish_id,
        "in_force": True,
        "daemons": daemons,
        "seconds": round(seconds, 3),
    }
    return Result(ExitCode.SUCCESS, (line,), body)
