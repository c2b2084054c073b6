"""Follows the config stream and the peers, and decides what is in force here."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from ..config.compile import compile_documents
from ..config.fold import fold
from ..config.model import (
    ConfigRecord,
    ConfigState,
    DocumentDecoder,
    FoldStep,
    MeshSnapshot,
    PublishRecord,
    SnapshotRecord,
)
from ..constants import NOTICE_FANOUT, PEER_SILENCE, RULE_SET, SNAPSHOT_AFTER_RECORDS
from ..findings import Finding
from ..ids import Digest, Millis, Offset, PublishId, Version
from ..members.records import Member
from ..states import Verdict
from .readers import is_reader
from .sync import PullReply, PullRequest, answer_pull, apply_pull, known_digests


@dataclass(frozen=True, slots=True)
class OffsetRecord:
    """A decoded record of the config stream."""

    offset: Offset
    record: ConfigRecord


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """A page of the config stream: decoded records, oldest retained offset, next offset."""

    records: tuple[OffsetRecord, ...]
    first: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A peer has this version in force."""

    peer: Member
    version: Version
    digest: Digest


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Action: read the config stream from `start`."""

    start: Offset


@dataclass(frozen=True, slots=True)
class PullFrom:
    """Action: send the request to the peer."""

    peer: Member
    request: PullRequest


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Action: tell these peers which version is in force here."""

    peers: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Action: swap the compiled snapshot."""

    snapshot: MeshSnapshot


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Action: append the snapshot record to the config stream."""

    record: SnapshotRecord


@dataclass(frozen=True, slots=True)
class ReportVerdict:
    """Action: report the verdict on a publish record."""

    publish_id: PublishId
    verdict: Verdict
    findings: tuple[Finding, ...]


FollowerAction = ReadLog | PullFrom | NotifyPeers | PutInForce | WriteSnapshot | ReportVerdict


class ConfigFollower:
    """Decides what to read, pull, put in force and pass on."""

    def __init__(self, me: Member, decoder: DocumentDecoder, rng: random.Random) -> None:
        """Start without a configuration."""
        self.me = me
        self.decoder = decoder
        self.rng = rng
        self.state = ConfigState()
        self.position = Offset(0)
        self.records_since_snapshot = 0
        self.members: tuple[Member, ...] = (me,)
        self.reading = False
        self.pulling = False
        self.heard_at: Millis | None = None

    def tick(self, now: Millis) -> Iterator[FollowerAction]:
        """Start a read of the log when this daemon should read and none is in flight."""
        if self.heard_at is None:
            self.heard_at = now
        alone = len(self.members) == 1 or now - self.heard_at > PEER_SILENCE
        if not self.reading and (alone or is_reader(self.me, self.members)):
            self.reading = True
            yield ReadLog(self.position)

    def view_changed(self, members: tuple[Member, ...]) -> None:
        """Take the members that are not dead."""
        self.members = members

    def records_read(self, page: RecordsRead) -> Iterator[FollowerAction]:
        """Fold a page of the stream."""
        self.reading = False
        before = self.state.version
        snapshot: MeshSnapshot | None = None
        for row in page.records:
            step = fold(self.state, row.record, self.decoder)
            if step.verdict is Verdict.UNKNOWN_RULES:
                return
            self.state = step.state
            self.position = Offset(row.offset + 1)
            snapshot = step.snapshot or snapshot
            yield from self._after_record(row.record, step)
        if snapshot is not None and self.state.version > before:
            yield PutInForce(snapshot)
            yield from self._notify()
        yield from self._maybe_snapshot()

    def read_failed(self) -> None:
        """Note that the read in flight ended without a page."""
        self.reading = False

    def peer_version(self, message: PeerVersion, now: Millis) -> Iterator[FollowerAction]:
        """Pull from a peer that has a newer version."""
        self.heard_at = now
        if message.version > self.state.version and not self.pulling:
            self.pulling = True
            request = PullRequest(self.state.version, known_digests(self.state))
            yield PullFrom(message.peer, request)

    def pull_answered(self, reply: PullReply | None, now: Millis) -> Iterator[FollowerAction]:
        """Put a pulled version in force when it is newer, whole and free of findings."""
        self.pulling = False
        if reply is None:
            return
        self.heard_at = now
        state = apply_pull(self.state, reply)
        if state is None:
            return
        snapshot, findings = compile_documents(state.documents, self.decoder, state.version)
        if snapshot is None or findings:
            return
        self.state = state
        yield PutInForce(snapshot)
        yield from self._notify()

    def answer(self, request: PullRequest) -> PullReply:
        """Answer a peer's pull."""
        return answer_pull(self.state, request)

    def _after_record(self, record: ConfigRecord, step: FoldStep) -> Iterator[FollowerAction]:
        if isinstance(record, PublishRecord):
            self.records_since_snapshot += 1
            yield ReportVerdict(record.publish_id, step.verdict, step.findings)
        else:
            self.records_since_snapshot = 0

    def _maybe_snapshot(self) -> Iterator[FollowerAction]:
        if self.records_since_snapshot < SNAPSHOT_AFTER_RECORDS or not self.state.version:
            return
        self.records_since_snapshot = 0
        yield WriteSnapshot(
            SnapshotRecord(
                self.state.version,
                self.state.digest,
                RULE_SET,
                Offset(self.position - 1),
                self.state.documents,
                self.state.seen,
            )
        )

    def _notify(self) -> Iterator[FollowerAction]:
        near = [
            m
            for m in self.members
            if m.region == self.me.region and m.daemon_id != self.me.daemon_id
        ]
        yield NotifyPeers(tuple(self.rng.sample(near, min(NOTICE_FANOUT, len(near)))))
