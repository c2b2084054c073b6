"""Owns the SWIM membership of this daemon."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace

from agatecross_adapters.codec import ControlMessage, decode_record, encode_record
from agatecross_adapters.protocols import LogService
from agatecross_core.constants import (
    LOG_PAGE_RECORDS,
    MEMBERS_STREAM,
    NO_DIGEST,
    NO_VERSION,
    PROBE_TIMEOUT,
)
from agatecross_core.distribution.follower import PeerVersion
from agatecross_core.errors import LogError, MessageDecodeError
from agatecross_core.ids import Address, Millis, Offset
from agatecross_core.members.bootstrap import contacts, needs_announcement
from agatecross_core.members.records import (
    AnnounceRecord,
    Gossip,
    IndirectProbe,
    Member,
    Probe,
    ProbeAck,
    SyncReply,
    SyncRequest,
)
from agatecross_core.members.swim import (
    MembersChanged,
    ProbeMember,
    ProbeThrough,
    Swim,
    SwimAction,
    SyncWith,
)
from agatecross_core.members.view import build_view
from agatecross_core.states import MemberState

from ..events import log_event
from ..mailbox import Mailbox, Sender, monotonic
from ..messages import ConfigInForce, Leaving, Tick, UpstreamChanged, ViewChanged
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks

TICK_SECONDS = 0.1
ANNOUNCE_SECONDS = (2.0, 30.0)

MembersMessage = ReceivedAsk | ConfigInForce | UpstreamChanged | Leaving | Tick


class MembersTask:
    """Runs the probes and tells the other tasks how the fleet looks."""

    def __init__(
        self,
        mailbox: Mailbox[MembersMessage],
        swim: Swim,
        control: Sender[ControlAsk],
        log: LogService,
        views: Iterable[Sender[ViewChanged]],
        versions: Sender[PeerVersion],
    ) -> None:
        self.swim = swim
        self.control = control
        self.log = log
        self.views = tuple(views)
        self.versions = versions
        self.mailbox = mailbox
        self.version = NO_VERSION
        self.digest = NO_DIGEST
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.subtasks.start(self._ticks())
        self.subtasks.start(self._bootstrap())
        self._publish_view()
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.subtasks.cancel()

    def _handle(self, message: MembersMessage) -> None:
        now = monotonic()
        match message:
            case Tick():
                self._act(self.swim.tick(now))
            case ConfigInForce(snapshot):
                self.version, self.digest = snapshot.version, snapshot.digest
            case UpstreamChanged(upstream):
                self._act(self.swim.update_me(replace(self.swim.me, upstream=upstream), now))
                self._push()
            case Leaving():
                leaving = replace(self.swim.me, state=MemberState.LEAVING)
                self._act(self.swim.update_me(leaving, now))
                self._push()
            case _:
                self._received(message, now)

    def _received(self, ask: ReceivedAsk, now: Millis) -> None:
        message = ask.question.message
        if isinstance(message, IndirectProbe):
            self._act(self.swim.merge((message.sender, *message.gossip.members), now))
            self.subtasks.start(self._answer_indirect(ask, message))
        else:
            ask.answer(self._answer(message, now))

    def _answer(self, message: ControlMessage, now: Millis) -> ControlMessage:
        match message:
            case Probe(sender, gossip):
                self._heard(sender, gossip, now)
            case SyncRequest(sender):
                self._act(self.swim.merge([sender], now))
                return SyncReply(tuple(self.swim.table.values()), self._gossip())
            case _:
                pass
        return ProbeAck(self._gossip())

    async def _answer_indirect(self, ask: ReceivedAsk, message: IndirectProbe) -> None:
        reply = await self._probe(message.target)
        ask.answer(ProbeAck(self._gossip(), alive=reply is not None))

    def _heard(self, sender: Member, gossip: Gossip, now: Millis) -> None:
        self._act(self.swim.merge((sender, *gossip.members), now))
        self.versions.put(PeerVersion(sender, gossip.version, gossip.digest))

    def _act(self, actions: Iterable[SwimAction]) -> None:
        for action in actions:
            match action:
                case MembersChanged():
                    self._publish_view()
                case ProbeMember(target):
                    self.subtasks.start(self._probe_member(target))
                case ProbeThrough(target, helpers):
                    self.subtasks.start(self._probe_through(target, helpers))
                case SyncWith(address):
                    self.subtasks.start(self._sync(address))

    def _publish_view(self) -> None:
        view = build_view(self.swim.table.values(), self.swim.stale)
        for mailbox in self.views:
            mailbox.put(ViewChanged(view, self.swim.me))

    def _gossip(self) -> Gossip:
        return Gossip(self.version, self.digest, self.swim.updates())

    def _push(self) -> None:
        for peer in self.swim.push_targets():
            self.subtasks.start(self._probe_member(peer))

    async def _probe(self, address: Address) -> ControlMessage | None:
        probe = Probe(self.swim.me, self._gossip())
        return await send_control(self.control, address, probe, PROBE_TIMEOUT)

    async def _probe_member(self, target: Member) -> None:
        reply = await self._probe(target.control_address)
        if isinstance(reply, ProbeAck):
            self._heard(target, reply.gossip, monotonic())
        else:
            self._act(self.swim.probe_failed(target))

    async def _probe_through(self, target: Member, helpers: tuple[Member, ...]) -> None:
        message = IndirectProbe(self.swim.me, target.control_address, self._gossip())
        timeout = Millis(2 * PROBE_TIMEOUT)
        asks = [send_control(self.control, h.control_address, message, timeout) for h in helpers]
        replies = await asyncio.gather(*asks)
        if not any(isinstance(reply, ProbeAck) and reply.alive for reply in replies):
            log_event("member_unreachable", peer=target.daemon_id)
            self._act(self.swim.unreachable(target, monotonic()))

    async def _sync(self, address: Address) -> bool:
        reply = await send_control(
            self.control, address, SyncRequest(self.swim.me), Millis(5 * PROBE_TIMEOUT)
        )
        if not isinstance(reply, SyncReply):
            return False
        self.swim.synced()
        self._act(self.swim.merge(reply.members, monotonic()))
        self._publish_view()
        return True

    async def _ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)

    async def _bootstrap(self) -> None:
        """Find a first peer on the log and announce this daemon there if few others are."""
        while True:
            records = await self._announcements()
            if records is not None:
                await self._join(records)
                if needs_announcement(records, self.swim.live_peers(), self.swim.me.daemon_id):
                    await self._announce()
            await asyncio.sleep(self.swim.rng.uniform(*ANNOUNCE_SECONDS))

    async def _join(self, records: list[AnnounceRecord]) -> None:
        if self.swim.live_peers():
            return
        for address in contacts(records, self.swim.me.daemon_id, self.swim.rng)[:8]:
            if await self._sync(address):
                log_event("joined", peer=address, members=len(self.swim.table))
                return

    async def _announcements(self) -> list[AnnounceRecord] | None:
        records: list[AnnounceRecord] = []
        start = Offset(0)
        while True:
            try:
                page = await self.log.read(MEMBERS_STREAM, start, LOG_PAGE_RECORDS, Millis(0))
            except LogError:
                return None
            for entry in page.entries:
                try:
                    records.append(decode_record(entry.data, AnnounceRecord))
                except MessageDecodeError as error:
                    log_event("record_ignored", offset=entry.offset, reason=error)
            if not page.entries or page.entries[-1].offset + 1 >= page.end:
                return records
            start = Offset(page.entries[-1].offset + 1)

    async def _announce(self) -> None:
        try:
            await self.log.append(MEMBERS_STREAM, encode_record(AnnounceRecord(self.swim.me, 0)))
        except LogError as error:
            log_event("announce_failed", reason=error)
