"""Entry point of `agatecross`."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.log_http import HttpLogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents
from agatecross_core.constants import NO_VERSION
from agatecross_core.errors import ExchangeError, LogError
from agatecross_core.ids import Address

from .documents import read_documents
from .exit_codes import ExitCode
from .fleet import ask_all, list_members
from .publish import publish

LOG = flags.DEFINE_string("log", "127.0.0.1:9000", "Address of the log service.")
DAEMON = flags.DEFINE_string("daemon", "127.0.0.1:7004", "Admin address of any daemon.")
TIMEOUT = flags.DEFINE_float("timeout", 30.0, "Seconds that publish waits for all daemons.")


def main(argv: Sequence[str]) -> None:
    """Run one command and exit with its code."""
    sys.exit(asyncio.run(run_command(argv[1:])))


async def run_command(arguments: Sequence[str]) -> ExitCode:
    """Dispatch a command."""
    http = TornadoHttpClient()
    log = HttpLogService(Address(LOG.value), http)
    try:
        match list(arguments):
            case ["publish", folder]:
                return await publish(Path(folder), log, http, Address(DAEMON.value), TIMEOUT.value)
            case ["check", folder]:
                return check(Path(folder))
            case ["status"]:
                return await status(http)
    except LogError as error:
        print(error, file=sys.stderr)
        return ExitCode.LOG_UNREACHABLE
    except (ExchangeError, OSError) as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    print("usage: agatecross publish FOLDER | check FOLDER | status", file=sys.stderr)
    return ExitCode.USAGE


def check(folder: Path) -> ExitCode:
    """Print every finding of a configuration folder."""
    _, findings = compile_documents(tuple(read_documents(folder)), decode_toml, NO_VERSION)
    for finding in findings:
        print(finding)
    return ExitCode.FINDINGS if findings else ExitCode.SUCCESS


async def status(http: TornadoHttpClient) -> ExitCode:
    """Print the version in force on each daemon."""
    members = await list_members(http, Address(DAEMON.value))
    for row in sorted(await ask_all(http, members), key=lambda r: r.daemon_id):
        print(f"{row.daemon_id} {row.data_centre} {row.state} {row.version} {row.digest}")
    return ExitCode.SUCCESS


def run() -> None:
    """Run the binary."""
    app.run(main)
