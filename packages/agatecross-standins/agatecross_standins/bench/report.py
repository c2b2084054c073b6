"""Writes benchmark results as a table and as JSON."""

import json
from collections.abc import Sequence
from pathlib import Path


def print_table(rows: Sequence[dict[str, object]]) -> None:
    """Print rows that have the same keys as an aligned table."""
    names = list(rows[0])
    cells = [[_cell(row[name]) for name in names] for row in rows]
    widths = [max(len(name), *(len(c[i]) for c in cells)) for i, name in enumerate(names)]
    for line in [names, *cells]:
        print("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)))


def _cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def write_json(path: str, results: object) -> None:
    """Write the results as JSON, creating the directory if needed."""
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")
