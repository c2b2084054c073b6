"""Follows the config stream and the peers, and decides which version is in force here."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from ..config.documents import DocumentDecoder
from ..config.model import ConfigState, MeshConfig, PublishRecord, SnapshotRecord
from ..constants import (
    LOG_POLL_WAIT,
    LOG_RETRY_BASE_DELAY,
    LOG_RETRY_MAX_DELAY,
    MAX_PULL_TIME,
    NO_DIGEST,
    NO_OFFSET,
    NO_PEERS_POLL_WAIT,
    NOTICE_FANOUT,
    PEER_SILENCE_TIMEOUT,
    POSITION_PULL_PERIOD,
    POSITION_PULL_TIMEOUT,
    SNAPSHOT_AFTER_RECORDS,
    SNAPSHOT_APPEND_BURST,
    SNAPSHOT_APPEND_REFILL_PERIOD,
    UNKNOWN_RULES_RETRY_DELAY,
)
from ..findings import Finding
from ..ids import DaemonId, Digest, Millis, Offset, PublishId, Version
from ..members.records import Member
from ..pacing import TokenBucket, full_jitter
from ..states import PublishVerdict
from .log_fold import (
    LogFold,
    LogReplaced,
    RecordFolded,
    RecordsExpired,
    RecordsRead,
    UnknownRules,
)
from .offers import PeerVersion, VersionOffers
from .pulls import (
    PullReply,
    PullRequest,
    PullResult,
    PullVerdict,
    answer_pull,
    check_pull_reply,
    new_request,
)
from .readers import readers
from .snapshots import SnapshotSchedule

__all__ = ["ConfigFollower", "PeerVersion", "RecordsRead"]


@dataclass(frozen=True, slots=True)
class PullAnswered:
    """A pull ended; `reply` is None if the peer did not answer."""

    pull_id: int
    reply: PullReply | None


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Action: read the config stream from `start`, waiting up to `wait` for a record."""

    start: Offset
    wait: Millis


@dataclass(frozen=True, slots=True)
class PullFrom:
    """Action: send the pull request to the peer."""

    pull_id: int
    peer: Member
    request: PullRequest


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Action: notify these peers of the version in force here."""

    peers: tuple[Member, ...]
    version: Version
    digest: Digest


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Action: replace the compiled configuration in force with this one."""

    mesh_config: MeshConfig


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Action: append the snapshot record to the config stream."""

    record: SnapshotRecord


@dataclass(frozen=True, slots=True)
class ReportVerdict:
    """Action: report the verdict on a publish record."""

    publish_id: PublishId
    verdict: PublishVerdict
    findings: tuple[Finding, ...]


class Condition(Enum):
    """A condition of the log or of a peer that operators should know about."""

    LOG_REPLACED = "log_replaced"
    RECORDS_EXPIRED = "log_records_expired"
    UNKNOWN_RULES = "unknown_rules"
    UNDECODABLE = "record_undecodable"
    OTHER_DIGEST = "same_version_other_digest"
    PULL_REFUSED = "pull_refused"


LOG_CONDITIONS = (Condition.LOG_REPLACED, Condition.RECORDS_EXPIRED)


@dataclass(frozen=True, slots=True)
class ReportCondition:
    """Action: report a condition with the values that describe it."""

    condition: Condition
    values: tuple[tuple[str, object], ...]


FollowerAction = (
    ReadLog | PullFrom | NotifyPeers | PutInForce | WriteSnapshot | ReportVerdict | ReportCondition
)


@dataclass(frozen=True, slots=True)
class Pull:
    """The pull in flight."""

    pull_id: int
    peer: DaemonId
    started_at: Millis


class ConfigFollower:
    """Decides what to read, pull and put in force, and when to notify peers.

    `state` has the newest version seen so far, which never goes back. `log.state` is the fold of
    the current log; it is older than `state` only after the log was replaced.
    """

    def __init__(
        self,
        me: Member,
        decoder: DocumentDecoder,
        rng: random.Random,
        snapshot_after_records: int = SNAPSHOT_AFTER_RECORDS,
    ) -> None:
        """Start without a configuration."""
        self.me = me
        self.decoder = decoder
        self.rng = rng
        self.state = ConfigState()
        self.log = LogFold(decoder)
        self.offers = VersionOffers(me, rng)
        self.snapshot_schedule = SnapshotSchedule(rng, snapshot_after_records)
        self.append_tokens = TokenBucket(SNAPSHOT_APPEND_BURST, SNAPSHOT_APPEND_REFILL_PERIOD)
        self.members: tuple[Member, ...] = (me,)
        self.readers: tuple[DaemonId, ...] = (me.daemon_id,)
        self.reading = False
        self.must_discard_page = False
        self.read_failures = 0
        self.next_read_at = Millis(0)
        self.pull: Pull | None = None
        self.last_pull_id = 0
        self.must_request_all_seen = False
        self.next_position_pull_at = Millis(0)
        self.position_lost_at: Millis | None = None
        self.peer_heard_at: Millis | None = None
        self.reported_conditions: set[tuple[object, ...]] = set()

    def tick(self, now: Millis) -> Iterator[FollowerAction]:
        """Start the actions that are due: a pull, a read of the log, a snapshot."""
        if self.peer_heard_at is None:
            self.peer_heard_at = now
        if self.pull is not None and now - self.pull.started_at >= MAX_PULL_TIME:
            self.offers.record_failure(self.pull.peer)
            self.pull = None
        yield from self._start_pull(now)
        yield from self._start_read(now)
        yield from self._write_snapshot(now)

    def view_changed(self, members: tuple[Member, ...]) -> None:
        """Store the members that are not dead, and select the readers among them."""
        self.members = members
        self.readers = readers(self.me, members)
        self.offers.retain_members(members)

    def records_read(self, page: RecordsRead, now: Millis) -> Iterator[FollowerAction]:
        """Fold a page of the stream."""
        self.reading = False
        self.read_failures = 0
        if self.must_discard_page:
            self.must_discard_page = False
            return
        before = self.log.start()
        compiled: MeshConfig | None = None
        for event in self.log.page(page):
            match event:
                case RecordFolded(_, step):
                    compiled = step.mesh_config or compiled
                    yield from self._handle_folded_record(event, now)
                case LogReplaced(through, end):
                    self.state = replace(self.state, through=NO_OFFSET, mark=NO_DIGEST)
                    self.snapshot_schedule.log_replaced()
                    yield from self._report_once(Condition.LOG_REPLACED, through=through, end=end)
                case RecordsExpired(through, first):
                    self.position_lost_at = (
                        now if self.position_lost_at is None else self.position_lost_at
                    )
                    yield from self._report_once(
                        Condition.RECORDS_EXPIRED, through=through, first=first
                    )
                case UnknownRules(offset, rules):
                    # During the wait no read is in flight that would fail if the log were replaced.
                    self.log.require_verification()
                    self.next_read_at = Millis(now + UNKNOWN_RULES_RETRY_DELAY)
                    yield from self._report_once(
                        Condition.UNKNOWN_RULES, offset=offset, rules=rules
                    )
        if self.log.caught_up:
            self.position_lost_at = None
            self.reported_conditions = {
                row for row in self.reported_conditions if row[0] not in LOG_CONDITIONS
            }
        yield from self._adopt_folded_state(compiled)
        if self.log.start() != before:
            yield from self._start_read(now)

    def read_failed(self, now: Millis) -> None:
        """Delay the next read, because this one ended without a page."""
        self.reading = False
        self.must_discard_page = False
        self.log.require_verification()
        delay = full_jitter(self.read_failures, LOG_RETRY_BASE_DELAY, LOG_RETRY_MAX_DELAY, self.rng)
        self.read_failures += 1
        self.next_read_at = Millis(now + delay)

    def peer_version_received(
        self, message: PeerVersion[Member], now: Millis
    ) -> Iterator[FollowerAction]:
        """Pull from the peer if it has a newer version; report a different digest."""
        self.peer_heard_at = now
        if message.version > self.state.version:
            self.offers.add(message)
            yield from self._start_pull(now)
        elif message.version == self.state.version and message.digest != self.state.digest:
            yield from self._report_other_digest(message.digest, message.peer.daemon_id)

    def pull_answered(self, answer: PullAnswered, now: Millis) -> Iterator[FollowerAction]:
        """Put a pulled version in force if it is newer, complete and free of findings."""
        if self.pull is None or answer.pull_id != self.pull.pull_id:
            return
        peer = self.pull.peer
        self.pull = None
        if answer.reply is None:
            self.offers.record_failure(peer)
        else:
            self.peer_heard_at = now
            result = check_pull_reply(self.state, answer.reply, self.decoder)
            yield from self._handle_pull_result(peer, answer.reply, result)
        yield from self._start_pull(now)

    def answer_request(self, request: PullRequest) -> PullReply:
        """Return the answer to a pull request of a peer."""
        return answer_pull(self.state, request)

    def _handle_pull_result(
        self, peer: DaemonId, reply: PullReply, result: PullResult
    ) -> Iterator[FollowerAction]:
        # After a restart of the fold, the two daemons may hold different ids before the last common
        # one. Then all ids are requested.
        asked_for_all, self.must_request_all_seen = self.must_request_all_seen, False
        if result.verdict is PullVerdict.SEEN_MISMATCH and not asked_for_all:
            self.must_request_all_seen = True
            return
        if result.mesh_config is not None and result.state is not None:
            self.state = result.state
            self.offers.drop_outdated(peer, result.state.version)
            if result.state.through != NO_OFFSET:
                self._move_log_position(result.state)
            yield PutInForce(result.mesh_config)
            yield from self._notify()
            return
        if result.verdict is PullVerdict.SAME and not self.log.position_lost:
            self.offers.drop_outdated(peer, self.state.version)
            return
        if result.state is not None and reply.through > self.log.state.through:
            self.state = result.state
            self._move_log_position(result.state)
            return
        self.offers.record_failure(peer)
        if result.verdict in (PullVerdict.UNKNOWN_RULES, PullVerdict.FINDINGS):
            self.offers.refuse(reply.version, reply.digest)
        if result.verdict is PullVerdict.OTHER_DIGEST:
            yield from self._report_other_digest(reply.digest, peer)
        elif result.verdict not in (PullVerdict.SAME, PullVerdict.OLDER):
            yield from self._report_once(
                Condition.PULL_REFUSED,
                peer=peer,
                version=reply.version,
                reason=result.verdict.value,
                findings=len(result.findings),
            )

    def _move_log_position(self, state: ConfigState) -> None:
        # A read in flight started at the old position, perhaps in a log that was replaced since.
        self.must_discard_page = self.reading
        self.next_read_at = Millis(0)
        self.log.adopt_state(state)

    def _handle_folded_record(self, event: RecordFolded, now: Millis) -> Iterator[FollowerAction]:
        entry, step = event.entry, event.step
        record = entry.record
        if isinstance(record, SnapshotRecord):
            restart = record.through == NO_OFFSET
            after = 0 if restart else entry.offset - record.through - 1
            self.snapshot_schedule.snapshot_read(now, entry.age, after)
            return
        self.snapshot_schedule.count_record()
        if isinstance(record, PublishRecord):
            yield ReportVerdict(record.publish_id, step.verdict, step.findings)
        else:
            yield _report(Condition.UNDECODABLE, offset=entry.offset)

    def _adopt_folded_state(self, compiled: MeshConfig | None) -> Iterator[FollowerAction]:
        folded = self.log.state
        if folded.version > self.state.version:
            assert compiled is not None and compiled.version == folded.version
            self.state = folded
            self.offers.drop_outdated(self.me.daemon_id, folded.version)
            yield PutInForce(compiled)
            yield from self._notify()
        elif (folded.version, folded.digest) == (self.state.version, self.state.digest):
            self.state = folded
        elif folded.version == self.state.version:
            yield from self._report_other_digest(folded.digest, None)

    def _start_pull(self, now: Millis) -> Iterator[FollowerAction]:
        if self.pull is not None:
            return
        offer = self.offers.best_offer(self.state.version)
        peer = offer.peer if offer is not None else self._position_peer(now)
        if peer is None:
            return
        self.last_pull_id += 1
        self.pull = Pull(self.last_pull_id, peer.daemon_id, now)
        yield PullFrom(self.last_pull_id, peer, new_request(self.state, self.must_request_all_seen))

    def _position_peer(self, now: Millis) -> Member | None:
        if not self.log.position_lost or now < self.next_position_pull_at:
            return None
        self.next_position_pull_at = Millis(now + POSITION_PULL_PERIOD * self.rng.uniform(0.5, 1.5))
        return self.offers.choose_position_peer(self.members)

    def _start_read(self, now: Millis) -> Iterator[FollowerAction]:
        if self.reading or now < self.next_read_at:
            return
        silent = self.peer_heard_at is not None and now - self.peer_heard_at > PEER_SILENCE_TIMEOUT
        no_peers = silent or len(self.members) <= 1
        if not no_peers and self.me.daemon_id not in self.readers:
            self.log.require_verification()
            self.position_lost_at = None
            return
        self.reading = True
        yield ReadLog(self.log.start(), NO_PEERS_POLL_WAIT if no_peers else LOG_POLL_WAIT)

    def _write_snapshot(self, now: Millis) -> Iterator[FollowerAction]:
        replaced = self.log.caught_up and self.state.version > self.log.state.version
        # If all readers lost their position, none could fold again, so one restarts the fold.
        position_lost = (
            self.log.position_lost
            and self.log.search_finished
            and self._position_search_timed_out(now)
        )
        if not position_lost and not (self.log.caught_up and self.state.version):
            return
        restart = replaced or position_lost
        if not self.snapshot_schedule.is_due(
            now, self._rank(), restart
        ) or not self.append_tokens.take(now):
            return
        self.snapshot_schedule.write_started(now)
        state = self.log.state
        if restart:
            state = replace(self.state, through=NO_OFFSET, mark=NO_DIGEST)
        yield WriteSnapshot(
            SnapshotRecord(
                state.version,
                state.digest,
                state.rules,
                state.through,
                state.documents,
                state.seen,
                state.mark,
            )
        )

    def _position_search_timed_out(self, now: Millis) -> bool:
        return (
            self.position_lost_at is not None
            and now - self.position_lost_at >= POSITION_PULL_TIMEOUT
        )

    def _rank(self) -> int:
        if self.me.daemon_id in self.readers:
            return self.readers.index(self.me.daemon_id)
        return len(self.readers)

    def _notify(self) -> Iterator[FollowerAction]:
        near = [
            m
            for m in self.members
            if m.region == self.me.region and m.daemon_id != self.me.daemon_id
        ]
        peers = tuple(self.rng.sample(near, min(NOTICE_FANOUT, len(near))))
        yield NotifyPeers(peers, self.state.version, self.state.digest)

    def _report_other_digest(
        self, digest: Digest, peer: DaemonId | None
    ) -> Iterator[FollowerAction]:
        yield from self._report_once(
            Condition.OTHER_DIGEST,
            version=self.state.version,
            digest=self.state.digest,
            other=digest,
            peer=peer or "log",
        )

    def _report_once(self, condition: Condition, **values: object) -> Iterator[FollowerAction]:
        # Peers repeat their version with every probe, but one report for each peer and version is
        # enough. The limit keeps a faulty peer from filling the memory.
        key = (condition, *values.values())
        if key in self.reported_conditions:
            return
        if len(self.reported_conditions) >= 1024:
            self.reported_conditions.clear()
        self.reported_conditions.add(key)
        yield _report(condition, **values)


def _report(condition: Condition, **values: object) -> ReportCondition:
    return ReportCondition(condition, tuple(values.items()))
