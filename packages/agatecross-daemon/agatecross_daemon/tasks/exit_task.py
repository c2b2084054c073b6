"""Owns the connections to the upstream next to this daemon and starts calls on it."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from agatecross_adapters.header_names import HeaderNames
from agatecross_adapters.upstream_connection import Failure
from agatecross_adapters.upstream_http import Sending, Unreachable, UpstreamPool
from agatecross_core.admission.slot_queue import Refuse, SlotQueue, Start, Waiting
from agatecross_core.ids import (
    ZERO_MS,
    Address,
    DaemonId,
    HandoverId,
    Incarnation,
    InstanceId,
    Millis,
)
from agatecross_core.members.announcement import Announcements, Heartbeat
from agatecross_core.members.leave_replies import LeaveReplies
from agatecross_core.members.records import Strike
from agatecross_core.quarantine.model import relay_fingerprint
from agatecross_core.relay.answers import judge
from agatecross_core.relay.ledger import Ledger
from agatecross_core.relay.model import (
    Handover,
    RelayResponse,
    RelayResult,
    Repeat,
    lost,
    refused,
)
from agatecross_core.states import Reason, UpstreamState

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import (
    CancelHandover,
    DrainsLoaded,
    DrainStored,
    HeartbeatReceived,
    LeaveReceived,
    OwnEndpointChanged,
    ResultReceiver,
    ResumeHandover,
    RunHandover,
    StrikesReported,
)

ExitMessage = (
    RunHandover
    | CancelHandover
    | ResumeHandover
    | DrainsLoaded
    | DrainStored
    | HeartbeatReceived
    | LeaveReceived
)
# A starting daemon believes no heartbeat before it knows the drains that it confirmed earlier, or
# this time passed. The store answers in a few ms; without it, an earlier confirmation of a daemon
# whose peers are all gone is lost.
DRAINS_PATIENCE = Millis(1_000)
TICK_SECONDS = 0.1
# An upstream that missed this many heartbeats no longer gets calls.
MISSED_HEARTBEATS = 4
# A refused connection is tried again after this time, if no heartbeat comes before.
DOWN_TIME = Millis(1_000)
# A crash resets every connection at once; a refused connection within this time confirms it.
DEATH_WINDOW = Millis(1_500)

# What a failure after the request was written tells the caller.
FAILURE_REASONS = {
    Failure.CONNECTION_LOST: Reason.CONNECTION_LOST,
    Failure.MALFORMED: Reason.BAD_ANSWER,
    Failure.TOO_LARGE: Reason.ANSWER_TOO_LARGE,
    Failure.TOO_LATE: Reason.TIMEOUT,
}


@dataclass(slots=True)
class ExitCall:
    """A call that waits or runs; `reply` is None after it was answered."""

    handover: Handover
    deadline: Millis
    reply: ResultReceiver | None
    sending: Sending | None = None
    timer: asyncio.TimerHandle | None = None


class ExitTask:
    """Admits calls to the upstream, in order of importance, each at most once."""

    def __init__(
        self,
        daemon_id: DaemonId,
        mailbox: DirectMailbox[ExitMessage],
        announcements: Announcements,
        heartbeat_period: Millis,
        names: HeaderNames,
        peers: Sender[OwnEndpointChanged | StrikesReported],
        log: DecisionLog,
    ) -> None:
        self.daemon_id = daemon_id
        self.mailbox = mailbox
        mailbox.set_handler(self._handle)
        self.announcements = announcements
        self.lease = Millis(heartbeat_period * MISSED_HEARTBEATS)
        self.names = names
        self.peers = peers
        self.log = log
        self.queue = SlotQueue()
        self.ledger = Ledger()
        self.calls: dict[HandoverId, ExitCall] = {}
        self.pool = UpstreamPool(Address(announcements.address), names, self._unreachable)
        self.instance: InstanceId | None = None
        self.state = UpstreamState.STARTING
        self.down_until = Millis(0)
        self.cut_off: list[tuple[Millis, Handover]] = []
        self.started_at = monotonic_ms()
        self.believing = False
        self.early: list[Heartbeat] = []
        self.leave_replies = LeaveReplies()
        self.leaving = False

    async def run(self) -> None:
        """Expire the lease of a silent upstream until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                self._tick(monotonic_ms())
        finally:
            self.pool.close()

    @property
    def pending(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self.calls)

    @property
    def latest_deadline(self) -> Millis:
        """Return when the last call that waits or runs is over."""
        return max((call.deadline for call in self.calls.values()), default=ZERO_MS)

    def leave(self) -> None:
        """Refuse new calls, as the daemon is stopping."""
        self.leaving = True

    def refuse_waiting(self) -> None:
        """Refuse the calls that no longer get a slot, as the drain is over."""
        self._act(self.queue.clear(Reason.LEAVING))

    def _handle(self, message: ExitMessage) -> None:
        match message:
            case RunHandover(handover, reply):
                self._hand_over(handover, reply)
            case CancelHandover(handover_id):
                self._cancel(handover_id)
            case ResumeHandover(handover_id, reply):
                self._resume(handover_id, reply)
            case DrainsLoaded():
                self._believe()
            case HeartbeatReceived(beat):
                if self.believing:
                    self._heartbeat(beat)
                else:
                    self.early.append(beat)
            case DrainStored(instance, born):
                self.leave_replies.drain_kept((instance, born))
            case LeaveReceived():
                self._leave(message)

    def _hand_over(self, handover: Handover, reply: ResultReceiver) -> None:
        now = monotonic_ms()
        if not self.ledger.accept(handover.handover_id, now):
            self._resume(handover.handover_id, reply)
            return
        reason = self._gate(handover, now)
        if reason is not None:
            result = refused(reason, self.queue.load, self.queue.slots)
            self.ledger.finish(handover.handover_id, result)
            reply(handover.handover_id, result)
            return
        deadline = Millis(now + handover.left)
        call = ExitCall(handover, deadline, reply)
        self.calls[handover.handover_id] = call
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(handover.left / 1000, self._timed_out, handover.handover_id)
        objective = Millis(now + handover.objective_left)
        waiting = Waiting(handover.handover_id, handover.route, handover.rank, objective, deadline)
        self._act(self.queue.arrived(waiting, now))

    def _gate(self, handover: Handover, now: Millis) -> Reason | None:
        if self.leaving or self.state is UpstreamState.DRAINING:
            return Reason.LEAVING
        if self.instance is None or self.state is not UpstreamState.READY or now < self.down_until:
            return Reason.NO_UPSTREAM
        if handover.instance != self.instance:
            return Reason.WRONG_INSTANCE
        return None

    def _act(self, actions: Iterable[Start | Refuse]) -> None:
        for action in list(actions):
            call = self.calls.get(action.handover_id)
            if call is None:
                continue
            if isinstance(action, Refuse):
                self._answer(call, refused(action.reason))
                self._forget(call)
            else:
                self._start(call)

    def _start(self, call: ExitCall) -> None:
        left = Millis(call.deadline - monotonic_ms())
        call.sending = self.pool.send(call.handover, left, lambda done: self._done(call, done))

    def _done(self, call: ExitCall, done: RelayResponse | Failure) -> None:
        now = monotonic_ms()
        if done is Failure.CONNECTION_LOST and call.reply is not None:
            self._note_cut_off(call, now)
        result = self._result(call, done)
        learn = result.response is not None and call.reply is not None
        self.queue.finished(call.handover.handover_id, now, learn)
        self._answer(call, result)
        self._forget(call)
        self._act(self.queue.next(now))

    def _note_cut_off(self, call: ExitCall, now: Millis) -> None:
        """Remember a call whose connection was lost, and look whether the upstream is alive."""
        self.cut_off = [row for row in self.cut_off if now - row[0] < DEATH_WINDOW]
        self.cut_off.append((now, call.handover))
        if not self.pool.connections and not self.pool.dialing:
            self.pool.probe()

    def _result(self, call: ExitCall, done: RelayResponse | Failure) -> RelayResult:
        if isinstance(done, RelayResponse):
            return judge(done, self.names.stamp, self.names.not_run)
        if done is Failure.NOT_CONNECTED:
            return refused(Reason.CONNECT_FAILED)
        return lost(FAILURE_REASONS[done])

    def _answer(self, call: ExitCall, result: RelayResult) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        whole = RelayResult(
            result.outcome,
            result.reason,
            result.response,
            result.arrived,
            self.queue.load,
            self.queue.slots,
            Millis(self.queue.costs.get(call.handover.route, 0.0)),
        )
        self.ledger.finish(call.handover.handover_id, whole)
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
                read=call.sending.bytes_read if call.sending is not None else 0,
            )
        reply, call.reply = call.reply, None
        if reply is not None:
            reply(call.handover.handover_id, whole)

    def _forget(self, call: ExitCall) -> None:
        self.calls.pop(call.handover.handover_id, None)

    def _timed_out(self, handover_id: HandoverId) -> None:
        call = self.calls.get(handover_id)
        if call is None:
            return
        if call.sending is None:
            self.queue.cancel(handover_id)
            self._answer(call, refused(Reason.DEADLINE))
            self._forget(call)
            return
        self._answer(call, lost(Reason.TIMEOUT))
        self._stop(call)
        if call.handover.repeat is Repeat.ONCE:
            call.sending.give_up()

    def _cancel(self, handover_id: HandoverId) -> None:
        call = self.calls.get(handover_id)
        if call is None:
            return
        call.reply = None
        if call.sending is None:
            self.queue.cancel(handover_id)
            self._answer(call, refused(Reason.CANCELLED))
            self._forget(call)
        else:
            self._stop(call)

    def _stop(self, call: ExitCall) -> None:
        # A call that must not run twice goes on: its result may still be asked for.
        if call.sending is not None and call.handover.repeat is Repeat.SAFE:
            call.sending.stop()

    def _resume(self, handover_id: HandoverId, reply: ResultReceiver) -> None:
        result = self.ledger.resume(handover_id, monotonic_ms())
        if result is not None:
            reply(handover_id, result)
            return
        call = self.calls.get(handover_id)
        if call is not None:
            call.reply = reply

    def _believe(self) -> None:
        """Take the heartbeats that came before the drains of earlier were known."""
        self.believing = True
        early, self.early = self.early, []
        for beat in early:
            self._heartbeat(beat)

    def _heartbeat(self, beat: Heartbeat) -> None:
        now = monotonic_ms()
        if not self.announcements.heartbeat(beat, now):
            self.log.write_change(
                "heartbeat_ignored", instance=beat.instance, sequence=beat.sequence
            )
            return
        left = (beat.instance, beat.born) in self.announcements.left
        state = UpstreamState.DRAINING if left else beat.state
        self.down_until = Millis(0)
        self.queue.slots = beat.slots
        self._describe(beat.instance, state, beat)

    def _leave(self, leave: LeaveReceived) -> None:
        start = self.announcements.leave(leave.instance, leave.born)
        if start is None:
            # Of an upstream that another one replaced, which gets no work; without a start time, of
            # nobody that is known, and nothing would bind.
            if leave.reply is not None:
                leave.reply(leave.born is not None)
            return
        if leave.reply is not None:
            self.leave_replies.wait(start, leave.reply, monotonic_ms())
        elif (self.instance, self.state) == (start[0], UpstreamState.DRAINING):
            # Every peer tells it.
            return
        if start not in self.leave_replies.kept:
            # A repeated leave is described again: that starts a new attempt to keep the drain.
            self._change(start[0], UpstreamState.DRAINING, {"born": start[1]})

    def _describe(self, instance: InstanceId, state: UpstreamState, beat: Heartbeat) -> None:
        if instance != self.instance or state is not self.state:
            changes: dict[str, object] = {"born": beat.born, "slots": beat.slots, "cold": beat.cold}
            self._change(instance, state, changes)

    def _change(
        self, instance: InstanceId, state: UpstreamState, changes: dict[str, object]
    ) -> None:
        self.log.write_change(
            "upstream_changed", instance=instance, state=state.value, was=self.state.value
        )
        self.instance, self.state = instance, state
        if state is UpstreamState.DRAINING:
            self._act(self.queue.clear(Reason.LEAVING))
        self.peers.put(OwnEndpointChanged({"instance": instance, "state": state, **changes}))

    def _unreachable(self, how: Unreachable) -> None:
        now = monotonic_ms()
        if how is Unreachable.REFUSED:
            self._died(now)
        if now >= self.down_until:
            self.log.write_change(
                "upstream_unreachable", instance=self.instance or "", how=how.value
            )
        self.down_until = Millis(now + DOWN_TIME)
        self._act(self.queue.clear(Reason.NO_UPSTREAM))

    def _died(self, now: Millis) -> None:
        """Report the calls that were running when the upstream crashed."""
        rows = [handover for at, handover in self.cut_off if now - at < DEATH_WINDOW]
        self.cut_off.clear()
        current = self.announcements.current
        if not rows or current is None:
            return
        died = Incarnation(current.born)
        strikes = tuple(
            Strike(relay_fingerprint(row.service, row.request), self.daemon_id, died)
            for row in rows
        )
        self.log.write_change("upstream_died", instance=self.instance or "", running=len(rows))
        self.peers.put(StrikesReported(strikes))

    def _tick(self, now: Millis) -> None:
        if not self.believing and now - self.started_at > DRAINS_PATIENCE:
            self.log.write_change("drains_unknown", drain_ms=int(now - self.started_at))
            self._believe()
        silent = now - self.announcements.heard_at > self.lease
        current = self.announcements.current
        if silent and current is not None and self.state is UpstreamState.READY:
            self._describe(current.instance, UpstreamState.STARTING, current)
        self.leave_replies.expire(now)
        self._act(self.queue.next(now))
