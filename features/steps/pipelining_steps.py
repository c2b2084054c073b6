from behave import given, then

from agatecross_core.admission.pipelining import PipelineWindow
from agatecross_core.constants import KIB


@given('a connection that got responses of sizes "{sizes}"')
@given('a connection that got responses of sizes ""')
def step_window(context, sizes=""):
    context.window = PipelineWindow()
    for size in sizes.split():
        context.window.start()
        context.window.end(int(size) * KIB)


@given(
    "{running:d} of its requests run, {waiting:d} KiB wait for earlier ones "
    "and {unsent:d} KiB are unsent"
)
def step_running(context, running, waiting, unsent):
    for _ in range(running):
        context.window.start()
    context.window.waiting_bytes, context.unsent = waiting * KIB, unsent * KIB


@then('with memory "{memory}", one more request {may} start')
def step_may_start(context, memory, may):
    found = context.window.may_start(context.unsent, memory == "short")
    assert found == (may == "may"), found
