"""Owns the connections to the upstream next to this daemon and starts calls on it."""

import asyncio
from collections.abc import Iterable

from agatecross_adapters.header_names import HeaderNames
from agatecross_adapters.upstream_connection import UNSENT_FAILURES, UpstreamFailure
from agatecross_adapters.upstream_pool import ConnectFailure, UpstreamExchange, UpstreamPool
from agatecross_core.admission.rate_limit import RateLimit
from agatecross_core.admission.slot_queue import (
    CallAwaitingSlot,
    RefuseHandover,
    SlotQueue,
    StartHandover,
)
from agatecross_core.ids import (
    ZERO_MS,
    Address,
    DaemonId,
    HandoverId,
    InstanceId,
    Millis,
)
from agatecross_core.members.heartbeat_filter import Heartbeat, HeartbeatFilter
from agatecross_core.members.leave_replies import LeaveReplies
from agatecross_core.pauses import PAUSE_TICK_PERIOD, PauseClock
from agatecross_core.quarantine.death_watch import DeathWatch
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.relay.ledger import Ledger
from agatecross_core.relay.model import (
    Handover,
    RelayResponse,
    RelayResult,
    Repeat,
    not_run_result,
    unknown_result,
)
from agatecross_core.relay.response_notices import read_notices
from agatecross_core.states import Reason, UpstreamState

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, boottime_ms, monotonic_ms
from ..relay_messages import (
    CancelHandover,
    CrashesReported,
    DrainLost,
    DrainsLoaded,
    DrainStored,
    HeartbeatReceived,
    LeaveReceived,
    OwnEndpointChanged,
    ResultReceiver,
    ResumeHandover,
    RunHandover,
    UpstreamMessage,
    UpstreamRequestRefused,
)
from ..upstream_reports import UpstreamReports
from .exit_call import ExitCall, relay_result, run_end
from .listen_probe import ListenProbe
from .start_timer import StartTimer

ExitMessage = (
    RunHandover
    | CancelHandover
    | ResumeHandover
    | DrainsLoaded
    | DrainStored
    | DrainLost
    | UpstreamMessage
    | CrashesReported
)
# A starting daemon defers heartbeats until it has read the drains that it confirmed earlier, or
# until this time has passed. The store answers within a few ms; without its answer, the daemon
# learns these drains only from peers, and never if all of them are gone.
DRAINS_READ_TIMEOUT = Millis(1_000)
# An upstream that misses this many heartbeats gets no more calls.
MISSED_HEARTBEATS_LIMIT = 4
# Calls are refused for this time after a failed connection, unless a heartbeat arrives earlier.
UNREACHABLE_BACKOFF = Millis(1_000)


class ExitTask:
    """Admits calls to the upstream, in order of importance, each at most once."""

    def __init__(
        self,
        daemon_id: DaemonId,
        mailbox: DirectMailbox[ExitMessage],
        heartbeat_filter: HeartbeatFilter,
        heartbeat_period: Millis,
        names: HeaderNames,
        peers: Sender[OwnEndpointChanged | CrashesReported],
        pauses: PauseClock,
        log: DecisionLog,
        reports: UpstreamReports,
    ) -> None:
        self.pauses = pauses
        self.reports = reports
        self.mailbox = mailbox
        mailbox.set_handler(self._handle)
        self.heartbeat_filter = heartbeat_filter
        self.lease = Millis(heartbeat_period * MISSED_HEARTBEATS_LIMIT)
        self.names = names
        self.peers = peers
        self.log = log
        self.queue = SlotQueue()
        self.start_timer = StartTimer(self.queue, self._start_waiting_calls)
        self.listen_probe = ListenProbe(self._probe_listener)
        self.ledger = Ledger()
        self.calls: dict[HandoverId, ExitCall] = {}
        self.pool = UpstreamPool(
            Address(heartbeat_filter.address), names, self._on_unreachable, self._on_reset
        )
        self.instance: InstanceId | None = None
        self.state = UpstreamState.STARTING
        self.unreachable_until = Millis(0)
        self.death_watch = DeathWatch(daemon_id)
        self.started_at = monotonic_ms()
        self.heartbeats_enabled = False
        self.early_heartbeats: list[Heartbeat] = []
        self.leave_replies = LeaveReplies()
        self.leaving = False

    async def run(self) -> None:
        """Expire the lease of a silent upstream and start waiting calls, until cancelled."""
        try:
            while True:
                await asyncio.sleep(PAUSE_TICK_PERIOD / 1000)
                self.pauses.tick(boottime_ms())
                self._tick(monotonic_ms())
        finally:
            self.pool.close()

    @property
    def pending(self) -> int:
        """Return the number of waiting and running calls."""
        return len(self.calls)

    @property
    def latest_deadline(self) -> Millis:
        """Return the latest deadline of the waiting and running calls, or 0 without any."""
        return max((call.deadline for call in self.calls.values()), default=ZERO_MS)

    def leave(self) -> None:
        """Refuse new calls, because the daemon is stopping."""
        self.leaving = True

    def refuse_waiting_calls(self) -> None:
        """Refuse the calls that still wait for a slot, because the drain is over."""
        self._execute_actions(self.queue.refuse_all(Reason.LEAVING))

    def _handle(self, message: ExitMessage) -> None:
        match message:
            case RunHandover(handover, reply):
                self._handle_handover(handover, reply)
            case CancelHandover(handover_id):
                self._cancel_call(handover_id)
            case ResumeHandover(handover_id, reply):
                self._resume_call(handover_id, reply)
            case DrainsLoaded():
                self._enable_heartbeats()
            case HeartbeatReceived(heartbeat):
                if self.heartbeats_enabled:
                    self._handle_heartbeat(heartbeat)
                else:
                    self.early_heartbeats.append(heartbeat)
            case DrainStored(instance, born):
                self.leave_replies.drain_stored((instance, born))
            case DrainLost(instance, born):
                self.leave_replies.drain_lost((instance, born))
            case LeaveReceived():
                self._handle_leave(message)
            case UpstreamRequestRefused(request, instance, reason):
                self.reports.request_refused(request, instance, reason)
            case CrashesReported(report):
                self.death_watch.suspects.add(report, monotonic_ms())

    def _handle_handover(self, handover: Handover, reply: ResultReceiver) -> None:
        now = monotonic_ms()
        if not self.ledger.accept(handover.handover_id, now):
            self._resume_call(handover.handover_id, reply)
            return
        # What was sent to a paused daemon is older than it says.
        waited = self.pauses.waited(boottime_ms())
        time_left = Millis(handover.time_left - waited)
        reason = self._refusal_reason(handover, now)
        if reason is None and time_left <= 0:
            reason = Reason.DEADLINE
        if reason is None:
            reason = self.death_watch.admit(handover, now)
        if reason is not None:
            result = not_run_result(reason, self.queue.load, self.queue.capacity)
            self.ledger.finish(handover.handover_id, result, now)
            reply(handover.handover_id, result)
            return
        self.queue.limit.suggest(handover.upstream_limit, now)
        deadline = Millis(now + time_left)
        call = ExitCall(handover, deadline, reply)
        self.calls[handover.handover_id] = call
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(time_left / 1000, self._on_deadline, handover.handover_id)
        objective = Millis(now + handover.objective_time_left - waited)
        waiting = CallAwaitingSlot(
            handover.handover_id,
            handover.route,
            handover.rank,
            objective,
            deadline,
            handover.customer,
        )
        self._execute_actions(self.queue.admit(waiting, now))

    def _refusal_reason(self, handover: Handover, now: Millis) -> Reason | None:
        if self.leaving or self.state is UpstreamState.DRAINING:
            return Reason.LEAVING
        if (
            self.instance is None
            or self.state is not UpstreamState.READY
            or now < self.unreachable_until
        ):
            return Reason.NO_UPSTREAM
        if handover.instance != self.instance:
            return Reason.WRONG_INSTANCE
        return None

    def _execute_actions(self, actions: Iterable[StartHandover | RefuseHandover]) -> None:
        for action in list(actions):
            call = self.calls.get(action.handover_id)
            if call is None:
                continue
            if isinstance(action, RefuseHandover):
                self._answer(call, not_run_result(action.reason))
                self._remove_call(call)
            else:
                self._start(call)
        self.start_timer.schedule(monotonic_ms())

    def _start_waiting_calls(self) -> None:
        self._execute_actions(self.queue.start_waiting(monotonic_ms()))

    def _start(self, call: ExitCall) -> None:
        left = Millis(call.deadline - monotonic_ms())
        call.exchange = self.pool.send(
            call.handover, left, lambda done: self._on_upstream_result(call, done)
        )

    def _on_upstream_result(self, call: ExitCall, done: RelayResponse | UpstreamFailure) -> None:
        now = monotonic_ms()
        result = relay_result(done, self.names)
        if done not in UNSENT_FAILURES:
            end = run_end(call, done, result)
            self._report_crashes(self.death_watch.run_ended(call.handover, end, now))
        if isinstance(done, RelayResponse) and call.handover.instance == self.instance:
            self._read_notices(call, done, result, now)
        is_typical = result.response is not None and call.reply is not None
        self.queue.finish(call.handover.handover_id, now, is_typical)
        self._answer(call, result)
        self._remove_call(call)
        self._execute_actions(self.queue.start_waiting(now))

    def _read_notices(
        self, call: ExitCall, response: RelayResponse, result: RelayResult, now: Millis
    ) -> None:
        """Obey the limit and the leave that a response of the current instance announces."""
        if result.reason not in (None, Reason.SHED):
            # A spoilt response, or one of another instance at the address.
            return
        notices = read_notices(response.headers, self.names.limit, self.names.leaving)
        limit = self.queue.limit
        was = limit.rate
        limit.read_answer(notices.limit, now)
        if limit.rate != was:
            self.log.write_change(
                "upstream_limit_changed", instance=self.instance or "", limit=limit.rate, was=was
            )
        if limit.rate < was:
            self._execute_actions(self.queue.refuse_beyond_limit(now))
        if notices.leaving and self.state is not UpstreamState.DRAINING:
            self._handle_leave(LeaveReceived(call.handover.instance, None))

    def _on_reset(self) -> None:
        """Learn whether the upstream still listens, if it may have been crashed by a run."""
        if self.death_watch.lost_calls.may_have_crashed(monotonic_ms()):
            self.listen_probe.schedule(monotonic_ms())

    def _probe_listener(self) -> None:
        may_have_crashed = self.death_watch.lost_calls.may_have_crashed(monotonic_ms())
        if may_have_crashed and not self.pool.dial_tasks:
            self.pool.open_spare_connection()

    def _answer(self, call: ExitCall, result: RelayResult) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        full_result = RelayResult(
            result.outcome,
            result.reason,
            result.response,
            result.reached_upstream,
            self.queue.load,
            self.queue.capacity,
            Millis(self.queue.costs.get(call.handover.route, 0.0)),
        )
        self.ledger.finish(call.handover.handover_id, full_result, monotonic_ms())
        if result.reason is not None:
            self.log.write_failed_call(
                "handover_failed",
                call_id=call.handover.call_id,
                service=call.handover.service,
                instance=call.handover.instance,
                outcome=result.outcome.value,
                reason=result.reason.value,
                load=self.queue.load,
                left_ms=int(call.deadline - monotonic_ms()),
                read=call.exchange.bytes_read if call.exchange is not None else 0,
            )
        reply, call.reply = call.reply, None
        if reply is not None:
            reply(call.handover.handover_id, full_result)

    def _remove_call(self, call: ExitCall) -> None:
        self.calls.pop(call.handover.handover_id, None)
        self.death_watch.call_removed(call.handover.handover_id)

    def _on_deadline(self, handover_id: HandoverId) -> None:
        call = self.calls.get(handover_id)
        if call is None:
            return
        if call.exchange is None:
            self.queue.cancel(handover_id)
            self._answer(call, not_run_result(Reason.DEADLINE))
            self._remove_call(call)
            return
        if not call.exchange.bytes_read:
            self._report_silence(call.exchange)
        self._answer(call, unknown_result(Reason.TIMEOUT))
        self._stop_if_safe(call)
        if call.handover.repeat is Repeat.ONCE:
            call.exchange.mark_late()

    def _report_silence(self, exchange: UpstreamExchange) -> None:
        """Close the idle connections that may be silent like the one of a run without a byte."""
        self.reports.connections_silent(self.instance, exchange.close_older_connections())

    def _cancel_call(self, handover_id: HandoverId) -> None:
        call = self.calls.get(handover_id)
        if call is None:
            # A long handover may arrive after its cancellation, and must not run then.
            self.ledger.resume(handover_id, monotonic_ms())
            return
        call.reply = None
        if call.exchange is None:
            self.queue.cancel(handover_id)
            self._answer(call, not_run_result(Reason.CANCELLED))
            self._remove_call(call)
        else:
            self._stop_if_safe(call)

    def _stop_if_safe(self, call: ExitCall) -> None:
        # A call that must not run twice continues, because its result may still be requested.
        if call.exchange is not None and call.handover.repeat is Repeat.SAFE:
            call.exchange.cancel()

    def _resume_call(self, handover_id: HandoverId, reply: ResultReceiver) -> None:
        result = self.ledger.resume(handover_id, monotonic_ms())
        if result is not None:
            reply(handover_id, result)
            return
        call = self.calls.get(handover_id)
        if call is not None:
            call.reply = reply

    def _enable_heartbeats(self) -> None:
        """Start accepting heartbeats, beginning with those that were deferred."""
        self.heartbeats_enabled = True
        early, self.early_heartbeats = self.early_heartbeats, []
        for heartbeat in early:
            self._handle_heartbeat(heartbeat)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = monotonic_ms()
        previous = self.heartbeat_filter.current
        if not self.heartbeat_filter.accept(heartbeat, now):
            self.log.write_change(
                "heartbeat_ignored", instance=heartbeat.instance, sequence=heartbeat.sequence
            )
            return
        is_leaving = (heartbeat.instance, heartbeat.born) in self.heartbeat_filter.leaving_starts
        state = UpstreamState.DRAINING if is_leaving else heartbeat.state
        self.unreachable_until = Millis(0)
        self.queue.slots = heartbeat.slots
        if previous is not None and previous.start != heartbeat.start:
            self.queue.limit = RateLimit()
        if previous is not None:
            self._report_crashes(
                self.death_watch.upstream_announced(previous.born, heartbeat.born, now)
            )
        self._update_upstream(heartbeat.instance, state, heartbeat)

    def _handle_leave(self, leave: LeaveReceived) -> None:
        start = self.heartbeat_filter.leave(leave.instance, leave.born)
        if start is None:
            # Confirm the leave of an upstream that was replaced, since it gets no calls. A leave
            # without a start time matches no known upstream and has no effect, so don't confirm it.
            if leave.reply is not None:
                leave.reply(leave.born is not None)
            return
        if leave.reply is not None:
            self.leave_replies.reply_when_stored(start, leave.reply, monotonic_ms())
        elif (self.instance, self.state) == (start[0], UpstreamState.DRAINING):
            # Every peer reports the same earlier drain; only the first report has an effect.
            return
        if start not in self.leave_replies.stored:
            # A repeated leave is published again, which starts a new attempt to store the drain.
            self._set_upstream_state(start[0], UpstreamState.DRAINING, {"born": start[1]})

    def _update_upstream(
        self, instance: InstanceId, state: UpstreamState, heartbeat: Heartbeat
    ) -> None:
        if instance != self.instance or state is not self.state:
            changes: dict[str, object] = {
                "born": heartbeat.born,
                "slots": heartbeat.slots,
                "cold": heartbeat.cold,
            }
            self._set_upstream_state(instance, state, changes)

    def _set_upstream_state(
        self, instance: InstanceId, state: UpstreamState, changes: dict[str, object]
    ) -> None:
        self.log.write_change(
            "upstream_changed", instance=instance, state=state.value, was=self.state.value
        )
        self.instance, self.state = instance, state
        if state is UpstreamState.DRAINING:
            self._execute_actions(self.queue.refuse_all(Reason.LEAVING))
        self.peers.put(OwnEndpointChanged({"instance": instance, "state": state, **changes}))

    def _on_unreachable(self, how: ConnectFailure) -> None:
        now = monotonic_ms()
        if how is ConnectFailure.REFUSED:
            current = self.heartbeat_filter.current
            if current is not None:
                self._report_crashes(self.death_watch.connection_refused(current.born, now))
        if now >= self.unreachable_until:
            self.log.write_change(
                "upstream_unreachable", instance=self.instance or "", how=how.value
            )
        self.unreachable_until = Millis(now + UNREACHABLE_BACKOFF)
        self._execute_actions(self.queue.refuse_all(Reason.NO_UPSTREAM))

    def _report_crashes(self, report: CrashReport) -> None:
        """Tell all daemons which requests ran when the upstream died, or are cleared of that."""
        if not report:
            return
        if report.strikes:
            self.log.write_change(
                "upstream_died", instance=self.instance or "", running=len(report.strikes)
            )
        self.peers.put(CrashesReported(report))

    def _tick(self, now: Millis) -> None:
        if not self.heartbeats_enabled and now - self.started_at > DRAINS_READ_TIMEOUT:
            self.log.write_change("drains_not_read", waited_ms=int(now - self.started_at))
            self._enable_heartbeats()
        silent = now - self.heartbeat_filter.received_at > self.lease
        current = self.heartbeat_filter.current
        if silent and current is not None and self.state is UpstreamState.READY:
            self._update_upstream(current.instance, UpstreamState.STARTING, current)
        self.leave_replies.expire(now)
        self._start_waiting_calls()
