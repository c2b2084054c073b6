"""Waits until a version is in force on every live daemon."""

import asyncio
import time

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Digest, PublishId, Version

from .command import Context, Result
from .exit_codes import ExitCode
from .fleet import DaemonStatus, ask_all, list_members

POLL_SECONDS = 0.2


async def wait_in_force(
    context: Context, version: Version, digest: Digest, publish_id: PublishId
) -> Result:
    """Ask the daemons until each has the version, or a later one, in force."""
    started = time.monotonic()
    reason = f"version {version} accepted, but the wait for the daemons is over"
    behind: tuple[DaemonStatus, ...] = ()
    while True:
        try:
            # Members are listed anew: a daemon that died meanwhile does not have to follow.
            members = await list_members(context.http, context.daemon)
            rows = await ask_all(context.http, members)
        except ExchangeError as error:
            reason = f"version {version} accepted, but daemon {error}"
        else:
            behind = tuple(row for row in rows if not has_version(row, version, digest))
            if not behind:
                return _done(version, publish_id, len(rows), time.monotonic() - started)
            names = ", ".join(sorted(row.daemon_id for row in behind))
            reason = f"version {version} accepted, but not in force on: {names}"
        if time.monotonic() - started >= context.timeout:
            break
        await asyncio.sleep(POLL_SECONDS)
    body = {"version": version, "publish_id": publish_id, "in_force": False, "behind": behind}
    return Result(ExitCode.NOT_IN_FORCE, (reason,), body)


def has_version(row: DaemonStatus, version: Version, digest: Digest) -> bool:
    """Return whether a daemon has this version or a later one."""
    if row.version is None or row.version < version:
        return False
    return row.version > version or row.digest == digest


def _done(version: Version, publish_id: PublishId, daemons: int, seconds: float) -> Result:
    line = f"version {version} in force on {daemons} daemons after {seconds:.2f} s"
    body = {
        "version": version,
        "publish_id": publish_id,
        "in_force": True,
        "daemons": daemons,
        "seconds": round(seconds, 3),
    }
    return Result(ExitCode.SUCCESS, (line,), body)
