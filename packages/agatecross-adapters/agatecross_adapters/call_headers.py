"""Headers that carry a call's metadata and outcome between callers, daemons and upstreams."""

import math
from dataclasses import replace

from agatecross_core.calls.model import (
    Call,
    CallResult,
    Headers,
    Request,
    Response,
    find_header,
    not_run_result,
    unknown_result,
)
from agatecross_core.ids import NO_CUSTOMER, CallId, CustomerName, Millis, ServiceName
from agatecross_core.routing.model import ReportedLoad
from agatecross_core.states import Outcome, Reason

from .outcome_headers import OUTCOME_HEADER, REASON_HEADER

CALL_ID_HEADER = "Agatecross-Call-Id"
SERVICE_HEADER = "Agatecross-Service"
# Holds the time left in milliseconds, not a point in time.
DEADLINE_HEADER = "Agatecross-Deadline-Ms"
CUSTOMER_HEADER = "Agatecross-Customer"
LOAD_HEADER = "Agatecross-Load"
RETRY_AFTER_HEADER = "Retry-After"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "Agatecross-Idempotent"

AUTHORIZATION_HEADER = "Authorization"
KEY_SCHEME = "token"

PRIVATE_HEADER_PREFIX = "agatecross-"

STATUS_BY_REASON = {
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_ROUTE: 404,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.BAD_REQUEST: 400,
    Reason.QUARANTINED: 422,
    Reason.KEY_MISMATCH: 422,
    Reason.KEY_HOLDER_GONE: 409,
    Reason.RESPONSE_EVICTED: 409,
    Reason.DEADLINE: 504,
    Reason.TIMEOUT: 504,
    Reason.CONNECTION_LOST: 502,
}
DEFAULT_STATUS = 503


def public_headers(headers: Headers) -> Headers:
    """Drop the headers that only daemons may set."""
    return tuple(
        field for field in headers if not field[0].lower().startswith(PRIVATE_HEADER_PREFIX)
    )


def read_key(request: Request) -> bytes | None:
    """Return the key of a request, or None if it has no credentials.

    Credentials of another scheme, or several that differ, give an empty key, which nobody holds.
    """
    name = AUTHORIZATION_HEADER.lower()
    credentials = {value.strip() for key, value in request.headers if key.lower() == name}
    if not credentials:
        return None
    scheme, _, key = credentials.pop().partition(" ")
    is_key = not credentials and scheme.lower() == KEY_SCHEME
    return key.strip().encode("utf-8", "replace") if is_key else b""


def without_key(headers: Headers) -> Headers:
    """Drop the credentials of a caller, which no other daemon and no upstream may see."""
    return tuple(field for field in headers if field[0].lower() != AUTHORIZATION_HEADER.lower())


def customer_header(call: Call) -> Headers:
    """Return the header that names the customer of a call, if it has one."""
    return ((CUSTOMER_HEADER, call.customer),) if call.customer else ()


def decode_time_left_ms(request: Request) -> float | None:
    """Return the time left that a request states, or None if that is missing or malformed."""
    text = request.header(DEADLINE_HEADER)
    try:
        time_left = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return time_left if math.isfinite(time_left) else None


def encode_call(call: Call, now: Millis) -> Request:
    """Return the request that carries a call to the daemon beside the chosen upstream."""
    headers = (
        *public_headers(call.request.headers),
        (CALL_ID_HEADER, call.call_id),
        (SERVICE_HEADER, call.service),
        (DEADLINE_HEADER, f"{max(0.0, call.deadline - now):.1f}"),
        (IDEMPOTENT_HEADER, "1" if call.idempotent else "0"),
        *customer_header(call),
    )
    return replace(call.request, headers=headers)


def decode_call(request: Request, now: Millis) -> Call | None:
    """Return the call in a peer's request, or None if its headers do not describe a call."""
    call_id, service = request.header(CALL_ID_HEADER), request.header(SERVICE_HEADER)
    time_left = decode_time_left_ms(request)
    if not call_id or not service or time_left is None:
        return None
    idempotent = request.header(IDEMPOTENT_HEADER) == "1"
    public_request = replace(request, headers=public_headers(request.headers))
    return Call(
        CallId(call_id),
        ServiceName(service),
        public_request,
        Millis(now + time_left),
        idempotent,
        customer=CustomerName(request.header(CUSTOMER_HEADER) or NO_CUSTOMER),
    )


def encode_result(result: CallResult, *extra: tuple[str, str]) -> Response:
    """Return the response that carries a result to the caller or the peer daemon."""
    outcome = (OUTCOME_HEADER, result.outcome.value)
    if result.response is not None:
        headers = (*public_headers(result.response.headers), outcome, *extra)
        return replace(result.response, headers=headers)
    reason = result.reason or Reason.BAD_REQUEST
    body = f"{result.outcome.value}: {reason.value}\n".encode()
    status = STATUS_BY_REASON.get(reason, DEFAULT_STATUS)
    headers = (("Content-Type", "text/plain"), outcome, (REASON_HEADER, reason.value), *extra)
    if result.retry_after is not None:
        headers = (*headers, (RETRY_AFTER_HEADER, f"{result.retry_after / 1000:.3f}"))
    return Response(status, headers, body)


def decode_result(response: Response) -> CallResult:
    """Return the result in a daemon's response; without its headers the outcome is unknown."""
    outcome = find_header(response.headers, OUTCOME_HEADER)
    if outcome == Outcome.RAN.value:
        return CallResult(Outcome.RAN, response)
    reason = _parse_reason(find_header(response.headers, REASON_HEADER))
    if outcome == Outcome.NOT_RUN.value:
        return not_run_result(reason)
    return unknown_result(reason)


def _parse_reason(text: str | None) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.CONNECTION_LOST


def decode_load(response: Response) -> ReportedLoad | None:
    """Return the load reported with a daemon's response, or None if it is missing or malformed."""
    try:
        running, queued, slots = map(int, (response.header(LOAD_HEADER) or "").split())
    except ValueError:
        return None
    return ReportedLoad(running, queued, slots)
