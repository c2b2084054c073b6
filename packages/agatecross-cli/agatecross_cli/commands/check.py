"""The command `check`: validates a configuration folder."""

from collections.abc import Sequence
from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents
from agatecross_core.constants import NO_VERSION

from ..command import Command, Context, Result
from ..documents import read_documents
from ..exit_codes import ExitCode
from ..findings_output import findings_result


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Validate a folder without access to the log or a daemon."""
    del context
    documents = tuple(read_documents(Path(arguments[0])))
    _, findings = compile_documents(documents, decode_toml, NO_VERSION)
    if findings:
        return findings_result(findings)
    return Result(ExitCode.SUCCESS, ("no findings",), {"findings": []})


COMMAND = Command("check FOLDER", 1, 1, run)
