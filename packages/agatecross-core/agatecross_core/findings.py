"""Findings in documents and settings, each with its place."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from .ids import DocumentName

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Place:
    """Place of a finding: document, line (from 1; 0 if unknown) and dotted key."""

    document: DocumentName
    line: int
    key: str

    def __str__(self) -> str:
        """Return ``document:line: key``."""
        return f"{self.document}:{self.line}: {self.key}"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault in a document, with a stable code and a message for its author."""

    place: Place
    code: str
    message: str

    def __str__(self) -> str:
        """Return the line shown to the author."""
        return f"{self.place}: {self.message} [{self.code}]"


def split_findings(items: Iterable[T | Finding]) -> tuple[list[T], list[Finding]]:
    """Separate the values of a pipeline from its findings."""
    values: list[T] = []
    findings: list[Finding] = []
    for item in items:
        if isinstance(item, Finding):
            findings.append(item)
        else:
            values.append(item)
    return values, findings


def sort_findings(findings: Iterable[Finding]) -> Iterator[Finding]:
    """Yield the findings ordered by place."""
    yield from sorted(findings, key=lambda f: (f.place.document, f.place.line, f.place.key, f.code))
