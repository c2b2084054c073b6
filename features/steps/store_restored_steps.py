from behave import then, when
from platform_steps import poll_until

from agatecross_core.distribution.store_era import EraTracker
from agatecross_standins.platform_config import config_record

OTHER_RECORD = "other"


def era(text):
    return None if text == "none" else int(text)


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


@then('with era {known} known it says "{change}", and era {present} is present')
def step_observe(context, known, change, present):
    row = context.active_outline
    tracker = EraTracker()
    tracker.era = era(known)
    found = tracker.observe(era(row["era"]), era(row["asked"]))
    assert (found.value, tracker.era) == (change, era(present)), (found, tracker.era)
