"""Owns the SWIM membership of this daemon."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from agatecross_adapters.codec import ControlMessage, decode_record, encode_record
from agatecross_adapters.protocols import LogPage, LogService
from agatecross_core.constants import (
    LOG_PAGE_RECORDS,
    MEMBERS_STREAM,
    NO_DIGEST,
    NO_VERSION,
    PROBE_TIMEOUT,
)
from agatecross_core.distribution.follower import PeerVersion
from agatecross_core.errors import LogError, MessageDecodeError
from agatecross_core.ids import Address, DaemonId, Millis, Offset
from agatecross_core.members.bootstrap import (
    Announce,
    AnnouncementsRead,
    Bootstrap,
    BootstrapAction,
    ContactPeer,
    ReadAnnouncements,
)
from agatecross_core.members.dissemination import ReportQueue
from agatecross_core.members.records import (
    AnnounceRecord,
    Gossip,
    Identity,
    IndirectProbe,
    Member,
    Probe,
    ProbeAck,
    SyncReply,
    SyncRequest,
    identity_of,
)
from agatecross_core.members.swim import (
    SYNC_TIMEOUT,
    MembersChanged,
    ProbeIndirectly,
    ProbeMember,
    Swim,
    SwimAction,
    SyncWith,
    TableFull,
)
from agatecross_core.members.view import build_view
from agatecross_core.states import MemberState

from ..events import log_event, log_warning
from ..mailbox import Mailbox, Sender, monotonic_ms
from ..messages import (
    BroadcastStrikes,
    ConfigInForce,
    GossipReceived,
    Leaving,
    LogReplacedNotice,
    Tick,
    UpstreamChanged,
    ViewChanged,
)
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks

TICK_SECONDS = 0.25
INDIRECT_PROBE_TIMEOUT = Millis(2 * PROBE_TIMEOUT)


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A direct probe, sent at `sent_at`, ended; `reply` is None if no answer came."""

    target: Member
    reply: ControlMessage | None
    sent_at: Millis


@dataclass(frozen=True, slots=True)
class IndirectProbeAnswered:
    """One indirect probe of `target`, sent at `sent_at`, ended."""

    target: Member
    reply: ControlMessage | None
    sent_at: Millis


@dataclass(frozen=True, slots=True)
class ProbeForPeerAnswered:
    """A probe that a peer requested ended; `ask` waits for the result."""

    ask: ReceivedAsk
    reply: ControlMessage | None


@dataclass(frozen=True, slots=True)
class SyncAnswered:
    """A request for the full table ended."""

    address: Address
    reply: ControlMessage | None


@dataclass(frozen=True, slots=True)
class MembersStreamFailed:
    """An append or a read of the members stream failed."""

    appending: bool


MembersMessage = (
    ReceivedAsk
    | ConfigInForce
    | LogReplacedNotice
    | UpstreamChanged
    | Leaving
    | Tick
    | BroadcastStrikes
    | ProbeAnswered
    | IndirectProbeAnswered
    | ProbeForPeerAnswered
    | SyncAnswered
    | AnnouncementsRead
    | MembersStreamFailed
)


class MembersTask:
    """Runs the probes and publishes the view of the fleet to the other tasks.

    Each subtask performs one exchange and puts its result into the mailbox, so that every decision
    is made in `_handle`, one message at a time.
    """

    def __init__(
        self,
        mailbox: Mailbox[MembersMessage],
        swim: Swim,
        control: Sender[ControlAsk],
        log: LogService,
        view_subscribers: Iterable[Sender[ViewChanged]],
        peer_versions: Sender[PeerVersion[Member]],
        strike_subscribers: Iterable[Sender[GossipReceived]] = (),
    ) -> None:
        self.swim = swim
        self.bootstrap = Bootstrap(swim.me, swim.rng)
        self.reports = ReportQueue()
        self.control = control
        self.log = log
        self.view_subscribers = tuple(view_subscribers)
        self.peer_versions = peer_versions
        self.strike_subscribers = tuple(strike_subscribers)
        self.mailbox = mailbox
        self.version = NO_VERSION
        self.digest = NO_DIGEST
        self.pending_helpers: dict[tuple[DaemonId, Millis], int] = {}
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.subtasks.start(self._send_ticks())
        self._publish_view()
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.subtasks.cancel()

    def _handle(self, message: MembersMessage) -> None:
        now = monotonic_ms()
        self._execute_actions(self.swim.detect_pause(now))
        match message:
            case Tick():
                self._execute_actions(self.swim.tick(now))
                self._execute_bootstrap_actions(self.bootstrap.tick(now))
            case ConfigInForce(snapshot):
                self.version, self.digest = snapshot.version, snapshot.digest
            case UpstreamChanged(upstream):
                self._update_own_member(replace(self.swim.me, upstream=upstream))
            case Leaving():
                self._update_own_member(replace(self.swim.me, state=MemberState.LEAVING))
            case BroadcastStrikes(strikes, clearances):
                self.reports.add(strikes, clearances, now)
            case LogReplacedNotice():
                self.bootstrap.log_replaced(now)
            case AnnouncementsRead():
                self._announcements_read(message, now)
            case MembersStreamFailed(appending):
                self._members_stream_failed(appending, now)
            case ProbeAnswered():
                self._probe_answered(message, now)
            case IndirectProbeAnswered():
                self._indirect_probe_answered(message, now)
            case ProbeForPeerAnswered(ask, reply):
                if isinstance(reply, ProbeAck):
                    self._merge_gossip(reply.gossip, now)
                alive = isinstance(reply, ProbeAck) and reply.alive
                ask.answer(ProbeAck(self._next_gossip(), alive=alive))
            case SyncAnswered():
                self._sync_answered(message, now)
            case _:
                self._handle_request(message, now)

    def _handle_request(self, ask: ReceivedAsk, now: Millis) -> None:
        match ask.payload.message:
            case Probe(sender, target, gossip):
                self._handle_gossip(sender, gossip, now)
                ask.answer(self._probe_ack(sender, target))
            case IndirectProbe(sender, target, address, gossip):
                self._handle_gossip(sender, gossip, now)
                self._probe_for_peer(ask, target, address)
            case SyncRequest(sender) as request:
                self._execute_actions(self.swim.merge([sender], now))
                rows, complete = self.swim.answer_sync(request, now)
                ask.answer(SyncReply(rows, Gossip(self.version, self.digest), complete))
            case _:
                pass

    def _probe_ack(self, sender: Identity, target: DaemonId) -> ProbeAck:
        gossip = self._gossip_with(self.swim.take_updates_for_reply(sender))
        alive = target == self.swim.me.daemon_id
        return ProbeAck(gossip, alive, unknown=not self.swim.knows_incarnation(sender))

    def _handle_gossip(self, sender: Identity, gossip: Gossip, now: Millis) -> None:
        self._merge_gossip(gossip, now)
        member = self.swim.table.get(sender.daemon_id)
        if member is not None:
            self.peer_versions.put(PeerVersion(member, gossip.version, gossip.digest))

    def _merge_gossip(self, gossip: Gossip, now: Millis) -> None:
        self._execute_actions(self.swim.merge(gossip.members, now))
        strikes, clearances = self.reports.add(gossip.strikes, gossip.clearances, now)
        if strikes or clearances:
            for mailbox in self.strike_subscribers:
                mailbox.put(GossipReceived(strikes, clearances))

    def _probe_answered(self, message: ProbeAnswered, now: Millis) -> None:
        target, reply = message.target, message.reply
        if not isinstance(reply, ProbeAck):
            self._execute_actions(self.swim.probe_failed(target, message.sent_at))
            return
        self._handle_gossip(identity_of(target), reply.gossip, now)
        if not reply.alive:
            self._execute_actions(self.swim.probe_failed(target, message.sent_at))
        elif reply.unknown:
            self._probe_member(target, include_own_member=True)

    def _indirect_probe_answered(self, message: IndirectProbeAnswered, now: Millis) -> None:
        target, reply = message.target, message.reply
        remaining = self.pending_helpers.pop((target.daemon_id, message.sent_at), None)
        if isinstance(reply, ProbeAck):
            self._merge_gossip(reply.gossip, now)
            if reply.alive:
                return
        if remaining is not None and remaining > 1:
            self.pending_helpers[target.daemon_id, message.sent_at] = remaining - 1
        elif remaining is not None:
            self._confirm_unreachable(target, message.sent_at)

    def _confirm_unreachable(self, target: Member, sent_at: Millis) -> None:
        log_event("member_unreachable", peer=target.daemon_id)
        self._execute_actions(self.swim.indirect_probe_failed(target, sent_at, monotonic_ms()))

    def _sync_answered(self, message: SyncAnswered, now: Millis) -> None:
        reply = message.reply
        self.bootstrap.contact_answered(message.address, isinstance(reply, SyncReply))
        if isinstance(reply, SyncReply):
            self._execute_actions(self.swim.merge_sync_reply(reply, now))
            if reply.members:
                self._log_sync(message.address, reply)

    def _log_sync(self, peer: Address, reply: SyncReply) -> None:
        rows, members = len(reply.members), len(self.swim.table)
        log_event("synced", peer=peer, rows=rows, members=members, complete=reply.complete)

    def _announcements_read(self, page: AnnouncementsRead, now: Millis) -> None:
        self._execute_bootstrap_actions(
            self.bootstrap.announcements_read(page, self.swim.live_peers(), now)
        )

    def _members_stream_failed(self, appending: bool, now: Millis) -> None:
        if appending:
            self.bootstrap.announce_failed(now)
        else:
            self.bootstrap.read_failed(now)

    def _execute_actions(self, actions: Iterable[SwimAction]) -> None:
        for action in actions:
            match action:
                case MembersChanged():
                    self._publish_view()
                case ProbeMember(target):
                    self._probe_member(target)
                case ProbeIndirectly(target, helpers):
                    self._probe_indirectly(target, helpers)
                case SyncWith(address):
                    self._request_sync(address)
                case TableFull(ignored):
                    log_warning("member_table_full", ignored=ignored)

    def _execute_bootstrap_actions(self, actions: Iterable[BootstrapAction]) -> None:
        for action in actions:
            match action:
                case ReadAnnouncements(start):
                    self.subtasks.start(self._read_announcements(start))
                case ContactPeer(address):
                    self._request_sync(address)
                case Announce():
                    log_event("announcing")
                    self.subtasks.start(self._announce(self.swim.me))

    def _publish_view(self) -> None:
        view = build_view(self.swim.table.values(), self.swim.stale)
        for mailbox in self.view_subscribers:
            mailbox.put(ViewChanged(view, self.swim.me))

    def _update_own_member(self, me: Member) -> None:
        self._execute_actions(self.swim.update_own_record(me))
        for peer in self.swim.urgent_update_targets():
            self._probe_member(peer, include_own_member=True)

    def _next_gossip(
        self, target: DaemonId | None = None, include_own_member: bool = False
    ) -> Gossip:
        rows = self.swim.take_updates(target)
        return self._gossip_with((self.swim.me, *rows) if include_own_member else rows)

    def _gossip_with(self, rows: tuple[Member, ...]) -> Gossip:
        strikes, clearances = self.reports.take(self.swim.max_transmissions())
        return Gossip(self.version, self.digest, rows, strikes, clearances)

    def _probe_member(self, target: Member, include_own_member: bool = False) -> None:
        probe = self._new_probe(target.daemon_id, include_own_member)
        sent_at = monotonic_ms()
        self._start_exchange(
            target.control_address,
            probe,
            PROBE_TIMEOUT,
            lambda reply: ProbeAnswered(target, reply, sent_at),
        )

    def _probe_for_peer(self, ask: ReceivedAsk, target: DaemonId, address: Address) -> None:
        probe = self._new_probe(target)
        self._start_exchange(
            address, probe, PROBE_TIMEOUT, lambda reply: ProbeForPeerAnswered(ask, reply)
        )

    def _new_probe(self, target: DaemonId, include_own_member: bool = False) -> Probe:
        return Probe(
            identity_of(self.swim.me), target, self._next_gossip(target, include_own_member)
        )

    def _probe_indirectly(self, target: Member, helpers: tuple[Member, ...]) -> None:
        sender, sent_at = identity_of(self.swim.me), monotonic_ms()
        message = IndirectProbe(
            sender, target.daemon_id, target.control_address, self._next_gossip()
        )
        self.pending_helpers[target.daemon_id, sent_at] = len(helpers)
        for helper in helpers:
            self._start_exchange(
                helper.control_address,
                message,
                INDIRECT_PROBE_TIMEOUT,
                lambda reply: IndirectProbeAnswered(target, reply, sent_at),
            )
        if not helpers:
            self._confirm_unreachable(target, sent_at)

    def _request_sync(self, address: Address) -> None:
        request = self.swim.sync_request()
        self._start_exchange(
            address, request, SYNC_TIMEOUT, lambda reply: SyncAnswered(address, reply)
        )

    def _start_exchange(
        self,
        peer: Address,
        message: ControlMessage,
        timeout: Millis,
        to_message: Callable[[ControlMessage | None], MembersMessage],
    ) -> None:
        self.subtasks.start(self._exchange(peer, message, timeout, to_message))

    async def _exchange(
        self,
        peer: Address,
        message: ControlMessage,
        timeout: Millis,
        to_message: Callable[[ControlMessage | None], MembersMessage],
    ) -> None:
        self.mailbox.put(to_message(await send_control(self.control, peer, message, timeout)))

    async def _read_announcements(self, start: Offset) -> None:
        records: list[tuple[Offset, AnnounceRecord]] = []
        position, era = start, None
        while True:
            try:
                page = await self.log.read(MEMBERS_STREAM, position, LOG_PAGE_RECORDS, Millis(0))
            except LogError as error:
                log_warning("announcements_unread", reason=error)
                self.mailbox.put(MembersStreamFailed(appending=False))
                return
            if era not in (None, page.era):
                log_warning("announcements_unread", reason="the log was restored meanwhile")
                self.mailbox.put(MembersStreamFailed(appending=False))
                return
            era = page.era
            records += _decode_page(page)
            if not page.entries or page.entries[-1].offset + 1 >= page.end:
                self.mailbox.put(AnnouncementsRead(tuple(records), page.first, page.end, era))
                return
            position = Offset(page.entries[-1].offset + 1)

    async def _announce(self, me: Member) -> None:
        try:
            await self.log.append(
                MEMBERS_STREAM, encode_record(AnnounceRecord(me, wall_clock_ms()))
            )
        except LogError as error:
            log_warning("announce_failed", reason=error)
            self.mailbox.put(MembersStreamFailed(appending=True))

    async def _send_ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return int(time.time() * 1000)


def _decode_page(page: LogPage) -> Iterator[tuple[Offset, AnnounceRecord]]:
    for entry in page.entries:
        try:
            yield entry.offset, decode_record(entry.data, AnnounceRecord)
        except MessageDecodeError as error:
            log_warning("record_ignored", offset=entry.offset, reason=error)
