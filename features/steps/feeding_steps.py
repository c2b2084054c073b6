import asyncio
import os
import random
import re
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from platform_steps import poll_until, start_testbed

from agatecross_adapters.hop_messages import ConfigBlob, ConfigDelta, Ping
from agatecross_core.distribution.catch_up import CatchUp
from agatecross_core.distribution.delta import apply_delta, make_delta
from agatecross_core.distribution.propagation import (
    ANSWER_MARGIN,
    ConfigOrigin,
    ReaderRole,
    long_poll,
    push_targets,
    reader_role,
)
from agatecross_core.distribution.readers import reader_weight
from agatecross_core.errors import DeltaError
from agatecross_core.ids import Address, Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.ping_periods import ping_periods
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.relay_messages import StoreReachability
from agatecross_daemon.store_messages import (
    ConfigChanged,
    ConfigSource,
    DeltaReceived,
)
from agatecross_daemon.tasks import announcements, config_distributor, peers_task, store_task
from agatecross_daemon.tasks.config_distributor import ConfigDistributor
from agatecross_daemon.tasks.store_task import READER_CHECK_SECONDS
from agatecross_standins.link_proxy import Link
from agatecross_standins.platform_config import config_record
from agatecross_standins.platform_store import PlatformStoreStandIn


def make_document(letters):
    rows = "" if letters == "-" else ",".join(f'{{"name":"{c}","x":"{c * 20}"}}' for c in letters)
    return f'{{"routes":[{rows}]}}'.encode()


def count_literal_bytes(steps):
    return sum(len(step) for step in steps if isinstance(step, bytes))


@when('the document "{old}" becomes "{new}"')
def step_make_delta(context, old, new):
    context.old, context.new = make_document(old), make_document(new)
    context.steps = make_delta(context.old, context.new)


@then(
    "the delta has {steps:d} steps, at most {literal:d} literal bytes, and gives the new document"
)
def step_check_delta(context, steps, literal):
    assert len(context.steps) == steps, context.steps
    assert count_literal_bytes(context.steps) <= literal, context.steps
    assert apply_delta(context.old, context.steps) == context.new


@then("the deltas of {count:d} random pairs of documents with seed {seed:d} give the new documents")
def step_check_random_deltas(context, count, seed):
    rng = random.Random(seed)
    for _ in range(count):
        old, new = (bytes(rng.choices(b"ab{}\n", k=rng.randrange(60))) for _ in range(2))
        assert apply_delta(old, make_delta(old, new)) == new, (old, new)


@when('a delta with steps "{steps}" is applied to the document "abc"')
def step_apply_invalid_delta(context, steps):
    first, count = map(int, steps.split())
    try:
        context.refused = not apply_delta(make_document("abc"), ((first, count),))
    except DeltaError:
        context.refused = True


@then("it is refused")
def step_refused(context):
    assert context.refused


class RecordingLink:
    """An open link to a peer that keeps what is sent over it."""

    is_open = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class RejectingStoreTask:
    """Finds that no delta fits."""

    def __init__(self):
        self.distributor = None

    def put(self, message):
        if isinstance(message, DeltaReceived):
            self.distributor.delta_unfit(message.delta.version)


def make_distributor(name, peers):
    me = Endpoint(name, 1, 0, "10.0.0.1:1", "north", "north-a", "shop")
    directory = Directory(me)
    directory.merge(
        replace(me, daemon_id=peer, address=f"10.0.0.2:{number}")
        for number, peer in enumerate(peers)
    )
    links = {peer: RecordingLink() for peer in peers}
    store, log = RejectingStoreTask(), DecisionLog(os.open(os.devnull, os.O_WRONLY))
    store.distributor = ConfigDistributor(directory, links, store, random.Random(1), log)
    return store.distributor


@then(
    "a daemon with version {old:d} that was sent a wrong delta to version {new:d} gets the whole "
    "version 8"
)
def step_unfit_delta(context, old, new):
    behind, ahead = make_distributor("n1", ["n2"]), make_distributor("n2", ["n1"])
    ahead.version, ahead.blob = new, b"whole"
    ahead.delta = ConfigDelta(old, new, 0, (b"wrong",))
    configuration = ConfigChanged(old, b"", None, ConfigSource(ConfigOrigin.STORE, None, 0.0))
    behind.config_changed(configuration, (), 0.0)
    pulls = []
    behind.config_received(ahead.delta, pulls.append, "n2", 0.0)
    for now in range(0, 1_000, 100):
        behind.pull_if_due(float(now))
    answers = []
    ahead.answer_pull(pulls[0].version, answers.append)
    assert answers == [ConfigBlob(new, b"whole")], answers


# The tested daemon is n1 of the north, which has version 7 in force, and is ticked each 100 ms.
@when('daemon n1 with version {version:d} is told "{events}"')
def step_told(context, version, events):
    me = Endpoint("n1", 1, 0, "10.0.0.1:1", "north", "north-a", "shop")
    peers = {
        name: replace(me, daemon_id=name, region="north" if name[0] == "n" else "south")
        for name in ("n2", "n3", "s1", "s2")
    }
    catch_up = CatchUp(me, random.Random(3))
    catch_up.came_into_force(version, None, 0.0)
    context.pulls = []
    rows = [row.split() for row in events.split("; ")]
    for now in range(0, 6_000, 100):
        for at, kind, *words in rows:
            if int(at) != now:
                continue
            if kind == "offer":
                catch_up.version_offered(peers[words[0]], int(words[1]), float(now))
            elif kind == "unfit":
                catch_up.version_offered(peers[words[0]], int(words[1]), float(now))
                catch_up.delta_unfit()
            elif kind == "gone":
                del peers[words[0]]
                catch_up.retain_peers(peers.values())
            else:
                assert kind == "force", kind
                catch_up.came_into_force(int(words[0]), None, float(now))
        for pull in catch_up.due(float(now)):
            context.pulls.append((now, pull.peer, pull.base))


@then('it asks "{peers}", first at {first:d} to {last:d} ms, with the base {base:d}')
def step_asked(context, peers, first, last, base):
    found = [peer for _, peer, _ in context.pulls]
    expected = peers.split()
    assert found[: len(expected)] == expected, context.pulls
    assert first <= context.pulls[0][0] <= last, context.pulls
    assert context.pulls[0][2] == base, context.pulls


@then("it asks nobody")
def step_asked_nobody(context):
    assert not context.pulls, context.pulls


@given('the daemons "{daemons}" of which "{reachable}" are reachable')
def step_daemons(context, daemons, reachable):
    context.endpoints = []
    for text in daemons.split("; "):
        name, region, latency, *flags = text.split()
        rates = [int(flag.removesuffix("mbit")) for flag in flags if flag.endswith("mbit")]
        endpoint = Endpoint(
            name, 1, 0, f"10.0.0.1:{len(context.endpoints)}", region, f"{region}-a", "shop"
        )
        context.endpoints.append(
            replace(
                endpoint,
                store_latency=Millis(float(latency)),
                reaches_store="unserved" not in flags,
                leaving="leaving" in flags,
                link_rate=rates[0] if rates else 0,
            )
        )
    context.reachable = frozenset(reachable.split()) - {"-"}


@then('n1 reads the store "{reads}" and pushes a change of the store to "{pushed}"')
def step_check_reads_and_pushes(context, reads, pushed):
    me = context.endpoints[0]
    role = reader_role(me, context.endpoints, context.reachable)
    assert (role is not ReaderRole.NONE) == (reads == "yes"), role
    targets = set(push_targets(me, context.endpoints, context.reachable, ConfigOrigin.STORE))
    if pushed == "2 of south":
        assert len(targets) == 2 and all(name.startswith("s") for name in targets), targets
    else:
        assert targets == set(pushed.split()) - {"-"}, targets


@then(
    "a change that daemon {first:d} of {near:d} and {remote:d} reads reaches all in {levels:d} "
    "pushes, of which no daemon sends more than {most:d}"
)
def step_check_tree(context, first, near, remote, levels, most):
    me = Endpoint("n0", 1, 0, "10.0.0.1:1", "north", "north-a", "shop", store_latency=Millis(4))
    rows = [replace(me, daemon_id=f"n{i}") for i in range(near)]
    rows += [replace(me, daemon_id=f"s{i}", region="south") for i in range(remote)]
    by_id = {row.daemon_id: row for row in rows}
    readers = sorted((name for name in by_id if name[0] == "n"), key=reader_weight)
    newest = [(readers[first - 1], ConfigOrigin.STORE)]
    reached, levels_used = {newest[0][0]}, 0
    while newest:
        pushes = []
        for name, origin in newest:
            targets = list(push_targets(by_id[name], rows, by_id, origin))
            assert len(targets) <= most, (name, len(targets))
            pushes += [(name, target) for target in targets if target not in reached]
        newest = []
        for name, target in pushes:
            if target not in reached:
                near_push = by_id[name].region == by_id[target].region
                origin = ConfigOrigin.REGION if near_push else ConfigOrigin.OTHER_REGION
                newest.append((target, origin))
                reached.add(target)
        levels_used += bool(newest)
    assert reached == set(by_id), (len(reached), len(by_id))
    assert levels_used <= levels, levels_used


@then("a reader knows within {limit:d} ms that the store is silent")
def step_silent_store(context, limit):
    # A change must be in force everywhere 2 s after the store accepted it, of which the next reader
    # needs 0.5 s.
    poll = long_poll(ReaderRole.LEADING, Millis(2_000))
    assert limit >= poll.timeout, poll


@then(
    "with a change due within {due:d} ms, a leading reader knows after {known:d} ms that the store "
    "is silent, and holds a read for {wait:d} ms"
)
def step_silent_store_bounds(context, due, known, wait):
    poll = long_poll(ReaderRole.LEADING, Millis(due))
    assert (poll.timeout, poll.wait) == (known, wait), poll


@then('the first of them has the role "{role}"')
def step_role(context, role):
    me = context.endpoints[0]
    found = reader_role(me, context.endpoints, context.reachable)
    assert found.value == role, found


def make_unserved_region(unserved, count=40):
    """Return endpoints of one region in the order of their weights; the first are unserved."""
    me = Endpoint("n0", 1, 0, "10.0.0.1:1", "north", "north-a", "shop", store_latency=Millis(4))
    names = sorted((f"n{i}" for i in range(count)), key=reader_weight)
    return [
        replace(me, daemon_id=name, reaches_store=number >= unserved)
        for number, name in enumerate(names)
    ]


def roles(rows):
    names = frozenset(row.daemon_id for row in rows)
    return {row.daemon_id: reader_role(row, rows, names) for row in rows}


@then("{readers:d} daemons read the store")
def step_reader_count(context, readers):
    rows = make_unserved_region(int(context.active_outline["unserved"]))
    found = sum(role is not ReaderRole.NONE for role in roles(rows).values())
    assert found == readers, found


@then(
    "with a change due within {due:d} ms, a daemon that is served reads it after at most "
    "{limit:d} ms"
)
def step_takeover(context, due, limit):
    silent = int(context.active_outline["silent"])
    rows = make_unserved_region(0)
    started, failed = {}, set()
    for now in range(0, 20_000, 50):
        for row in rows[:silent]:
            name = row.daemon_id
            if name in started and now >= started[name][1]:
                failed.add(name)
        rows = [replace(row, reaches_store=row.daemon_id not in failed) for row in rows]
        for name, role in roles(rows).items():
            if role is ReaderRole.NONE or name in started:
                continue
            # Readers that join later notice their role after a while and read the newest record.
            joined = now + (READER_CHECK_SECONDS * 1000 if now else 0)
            known = long_poll(role, Millis(due)).timeout if not now else ANSWER_MARGIN
            started[name] = (joined, joined + known)
        served = [started[row.daemon_id][0] for row in rows[silent:] if row.daemon_id in started]
        # Those that read from the start hold a poll that the change answers at once.
        if served:
            break
    assert min(served) <= limit, (served, now)


@when("a call of d{number:d} to the store has failed")
def step_call_failed(context, number):
    store = context.testbed.sidecars[number].store

    async def work():
        store.calls.failures = 1
        store.peers.put(StoreReachability(False, store.calls.latency))
        await wait_for_reachability(context.testbed, number, False)

    context.testbed.run(work())


@then("every daemon knows that the store answers d{number:d}")
def step_knows_store(context, number):
    context.testbed.run(wait_for_reachability(context.testbed, number, True))


async def wait_for_reachability(testbed, number, expected):
    directories = [sidecar.peers.directory for sidecar in testbed.sidecars]
    await poll_until(
        lambda: all(row.rows[f"d{number}"].reaches_store is expected for row in directories),
        "the reachability of the store",
    )


@when("the store falls silent for the daemons that read it")
def step_silent_for_readers(context):
    testbed = context.testbed
    silent = context.silent_store = PlatformStoreStandIn()
    silent.switches.silent = True

    async def work():
        address = silent.listen()
        readers = [row for row in testbed.sidecars if row.store.is_reader()]
        for sidecar in readers:
            sidecar.front_end.set_store_address(address)
        await poll_until(lambda: silent.calls >= len(readers), "every reader to ask the store")

    testbed.run(work())
    context.add_cleanup(lambda: testbed.run(stop_silent_store(silent)))


async def stop_silent_store(silent):
    silent.switches.silent = False
    await silent.close()


@then("no reader had asked the silent store to hold a read for more than {limit:d} ms")
def step_silent_reads(context, limit):
    waits = [
        int(wait)
        for path in context.silent_store.paths
        for wait in re.findall(r"waitMs=(\d+)", path)
    ]
    assert waits and max(waits) <= limit, waits


@then(
    "a daemon pings each near one every {near_ms:d} ms and each remote one every {remote_ms:d} ms"
)
def step_ping_periods(context, near_ms, remote_ms):
    row = context.active_outline
    me = Endpoint("n", 1, 0, "10.0.0.1:1", "north", "north-a", "shop")
    peers = [replace(me, daemon_id=f"n{i}") for i in range(int(row["near"]))]
    peers += [replace(me, daemon_id=f"s{i}", region="south") for i in range(int(row["remote"]))]
    context.periods = ping_periods("north", peers, ())
    assert set(context.periods.values()) == {near_ms, remote_ms} - {0}, set(
        context.periods.values()
    )


@then("it sends at most {rate:d} idle pings a second")
def step_ping_rate(context, rate):
    found = sum(1000 / period for period in context.periods.values())
    assert found <= rate, found


def north_reads(me, *_):
    return ReaderRole.LEADING if me.region == "north" else ReaderRole.NONE


def never_ping(region, peers, pushed):
    return {peer.daemon_id: Millis(600_000) for peer in peers}


@given("a platform fleet without pushes and pings, of which the north reads the store")
def step_fleet_without_pushes(context):
    patches = (
        mock.patch.object(config_distributor, "push_targets", lambda *_: ()),
        mock.patch.object(peers_task, "ping_periods", never_ping),
        mock.patch.object(store_task, "reader_role", north_reads),
        # A later reading of the announcements shows as well that the store answers.
        mock.patch.object(announcements, "READ_DELAYS_SECONDS", (0.0,)),
    )
    for patch in patches:
        patch.start()
        context.add_cleanup(patch.stop)
    start_testbed(context, False)


@given("a platform fleet of which the north always reads the store")
def step_fleet_north_reads(context):
    patch = mock.patch.object(store_task, "reader_role", north_reads)
    patch.start()
    context.add_cleanup(patch.stop)
    start_testbed(context, False)


@when("d{number:d} has version {version:d} in force and pings d{other:d} once")
def step_ping_once(context, number, version, other):
    sidecar = context.testbed.sidecars[number]

    async def work():
        await poll_until(lambda: sidecar.store.version == version, "the version from the store")
        sidecar.peers.links[f"d{other}"].send(Ping(False, version))

    context.testbed.run(work())


@given("a platform fleet whose links to the store carry {mbit:d} Mbit/s each")
def step_slow_store_links(context, mbit):
    start_testbed(context, False)
    testbed = context.testbed
    _, _, store_port = testbed.store_address.rpartition(":")

    async def work():
        links = {}
        for sidecar, port in zip(testbed.sidecars, testbed.ports.reserve(3), strict=True):
            link = links[sidecar.settings.daemon_id] = Link(mbit, 1.0)
            context.add_cleanup(lambda link=link: testbed.run(link.close()))
            await link.serve(port, int(store_port))
            sidecar.front_end.set_store_address(Address(f"127.0.0.1:{port}"))
        readers = [row.settings.daemon_id for row in testbed.sidecars if row.store.is_reader()]
        await poll_until(
            lambda: all(links[name].carried.forward for name in readers),
            "the readers to use their links",
        )

    testbed.run(work())


@when("the operator writes versions {first:d} to {last:d} with {count:d} more routes")
def step_write_many_routes(context, first, last, count):
    routes = tuple((f"/more/{number}/", "safe", "s0") for number in range(count))

    async def work():
        for version in range(first, last + 1):
            context.testbed.store.append_record(
                "keyed.op", "config", config_record(version, routes)
            )
            await asyncio.sleep(0)

    context.testbed.run(work())


@then(
    "reading {size:d} KB again and again takes a daemon that is no reader at most {rate:d} KB a "
    "second"
)
def step_poll_rate(context, size, rate):
    found = size * 4 / 3 / store_task.NON_READER_POLL_SECONDS
    assert found <= rate, found
