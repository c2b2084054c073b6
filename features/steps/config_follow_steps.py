import random
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as given_example
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents, digest_of
from agatecross_core.config.documents import BASE, Document
from agatecross_core.config.fold import fold_entry
from agatecross_core.config.model import ConfigState, OffsetRecord, PublishRecord, SnapshotRecord
from agatecross_core.constants import LOG_RETRY_BASE_DELAY, LOG_RETRY_MAX_DELAY, NO_OFFSET
from agatecross_core.distribution.follower import (
    ConfigFollower,
    PeerVersion,
    PullAnswered,
    PullFrom,
    PutInForce,
    ReadLog,
    RecordsRead,
    ReportCondition,
    WriteSnapshot,
)
from agatecross_core.distribution.pulls import answer_pull, check_pull_reply, new_request
from agatecross_core.distribution.readers import reader_weight
from agatecross_core.members.records import Member
from agatecross_core.pacing import full_jitter
from agatecross_core.states import MemberState, PublishVerdict

BASE_TEXT = """[mesh]
name = "m"
[regions.r]
data_centres = ["a"]
[services.s]
timeout_ms = {}
[routes.r]
prefix = "/"
service = "s"
"""


def base(timeout_ms):
    return (Document(BASE, BASE_TEXT.format(timeout_ms)),)


def member(name, region="r0", data_centre="a"):
    where = (f"{name}:1", f"{name}:2", f"{name}:3", f"{name}:4")
    return Member(name, 1, MemberState.ALIVE, region, data_centre, *where)


def snapshot_record(state):
    what = (state.version, state.digest, state.rules, state.through)
    return SnapshotRecord(*what, state.documents, state.seen, state.mark)


class SimulatedLog:
    """A log that also folds all of its records, as the reference for what readers should reach."""

    def __init__(self, epoch, era=0):
        self.epoch, self.era = epoch, era
        self.entries = []
        self.first = 0
        self.folded = []

    def append(self, record, age=0.0):
        offset = len(self.entries)
        entry = OffsetRecord(offset, record, f"{self.epoch}:{offset}", age)
        self.entries.append(entry)
        self.folded.append(fold_entry(self.current, entry, decode_toml).state)

    @property
    def current(self):
        return self.folded[-1] if self.folded else ConfigState()

    def page(self, start, limit=512):
        begin = max(start, self.first)
        records = tuple(self.entries[begin:][:limit])
        return RecordsRead(records, self.first, len(self.entries), self.era)


class Instance:
    """One instance: its follower, and the follower's actions that await an answer."""

    def __init__(self, me, members, seed, snapshot_after):
        self.me = me
        self.follower = ConfigFollower(me, decode_toml, random.Random(seed), snapshot_after)
        self.follower.view_changed(members)
        self.read = self.pull = None
        self.notices = []
        self.snapshots = []
        self.versions = [(0, "")]
        self.conditions = []
        self.must_fail = False

    def act(self, actions):
        for action in actions:
            match action:
                case ReadLog():
                    assert self.read is None, "two reads in flight"
                    self.read = action
                case PullFrom():
                    self.pull = action
                case WriteSnapshot(record):
                    self.snapshots.append(record)
                case PutInForce(snapshot):
                    self.versions.append((snapshot.version, snapshot.digest))
                case ReportCondition(condition, _):
                    self.conditions.append(condition.value)


def machine_class(faults):
    class FollowMachine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.now = 0.0
            self.logs = [SimulatedLog(0)]
            self.count = 0
            self.members = tuple(member(f"d{i}", f"r{i % 2}", f"dc{i % 3}") for i in range(6))
            self.instances = [Instance(m, self.members, i, 4) for i, m in enumerate(self.members)]

        @property
        def log(self):
            return self.logs[-1]

        @rule(kind=st.sampled_from(["valid"] * 4 + ["stale", "invalid", "again", "undecodable"]))
        def publish(self, kind):
            self.count += 1
            state = self.log.current
            record = PublishRecord(f"p{self.count}", state.version, 1, base(self.count))
            if kind == "stale":
                record = replace(record, parent=state.version - 1)
            elif kind == "invalid":
                record = replace(record, documents=base(0))
            elif kind == "again" and state.seen:
                record = replace(record, publish_id=state.seen[-1])
            self.log.append(None if kind == "undecodable" else record)

        @rule(number=st.integers(0, 5), limit=st.integers(1, 6))
        def serve_read(self, number, limit):
            one = self.instances[number]
            if one.read is None:
                return
            read, one.read = one.read, None
            if one.must_fail:
                one.must_fail = False
                one.follower.read_failed(self.now)
                return
            one.act(one.follower.records_read(self.log.page(read.start, limit), self.now))

        @rule(order=st.permutations(range(6)), limit=st.integers(1, 6))
        def serve_reads(self, order, limit):
            self.pass_time(1.0)
            for number in order[:3]:
                self.serve_read(number, limit)

        @rule(number=st.integers(0, 5))
        def fail_read(self, number):
            one = self.instances[number]
            if one.read is not None:
                one.read = None
                one.follower.read_failed(self.now)

        @rule(number=st.integers(0, 5), answered=st.booleans())
        def end_pull(self, number, answered):
            one = self.instances[number]
            if one.pull is None:
                return
            pull, one.pull = one.pull, None
            reply = None
            if answered:
                peer = next(i for i in self.instances if i.me.daemon_id == pull.peer.daemon_id)
                reply = peer.follower.answer_request(pull.request)
            one.act(one.follower.pull_answered(PullAnswered(pull.pull_id, reply), self.now))

        @rule(sender=st.integers(0, 5), receiver=st.integers(0, 5))
        def pull_from(self, sender, receiver):
            self.gossip(sender, receiver)
            self.end_pull(receiver, True)

        @rule(sender=st.integers(0, 5), receiver=st.integers(0, 5))
        def gossip(self, sender, receiver):
            if sender == receiver:
                return
            peer, one = self.instances[sender], self.instances[receiver]
            state = peer.follower.state
            heard = PeerVersion(peer.me, state.version, state.digest)
            one.act(one.follower.peer_version_received(heard, self.now))

        @rule(seconds=st.floats(0.1, 40))
        def pass_time(self, seconds):
            self.now += seconds * 1000
            for one in self.instances:
                one.act(one.follower.tick(self.now))

        @rule(number=st.integers(0, 5), lost=st.booleans())
        def append_snapshots(self, number, lost):
            one = self.instances[number]
            for record in () if lost else one.snapshots:
                self.log.append(record)
            one.snapshots.clear()

        @rule(number=st.integers(0, 5))
        def restart(self, number):
            me = self.members[number]
            self.count += 1
            self.instances[number] = Instance(me, self.members, self.count, 4)

        if "retention" in faults:

            @rule(keep=st.integers(0, 12))
            def expire(self, keep):
                self.log.first = max(self.log.first, len(self.log.entries) - keep)

        if "replacement" in faults:

            @rule(records=st.integers(0, 3))
            def replace_log(self, records):
                self.logs.append(SimulatedLog(len(self.logs)))
                for _ in range(records):
                    self.publish("valid")
                for one in self.instances:
                    # A log is replaced during an outage, in which reads and appends fail.
                    one.must_fail = True
                    one.snapshots.clear()

        if "restores" in faults:

            @rule(lost=st.integers(1, 6), reverse=st.booleans(), again=st.booleans())
            def restore_log(self, lost, reverse, again):
                # No read fails: the log may be away between two reads of a daemon.
                old = self.log
                kept = max(0, len(old.entries) - lost)
                log = SimulatedLog(len(self.logs), old.era + 1)
                log.entries, log.folded = old.entries[:kept], old.folded[:kept]
                log.first = min(old.first, kept)
                self.logs.append(log)
                records = [entry.record for entry in old.entries[kept:]]
                for record in (records[::-1] if reverse else records) if again else ():
                    log.append(record)
                for one in self.instances:
                    one.snapshots.clear()

        @invariant()
        def versions_never_go_back(self):
            for one in self.instances:
                numbers = [version for version, _ in one.versions]
                assert numbers == sorted(set(numbers)), numbers
                state = one.follower.state
                assert (state.version, state.digest) == one.versions[-1]

        @invariant()
        def readers_fold_alike(self):
            for one in self.instances:
                state = one.follower.log.state
                if state.through == NO_OFFSET:
                    assert state == ConfigState()
                    continue
                epoch = int(state.mark.split(":")[0])
                assert state == self.logs[epoch].folded[state.through], one.me.daemon_id

        @invariant()
        def one_digest_for_each_version(self):
            if len(self.logs) > 1:
                return
            pairs = {pair for one in self.instances for pair in one.versions}
            assert len(pairs) == len({version for version, _ in pairs}), pairs

        def teardown(self):
            self.settle()
            self.publish("valid")
            self.settle()
            states = {i.me.daemon_id: i.versions[-1] for i in self.instances}
            assert self.agreed(), (self.log.current.version, states)

        def agreed(self):
            wanted = (self.log.current.version, self.log.current.digest)
            position_lost = any(i.follower.log.position_lost for i in self.instances)
            return {i.versions[-1] for i in self.instances} == {wanted} and not position_lost

        def settle(self):
            for _ in range(90):
                if self.agreed():
                    return
                self.pass_time(1.0)
                for number in range(6):
                    self.serve_read(number, 512)
                    self.end_pull(number, True)
                    self.append_snapshots(number, False)
                    for other in range(6):
                        self.gossip(other, number)
                self.versions_never_go_back()
                self.readers_fold_alike()
                self.one_digest_for_each_version()

    return FollowMachine


@given('6 followers in 2 regions on a simulated log with "{faults}"')
def define_machine(context, faults):
    context.machine = machine_class(faults.split(", "))


@then("in {examples:d} random histories no version goes back and all readers fold alike")
def run_machine(context, examples):
    run_state_machine_as_test(
        context.machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


DOCUMENTS = (
    *base(1),
    *base(2),
    *base(0),
    Document("a", "[services.s]\ntimeout_ms = 7\n"),
    Document("a", "[services.s]\ntimeout = 7\n"),
    Document("b", "[services.s]\ntimeout_ms = 7\n"),
)
RECORDS = st.builds(
    PublishRecord,
    st.sampled_from([f"p{i}" for i in range(6)]),
    st.integers(0, 3),
    st.sampled_from([1, 1, 1, 99]),
    st.lists(st.sampled_from(DOCUMENTS), max_size=2).map(tuple),
    st.lists(st.sampled_from(["a", "b", "base"]), max_size=1).map(tuple),
)


@then("{examples:d} random sequences of records leave only checked versions with their own digest")
def fold_random(context, examples):
    @settings(max_examples=examples, derandomize=True, deadline=None, database=None)
    @given_example(st.lists(st.none() | RECORDS, max_size=12))
    def check(records):
        state = ConfigState()
        for offset, record in enumerate(records):
            entry = OffsetRecord(offset, record, str(offset))
            step = fold_entry(state, entry, decode_toml)
            assert fold_entry(state, entry, decode_toml) == step
            if step.verdict is PublishVerdict.UNKNOWN_RULES:
                assert step.state == state
                return
            accepted = step.verdict is PublishVerdict.ACCEPTED
            assert step.state.version == state.version + accepted
            assert accepted or step.state.documents == state.documents
            assert accepted == (step.mesh_config is not None)
            if step.verdict not in (PublishVerdict.DUPLICATE, PublishVerdict.UNDECODABLE):
                assert (step.verdict is PublishVerdict.CONFLICT) == (record.parent != state.version)
            again = fold_entry(step.state, replace(entry, offset=offset + 1), decode_toml)
            assert record is None or again.verdict is PublishVerdict.DUPLICATE
            state = step.state
            if state.version:
                snapshot, findings = compile_documents(state.documents, decode_toml, state.version)
                assert snapshot is not None, findings
                assert snapshot.digest == state.digest

    check()


@then("a pull after {common:d} common publishes carries {count:d} publish id")
def check_pull_size(context, common, count):
    ids = tuple(f"p{i}" for i in range(common + 1))
    mine = ConfigState(1, digest_of(base(1)), base(1), ids[:-1], through=common - 1, mark="a")
    theirs = ConfigState(2, digest_of(base(2)), base(2), ids[1:], through=common, mark="b")
    reply = answer_pull(theirs, new_request(mine, False))
    assert len(reply.seen) == count, len(reply.seen)
    assert check_pull_reply(mine, reply, decode_toml).state == theirs


def follower_with_publishes(versions, members, me=None, snapshot_after=256):
    """Return an instance that folded `versions` publishes, and its log."""
    log = SimulatedLog(0)
    for number in range(versions):
        log.append(PublishRecord(f"p{number}", number, 1, base(number + 1)))
    one = Instance(me or members[0], members, 1, snapshot_after)
    one.act(one.follower.tick(0.0))
    one.read = None
    one.act(one.follower.records_read(log.page(0), 0.0))
    return one, log


@given('a follower with version 2 and peers "near, far"')
def start_puller(context):
    me = member("me")
    context.peers = {"near": member("near"), "far": member("far", "r1", "b")}
    context.one, context.log = follower_with_publishes(2, (me, *context.peers.values()))
    context.log.append(PublishRecord("p3", 2, 1, base(9)))
    context.newest = context.log.current


@when('peer "near" offers version {offered:d} and its pull ends as "{behaviour}"')
def end_pull(context, offered, behaviour):
    one, newest = context.one, context.newest
    digest = newest.digest if offered == 3 else "other" * (behaviour == "has another digest")
    if offered == 3:
        one.follower.offers.add(PeerVersion(context.peers["far"], offered, digest))
    one.act(
        one.follower.peer_version_received(PeerVersion(context.peers["near"], offered, digest), 0.0)
    )
    if offered != 3:
        assert one.pull is None
        return
    assert one.pull.peer.daemon_id == "near", "the nearest peer is not asked first"
    pull, one.pull = one.pull, None
    source = SimpleNamespace(follower=ConfigFollower(one.me, decode_toml, random.Random(1)))
    source.follower.state = newest
    reply = source.follower.answer_request(pull.request)
    broken = (Document(BASE, "[mesh]\n"),)
    replies = {
        "answers newer": reply,
        "fails": None,
        "answers older": replace(reply, version=1),
        "sends a broken document": replace(reply, changed=broken),
        "has other seen ids": replace(reply, seen_digest="other"),
        "needs unknown rules": replace(reply, rules=99),
        "has findings": replace(reply, changed=broken, digest=digest_of(broken)),
    }
    if behaviour == "is silent":
        one.act(one.follower.tick(7_000.0))
        return
    if behaviour == "has findings":
        refused = PeerVersion(context.peers["far"], 3, digest_of(broken))
        one.follower.offers.add(refused)
    one.act(one.follower.pull_answered(PullAnswered(pull.pull_id, replies[behaviour]), 0.0))


@then('the next pull goes to "{name}" and version {version:d} is in force')
def check_next_pull(context, name, version):
    pull = context.one.pull
    assert (pull.peer.daemon_id if pull else "none") == name, pull
    assert context.one.versions[-1][0] == version, context.one.versions
    follower = context.one.follower
    assert follower.state.version == version
    wanted = 2 if version == 3 else 1
    assert follower.log.state.through == wanted, "the position was not taken with the state"


@then('the reported conditions are "{conditions}"')
def check_conditions(context, conditions):
    assert context.one.conditions == [conditions], context.one.conditions


@then('the reported conditions are ""')
def check_no_conditions(context):
    assert context.one.conditions == [], context.one.conditions


@given("a reader that folded 3 publishes")
def start_reader(context):
    context.one, context.log = follower_with_publishes(3, (member("me"),))


@when("it reads a log that {case}")
def read_log(context, case):
    one, log = context.one, context.log
    other = SimulatedLog(1)
    for number in range(2):
        other.append(PublishRecord(f"q{number}", number, 1, base(number + 100)))
    for _ in range(2 if case == "has other records" else 0):
        other.append(None)
    if case in ("has other records", "expired the last folded record"):
        one.read = None
        one.follower.read_failed(0.0)
        one.follower.next_read_at = 0.0
        one.act(one.follower.tick(0.0))
        assert one.read.start == 2, "the last folded record is not read again after a failure"
    if case == "was restored and is longer":
        log = SimulatedLog(1, era=1)
        for number in range(5):
            log.append(PublishRecord(f"r{number}", number, 1, base(number + 200)))
    elif case in ("is empty", "has lower offsets", "has other records"):
        log = SimulatedLog(1) if case == "is empty" else other
    elif case == "needs unknown rules":
        log.append(PublishRecord("p3", 3, 99, base(9)))
    elif case == "holds an undecodable record":
        log.append(None)
        log.append(PublishRecord("p3", 3, 1, base(9)))
    else:
        for number in range(3, 6 if "expired" in case or "late" in case else 4):
            log.append(PublishRecord(f"p{number}", number, 1, base(number + 1)))
        if case == "expired the last folded record":
            log.first = 3
        elif "expired" in case or "late" in case:
            log.first = 5
            state = log.folded[3 if case.startswith("holds") else 4]
            if case != "expired records":
                through = NO_OFFSET if "restart" in case else state.through
                log.append(replace(snapshot_record(state), through=through))
    for _ in range(2 if log.epoch else 1):
        start, one.read = one.read.start, None
        one.act(one.follower.records_read(log.page(start), 0.0))
    if case in ("has lower offsets", "has other records", "was restored and is longer"):
        assert one.follower.log.state == log.current, "the new log was not folded"
    if case == "has other records":
        assert one.conditions.pop() == "record_undecodable"
        assert one.conditions.pop() == "record_undecodable"


@when("its read fails")
def fail_read(context):
    context.one.follower.read_failed(0.0)


@then("version {version:d} is in force and the next read starts at {start:d}")
def check_position(context, version, start):
    one = context.one
    assert one.versions[-1][0] == version, one.versions
    assert one.follower.log.start() == start, one.follower.log.start()


@when("it takes version 4 and position 4 from a peer that reads a replaced log")
def take_position(context):
    one, peer = context.one, member("peer")
    replaced = SimulatedLog(1)
    for number in range(4):
        replaced.append(PublishRecord(f"q{number}", number, 1, base(number + 50)))
    replaced.append(None)
    source = ConfigFollower(peer, decode_toml, random.Random(1))
    source.state = replaced.current
    context.late_read = one.read
    one.act(one.follower.peer_version_received(PeerVersion(peer, 4, source.state.digest), 0.0))
    reply = source.answer_request(one.pull.request)
    one.act(one.follower.pull_answered(PullAnswered(one.pull.pull_id, reply), 0.0))


@when("the page of the earlier log arrives with a publish on version 4")
def deliver_late_page(context):
    log = context.log
    for _ in range(2):
        log.append(None)
    log.append(PublishRecord("late", 4, 1, base(77)))
    context.one.act(context.one.follower.records_read(log.page(context.late_read.start), 0.0))


def ranked_members(count, rank, region="r0"):
    """Return the members of one region, the one with rank `rank` first."""
    names = sorted((f"d{i}" for i in range(count)), key=reader_weight)
    mine = names.pop(rank)
    return tuple(member(name, region) for name in (mine, *names))


@given("a reader of rank {rank:d} that folded 3 publishes and writes after 2 records")
def start_writer(context, rank):
    members = ranked_members(3, rank)
    context.one, context.log = follower_with_publishes(3, members, snapshot_after=2)


@when('{seconds:d} seconds pass after "{case}"')
def pass_seconds(context, seconds, case):
    one, log = context.one, context.log
    context.written = []
    if case.startswith(("no ", "a snapshot of")):
        one.follower.snapshot_schedule.snapshot_after_records = 256
    if case.startswith("a snapshot of"):
        log.append(snapshot_record(log.current), age=int(case.split()[3]) * 3_600_000.0)
    if case == "no peer has a position":
        for number in range(3):
            log.append(PublishRecord(f"x{number}", 3 + number, 1, base(number + 9)))
        log.first = 5
    if case == "the log came back empty":
        log = SimulatedLog(1)
    for tenth in range(seconds * 10):
        now = tenth * 100.0
        if case == "a snapshot by another" and tenth == 10:
            log.append(snapshot_record(log.current))
        one.act(
            one.follower.peer_version_received(PeerVersion(one.follower.members[1], 0, ""), now)
        )
        one.act(one.follower.tick(now))
        if one.read is not None:
            read, one.read = one.read, None
            one.act(one.follower.records_read(log.page(read.start), now))
        context.written += one.snapshots
        if case != "repeated lost appends":
            for record in one.snapshots:
                log.append(record)
        one.snapshots.clear()


@then("{count:d} snapshots were written, through offset {through:d}")
def check_snapshots(context, count, through):
    rows = context.written
    assert len(rows) == count, len(rows)
    assert all(record.through == through for record in rows), rows
    assert all(record.version == 3 for record in rows), rows


@then("200 delays of attempt {attempt:d} are within {limit:d} ms and reach both halves")
def check_delays(context, attempt, limit):
    rng = random.Random(7)
    delays = [
        full_jitter(attempt, LOG_RETRY_BASE_DELAY, LOG_RETRY_MAX_DELAY, rng) for _ in range(200)
    ]
    assert all(0 <= delay <= limit for delay in delays)
    assert min(delays) < limit / 2 < max(delays)


@given("a member with {others:d} other members in its region, rank {rank:d}")
def start_member(context, others, rank):
    members = ranked_members(others + 1, rank)
    context.one = Instance(members[0], members, 1, 256)


@when("its peers have been silent for {seconds:d} seconds")
def silence_peers(context, seconds):
    follower = context.one.follower
    follower.peer_heard_at = 0.0
    context.one.act(follower.tick(seconds * 1000.0))


@then("it reads the log: {reads}")
def check_reads(context, reads):
    assert (context.one.read is not None) == (reads == "yes")
