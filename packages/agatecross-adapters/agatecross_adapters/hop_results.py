"""Fields of the results of handovers in messages between daemons."""

from typing import Annotated, Any

import msgspec

from agatecross_core.errors import MessageDecodeError
from agatecross_core.http_status import is_http_status
from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayResponse, RelayResult, unknown_result
from agatecross_core.states import Outcome, Reason

# The index of a value is its code on the wire.
OUTCOME_CODES = (Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN)
REASON_BY_VALUE = {reason.value: reason for reason in Reason}
RESULT_FIELD_COUNT = 7
RESPONSE_FIELD_COUNT = 3

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
HeaderFields = list[tuple[bytes, bytes]]
ResultFields = tuple[int, Count, str | None, bool, Count, Count, Count]
ResponseFields = tuple[Count, HeaderFields, bytes]


def result_fields(result: RelayResult) -> tuple[Any, ...]:
    """Return the fields of a result behind the id of its handover."""
    reason = result.reason.value if result.reason else None
    head = (
        OUTCOME_CODES.index(result.outcome),
        reason,
        result.reached_upstream,
        result.load,
        result.slots,
        int(result.cost),
    )
    response = result.response
    if response is None:
        return head
    return (*head, response.status, response.headers, response.body)


def result_from_fields(fields: ResultFields, rest: list[Any]) -> RelayResult:
    """Return the result; `rest` holds the fields of a response, if there is one."""
    _, outcome, reason, reached_upstream, load, slots, cost = fields
    if outcome >= len(OUTCOME_CODES):
        raise MessageDecodeError(f"hop message: unknown outcome code {outcome}")
    response = None
    if rest:
        status, headers, body = msgspec.convert(rest[:RESPONSE_FIELD_COUNT], ResponseFields)
        if not is_http_status(status):
            # An earlier release passes on whatever its upstream sent.
            return unknown_result(Reason.BAD_ANSWER)
        response = RelayResponse(status, tuple(headers), body)
    return RelayResult(
        OUTCOME_CODES[outcome],
        # The outcome says what may be done; a later release may know further reasons for it.
        REASON_BY_VALUE.get(reason, Reason.OTHER) if reason else None,
        response,
        reached_upstream,
        load,
        slots,
        Millis(cost),
    )
