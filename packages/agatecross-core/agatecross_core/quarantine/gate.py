"""Decides whether the daemon next to an upstream may start a request that has strikes."""

from collections.abc import Mapping

from ..ids import CallId, DaemonId, Fingerprint
from ..states import Reason
from .model import InFlightCall, SuspectedRequest


class TrialGate:
    """Tracks running calls; admits a suspected request only at its trial daemon, one at a time."""

    def __init__(self, me: DaemonId) -> None:
        """Start without suspects."""
        self.me = me
        self.suspects: Mapping[Fingerprint, SuspectedRequest] = {}
        self.running: dict[CallId, InFlightCall] = {}

    def suspects_changed(self, suspects: Mapping[Fingerprint, SuspectedRequest]) -> None:
        """Replace the fingerprints with strikes."""
        self.suspects = suspects

    def refusal_reason(self, fingerprint: Fingerprint) -> Reason | None:
        """Return why a call must not start here now, or None if it may."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.quarantined:
            return Reason.QUARANTINED
        busy = any(row.fingerprint == fingerprint for row in self.running.values())
        return Reason.SUSPECTED if busy or suspect.trial_daemon != self.me else None

    def call_started(self, call_id: CallId, call: InFlightCall) -> None:
        """Record that a call starts."""
        self.running[call_id] = call

    def call_ended(self, call_id: CallId) -> None:
        """Record that a call ended."""
        self.running.pop(call_id, None)
