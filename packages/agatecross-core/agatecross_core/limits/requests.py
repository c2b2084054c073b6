"""Control messages on limits, between daemons that are known by their members' records."""

from dataclasses import dataclass

from ..ids import DaemonId
from .model import LimitAnswer, LimitReport


@dataclass(frozen=True, slots=True)
class UseRequest:
    """The report of a daemon to the home of a slot, or an answer that the home gives unasked."""

    sender: DaemonId
    report: LimitReport | None
    answer: LimitAnswer | None = None


@dataclass(frozen=True, slots=True)
class UseReply:
    """The answer of the home; None if it has no configuration with limits, or the report is old."""

    answer: LimitAnswer | None
