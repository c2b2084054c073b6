"""Definition of a command: its context, its result and its errors."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from agatecross_adapters.protocols import HttpClient, LogService
from agatecross_core.errors import AgatecrossError
from agatecross_core.ids import Address

from .exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class Context:
    """External services and flags of one run; `timeout` is in seconds."""

    log: LogService
    http: HttpClient
    daemon: Address
    timeout: float
    author: str = ""
    host: str = ""
    parent: int | None = None


@dataclass(frozen=True, slots=True)
class Result:
    """Exit code, output lines for people, and the same content as `body` for programs."""

    code: ExitCode
    lines: tuple[str, ...]
    body: object


@dataclass(frozen=True, slots=True)
class Command:
    """A command with its usage line and the limits on its number of positional arguments."""

    usage: str
    min_arguments: int
    max_arguments: int
    run: Callable[[Context, Sequence[str]], Awaitable[Result]]


class CommandError(AgatecrossError):
    """A command cannot continue; `code` is the exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
