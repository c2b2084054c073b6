"""Classification of responses: what a response of an upstream proves about the request."""

from ..states import Outcome, Reason
from .model import RelayResponse, RelayResult, unknown_result

MISDIRECTED_REQUEST = 421
SUCCESS = range(200, 300)
CONTENT_ENCODING = b"content-encoding"


def classify_response(response: RelayResponse, stamp: bytes, not_run: bytes) -> RelayResult:
    """Return the result of a handover for which the upstream sent a complete response.

    `stamp` and `not_run` are lower-case header names: the first proves that an upstream made the
    response, the second marks a request that the upstream did not run.
    """
    names = {name for name, _ in response.headers}
    if not_run in names or response.status == MISDIRECTED_REQUEST:
        misdirected = response.status == MISDIRECTED_REQUEST
        reason = Reason.WRONG_INSTANCE if misdirected else Reason.SHED
        return RelayResult(Outcome.NOT_RUN, reason, None, True)
    if stamp not in names or CONTENT_ENCODING in names:
        return unknown_result(Reason.BAD_ANSWER)
    return RelayResult(Outcome.RAN, None, response, True)
