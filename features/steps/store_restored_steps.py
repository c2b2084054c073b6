import asyncio
import random
from dataclasses import replace
from pathlib import Path
from unittest import mock

from behave import given, then, when
from feeding_steps import wait_for_reachability
from platform_steps import poll_until, start_testbed

from agatecross_adapters.endpoint_codec import encode_endpoint
from agatecross_core.distribution.propagation import ReaderRole
from agatecross_core.distribution.store_era import EraTracker, EraView
from agatecross_core.ids import Address, Millis
from agatecross_core.members.stored_records import StoredRecord, StoredRecords
from agatecross_core.pacing import fleet_jitter
from agatecross_daemon.tasks import announcements, peers_task, store_task
from agatecross_standins.platform_config import config_record
from agatecross_standins.platform_store import PlatformStoreStandIn, Topic

OTHER_RECORD = "other"
# Longer than any scenario lasts.
NEVER_SECONDS = 600.0


def era(text):
    return None if text == "none" else int(text)


@given("a platform fleet that has read its announcements")
def step_settled_fleet(context):
    patch = mock.patch.object(announcements, "READ_DELAYS_SECONDS", (0.0,))
    patch.start()
    context.add_cleanup(patch.stop)
    start_testbed(context, False)


@given("a platform fleet of which only d0 reads the store")
def step_one_reader(context):
    roles = context.reader_roles = {"d0": ReaderRole.LEADING}
    patches = (
        mock.patch.object(
            store_task, "reader_role", lambda me, *_: roles.get(me.daemon_id, ReaderRole.NONE)
        ),
        mock.patch.object(announcements, "READ_DELAYS_SECONDS", (0.0,)),
        mock.patch.object(store_task, "NON_READER_RETRY_SECONDS", NEVER_SECONDS),
        mock.patch.object(store_task, "UNSERVED_CHECK_SECONDS", NEVER_SECONDS),
    )
    for patch in patches:
        patch.start()
        context.add_cleanup(patch.stop)
    start_testbed(context, False)


@when("d0 loses the store while it is no reader, and is a reader again once the store answers")
def step_reader_again(context):
    testbed = context.testbed

    async def work():
        del context.reader_roles["d0"]
        await lose_store(testbed, 0)
        testbed.store.switches.refuse = False
        await asyncio.sleep(0.1)
        context.reader_roles["d0"] = ReaderRole.LEADING

    testbed.run(work())


@when("every daemon loses the store until it answers d0 again")
def step_lose_and_regain(context):
    testbed = context.testbed

    async def work():
        await lose_store(testbed, 0)
        for sidecar in testbed.sidecars[1:]:
            sidecar.store.calls._record_failure("check", "lost")
        for number in range(len(testbed.sidecars)):
            await wait_for_reachability(testbed, number, False)
        # Every daemon has noticed in its turn that nobody is served.
        await asyncio.sleep(2 * store_task.READER_CHECK_SECONDS)
        testbed.store.switches.refuse = False

    testbed.run(work())


async def lose_store(testbed, number):
    testbed.store.switches.refuse = True
    # A record ends the long poll that is under way.
    testbed.store.append_record("keyed.op", "other", b"{}")
    calls = testbed.sidecars[number].store.calls
    await poll_until(lambda: calls.failures, "the daemon to lose the store")


@given("a platform fleet that removes unreachable peers soon")
def step_removing_fleet(context):
    patches = (
        mock.patch.object(announcements, "READ_DELAYS_SECONDS", (0.0,)),
        mock.patch.object(announcements, "REREAD_SECONDS", 0.2),
        mock.patch.object(peers_task, "FORGET_PEER_AFTER", Millis(500)),
    )
    for patch in patches:
        patch.start()
        context.add_cleanup(patch.stop)
    start_testbed(context, False)


@when("the store comes back from a copy in which the gone daemon {daemon_id} is announced")
def step_restore_gone(context, daemon_id):
    testbed = context.testbed

    async def work():
        own = testbed.sidecars[0].peers.directory.me
        # Nothing listens at the discard port.
        gone = replace(own, daemon_id=daemon_id, address=Address("127.0.0.1:9"))
        testbed.store.append_record("keyed.endpoints", daemon_id, encode_endpoint(gone))
        testbed.store.restore(testbed.store.copy_topics())

    testbed.run(work())


@then("the store has no record of {daemon_id}")
def step_no_record(context, daemon_id):
    store = context.testbed.store
    context.testbed.run(
        poll_until(lambda: daemon_id not in store.newest("keyed.endpoints"), "the withdrawal")
    )


@when("d{number:d} has noticed the other content")
def step_noticed(context, number):
    daemon = context.testbed.sidecars[number].store
    context.testbed.run(
        poll_until(lambda: daemon.config.other_content_checksum, "the other content")
    )


@when("the store is copied")
def step_copy(context):
    context.store_copy = context.testbed.store.copy_topics()


@when('the store comes back from the copy, with the records "{records}"')
def step_restore(context, records):
    store = context.testbed.store

    async def work():
        # The readers lose the store, and ask again from their offsets once it is back.
        store.switches.refuse = True
        store.restore(context.store_copy)
        readers = [row.store for row in context.testbed.sidecars if row.store.is_reader()]
        await poll_until(
            lambda: all(reader.calls.failures for reader in readers),
            "the readers to lose the store",
        )
        for word in records.split() if records != "none" else ():
            key, value = OTHER_RECORD, b"{}"
            if word != OTHER_RECORD:
                key, value = "config", config_record(int(word), ())
            store.append_record("keyed.op", key, value)
        store.switches.refuse = False

    context.testbed.run(work())


@when("the store is copied empty")
def step_copy_empty(context):
    context.store_copy = {**context.testbed.store.copy_topics(), "keyed.endpoints": Topic()}


@when("the store comes back from the copy once")
def step_restore_once(context):
    context.testbed.run(restore_store(context, 1))


@when("the store comes back from the copy twice")
def step_restore_twice(context):
    context.testbed.run(restore_store(context, 2))


async def restore_store(context, times):
    store = context.testbed.store
    for _ in range(times):
        appends = store.appends
        store.restore(context.store_copy)
        # The second restore takes away what was written after the first.
        await poll_until(lambda appends=appends: store.appends > appends, "a record to be written")


@when("d{informed:d} has noticed a restore in era {number:d} and its link from d{other:d} is lost")
def step_missed_notice(context, informed, number, other):
    daemons = context.testbed.sidecars

    async def work():
        daemons[informed].peers.restored_era = number
        context.appends = context.testbed.store.appends
        daemons[other].peers.links[f"d{informed}"].connection.abort()

    context.testbed.run(work())


@then("d{number:d} writes its announcement again")
def step_announced_again(context, number):
    testbed = context.testbed
    store = testbed.store

    def is_reported():
        return "event=store_restore_reported" in Path(testbed.log_paths()[number]).read_text()

    async def work():
        await poll_until(is_reported, "the report")
        await poll_until(lambda: store.appends > context.appends, "the announcement")

    context.testbed.run(work())


@when("every daemon's settings name another store, which holds version {version:d}")
def step_other_store(context, version):
    testbed = context.testbed
    before, testbed.store = testbed.store, PlatformStoreStandIn()
    context.add_cleanup(lambda: testbed.run(before.close()))

    async def work():
        address = testbed.store.listen()
        for _ in range(before.topics["keyed.op"].end):
            testbed.store.append_record("keyed.op", "config", config_record(version, ()))
        for sidecar in testbed.sidecars:
            settings = replace(sidecar.settings, store=address)
            sidecar.reload(lambda settings=settings: settings)

    testbed.run(work())


@then('the store has the records "{keys}" again')
def step_records(context, keys):
    store = context.testbed.store
    wanted = set(keys.split(","))
    context.testbed.run(poll_until(lambda: store.newest("keyed.endpoints").keys() >= wanted, keys))


@when("the store comes back from the copy and refuses appends")
def step_restore_refusing(context):
    testbed = context.testbed

    async def work():
        testbed.store.switches.refuse_appends = True
        testbed.store.restore(context.store_copy)
        daemon = testbed.sidecars[0].store
        await poll_until(lambda: daemon.calls.era == testbed.store.era, "the era of the store")

    testbed.run(work())


@when("the store takes appends again")
def step_take_appends(context):
    context.testbed.store.switches.refuse_appends = False


@then('after "{history}" the records "{missing}" are missing')
def step_missing(context, history, missing):
    records = StoredRecords()
    for entry in history.split("; "):
        match entry.split():
            case ["write", name, number]:
                records.record_written(StoredRecord(name), int(number))
            case ["restored", number]:
                records.store_restored(int(number))
            case ["reported"]:
                records.all_missing()
            case ["drop", name]:
                records.drop(StoredRecord(name))
    expected = set() if missing == "-" else set(missing.split(", "))
    assert {record.value for record in records.missing} == expected, records.missing


@then("{count:d} daemons write again within {limit:d} ms, spread over that time")
def step_delays(context, count, limit):
    rng = random.Random(1)
    delays = [fleet_jitter(count, rng) for _ in range(count)]
    early = sum(delay < limit / 2 for delay in delays)
    assert max(delays) <= limit and count / 4 < early < 3 * count / 4, (max(delays), early)


@then('with era {known} known it says "{change}", and era {present} is present')
def step_observe(context, known, change, present):
    row = context.active_outline
    tracker = EraTracker()
    tracker.view = EraView(era(known))
    found = tracker.observe(era(row["era"]), EraView(era(row["asked"])))
    assert (found.value, tracker.view.era) == (change, era(present)), (found, tracker.view)


@then('reports and answers "{events}" are taken as "{results}"')
def step_reports(context, events, results):
    tracker, found = EraTracker(), []
    asked = tracker.view
    for event in events.split("; "):
        word, *number = event.split()
        if word == "report":
            found.append("new" if tracker.report(int(number[0])) else "known")
        elif word == "ask":
            asked = tracker.view
        else:
            found.append(tracker.observe(int(number[0]), asked).value)
    assert found == results.split("; "), found
