"""Decides next to an upstream which suspected requests may run, and what its death shows."""

from enum import Enum

from ..ids import DaemonId, Fingerprint, HandoverId, Incarnation, Millis
from ..relay.model import Handover
from ..states import Reason
from .lost_calls import LostCalls
from .model import relay_fingerprint
from .report import CrashReport
from .suspects import SuspectTable, Verdict


class RunEnd(Enum):
    """How a run ended: served, with another answer, reset by the upstream, or given up here."""

    SERVED = "served"
    ANSWERED = "answered"
    RESET = "reset"
    GIVEN_UP = "given-up"


class DeathWatch:
    """Holds the suspects, the trials that run here, and the runs whose end is unknown."""

    def __init__(self, daemon_id: DaemonId) -> None:
        """Start without suspects."""
        self.suspects = SuspectTable()
        self.lost_calls = LostCalls(daemon_id)
        self.trials: dict[HandoverId, Fingerprint] = {}

    def admit(self, handover: Handover, now: Millis) -> Reason | None:
        """Return why a call must not run here, or None if it may; a suspect's run is a trial."""
        if not self.suspects.records:
            return None
        fingerprint = relay_fingerprint(handover.service, handover.request)
        verdict = self.suspects.judge(fingerprint, now)
        if verdict is Verdict.REFUSED:
            return Reason.QUARANTINED
        if verdict is Verdict.TRIAL:
            is_tried = fingerprint in self.trials.values()
            if is_tried or self.lost_calls.awaits_trial(fingerprint, now):
                return Reason.SUSPECTED
            self.trials[handover.handover_id] = fingerprint
        return None

    def run_ended(self, handover: Handover, end: RunEnd, now: Millis) -> CrashReport:
        """Record the end of a run; return the report of a trial that completed."""
        if end is RunEnd.SERVED:
            self.lost_calls.record_completion(handover)
            trial = self.trials.get(handover.handover_id)
            return self.suspects.clearance(trial) if trial is not None else CrashReport()
        if end is not RunEnd.ANSWERED:
            in_trial = handover.handover_id in self.trials
            self.lost_calls.record(handover, now, in_trial=in_trial, reset=end is RunEnd.RESET)
        return CrashReport()

    def call_removed(self, handover_id: HandoverId) -> None:
        """End the trial, if the call was one, so that the next one may start."""
        self.trials.pop(handover_id, None)

    def connection_refused(self, born: int, now: Millis) -> CrashReport:
        """Return the report of a death, if a run without an end preceded the refusal."""
        return self.lost_calls.connection_refused(Incarnation(born), now)

    def upstream_announced(self, previous: int, born: int, now: Millis) -> CrashReport:
        """Return the report of the death of the start at `previous`, if it broke off a run."""
        if born == previous:
            self.lost_calls.upstream_announced(now)
            return CrashReport()
        return self.lost_calls.upstream_restarted(Incarnation(previous), now)
