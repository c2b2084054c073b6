from behave import then, when

from agatecross_core.ids import Millis, ServiceName
from agatecross_core.relay.model import RelayResponse, RelayResult, not_run_result
from agatecross_core.relay.shedding import SheddingServices
from agatecross_core.states import Outcome, Reason


@when('the results of a service are "{results}"')
def step_service_results(context, results):
    answers = {
        "shed": not_run_result(Reason.SHED, reached_upstream=True),
        "full": not_run_result(Reason.OVERLOADED),
        "ran": RelayResult(Outcome.RAN, None, RelayResponse(200, (), b""), True),
    }
    context.shedding, context.now = SheddingServices(), Millis(0)
    for word in results.split("; "):
        if word.startswith("+"):
            context.now = Millis(context.now + float(word))
        else:
            context.now = Millis(context.now + 20)
            context.shedding.record(ServiceName("s"), answers[word], context.now)


@then('a call that was shed is tried again: "{again}"')
def step_shed_again(context, again):
    shedding = context.shedding.includes(ServiceName("s"), context.now)
    assert again == ("no" if shedding else "yes")
