"""The attempts of one call until its outcome, as a generator of actions."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum

from ..admission.retry import RetryBudget
from ..config.model import ServicePolicy
from ..ids import DaemonId, Millis
from ..routing.model import Candidate, ChoiceRequest, Purpose
from ..states import Outcome, Reason
from .model import Call, CallResult, not_run_result

Chooser = Callable[[ChoiceRequest], Candidate | None]


@dataclass(frozen=True, slots=True)
class Attempt:
    """Action: send the call to this candidate, and return the result to the flow.

    If there is no result after `hedge_after`, return `Progress.HEDGE_DELAY_ELAPSED` and continue
    the attempt.
    """

    call: Call
    target: Candidate
    hedge_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class HedgedAttempt:
    """Action: send the call to a second candidate, and return the first of the two results."""

    call: Call
    target: Candidate


@dataclass(frozen=True, slots=True)
class AwaitResult:
    """Action: return the next result of the attempts that are outstanding."""


class Progress(Enum):
    """Events that are returned to a flow besides results."""

    HEDGE_DELAY_ELAPSED = "elapsed"


FlowAction = Attempt | HedgedAttempt | AwaitResult
FlowEvent = CallResult | Progress
CallFlow = Generator[FlowAction, FlowEvent, CallResult]


def run_call(call: Call, policy: ServicePolicy, chooser: Chooser, budget: RetryBudget) -> CallFlow:
    """Yield actions until the call has an outcome after which no retry is useful or allowed.

    The driver of the flow must cancel the attempts that are outstanding when the flow ends.
    """
    tried: list[DaemonId] = []
    result = not_run_result(Reason.NO_UPSTREAM)
    budget.add_first_attempt()
    while len(tried) < policy.attempts:
        purpose = Purpose.RETRY if tried else Purpose.FIRST
        target = chooser(_choice_request(call, policy, tried, purpose))
        if target is None or (tried and not budget.take()):
            break
        tried.append(target.member.daemon_id)
        latest = yield from _attempt(call, policy, target, chooser, budget, tried)
        result = _combine_results(result, latest)
        if not _may_retry(call, latest):
            break
    return result


def _attempt(
    call: Call,
    policy: ServicePolicy,
    target: Candidate,
    chooser: Chooser,
    budget: RetryBudget,
    tried: list[DaemonId],
) -> CallFlow:
    may_hedge = call.idempotent and len(tried) < policy.attempts
    event = yield Attempt(call, target, target.hedge_after if may_hedge else None)
    if isinstance(event, CallResult):
        return event
    second_target = chooser(_choice_request(call, policy, tried, Purpose.HEDGE))
    if second_target is None or not budget.take():
        return (yield from _next_result())
    tried.append(second_target.member.daemon_id)
    earlier_result = yield HedgedAttempt(call, second_target)
    assert isinstance(earlier_result, CallResult)
    if earlier_result.outcome is Outcome.RAN:
        return earlier_result
    return _combine_results(earlier_result, (yield from _next_result()))


def _next_result() -> CallFlow:
    event = yield AwaitResult()
    assert isinstance(event, CallResult)
    return event


def _choice_request(
    call: Call, policy: ServicePolicy, tried: list[DaemonId], purpose: Purpose
) -> ChoiceRequest:
    quantile = policy.hedge_quantile if call.idempotent else 0.0
    return ChoiceRequest(call.service, tuple(tried), purpose, call.deadline, quantile)


def _may_retry(call: Call, result: CallResult) -> bool:
    if result.outcome is Outcome.RAN or result.reason is Reason.DEADLINE:
        return False
    return result.outcome is Outcome.NOT_RUN or call.idempotent


def _combine_results(before: CallResult, latest: CallResult) -> CallResult:
    # A later refusal does not rule out that an earlier attempt ran.
    if before.outcome is Outcome.UNKNOWN and latest.outcome is Outcome.NOT_RUN:
        return before
    return latest
