"""Runs whose end is unknown, one of which may have crashed the upstream."""

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import DaemonId, Fingerprint, Incarnation, Millis
from ..members.records import Strike
from ..relay.model import Handover
from .model import relay_fingerprint
from .report import CrashReport

# A crash resets all connections at once; a refused connection within this time confirms the crash.
CRASH_WINDOW = Millis(1_500)
# An upstream that crashes is back after some seconds. If no connection was refused meanwhile, its
# later start confirms the crash.
RESTART_WINDOW = Millis(10_000)
MAX_LOST_CALLS = 512
# A request that is run less often than once in so many is rarely running at two deaths.
MAX_COMPLETED = 4_096


@dataclass(frozen=True, slots=True)
class LostCall:
    """A run without a complete response; `reset` tells that the upstream ended its connection."""

    at: Millis
    fingerprint: Fingerprint
    key: int
    in_trial: bool
    reset: bool


class LostCalls:
    """The calls that the upstream next to a daemon may have been running when it crashed.

    A request that completed here since the last death does not crash upstreams.
    """

    def __init__(self, daemon_id: DaemonId) -> None:
        """Start without calls."""
        self.daemon_id = daemon_id
        self.calls: list[LostCall] = []
        self.completed: OrderedDict[int, None] = OrderedDict()

    def record_completion(self, handover: Handover) -> None:
        """Record a run with a served response."""
        key = _request_key(handover)
        self.completed[key] = None
        self.completed.move_to_end(key)
        if len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)

    def record(
        self, handover: Handover, now: Millis, *, in_trial: bool = False, reset: bool = True
    ) -> None:
        """Record a run without a complete response, whoever still waits for it."""
        self._drop_old(now)
        fingerprint = relay_fingerprint(handover.service, handover.request)
        key = _request_key(handover)
        self.calls.append(LostCall(now, fingerprint, key, in_trial, reset))

    def may_have_crashed(self, now: Millis) -> bool:
        """Return whether a connection that is lost now may be a sign of a crash."""
        return any(now - call.at < CRASH_WINDOW for call in self.calls)

    def awaits_trial(self, fingerprint: Fingerprint, now: Millis) -> bool:
        """Return whether a trial may have crashed the upstream, which is not known yet."""
        self._drop_old(now)
        return any(call.in_trial and call.fingerprint == fingerprint for call in self.calls)

    def connection_refused(self, died: Incarnation, now: Millis) -> CrashReport:
        """Return strikes for the recent runs, as nothing listens any more."""
        calls, self.calls = self.calls, []
        return self._report([call for call in calls if now - call.at < CRASH_WINDOW], died)

    def upstream_restarted(self, died: Incarnation, now: Millis) -> CrashReport:
        """Return strikes for the runs that the earlier start broke off, as a later one is there."""
        calls, self.calls = self.calls, []
        return self._report(
            [call for call in calls if call.reset and now - call.at < RESTART_WINDOW], died
        )

    def upstream_announced(self, now: Millis) -> None:
        """Forget runs that the upstream has survived, as it is still the same start."""
        self.calls = [call for call in self.calls if now - call.at < CRASH_WINDOW]

    def _report(self, calls: list[LostCall], died: Incarnation) -> CrashReport:
        blamed = [call for call in calls if call.key not in self.completed]
        # A completion counts once: what ran at this death as well must complete again.
        for call in calls:
            self.completed.pop(call.key, None)
        fingerprints = dict.fromkeys(call.fingerprint for call in blamed)
        condemned = dict.fromkeys(call.fingerprint for call in blamed if call.in_trial)
        strikes = (Strike(fingerprint, self.daemon_id, died) for fingerprint in fingerprints)
        return CrashReport(tuple(strikes), tuple(condemned))

    def _drop_old(self, now: Millis) -> None:
        # Only a run that the upstream broke off can be blamed on a later start.
        kept = [
            call
            for call in self.calls
            if now - call.at < (RESTART_WINDOW if call.reset else CRASH_WINDOW)
        ]
        self.calls = kept[-MAX_LOST_CALLS:]


def _request_key(handover: Handover) -> int:
    """Return a key that costs less than a fingerprint, as each completion needs one."""
    request = handover.request
    return hash((handover.service, request.method, request.target, request.body))
