"""Messages, states and times of the limits over the fleet."""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from ..ids import CustomerName, HomeSlot, Millis, ReportNumber

WINDOW = Millis(5_000)
REPORT_PERIOD = Millis(250)
# A home of a large fleet gets at most 1,250 reports a second.
REPORT_SPACING = Millis(0.8)


class Standing(Enum):
    """How current the shares are by which a daemon admits the calls of a customer."""

    INFORMED = "informed"
    HOLDING = "holding"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class CustomerUse:
    """Calls of a customer since the daemon began to report to this home.

    `offered` calls asked to be admitted, `admitted` ones were, and `used` ones reached an upstream
    or may still do so, repeats included.
    """

    customer: CustomerName
    offered: int
    admitted: int
    used: int


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a daemon admitted, sent to the home of a slot.

    `uses` has the customers whose counts changed since the last answered report. With `is_last`,
    the daemon has chosen another home.
    """

    slot: HomeSlot
    number: ReportNumber
    is_last: bool
    uses: tuple[CustomerUse, ...]


@dataclass(frozen=True, slots=True)
class LimitAnswer:
    """The answer to a report.

    `shares` has each customer that is limited now, with the share of its calls to admit. While
    `is_settling` is set, too few daemons have reported to the home and the earlier shares stay.
    """

    slot: HomeSlot
    number: ReportNumber
    is_settling: bool
    shares: tuple[tuple[CustomerName, float], ...]


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of reports in a fleet of some size.

    A daemon reports each `period` if calls came, otherwise each `presence`, and again after `retry`
    while an answer is due. Without an answer for
    `answer_timeout` after a report it admits no more than lately, and later no more than its part
    of the limit: `limited_hold` after its last answer for customers that are limited, and
    `free_hold` after it for others. A home or a daemon that is silent for `hold` is given up.
    """

    period: Millis
    presence: Millis
    retry: Millis
    answer_timeout: Millis
    hold: Millis
    limited_hold: Millis
    free_hold: Millis


@lru_cache(maxsize=64)
def timing(daemons: int) -> Timing:
    """Return the times for a fleet of so many daemons."""
    period = max(REPORT_PERIOD, REPORT_SPACING * daemons)
    hold = max(1_000, 4 * period)
    return Timing(
        Millis(period),
        Millis(2 * period),
        Millis(0.4 * period),
        Millis(period),
        Millis(hold),
        Millis(0.7 * hold),
        Millis(2 * hold),
    )
