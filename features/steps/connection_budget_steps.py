from behave import given, then, when

from agatecross_core.admission.connection_budget import (
    CONNECTION_BYTES,
    ConnectionBudget,
    ConnectionPhase,
    HeldConnection,
    Place,
)
from agatecross_core.ids import Millis

KB = 1024
MANY_PLACES = 1_000


def new_connection(name, since):
    # The decision never calls the owner, so its name stands for it.
    return HeldConnection(name, Place.CALLERS, name.split("-")[0], Millis(since))


@given('a budget of {budget:d} KB and connections "{held}"')
def step_budget(context, budget, held):
    rows = [row.split() for row in held.split("; ")]
    places = {Place.CALLERS: MANY_PLACES}
    # The sizes of the table leave out what each connection takes by itself.
    spare = CONNECTION_BYTES * (len(rows) + 1)
    context.budget = ConnectionBudget(budget * KB + spare, places)
    for name, phase, since, size in rows:
        connection = new_connection(name, int(since))
        assert not context.budget.add(connection)
        phase, since = ConnectionPhase(phase), Millis(int(since))
        assert not context.budget.update(connection, int(size) * KB, phase, since)


@when('"{name}" reads {size:d} KB more at {now:d}')
def step_read(context, name, size, now):
    connection = new_connection(name, now)
    assert not context.budget.add(connection)
    context.victims = context.budget.update(
        connection, size * KB, ConnectionPhase.READING, Millis(now)
    )


@when('"{name}" connects where {places:d} may')
def step_connect(context, name, places):
    context.budget.places = {Place.CALLERS: places}
    context.victims = context.budget.add(new_connection(name, 1_000))


@then('"{names}" are closed')
@then('"" are closed')
def step_closed(context, names=""):
    assert sorted(row.owner for row in context.victims) == names.split(), context.victims


@when("those that were chosen are closing")
def step_closing(context):
    for row in context.victims:
        row.closing = True
