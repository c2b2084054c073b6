"""The command `explain`: shows the route and policy of a path and the source of each value."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents
from agatecross_core.config.documents import Document
from agatecross_core.config.explain import ExplainedValue, explain_route, merged_site
from agatecross_core.ids import DataCentreName, Version
from agatecross_core.routing.routes import find_route

from ..command import Command, CommandError, Context, Result
from ..documents import read_documents
from ..exit_codes import ExitCode
from ..findings_output import document_path, findings_result
from ..history import read_history


@dataclass(frozen=True, slots=True)
class ValueRow:
    """A value with its file and line; for a default, `file` is empty and `line` is 0."""

    key: str
    value: object
    file: str
    line: int


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Explain a path at a data centre, from the log or from a folder."""
    data_centre, path = DataCentreName(arguments[0]), arguments[1]
    version, documents = await _load_documents(context, arguments[2:])
    snapshot, findings = compile_documents(documents, decode_toml, version)
    if snapshot is None:
        return findings_result(findings)
    site = snapshot.sites.get(data_centre)
    merged = merged_site(documents, decode_toml, data_centre)
    if site is None or merged is None:
        known = ", ".join(sorted(snapshot.sites))
        raise CommandError(ExitCode.USAGE, f"no data centre {data_centre!r}; known: {known}")
    route = find_route(site, context.host, path)
    if route is None:
        message = f"no route for {path!r} at {data_centre}"
        return Result(ExitCode.FINDINGS, (message,), {"version": version, "route": None})
    policy = site.services[route.service]
    rows = tuple(value_row(value) for value in explain_route(merged, route, policy))
    body = {"version": version, "route": route.name, "service": route.service, "values": rows}
    title = f"version {version} route {route.name} service {route.service}"
    return Result(ExitCode.SUCCESS, (title, *(_format_row(row) for row in rows)), body)


async def _load_documents(
    context: Context, folder: Sequence[str]
) -> tuple[Version, tuple[Document, ...]]:
    state = (await read_history(context.log)).state if not folder else None
    if state is None:
        return Version(0), tuple(read_documents(Path(folder[0])))
    if not state.version:
        raise CommandError(ExitCode.FINDINGS, "no configuration has been accepted yet")
    return state.version, state.documents


def value_row(value: ExplainedValue) -> ValueRow:
    """Return the output row of a value."""
    if value.place is None:
        return ValueRow(value.key, value.value, "", 0)
    return ValueRow(value.key, value.value, document_path(value.place.document), value.place.line)


def _format_row(row: ValueRow) -> str:
    place = f"{row.file}:{row.line}" if row.file else "default"
    shown = ",".join(row.value) if isinstance(row.value, tuple) else row.value
    return f"{row.key} = {shown} ({place})"


COMMAND = Command("explain DATA_CENTRE PATH [FOLDER]", 2, 3, run)
