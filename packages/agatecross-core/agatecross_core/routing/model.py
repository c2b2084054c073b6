"""Inputs and results of the choice of an upstream."""

from dataclasses import dataclass

from ..ids import DaemonId, DataCentreName, RegionName, ServiceName
from ..members.records import Member, UpstreamInfo
from ..states import Locality


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member with its upstream and what this daemon has observed of it."""

    member: Member
    upstream: UpstreamInfo
    locality: Locality
    outstanding: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """One attempt that needs an upstream; `tried` holds those of earlier attempts."""

    service: ServiceName
    tried: tuple[DaemonId, ...] = ()


@dataclass(frozen=True, slots=True)
class Position:
    """Where this daemon is."""

    daemon_id: DaemonId
    region: RegionName
    data_centre: DataCentreName
