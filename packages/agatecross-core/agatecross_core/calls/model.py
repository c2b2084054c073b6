"""A call, its attempts and its outcome."""

from dataclasses import dataclass

from ..errors import ConnectFailedError, ExchangeError, ExchangeTimeoutError
from ..ids import NO_CUSTOMER, CallId, CustomerName, IdempotencyKey, Millis, ServiceName
from ..states import Outcome, Reason

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the caller sent it, with its complete body."""

    method: str
    path: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None; the case of names is ignored."""
    name = name.lower()
    return next((value for key, value in headers if key.lower() == name), None)


@dataclass(frozen=True, slots=True)
class Call:
    """A routed call; `deadline` is a reading of this process's monotonic clock.

    `customer` is the one whose key the request had, empty without one.
    """

    call_id: CallId
    service: ServiceName
    request: Request
    deadline: Millis
    idempotent: bool
    key: IdempotencyKey | None = None
    customer: CustomerName = NO_CUSTOMER


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call or of one attempt; `response` is None unless a complete one is available.

    `retry_after` is the time after which the caller of a refused call should come back, if known.
    """

    outcome: Outcome
    response: Response | None = None
    reason: Reason | None = None
    retry_after: Millis | None = None


def not_run_result(reason: Reason, retry_after: Millis | None = None) -> CallResult:
    """Return the result of a call that certainly did not run."""
    return CallResult(Outcome.NOT_RUN, None, reason, retry_after)


def unknown_result(reason: Reason) -> CallResult:
    """Return the result of a call that may have run."""
    return CallResult(Outcome.UNKNOWN, None, reason)


def failed_exchange_result(error: ExchangeError) -> CallResult:
    """Return the result of a failed exchange; the call certainly did not run if it was not sent."""
    if isinstance(error, ConnectFailedError):
        return not_run_result(Reason.CONNECT_FAILED)
    if isinstance(error, ExchangeTimeoutError):
        return unknown_result(Reason.TIMEOUT)
    return unknown_result(Reason.CONNECTION_LOST)


def ran_result(response: Response) -> CallResult:
    """Return the result of a call that ran and has a complete response."""
    return CallResult(Outcome.RAN, response, None)
