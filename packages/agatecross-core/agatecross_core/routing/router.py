"""Routing of one daemon: what it knows of the fleet and which upstream it chooses."""

import random
from dataclasses import dataclass, replace
from typing import Protocol

from ..ids import DaemonId, Millis, ServiceName
from ..members.records import Member
from ..members.view import FleetView
from ..states import Outcome, Reason
from .candidates import build_candidates
from .choice import Filters, choose
from .ejection import EJECTING_REASONS, Ejections
from .groups import GroupDetector
from .health import keep_healthy
from .hedging import OVERLOAD_REFUSALS, ServiceLatency
from .model import Candidate, ChoiceRequest, DaemonLocation, Purpose, ReportedLoad
from .observations import ObservationTable
from .ramp import Ramp
from .sample import MemberSampler


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended after `elapsed` milliseconds.

    `failed` marks a response with a status of 500 or above, `cancelled` an attempt that another one
    made unnecessary; `load` is the load that the target reported with its answer.
    """

    daemon_id: DaemonId
    elapsed: Millis
    outcome: Outcome
    reason: Reason | None = None
    failed: bool = False
    cancelled: bool = False
    load: ReportedLoad | None = None


class Balancer(Protocol):
    """Chooses the upstream of each attempt and learns from how attempts end."""

    def apply_view(self, view: FleetView) -> None:
        """Apply a new view of the fleet."""
        ...

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the candidate for one attempt, or None when no upstream can serve it."""
        ...

    def record_start(self, daemon_id: DaemonId, now: Millis) -> None:
        """Record an attempt that was sent."""
        ...

    def record_end(self, attempt: AttemptEnded, now: Millis) -> None:
        """Record an attempt that ended."""
        ...


class AdaptiveBalancer:
    """Avoids slow and failing upstreams, prefers near ones, and takes the better of two."""

    def __init__(self, here: DaemonLocation, rng: random.Random) -> None:
        self.here = here
        self.rng = rng
        self.view = FleetView()
        self.observations = ObservationTable()
        self.ejections = Ejections()
        self.groups = GroupDetector()
        self.ramp = Ramp(rng)
        self.sampler = MemberSampler(here, rng)
        self.filters = Filters(self.observations, self.ejections, self.groups, self.ramp)
        self.latencies: dict[ServiceName, ServiceLatency] = {}

    def apply_view(self, view: FleetView) -> None:
        """Apply a new view of the fleet."""
        self.view = view
        members = set(view.members)
        self.observations.retain(members)
        self.ejections.retain(members)
        self.ramp.apply_view(view)
        self.sampler.apply_view(view)
        self.latencies = {s: row for s, row in self.latencies.items() if s in view.by_service}

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the candidate for one attempt, or None when no upstream can serve it."""
        self._record_overdue(request.service, now)
        chosen = self._choose_from(self.sampler.draw(request.service), request, now)
        if chosen is None:
            # All members of the sample may be unavailable while others are ready.
            everyone = self.view.by_service.get(request.service, ())
            chosen = self._choose_from(everyone, request, now)
        return chosen

    def _choose_from(
        self, members: tuple[Member, ...], request: ChoiceRequest, now: Millis
    ) -> Candidate | None:
        ready = list(
            keep_healthy(build_candidates(request, members, self.observations, self.here, now))
        )
        latency = self.latencies.get(request.service)
        delay = latency.hedge_after(request.hedge_quantile, ready) if latency else None
        if request.purpose is Purpose.HEDGE and delay is None:
            return None
        chosen = choose(request, ready, self.filters, self.rng, now)
        return replace(chosen, hedge_after=delay) if chosen and delay is not None else chosen

    def record_start(self, daemon_id: DaemonId, now: Millis) -> None:
        """Record an attempt that was sent."""
        self.observations.record_start(daemon_id, now)

    def record_end(self, attempt: AttemptEnded, now: Millis) -> None:
        """Learn from an attempt that ended."""
        daemon_id = attempt.daemon_id
        observations = self.observations.get_or_create(daemon_id)
        overdue = observations.record_overdue(now)
        self.observations.record_end(daemon_id, Millis(now - attempt.elapsed))
        if attempt.load is not None:
            observations.record_report(attempt.load, now)
        succeeded = attempt.outcome is Outcome.RAN and not attempt.failed
        if succeeded:
            overdue = observations.record_completion(attempt.elapsed, now)
            self.ejections.record_success(daemon_id)
        elif not attempt.cancelled:
            observations.record_failure(now)
        if attempt.reason in EJECTING_REASONS:
            self.ejections.record_failure(daemon_id, now)
        self._record_for_service(attempt, succeeded, overdue, now)

    def _record_for_service(
        self, attempt: AttemptEnded, succeeded: bool, slow: bool, now: Millis
    ) -> None:
        member = self.view.members.get(attempt.daemon_id)
        if member is None or member.upstream is None:
            return
        service = member.upstream.service
        latency = self.latencies.setdefault(service, ServiceLatency())
        if succeeded or attempt.cancelled or attempt.reason in OVERLOAD_REFUSALS:
            latency.record(attempt.elapsed, attempt.reason)
        if succeeded or slow:
            self.groups.observe(attempt.daemon_id, service, slow, now)

    def _record_overdue(self, service: ServiceName, now: Millis) -> None:
        # A frozen upstream sends no answers; its overdue calls are the only evidence.
        for member in self.view.by_service.get(service, ()):
            observations = self.observations.rows.get(member.daemon_id)
            if (
                observations is not None
                and observations.starts
                and observations.record_overdue(now)
            ):
                self.groups.observe(member.daemon_id, service, True, now)
