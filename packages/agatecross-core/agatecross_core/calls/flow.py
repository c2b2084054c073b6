"""One call from its arrival to its outcome, as a generator of attempts."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

from ..admission.retry import RetryBudget
from ..config.model import ServicePolicy
from ..ids import DaemonId
from ..routing.model import Candidate, ChoiceRequest
from ..states import Outcome, Reason
from .model import Call, CallResult, not_run

Chooser = Callable[[ChoiceRequest], Candidate | None]


@dataclass(frozen=True, slots=True)
class Attempt:
    """Action: send the call to this candidate and send back the result."""

    call: Call
    target: Candidate


CallFlow = Generator[Attempt, CallResult, CallResult]


def run_call(call: Call, policy: ServicePolicy, chooser: Chooser, budget: RetryBudget) -> CallFlow:
    """Yield attempts until the call has an outcome that must or may not be improved."""
    tried: list[DaemonId] = []
    result = not_run(Reason.NO_UPSTREAM)
    budget.first_attempt()
    for number in range(policy.attempts):
        if number and not budget.take():
            break
        target = chooser(ChoiceRequest(call.service, tuple(tried)))
        if target is None:
            break
        tried.append(target.member.daemon_id)
        latest = yield Attempt(call, target)
        result = _combine(result, latest)
        if not _may_repeat(call, latest):
            break
    return result


def _may_repeat(call: Call, result: CallResult) -> bool:
    if result.outcome is Outcome.RAN or result.reason is Reason.DEADLINE:
        return False
    return result.outcome is Outcome.NOT_RUN or call.idempotent


def _combine(before: CallResult, latest: CallResult) -> CallResult:
    # A later refusal does not undo that an earlier attempt may have run.
    if before.outcome is Outcome.UNKNOWN and latest.outcome is Outcome.NOT_RUN:
        return before
    return latest
