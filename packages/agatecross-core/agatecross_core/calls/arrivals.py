"""Counts at how many upstreams a call arrived, as a filter around its flow."""

from dataclasses import dataclass

from ..states import Outcome
from .flow import Attempt, CallFlow, HedgedAttempt
from .model import CallResult


@dataclass(slots=True)
class ArrivalCount:
    """Attempts that reached an upstream or may still do so."""

    number: int = 0


def count_arrivals(flow: CallFlow, arrivals: ArrivalCount) -> CallFlow:
    """Pass a flow on, and count its attempts except those that were refused as not run."""
    try:
        action = next(flow)
        while True:
            if isinstance(action, Attempt | HedgedAttempt):
                arrivals.number += 1
            event = yield action
            if isinstance(event, CallResult) and event.outcome is Outcome.NOT_RUN:
                arrivals.number -= 1
            action = flow.send(event)
    except StopIteration as stop:
        result: CallResult = stop.value
        return result
