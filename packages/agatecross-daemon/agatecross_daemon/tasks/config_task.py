"""Owns the configuration of this daemon: follows the log and the peers."""

import asyncio
from collections.abc import Iterable, Iterator

from agatecross_adapters.codec import decode_record, encode_record
from agatecross_adapters.protocols import LogPage, LogService
from agatecross_core.config.model import PublishRecord, SnapshotRecord
from agatecross_core.constants import (
    CONFIG_STREAM,
    LOG_PAGE_RECORDS,
    LOG_POLL_WAIT,
    PROBE_TIMEOUT,
)
from agatecross_core.distribution.follower import (
    ConfigFollower,
    FollowerAction,
    NotifyPeers,
    OffsetRecord,
    PeerVersion,
    PullFrom,
    PutInForce,
    ReadLog,
    RecordsRead,
    ReportVerdict,
    WriteSnapshot,
)
from agatecross_core.distribution.sync import NoticeAck, PullReply, PullRequest, VersionNotice
from agatecross_core.errors import LogError, MessageDecodeError
from agatecross_core.ids import Millis, Offset
from agatecross_core.members.records import Member

from ..events import log_event, log_warning
from ..mailbox import Mailbox, Sender, monotonic
from ..messages import ConfigInForce, Tick, ViewChanged
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks

TICK_SECONDS = 0.1
PULL_TIMEOUT = Millis(5_000)
READ_RETRY_SECONDS = 1.0

ConfigMessage = ReceivedAsk | ViewChanged | PeerVersion | Tick | RecordsRead


class ConfigTask:
    """Puts the newest accepted configuration in force and passes it on."""

    def __init__(
        self,
        mailbox: Mailbox[ConfigMessage],
        follower: ConfigFollower,
        control: Sender[ControlAsk],
        log: LogService,
        subscribers: Iterable[Sender[ConfigInForce]],
    ) -> None:
        self.follower = follower
        self.control = control
        self.log = log
        self.subscribers = tuple(subscribers)
        self.mailbox = mailbox
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.subtasks.start(self._ticks())
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.subtasks.cancel()

    def _handle(self, message: ConfigMessage) -> None:
        now = monotonic()
        match message:
            case Tick():
                self._act(self.follower.tick(now))
            case ViewChanged(view):
                self.follower.view_changed(tuple(view.members.values()))
            case PeerVersion():
                self._act(self.follower.peer_version(message, now))
            case RecordsRead():
                self._act(self.follower.records_read(message))
            case _:
                self._received(message, now)

    def _received(self, ask: ReceivedAsk, now: Millis) -> None:
        message = ask.question.message
        state = self.follower.state
        if isinstance(message, PullRequest):
            ask.answer(self.follower.answer(message))
        elif isinstance(message, VersionNotice):
            ask.answer(NoticeAck(state.version, state.digest))
            heard = PeerVersion(message.sender, message.version, message.digest)
            self._act(self.follower.peer_version(heard, now))

    def _act(self, actions: Iterable[FollowerAction]) -> None:
        for action in actions:
            match action:
                case PutInForce(snapshot):
                    log_event("config_in_force", version=snapshot.version, digest=snapshot.digest)
                    for mailbox in self.subscribers:
                        mailbox.put(ConfigInForce(snapshot))
                case ReportVerdict(publish_id, verdict, findings):
                    log_event(
                        "publish_folded",
                        publish_id=publish_id,
                        verdict=verdict.value,
                        findings=len(findings),
                    )
                case ReadLog(start):
                    self.subtasks.start(self._read(start))
                case PullFrom(peer, request):
                    self.subtasks.start(self._pull(peer, request))
                case NotifyPeers(peers):
                    for peer in peers:
                        self.subtasks.start(self._notify(peer))
                case WriteSnapshot(record):
                    self.subtasks.start(self._write_snapshot(record))

    async def _read(self, start: Offset) -> None:
        try:
            page = await self.log.read(CONFIG_STREAM, start, LOG_PAGE_RECORDS, LOG_POLL_WAIT)
        except LogError as error:
            log_warning("log_read_failed", reason=error)
            await asyncio.sleep(READ_RETRY_SECONDS * self.follower.rng.random())
            self.follower.read_failed()
            return
        self.mailbox.put(RecordsRead(tuple(_decode_page(page)), page.first, page.end))

    async def _pull(self, peer: Member, request: PullRequest) -> None:
        reply = await send_control(self.control, peer.control_address, request, PULL_TIMEOUT)
        pulled = reply if isinstance(reply, PullReply) else None
        self._act(self.follower.pull_answered(pulled, monotonic()))

    async def _notify(self, peer: Member) -> None:
        state = self.follower.state
        notice = VersionNotice(self.follower.me, state.version, state.digest)
        await send_control(self.control, peer.control_address, notice, PROBE_TIMEOUT)

    async def _write_snapshot(self, record: SnapshotRecord) -> None:
        try:
            await self.log.append(CONFIG_STREAM, encode_record(record))
        except LogError as error:
            log_warning("snapshot_failed", reason=error)

    async def _ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)


def _decode_page(page: LogPage) -> Iterator[OffsetRecord]:
    for entry in page.entries:
        try:
            record = decode_record(entry.data, PublishRecord | SnapshotRecord)  # type: ignore[arg-type]
        except MessageDecodeError as error:
            log_warning("record_ignored", offset=entry.offset, reason=error)
            continue
        yield OffsetRecord(entry.offset, record)
