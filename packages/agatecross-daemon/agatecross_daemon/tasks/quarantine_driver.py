"""Spreads strikes and clearances; belongs to the call task."""

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
    InFlight,
    QuarantineRow,
    StrikeAck,
    StrikeNotice,
    Suspect,
)
from agatecross_core.quarantine.strikes import StrikeTable
from agatecross_core.quarantine.trial import trial_member
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
    """Feeds the strike table and tells peers and the upstream task of changes."""

    def __init__(
        self,
        me: Member,
        members: Sender[BroadcastStrikes],
        control: Sender[ControlAsk],
        upstream: Sender[SuspectsChanged],
    ) -> None:
        self.me = me
        self.members = members
        self.control = control
        self.upstream = upstream
        self.table = StrikeTable()
        self.view = FleetView()
        self.last_death = 0
        self.subtasks = Subtasks()

    def handle(self, message: QuarantineMessage) -> None:
        """Take a message about strikes."""
        if isinstance(message, GossipReceived):
            self._merge(message.strikes, message.clearances)
            return
        match message.payload:
            case UpstreamDied(calls):
                self.subtasks.start(self._died(message, calls))
            case ListQuarantine():
                message.answer(tuple(self.table.rows(monotonic_ms())))
            case LiftQuarantine(fingerprint):
                message.answer(self.completed(fingerprint))
            case received:
                notice = received.message
                assert isinstance(notice, StrikeNotice)
                self._merge(notice.strikes, notice.clearances)
                message.answer(StrikeAck(len(notice.strikes)))

    def view_changed(self, view: FleetView, me: Member) -> None:
        """Take the members, which decide who tries a suspected request."""
        self.view, self.me = view, me
        if self.table.records:
            self._tell_upstream()

    def quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether calls with this fingerprint are refused."""
        return self.table.quarantined(fingerprint, monotonic_ms())

    def completed(self, fingerprint: Fingerprint) -> bool:
        """Clear a fingerprint everywhere; return whether it had strikes."""
        clearances = (Clearance(fingerprint, self.table.deaths(fingerprint)),)
        if not self._merge((), clearances):
            return False
        self.members.put(BroadcastStrikes((), clearances))
        self.subtasks.start(self._notify(StrikeNotice(self.me, (), clearances)))
        return True

    def restrict(self, fingerprint: Fingerprint, path: str, chooser: Chooser) -> Chooser:
        """Return a chooser that sends a suspected request to its trial member only."""

        def choose(request: ChoiceRequest) -> Candidate | None:
            now = monotonic_ms()
            if self.table.quarantined(fingerprint, now):
                return None
            if not self.table.suspected(fingerprint, now):
                return chooser(request)
            self.table.seen(fingerprint, path)
            trial = self._trial(fingerprint, request.service)
            if trial is None or trial in request.tried:
                return None
            others = [m.daemon_id for m in self._serving(request.service) if m.daemon_id != trial]
            chosen = chooser(replace(request, tried=tuple(others)))
            # Earlier upstreams are only avoided where another choice exists.
            return chosen if chosen and chosen.member.daemon_id == trial else None

        return choose

    def close(self) -> None:
        """Cancel what still runs."""
        self.subtasks.cancel()

    async def _died(self, ask: DeathAsk, calls: tuple[InFlight, ...]) -> None:
        # The wall clock tells deaths before and after a restart of this daemon apart.
        self.last_death = max(self.last_death + 1, int(time.time() * 1000))
        death = Incarnation(self.last_death)
        prints = {call.fingerprint: call.path for call in calls}
        strikes = tuple(Strike(row, self.me.daemon_id, death) for row in prints)
        self._merge(strikes, ())
        for fingerprint, path in prints.items():
            self.table.seen(fingerprint, path)
        self.members.put(BroadcastStrikes(strikes, ()))
        await self._notify(StrikeNotice(self.me, strikes))
        ask.answer(None)

    async def _notify(self, notice: StrikeNotice) -> None:
        """Tell the peers that could run the calls next, and others up to a limit."""
        upstream = self.me.upstream
        same = self._serving(upstream.service) if upstream else ()
        peers: dict[DaemonId, Member] = {m.daemon_id: m for m in same}
        for member in self.view.members.values():
            if len(peers) >= MAX_STRIKE_NOTICES:
                break
            peers.setdefault(member.daemon_id, member)
        peers.pop(self.me.daemon_id, None)
        asks = [
            send_control(self.control, peer.control_address, notice, STRIKE_NOTICE_TIMEOUT)
            for peer in peers.values()
        ]
        await asyncio.gather(*asks)

    def _merge(self, strikes: Iterable[Strike], clearances: Iterable[Clearance]) -> bool:
        now = monotonic_ms()
        changed = self.table.clear(clearances, now)
        if self.table.strike(strikes, now):
            changed = True
            for row in self.table.rows(now):
                if row.quarantined:
                    log_warning("request_quarantined", fingerprint=row.fingerprint)
        if changed:
            self._tell_upstream()
        return changed

    def _tell_upstream(self) -> None:
        service = self.me.upstream.service if self.me.upstream else None
        suspects = {
            row.fingerprint: Suspect(
                row.quarantined, self._trial(row.fingerprint, service) if service else None
            )
            for row in self.table.rows(monotonic_ms())
        }
        self.upstream.put(SuspectsChanged(suspects))

    def _trial(self, fingerprint: Fingerprint, service: ServiceName) -> DaemonId | None:
        struck = self.table.struck_daemons(fingerprint)
        return trial_member(fingerprint, self._serving(service), struck)

    def _serving(self, service: ServiceName) -> tuple[Member, ...]:
        return self.view.by_service.get(service, ())
