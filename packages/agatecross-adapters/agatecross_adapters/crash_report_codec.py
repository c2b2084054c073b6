"""Fields of reports about crashed upstreams in messages between daemons."""

from typing import Any

import msgspec

from agatecross_core.ids import DaemonId, Fingerprint, Incarnation
from agatecross_core.members.records import Clearance, Strike
from agatecross_core.quarantine.report import CrashReport

from .wire_types import Count

# Condemned fingerprints and clearances.
CrashReportRest = tuple[list[str], list[tuple[str, list[tuple[str, Count]]]]]


def crash_report_fields(report: CrashReport) -> tuple[Any, ...]:
    """Return the fields of a report."""
    strikes = [(row.fingerprint, row.daemon_id, row.incarnation) for row in report.strikes]
    clearances = [(row.fingerprint, row.deaths) for row in report.clearances]
    return (strikes, report.condemned, clearances)


def crash_report_from_fields(rows: list[tuple[str, str, int]], rest: list[Any]) -> CrashReport:
    """Return the report of these strikes and the fields after them, which older releases lack."""
    condemned, clearances = msgspec.convert(rest[:2] or ((), ()), CrashReportRest)
    return CrashReport(
        tuple(
            Strike(Fingerprint(fingerprint), DaemonId(daemon_id), Incarnation(incarnation))
            for fingerprint, daemon_id, incarnation in rows
        ),
        tuple(map(Fingerprint, condemned)),
        tuple(
            Clearance(
                Fingerprint(fingerprint),
                tuple((DaemonId(daemon_id), Incarnation(number)) for daemon_id, number in deaths),
            )
            for fingerprint, deaths in clearances
        ),
    )
