"""Inputs and results of the choice of an upstream."""

from dataclasses import dataclass
from enum import Enum

from ..ids import DaemonId, DataCentreName, Millis, RegionName, ServiceName
from ..members.records import Member, UpstreamInfo
from ..states import Locality


class Purpose(Enum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member with its upstream and what this daemon knows of it.

    `outstanding` counts this daemon's own calls, `load` also those of others; `latency_ms` is the
    expected latency now; `hedge_after` is the delay of a hedge, None if no hedge is allowed.
    """

    member: Member
    upstream: UpstreamInfo
    locality: Locality
    outstanding: int
    latency_ms: float
    load: float = 0.0
    failures: float = 0.0
    slow: bool = False
    hedge_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """One attempt that needs an upstream; `tried` holds the daemons of earlier attempts."""

    service: ServiceName
    tried: tuple[DaemonId, ...] = ()
    purpose: Purpose = Purpose.FIRST
    deadline: Millis | None = None
    hedge_quantile: float = 0.0


@dataclass(frozen=True, slots=True)
class DaemonLocation:
    """Location of this daemon."""

    daemon_id: DaemonId
    region: RegionName
    data_centre: DataCentreName


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Running and queued calls of an upstream and its slots, as reported by its daemon."""

    running: int
    queued: int
    slots: int
