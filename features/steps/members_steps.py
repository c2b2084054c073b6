import contextlib
import itertools
import random
from dataclasses import replace

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st
from steps.swim_driver import SwimDriver, make_member

from agatecross_adapters.codec import decode_control, encode_control
from agatecross_core.constants import BOOTSTRAP_ANNOUNCEMENTS, MAX_MEMBERS
from agatecross_core.distribution.pulls import VersionNotice
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import Address, Incarnation, Version
from agatecross_core.members import bootstrap
from agatecross_core.members.bootstrap import AnnouncementsRead, Bootstrap
from agatecross_core.members.dissemination import ReportQueue
from agatecross_core.members.records import (
    AnnounceRecord,
    Clearance,
    Gossip,
    IndirectProbe,
    Probe,
    ProbeAck,
    Strike,
    SyncReply,
    SyncRequest,
    UpstreamInfo,
    identity_of,
)
from agatecross_core.members.swim import ProbeIndirectly, Swim, SyncWith, TableFull
from agatecross_core.states import MemberState, UpstreamState

QUICK_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
PORTS = st.integers(1, 65535)
DIGEST = "0123456789abcdef" * 2


def parse_record(number, text):
    if text == "none":
        return None
    state, incarnation = text.split()
    return make_member(number, int(incarnation), MemberState(state))


def new_swim(peers=0):
    swim = Swim(make_member(0, 5), random.Random(1))
    list(swim.detect_pause(1.0))
    list(swim.merge([make_member(n) for n in range(1, peers + 1)], 1.0))
    return swim


@given("a daemon of incarnation 5")
def start_alone(context):
    context.swim = new_swim()


@given('a daemon that holds the record "{text}"')
def start_with_record(context, text):
    context.swim = new_swim()
    record = parse_record(1, text)
    list(context.swim.merge([record] if record else [], 1.0))


@when('it hears the record "{text}"')
def hear_record(context, text):
    list(context.swim.merge([parse_record(1, text)], 2.0))


@when('it hears of itself as "{text}"')
def hear_of_itself(context, text):
    list(context.swim.merge([parse_record(0, text)], 2.0))


@then('it holds the record "{text}"')
def check_record(context, text):
    assert context.swim.table.get("d1") == parse_record(1, text), context.swim.table


@then('its own record is "{text}"')
def check_own_record(context, text):
    assert context.swim.me == parse_record(0, text), context.swim.me


@when('it gets a table with "{text}" {when}')
def receive_table(context, text, when):
    now = 60_000.0 if when == "after a pause" else 2.0
    list(context.swim.detect_pause(now))
    list(context.swim.merge_sync_reply(SyncReply((parse_record(1, text),), None, True), now))


@then('its answer to a probe of incarnation {sent:d} holds "{text}"')
def check_answer(context, sent, text):
    for _ in range(40):
        context.swim.take_updates()
    expected = parse_record(1, text)
    rows = context.swim.take_updates_for_reply(identity_of(make_member(1, sent)))
    assert rows == ((expected,) if expected else ()), rows


@when('{seconds:d} s pass and it hears the record "{text}"')
def wait_and_hear(context, seconds, text):
    for second in range(seconds):
        list(context.swim.tick(1000.0 * second))
    hear_record(context, text)


def lossy(driver, percent, partitioned=lambda: False):
    def lose(sender, receiver):
        apart = partitioned() and (sender - receiver) % 2
        return bool(apart) or driver.rng.random() * 100 < percent

    return lose


@given("{count:d} members with seed {seed:d} that lose {loss:d} % of messages")
def start_driver(context, count, seed, loss):
    context.driver = SwimDriver(count, seed)
    context.driver.run(5)
    context.loss = loss
    context.driver.lose = lossy(context.driver, loss)


@when("member {number:d} is killed")
def kill_member(context, number):
    context.driver.kill(number)


@when("member {number:d} leaves")
def leave_member(context, number):
    swim = context.driver.nodes[number]
    context.driver.perform(
        swim, swim.update_own_record(replace(swim.me, state=MemberState.LEAVING))
    )
    for peer in swim.urgent_update_targets():
        context.driver.send_probe(swim, peer.daemon_id, peer.control_address, introduce=True)


@when("member {number:d} leaves and is killed")
def leave_and_kill_member(context, number):
    leave_member(context, number)
    context.driver.run(2)
    context.driver.kill(number)


@when("member {number:d} is paused for {periods:d} periods")
def pause_member(context, number, periods):
    context.driver.paused.add(number)
    context.driver.run(periods)
    context.driver.paused.discard(number)


@when("{who} restarts with a {clock} clock")
def restart_members(context, who, clock):
    driver = context.driver
    numbers = list(driver.nodes) if who == "every member" else [int(who.split()[1])]
    old = {number: driver.nodes.pop(number) for number in numbers}
    driver.run(3)
    for number, swim in old.items():
        step = 1_000 if clock == "higher" else -1
        me = make_member(number, max(0, swim.me.incarnation + step))
        driver.start(me)
    for number in numbers:
        driver.sync(driver.nodes[number], make_member((number + 1) % 9).control_address)


@when("members {one:d} and {two:d} do not know each other")
def forget_each_other(context, one, two):
    driver = context.driver
    driver.run(60)
    for here, there in ((one, two), (two, one)):
        del driver.nodes[here].table[f"d{there}"]
        driver.newest_incarnations.pop((here, f"d{there}"))


@when("member {number:d} is replaced under a new id")
def replace_member(context, number):
    context.driver.kill(number)
    swim = context.driver.start(make_member(number, 1, daemon_id="new"))
    context.driver.sync(swim, make_member(0).control_address)


@when("the regions are partitioned for {periods:d} periods")
def partition(context, periods):
    driver = context.driver
    partitioned = [True]
    driver.lose = lossy(driver, context.loss, lambda: partitioned[0])
    driver.run(periods)
    states_in_west = {state for n in (0, 2) for state in [driver.nodes[n].table["d1"].state]}
    assert states_in_west == {MemberState.DEAD}, states_in_west
    partitioned[0] = False


@when("nothing happens for {periods:d} periods")
def let_time_pass(context, periods):
    context.driver.run(periods)


@then("within {periods:d} protocol periods {who} is {state} in all other tables")
def check_states(context, periods, who, state):
    driver = context.driver
    ids = [f"d{who.split()[1]}"] if who != "every member" else [f"d{n}" for n in driver.nodes]
    wanted = {MemberState(state)}
    reached = driver.run_until(lambda: all(set(driver.states(i)) <= wanted for i in ids), periods)
    assert reached, {i: driver.states(i) for i in ids}


def run_random_faults(seed, count, faults):
    driver = SwimDriver(count, seed)
    driver.run(5)
    for kind, number, periods in faults:
        number %= count
        if kind == "lose":
            driver.lose = lossy(driver, 10 * periods)
        elif kind == "pause":
            driver.paused ^= {number}
        elif number in driver.nodes and len(driver.nodes) > 2:
            driver.kill(number)
        driver.run(periods)
    driver.paused.clear()
    driver.lose = lambda sender, receiver: False
    gone = [f"d{n}" for n in range(count) if n not in driver.nodes]
    here = [swim.me.daemon_id for swim in driver.nodes.values()]

    def agreed():
        dead = all(set(driver.states(i)) <= {MemberState.DEAD, None} for i in gone)
        alive = all(set(driver.states(i)) == {MemberState.ALIVE} for i in here)
        return dead and alive and not any(swim.stale for swim in driver.nodes.values())

    assert driver.run_until(agreed, 150), {i: driver.states(i) for i in (*gone, *here)}


@then("under random faults the members agree on who is alive")
def check_random_faults(context):
    kinds = st.sampled_from(["lose", "pause", "kill"])
    faults = st.lists(st.tuples(kinds, st.integers(0, 7), st.integers(0, 9)), max_size=8)
    check = hypothesis.given(st.integers(0, 1000), st.integers(3, 8), faults)(run_random_faults)
    QUICK_SETTINGS(check)()


@given("a daemon with {peers:d} peers that was paused for {seconds:d} s")
def start_paused(context, peers, seconds):
    context.swim = new_swim(peers)
    context.now = 1000.0 * seconds
    context.sent = list(context.swim.tick(context.now))


@then("its view is stale")
def check_stale(context):
    assert context.swim.stale


@then("it asks another peer for the table when the first gives no answer")
def check_sync_retry(context):
    asked = list(context.sent)
    for _ in range(60):
        context.now += 250.0
        asked += context.swim.tick(context.now)
    addresses = [action.address for action in asked if isinstance(action, SyncWith)]
    assert len(addresses) >= 7 and len(set(addresses)) > 1, addresses


@then("its view is current after a complete table but not after a sample")
def check_synced(context):
    list(context.swim.merge_sync_reply(SyncReply((), None, False), context.now))
    assert context.swim.stale
    list(context.swim.merge_sync_reply(SyncReply((), None, True), context.now))
    assert not context.swim.stale


@then("a probe sent before the pause raises no suspicion")
def check_old_probe(context):
    target = context.swim.table["d1"]
    assert not list(context.swim.probe_failed(target, 2.0))
    assert not list(context.swim.indirect_probe_failed(target, 2.0, context.now))


@then("the time of the pause does not count against a suspect")
def check_suspect_after_pause(context):
    swim = new_swim(3)
    list(swim.merge([make_member(1, 1, MemberState.SUSPECT)], 2.0))
    list(swim.tick(60_000.0))
    assert swim.table["d1"].state is MemberState.SUSPECT


@given("a daemon with {peers:d} peers and a probe in flight")
def start_probe(context, peers):
    context.swim = new_swim(peers)
    list(context.swim.tick(1000.0))


@when("the next tick comes after {late:d} ms and the probe gets no answer")
def tick_late(context, late):
    list(context.swim.tick(1000.0 + late))
    context.sent = list(context.swim.probe_failed(context.swim.table["d1"], 1000.0))


@then("helpers are asked: {asked}")
def check_helpers(context, asked):
    assert any(isinstance(a, ProbeIndirectly) for a in context.sent) == (asked == "yes")


@given("a daemon whose table is full")
def fill_table(context):
    context.swim = new_swim(MAX_MEMBERS - 1)


@when("it hears of {count:d} more members")
def hear_of_new_members(context, count):
    new_members = [make_member(MAX_MEMBERS + n) for n in range(count)]
    context.sent = [a for m in new_members for a in context.swim.merge([m], 2.0)]


@then("it holds no more members and reports this once")
def check_full(context):
    assert len(context.swim.table) == MAX_MEMBERS
    assert [type(action) for action in context.sent] == [TableFull]


@when(
    "{count:d} daemons start at once on a log with {stale:d} old announcements"
    " and a {round_trip:d} ms round trip"
)
def start_at_once(context, count, stale, round_trip):
    """Run the bootstrap decisions in steps of 5 ms; daemons that run answer every contact."""
    rng = random.Random(7)
    stream = [AnnounceRecord(make_member(50_000 + n), 0) for n in range(stale)]
    members = [make_member(n) for n in range(count)]
    addresses = {member.control_address for member in members}
    nodes = [Bootstrap(member, random.Random(rng.random())) for member in members]
    contacts = [{} for _ in nodes]
    due, order = [], itertools.count()
    context.reads, context.reads_in_flight = 0, [0] * count
    for now in range(0, 300_000, 5):
        if now % 100 == 0 and all(len(rows) > 0 for rows in contacts):
            break
        results = [row for row in due if row[0] <= now]
        due = [row for row in due if row[0] > now]
        for _, _, index, action in sorted(results, key=lambda row: row[:2]):
            if isinstance(action, bootstrap.Announce):
                stream.append(AnnounceRecord(members[index], 0))
                continue
            context.reads_in_flight[index] -= 1
            rows = tuple(enumerate(stream))[action.start :]
            page = AnnouncementsRead(rows, 0, len(stream))
            for answer in nodes[index].announcements_read(
                page, contacts[index].values(), float(now)
            ):
                if isinstance(answer, bootstrap.ContactPeer):
                    answered = answer.address in addresses
                    nodes[index].contact_answered(answer.address, answered)
                    if answered:
                        other = int(answer.address.split(":")[1]) - 10_000
                        contacts[index][other] = members[other]
                        contacts[other][index] = members[index]
                else:
                    due.append((now + round_trip, next(order), index, answer))
        for index, node in enumerate(nodes):
            if node.next_read_at is not None and now < node.next_read_at:
                continue
            for action in node.tick(float(now)):
                context.reads += 1
                context.reads_in_flight[index] += 1
                assert context.reads_in_flight[index] == 1
                due.append((now + round_trip, next(order), index, action))
        if count == 1 and now > 20_000:
            break
    context.contacts, context.appended = contacts, len(stream) - stale


@then("every daemon has joined")
def check_joined(context):
    assert len(context.contacts) == 1 or all(context.contacts)


@then("at most {most:d} announcements were appended")
def check_appended(context, most):
    assert 1 <= context.appended <= most, context.appended
    assert len(context.contacts) < BOOTSTRAP_ANNOUNCEMENTS or context.appended > 1


@then("no daemon has more than one read in flight and all daemons made at most {reads:d} reads")
def check_reads(context, reads):
    assert context.reads <= reads, context.reads


@given("a daemon that announced itself as record {offset:d} of the log")
def announce_once(context, offset):
    node = context.node = Bootstrap(make_member(1), random.Random(1))
    assert [action.start for action in node.tick(0.0)] == [0]
    own = (offset, AnnounceRecord(node.me, 0))
    list(node.announcements_read(AnnouncementsRead((own,), 0, offset + 1, 1), (), 0.0))
    assert node.state is bootstrap.BootstrapState.SETTLED and node.position == offset + 1


@when('it learns of another log with {count:d} records by "{sign}"')
def replace_announcements(context, count, sign):
    node, now = context.node, context.node.next_read_at
    context.page = AnnouncementsRead((), 0, count, 2)
    if sign == "the configuration's log":
        now = 10.0
        node.log_replaced(now)
    else:
        assert list(node.tick(now))
        if sign == "a read under way":
            node.log_replaced(now)
            stale = AnnouncementsRead(((3, AnnounceRecord(node.me, 0)),), 0, count, 1)
            list(node.announcements_read(stale, (), now))
        else:
            list(node.announcements_read(context.page, (), now))
    context.now = now


@then("it reads that log from record 0 and announces itself again")
def check_announced_again(context):
    node, starts, announced = context.node, [], False
    limit = context.now + 60_000
    while not announced and context.now < limit:
        context.now = max(context.now, node.next_read_at)
        starts += [action.start for action in node.tick(context.now)]
        answers = list(node.announcements_read(context.page, (), context.now))
        announced = bootstrap.Announce() in answers
    assert announced and starts[0] == 0, (announced, starts)


@given("a daemon that fails to read the log {count:d} times")
def fail_reads(context, count):
    context.retry_delays = []
    for seed in range(200):
        node = Bootstrap(make_member(1), random.Random(seed))
        now, delays = 0.0, []
        for _ in range(count):
            assert list(node.tick(now)) and not list(node.tick(now))
            node.read_failed(now)
            delays.append(node.next_read_at - now)
            now = node.next_read_at
        context.retry_delays.append(delays)


@then("its retry delays have full jitter and stay within {seconds:d} s")
def check_delays(context, seconds):
    for attempt, delays in enumerate(zip(*context.retry_delays, strict=True)):
        limit = min(1000.0 * 2**attempt, 1000.0 * seconds)
        assert max(delays) <= limit
        assert min(delays) < 0.1 * limit and max(delays) > 0.9 * limit, (attempt, min(delays))


@given("a strike and a clearance that are reported twice")
def report_twice(context):
    context.reports = ReportQueue()
    context.strike, context.clearance = Strike("f", "d1", 5), Clearance("g")
    batch = ((context.strike,), (context.clearance,))
    context.new_reports = [context.reports.add(*batch, now) for now in (1.0, 2.0)]


@then("each is new once and is sent {count:d} times")
def check_reports(context, count):
    assert context.new_reports == [
        ((context.strike,), (context.clearance,)),
        ((), ()),
    ], context.new_reports
    sent = [context.reports.take(count) for _ in range(count + 3)]
    assert sum(len(strikes) for strikes, _ in sent) == count
    assert sum(len(clearances) for _, clearances in sent) == count


@then("the clearance is new again after another strike")
def check_clearance_again(context):
    context.reports.add([Strike("g", "d1", 6)], [], 3.0)
    assert context.reports.add([], [context.clearance], 4.0) == ((), (context.clearance,))


def large_member(number):
    address = "192.168.10.10:40000"
    info = UpstreamInfo("materials-ordering", address, 17, 120, UpstreamState.READY)
    name = f"koebenhavn-a-case-portal-{number:04d}"
    base = make_member(0, 1_790_000_000_000, daemon_id=name)
    return replace(
        base,
        region="sjaelland",
        data_centre="koebenhavn-a",
        call_address=address,
        peer_address=address,
        control_address=address,
        admin_address=address,
        upstream=info,
    )


@then("{message} takes at most {limit:d} bytes")
def check_size(context, message, limit):
    me, peer = large_member(1), large_member(2)
    swim = Swim(me, random.Random(1))
    if "updates" in message:
        list(swim.merge([large_member(n) for n in range(3, 103)], 1.0))
    gossip = Gossip(750, DIGEST, swim.take_updates())
    rows = {
        "an idle probe": Probe(identity_of(me), peer.daemon_id, gossip),
        "an idle answer": ProbeAck(gossip),
        "a probe with 100 pending updates": Probe(identity_of(me), peer.daemon_id, gossip),
        "a notice of a new version": VersionNotice(me, 750, DIGEST),
    }
    size = len(encode_control(rows[message]))
    assert size <= limit, size
    assert bool(gossip.members) == ("updates" in message)


@then("every control message decodes to itself")
def check_round_trip(context):
    st.register_type_strategy(Address, st.builds("{}:{}".format, st.ip_addresses(), PORTS))
    for counter in (Incarnation, Version):
        st.register_type_strategy(counter, st.integers(0, 2**53))
    counts = st.integers(0, 2**53)
    info = st.builds(UpstreamInfo, slots=counts, connections=counts)
    st.register_type_strategy(UpstreamInfo, info)
    hashes = st.lists(st.integers(0, 2**32 - 1)).map(tuple)
    st.register_type_strategy(SyncRequest, st.builds(SyncRequest, hashes=hashes))
    for kind in (Probe, ProbeAck, IndirectProbe, SyncRequest, SyncReply):

        @hypothesis.settings(QUICK_SETTINGS, max_examples=15)
        @hypothesis.given(st.from_type(kind))
        def check(message):
            assert decode_control(encode_control(message)) == message

        check()
    me = large_member(1)
    gossip = Gossip(1, DIGEST, (me,), (Strike("f", "d", 1),), (Clearance("f"),))
    for message in (SyncReply((me,), gossip, False), Probe(identity_of(me), "d", gossip)):
        assert decode_control(encode_control(message)) == message


@then("any bytes decode to a message or end in MessageDecodeError")
def check_fuzz(context):
    me = large_member(1)
    valid = encode_control(Probe(identity_of(me), "d", Gossip(1, DIGEST, (me,))))

    def damaged(cut, position, value):
        data = bytearray(valid)
        data[position % len(data)] = value
        return bytes(data[: len(data) - cut % 7])

    near = st.builds(damaged, st.integers(0, 6), st.integers(0, 300), st.integers(0, 255))
    tagged = st.builds(
        lambda tag, rest: b"\x92" + bytes([tag]) + rest, st.integers(0, 12), st.binary()
    )

    @hypothesis.settings(QUICK_SETTINGS, max_examples=500)
    @hypothesis.given(st.one_of(st.binary(), near, tagged))
    def check(data):
        try:
            message = decode_control(data)
        except MessageDecodeError:
            return
        assert decode_control(encode_control(message)) == message

    check()
    huge = replace(me, upstream=replace(me.upstream, slots=2**70))
    with contextlib.suppress(MessageDecodeError):
        encode_control(Probe(identity_of(me), "d", Gossip(1, DIGEST, (huge,))))
        raise AssertionError("a count that no peer can decode was encoded")
    nested = b"\x92\x01" + b"\x91" * 100_000
    with contextlib.suppress(MessageDecodeError):
        decode_control(nested)
        raise AssertionError("deep nesting was decoded")
