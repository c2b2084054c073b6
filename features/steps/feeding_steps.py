import random
import re
from dataclasses import replace

from behave import given, then, when
from platform_steps import poll_until

from agatecross_adapters.hop_messages import ConfigBlob, ConfigDelta
from agatecross_core.distribution.delta import apply_delta, make_delta
from agatecross_core.distribution.propagation import (
    ReaderRole,
    long_poll,
    push_targets,
    reader_role,
)
from agatecross_core.errors import DeltaError
from agatecross_core.ids import Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.ping_periods import ping_periods
from agatecross_daemon.tasks.config_distributor import ConfigDistributor
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


def make_distributor(name, peers):
    me = Endpoint(name, 1, 0, "10.0.0.1:1", "north", "north-a", "shop")
    directory = Directory(me)
    directory.merge(replace(me, daemon_id=peer, address=f"10.0.0.2:{len(peer)}") for peer in peers)
    links = {peer: RecordingLink() for peer in peers}
    return ConfigDistributor(directory, links, None, None), links


@then(
    "a daemon with version {old:d} that was sent a wrong delta to version {new:d} gets the whole "
    "version 8"
)
def step_unfit_delta(context, old, new):
    behind, links = make_distributor("n1", ["n2"])
    behind.version = old
    behind.pull_from_region(new)
    (pull,) = links["n2"].sent
    ahead, _ = make_distributor("n2", ["n1"])
    ahead.version, ahead.blob = new, b"whole"
    ahead.delta = ConfigDelta(old, new, 0, (b"wrong",))
    answers = []
    ahead.answer_pull(pull.version, answers.append)
    assert answers == [ConfigBlob(new, b"whole")], answers


@given('the daemons "{daemons}" of which "{reachable}" are reachable')
def step_daemons(context, daemons, reachable):
    context.endpoints = []
    for text in daemons.split("; "):
        name, region, latency, *flags = text.split()
        endpoint = Endpoint(
            name, 1, 0, f"10.0.0.1:{len(context.endpoints)}", region, f"{region}-a", "shop"
        )
        context.endpoints.append(
            replace(
                endpoint,
                store_latency=Millis(float(latency)),
                reaches_store="unserved" not in flags,
                leaving="leaving" in flags,
            )
        )
    context.reachable = frozenset(reachable.split()) - {"-"}


@then('n1 reads the store "{reads}" and pushes a change of the store to "{pushed}"')
def step_check_reads_and_pushes(context, reads, pushed):
    me = context.endpoints[0]
    role = reader_role(me, context.endpoints, context.reachable)
    assert (role is not ReaderRole.NONE) == (reads == "yes"), role
    targets = set(push_targets(me, context.endpoints, context.reachable, True))
    if pushed == "2 of south":
        assert len(targets) == 2 and all(name.startswith("s") for name in targets), targets
    else:
        assert targets == set(pushed.split()) - {"-"}, targets


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
    context.periods = ping_periods("north", peers)
    assert set(context.periods.values()) == {near_ms, remote_ms} - {0}, set(
        context.periods.values()
    )


@then("it sends at most {rate:d} idle pings a second")
def step_ping_rate(context, rate):
    found = sum(1000 / period for period in context.periods.values())
    assert found <= rate, found
