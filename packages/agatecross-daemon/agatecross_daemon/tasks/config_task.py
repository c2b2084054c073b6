"""Owns the configuration of this daemon: follows the log and the peers."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace

from agatecross_adapters.codec import encode_record
from agatecross_adapters.config_records import decode_page
from agatecross_adapters.protocols import LogService
from agatecross_core.config.model import SnapshotRecord
from agatecross_core.constants import (
    CONFIG_STREAM,
    LOG_PAGE_RECORDS,
    PROBE_TIMEOUT,
    PULL_TIMEOUT,
)
from agatecross_core.distribution.follower import (
    Condition,
    ConfigFollower,
    FollowerAction,
    NotifyPeers,
    PullAnswered,
    PullFrom,
    PutInForce,
    ReadLog,
    ReportCondition,
    ReportVerdict,
    WriteSnapshot,
)
from agatecross_core.distribution.log_fold import RecordsRead
from agatecross_core.distribution.offers import PeerVersion
from agatecross_core.distribution.pulls import NoticeAck, PullReply, PullRequest, VersionNotice
from agatecross_core.errors import LogError
from agatecross_core.ids import Millis
from agatecross_core.members.records import Member

from ..events import log_event, log_warning
from ..mailbox import Mailbox, Sender, monotonic_ms
from ..messages import ConfigInForce, LogReplacedNotice, Tick, ViewChanged
from .control_task import ControlAsk, ReceivedAsk, send_control
from .subtasks import Subtasks

TICK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """The pending read of the log failed."""


ConfigMessage = (
    ReceivedAsk
    | ViewChanged
    | PeerVersion[Member]
    | Tick
    | RecordsRead
    | LogReadFailed
    | PullAnswered
)


class ConfigTask:
    """Puts the newest accepted configuration in force and notifies the subscribers and peers.

    Subtasks wait for the log and the peers and put their results into the mailbox, so that only
    `run` uses the follower.
    """

    def __init__(
        self,
        mailbox: Mailbox[ConfigMessage],
        follower: ConfigFollower,
        control: Sender[ControlAsk],
        log: LogService,
        subscribers: Iterable[Sender[ConfigInForce]],
        members: Sender[LogReplacedNotice],
    ) -> None:
        self.follower = follower
        self.control = control
        self.log = log
        self.subscribers = tuple(subscribers)
        self.members = members
        self.mailbox = mailbox
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.subtasks.start(self._send_ticks())
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.subtasks.cancel()

    def _handle(self, message: ConfigMessage) -> None:
        now = monotonic_ms()
        match message:
            case Tick():
                self._execute_actions(self.follower.tick(now))
            case ViewChanged(view):
                self.follower.view_changed(tuple(view.members.values()))
            case PeerVersion():
                self._execute_actions(self.follower.peer_version_received(message, now))
            case RecordsRead():
                self._execute_actions(self.follower.records_read(message, now))
            case LogReadFailed():
                self.follower.read_failed(now)
            case PullAnswered():
                self._execute_actions(self.follower.pull_answered(message, now))
            case _:
                self._handle_request(message, now)

    def _handle_request(self, ask: ReceivedAsk, now: Millis) -> None:
        message = ask.payload.message
        state = self.follower.state
        if isinstance(message, PullRequest):
            ask.answer(self.follower.answer_request(message))
        elif isinstance(message, VersionNotice):
            ask.answer(NoticeAck(state.version, state.digest))
            sender_version = PeerVersion(message.sender, message.version, message.digest)
            self._execute_actions(self.follower.peer_version_received(sender_version, now))

    def _execute_actions(self, actions: Iterable[FollowerAction]) -> None:
        for action in actions:
            match action:
                case PutInForce(snapshot):
                    log_event("config_in_force", version=snapshot.version, digest=snapshot.digest)
                    for mailbox in self.subscribers:
                        mailbox.put(ConfigInForce(snapshot))
                case ReportVerdict():
                    _log_verdict(action)
                case ReportCondition(condition, values):
                    log_warning(condition.value, **dict(values))
                    if condition is Condition.LOG_REPLACED:
                        self.members.put(LogReplacedNotice())
                case ReadLog():
                    self.subtasks.start(self._read_log(action))
                case PullFrom():
                    self.subtasks.start(self._pull_from_peer(action))
                case NotifyPeers(peers, version, digest):
                    notice = VersionNotice(self.follower.me, version, digest)
                    for peer in peers:
                        self.subtasks.start(self._notify_peer(peer, notice))
                case WriteSnapshot(record):
                    self.subtasks.start(self._write_snapshot(record))

    async def _read_log(self, action: ReadLog) -> None:
        try:
            page = await self.log.read(CONFIG_STREAM, action.start, LOG_PAGE_RECORDS, action.wait)
        except LogError as error:
            log_warning("log_read_failed", reason=error)
            self.mailbox.put(LogReadFailed())
            return
        self.mailbox.put(decode_page(page, time.time() * 1000))

    async def _pull_from_peer(self, action: PullFrom) -> None:
        peer = action.peer.control_address
        reply = await send_control(self.control, peer, action.request, PULL_TIMEOUT)
        pulled = reply if isinstance(reply, PullReply) else None
        self.mailbox.put(PullAnswered(action.pull_id, pulled))

    async def _notify_peer(self, peer: Member, notice: VersionNotice) -> None:
        reply = await send_control(self.control, peer.control_address, notice, PROBE_TIMEOUT)
        if isinstance(reply, NoticeAck):
            self.mailbox.put(PeerVersion(peer, reply.version, reply.digest))

    async def _write_snapshot(self, record: SnapshotRecord) -> None:
        stamped = replace(record, at_ms=int(time.time() * 1000))
        try:
            offset = await self.log.append(CONFIG_STREAM, encode_record(stamped))
        except LogError as error:
            log_warning("snapshot_failed", reason=error)
            return
        log_event("snapshot_written", version=record.version, through=record.through, offset=offset)

    async def _send_ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)


def _log_verdict(report: ReportVerdict) -> None:
    log_event(
        "publish_folded",
        publish_id=report.publish_id,
        verdict=report.verdict.value,
        findings=len(report.findings),
    )
    for finding in report.findings:
        log_warning("publish_finding", publish_id=report.publish_id, finding=finding)
