"""Exit codes, documented in docs/operators/cli.md."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Result of a command."""

    SUCCESS = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    LOG_UNREACHABLE = 5
    UNKNOWN = 6
