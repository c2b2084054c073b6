"""Entry point of `agatecross`."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence

from absl import app, flags

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.log_http import HttpLogService
from agatecross_core.config.formats import check_address
from agatecross_core.errors import LogError
from agatecross_core.ids import Address

from .command import Command, CommandError, Context, Result
from .commands import causes, check, customers, diff, explain, log, publish, status, trace
from .exit_codes import ExitCode
from .output import FORMATTERS

COMMANDS: Mapping[str, Command] = {
    "publish": publish.COMMAND,
    "check": check.COMMAND,
    "diff": diff.COMMAND,
    "status": status.COMMAND,
    "log": log.COMMAND,
    "explain": explain.COMMAND,
    "trace": trace.COMMAND,
    "causes": causes.COMMAND,
    "customers": customers.COMMAND,
}

LOG = flags.DEFINE_string("log", "127.0.0.1:9000", "Address of the log service.")
DAEMON = flags.DEFINE_string("daemon", "127.0.0.1:7004", "Admin address of any daemon.")
TIMEOUT = flags.DEFINE_float("timeout", 30.0, "Seconds that publish waits for all daemons.")
AUTHOR = flags.DEFINE_string("author", os.environ.get("USER", ""), "Author of a publish.")
PARENT = flags.DEFINE_integer(
    "parent", None, "Publish only if this is the newest version.", lower_bound=0
)
HOST = flags.DEFINE_string("host", "", "Host of the path that explain looks up.")
FORMAT = flags.DEFINE_enum("format", "text", list(FORMATTERS), "Format of the output.")


def parse_flags(argv: Sequence[str]) -> list[str]:
    """Return the arguments without flags; exits with `ExitCode.USAGE` on errors."""
    try:
        return list(flags.FLAGS(argv))
    except flags.Error as error:
        print(f"agatecross: {error}\n{usage_text()}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def usage_text() -> str:
    """Return the usage of every command."""
    rows = [f"  agatecross {command.usage}" for command in COMMANDS.values()]
    flag_names = (
        "flags: --log --daemon --timeout --author --parent --host --format (--help explains)"
    )
    return "\n".join(["usage:", *rows, flag_names])


def main(argv: Sequence[str]) -> None:
    """Run one command and exit with its code."""
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        problem = f"unknown command {argv[1]!r}" if len(argv) > 1 else "no command"
        print(f"agatecross: {problem}\n{usage_text()}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    if not command.min_arguments <= len(argv) - 2 <= command.max_arguments:
        print(f"usage: agatecross {command.usage}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    address_errors = [check_address(flag.value) for flag in (LOG, DAEMON)]
    if any(address_errors):
        print(f"agatecross: {'; '.join(filter(None, address_errors))}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    result = asyncio.run(run_command(command, argv[2:]))
    print(FORMATTERS[FORMAT.value](result))
    sys.exit(result.code)


async def run_command(command: Command, arguments: Sequence[str]) -> Result:
    """Run a command with the log service and the daemon that the flags name."""
    http = TornadoHttpClient()
    context = Context(
        HttpLogService(Address(LOG.value), http),
        http,
        Address(DAEMON.value),
        TIMEOUT.value,
        AUTHOR.value,
        HOST.value,
        PARENT.value,
    )
    return await execute(command, context, arguments)


async def execute(command: Command, context: Context, arguments: Sequence[str]) -> Result:
    """Run a command and turn its errors into results."""
    try:
        return await command.run(context, arguments)
    except LogError as error:
        message = f"log service unreachable: {error}"
        return failure_result(ExitCode.LOG_UNREACHABLE, message)
    except CommandError as error:
        return failure_result(error.code, str(error))


def failure_result(code: ExitCode, message: str) -> Result:
    """Report a failure on standard error and return its result."""
    print(f"agatecross: {message}", file=sys.stderr)
    return Result(code, (), {"error": message})


def run() -> None:
    """Run `agatecross`."""
    app.run(main, flags_parser=parse_flags)
