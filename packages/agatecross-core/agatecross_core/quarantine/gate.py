"""Admission of requests with strikes at the daemon next to the upstream."""

from collections.abc import Mapping

from ..ids import CallId, DaemonId, Fingerprint
from ..states import Reason
from .model import InFlightCall, Suspect


class TrialGate:
    """Tracks what runs at the upstream; a suspected request runs alone and only on its trial."""

    def __init__(self, me: DaemonId) -> None:
        """Start without suspects."""
        self.me = me
        self.suspects: Mapping[Fingerprint, Suspect] = {}
        self.running: dict[CallId, InFlightCall] = {}

    def suspects_changed(self, suspects: Mapping[Fingerprint, Suspect]) -> None:
        """Take the fingerprints with strikes."""
        self.suspects = suspects

    def refusal_reason(self, fingerprint: Fingerprint) -> Reason | None:
        """Return why a call must not start here now, or None."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.quarantined:
            return Reason.QUARANTINED
        busy = any(row.fingerprint == fingerprint for row in self.running.values())
        return Reason.SUSPECTED if busy or suspect.trial != self.me else None

    def started(self, call_id: CallId, call: InFlightCall) -> None:
        """Count a call that starts."""
        self.running[call_id] = call

    def ended(self, call_id: CallId) -> None:
        """Count a call that ended."""
        self.running.pop(call_id, None)
