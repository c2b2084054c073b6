"""Distributes strikes and clearances; belongs to the call task."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import replace

from agatecross_core.calls.flow import Chooser
from agatecross_core.constants import MAX_STRIKE_NOTICES, STRIKE_NOTICE_TIMEOUT
from agatecross_core.ids import DaemonId, Fingerprint, Incarnation, ServiceName
from agatecross_core.members.records import Clearance, Member, Strike
from agatecross_core.members.view import FleetView
from agatecross_core.quarantine.model import (
    InFlightCall,
    QuarantineRow,
    StrikeAck,
    StrikeNotice,
    SuspectedRequest,
)
from agatecross_core.quarantine.strikes import StrikeTable
from agatecross_core.quarantine.trial import select_trial_daemon
from agatecross_core.routing.model import Candidate, ChoiceRequest

from ..events import log_warning
from ..mailbox import Ask, Sender, monotonic_ms
from ..messages import (
    BroadcastStrikes,
    GossipReceived,
    LiftQuarantine,
    ListQuarantine,
    SuspectsChanged,
    UpstreamDied,
)
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks
from .upstream_task import DeathAsk

ListAsk = Ask[ListQuarantine, tuple[QuarantineRow, ...]]
LiftAsk = Ask[LiftQuarantine, bool]
QuarantineMessage = GossipReceived | DeathAsk | ReceivedAsk | ListAsk | LiftAsk


class QuarantineDriver:
    """Updates the strike table and notifies peers and the upstream task of changes."""

    def __init__(
        self,
        own_member: Member,
        members: Sender[BroadcastStrikes],
        control: Sender[ControlAsk],
        upstream: Sender[SuspectsChanged],
    ) -> None:
        self.own_member = own_member
        self.members = members
        self.control = control
        self.upstream = upstream
        self.table = StrikeTable()
        self.view = FleetView()
        self.last_death_ms = 0
        self.subtasks = Subtasks()

    def handle(self, message: QuarantineMessage) -> None:
        """Handle a message about strikes or the quarantine."""
        if isinstance(message, GossipReceived):
            self._merge_reports(message.strikes, message.clearances)
            return
        match message.payload:
            case UpstreamDied(calls):
                self.subtasks.start(self._handle_death(message, calls))
            case ListQuarantine():
                message.answer(tuple(self.table.rows(monotonic_ms())))
            case LiftQuarantine(fingerprint):
                message.answer(self.clear_fingerprint(fingerprint))
            case received:
                notice = received.message
                assert isinstance(notice, StrikeNotice)
                self._merge_reports(notice.strikes, notice.clearances)
                message.answer(StrikeAck(len(notice.strikes)))

    def view_changed(self, view: FleetView, own_member: Member) -> None:
        """Update the members, from which the trial member of a suspected request is selected."""
        self.view, self.own_member = view, own_member
        if self.table.records:
            self._notify_upstream_task()

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether calls with this fingerprint are refused."""
        return self.table.quarantined(fingerprint, monotonic_ms())

    def clear_fingerprint(self, fingerprint: Fingerprint) -> bool:
        """Clear a fingerprint here and at the peers; return whether it had strikes."""
        clearances = (Clearance(fingerprint, self.table.deaths(fingerprint)),)
        if not self._merge_reports((), clearances):
            return False
        self.members.put(BroadcastStrikes((), clearances))
        self.subtasks.start(self._notify_peers(StrikeNotice(self.own_member, (), clearances)))
        return True

    def restrict_chooser(self, fingerprint: Fingerprint, path: str, chooser: Chooser) -> Chooser:
        """Return a chooser that sends a suspected request to its trial member only."""

        def choose(request: ChoiceRequest) -> Candidate | None:
            now = monotonic_ms()
            if self.table.quarantined(fingerprint, now):
                return None
            if not self.table.suspected(fingerprint, now):
                return chooser(request)
            self.table.record_path(fingerprint, path)
            trial = self._trial_member(fingerprint, request.service)
            if trial is None or trial in request.tried:
                return None
            others = [
                m.daemon_id for m in self._serving_members(request.service) if m.daemon_id != trial
            ]
            chosen = chooser(replace(request, tried=tuple(others)))
            # The chooser avoids the members in `tried` only if another choice exists.
            return chosen if chosen and chosen.member.daemon_id == trial else None

        return choose

    def close(self) -> None:
        """Cancel the running subtasks."""
        self.subtasks.cancel()

    async def _handle_death(self, ask: DeathAsk, calls: tuple[InFlightCall, ...]) -> None:
        # The wall clock distinguishes deaths before a restart of this daemon from those after it.
        self.last_death_ms = max(self.last_death_ms + 1, int(time.time() * 1000))
        death = Incarnation(self.last_death_ms)
        paths = {call.fingerprint: call.path for call in calls}
        strikes = tuple(
            Strike(fingerprint, self.own_member.daemon_id, death) for fingerprint in paths
        )
        self._merge_reports(strikes, ())
        for fingerprint, path in paths.items():
            self.table.record_path(fingerprint, path)
        self.members.put(BroadcastStrikes(strikes, ()))
        await self._notify_peers(StrikeNotice(self.own_member, strikes))
        ask.answer(None)

    async def _notify_peers(self, notice: StrikeNotice) -> None:
        """Notify the peers that could run the calls next, and others up to `MAX_STRIKE_NOTICES`."""
        upstream = self.own_member.upstream
        same_service = self._serving_members(upstream.service) if upstream else ()
        peers: dict[DaemonId, Member] = {m.daemon_id: m for m in same_service}
        for member in self.view.members.values():
            if len(peers) >= MAX_STRIKE_NOTICES:
                break
            peers.setdefault(member.daemon_id, member)
        peers.pop(self.own_member.daemon_id, None)
        asks = [
            send_control(self.control, peer.control_address, notice, STRIKE_NOTICE_TIMEOUT)
            for peer in peers.values()
        ]
        await asyncio.gather(*asks)

    def _merge_reports(self, strikes: Iterable[Strike], clearances: Iterable[Clearance]) -> bool:
        now = monotonic_ms()
        changed = self.table.apply_clearances(clearances, now)
        if self.table.add_strikes(strikes, now):
            changed = True
            for row in self.table.rows(now):
                if row.quarantined:
                    log_warning("request_quarantined", fingerprint=row.fingerprint)
        if changed:
            self._notify_upstream_task()
        return changed

    def _notify_upstream_task(self) -> None:
        service = self.own_member.upstream.service if self.own_member.upstream else None
        suspects = {
            row.fingerprint: SuspectedRequest(
                row.quarantined, self._trial_member(row.fingerprint, service) if service else None
            )
            for row in self.table.rows(monotonic_ms())
        }
        self.upstream.put(SuspectsChanged(suspects))

    def _trial_member(self, fingerprint: Fingerprint, service: ServiceName) -> DaemonId | None:
        struck = self.table.struck_daemons(fingerprint)
        return select_trial_daemon(fingerprint, self._serving_members(service), struck)

    def _serving_members(self, service: ServiceName) -> tuple[Member, ...]:
        return self.view.by_service.get(service, ())
