import json
import random
from pathlib import Path

from behave import given, then, when
from platform_steps import poll_until, start_testbed

from agatecross_core.customers.keys import KeyHasher, KeyTable
from agatecross_core.customers.model import Customer, call_rank
from agatecross_standins.platform_config import config_record

OPEN_ROUTE = ("/open/", "safe", "s0")


def customer_record(version, keys_of_ann):
    tenants = (
        {"name": "ann", "keys": keys_of_ann, "priority": 0},
        {"name": "bob", "keys": ["k-bob"], "priority": 2},
    )
    return config_record(version, [OPEN_ROUTE], tenants=tenants)


def write_record(context, record):
    testbed = context.testbed
    version = int(json.loads(record)["version"][1:])
    testbed.store.append_record("keyed.op", "config", record)

    def in_force():
        return all(sidecar.entry.table.version == version for sidecar in testbed.sidecars)

    testbed.run(poll_until(in_force, f"version {version}"))


def parse_fields(text):
    rows = [row.partition(":") for row in text.split(";")]
    return tuple((name.strip(), value.strip()) for name, _, value in rows)


@given("a platform fleet with customers")
def step_fleet(context):
    start_testbed(context, False, 30)
    write_record(context, customer_record(8, ["k-ann-1", "k-ann-2"]))


@when('a caller of d{number:d} with the fields "{fields}" sends "{line}"')
def step_send(context, number, line, fields):
    context.answer = context.testbed.run(context.testbed.send(number, line, parse_fields(fields)))


@then('the upstream saw the customer "{name}" and no credentials')
def step_saw_customer(context, name):
    for upstream in context.testbed.upstreams:
        for fields in upstream.received_requests:
            assert fields.get("x-tenant", "-") == name, fields
            assert "authorization" not in fields, fields


@then('the queue of the upstream that ran it counts demand of "{name}"')
def step_counted_demand(context, name):
    testbed = context.testbed
    ran = [bool(upstream.received_requests) for upstream in testbed.upstreams]
    counted = [list(sidecar.exit.queue.demand.recent.sums) for sidecar in testbed.sidecars]
    assert counted == [[name] if has_run else [] for has_run in ran], (ran, counted)


@then('the upstream saw the fields "{fields}"')
def step_saw_fields(context, fields):
    received = [row for upstream in context.testbed.upstreams for row in upstream.received_requests]
    for name, value in parse_fields(fields):
        assert [row.get(name) for row in received] == [value], received


@when('the operator writes version {version:d} in which "ann" holds "{keys}"')
def step_write(context, version, keys):
    write_record(context, customer_record(version, keys.split(",")))


@when("daemon d{number:d} is killed and starts again")
def step_restart(context, number):
    testbed = context.testbed
    settings = testbed.sidecars[number].settings

    async def work():
        await testbed.kill_daemon(number)
        sidecar = await testbed.start_daemon(number, settings)
        await poll_until(lambda: sidecar.entry.table is not None, "a configuration")
        await testbed.send_heartbeat(number)
        await poll_until(lambda: testbed.sees_all_upstreams(sidecar), "every upstream")

    testbed.run(work())


@then('a caller of d{number:d} gets "{statuses}"')
def step_statuses(context, number, statuses):
    testbed = context.testbed
    for row in statuses.split("; "):
        key, status = row.split()
        fields = (("Authorization", f"Token {key}"),)
        answer = testbed.run(testbed.send(number, "GET /safe/1", fields))
        assert answer.status == int(status), (key, answer)


@then('no log line or metric contains "{words}"')
def step_no_key(context, words):
    texts = [Path(path).read_text() for path in context.testbed.log_paths()]
    texts += [sidecar.metrics.render().decode() for sidecar in context.testbed.sidecars]
    found = [word for word in words.split(",") for text in texts if word in text]
    assert not found, found


@then('the calls "{order}" rank in this order')
def step_rank(context, order):
    ranks = []
    for row in order.split():
        customer, _, route = row.rpartition("/")
        known = None if customer == "-" else Customer("c", int(customer))
        ranks.append(call_rank(known, int(route)))
    assert ranks == sorted(ranks), ranks
    assert len(set(ranks)) == len(ranks) or "-/0" in order, ranks


@when("a key table of {count:d} customers is built twice with one hasher")
def step_build(context, count):
    rng = random.Random(1)
    keys = [f"{rng.getrandbits(96):024x}" for _ in range(count)]
    rows = [(Customer(f"c{number}"), (key,)) for number, key in enumerate(keys)]
    hasher = KeyHasher(b"secret")
    KeyTable(rows, hasher)
    first = dict(hasher.digests)
    hasher.digest = None
    context.key_table = KeyTable(rows, hasher)
    del hasher.digest
    assert hasher.digests == first
    context.keys = keys


@then("every {step:d}th key is found, no other key is, and the second table hashed no key")
def step_found(context, step):
    for number in range(0, len(context.keys), step):
        found = context.key_table.find(context.keys[number].encode())
        assert found is not None and found.name == f"c{number}", found
        assert context.key_table.find(context.keys[number][:-1].encode()) is None
