"""Parses the requests of one connection and checks their limits."""

import time
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import httptools

from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayRequest
from agatecross_core.routing.host_table import CallerLimits

from .incoming_request import IncomingRequest


class ParseState(Enum):
    """Which part of a request a connection waits for; idle between requests."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class RequestSink(Protocol):
    """Interface of the connection that gets the requests."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        ...

    def take_request(self, request: RelayRequest, host: str, keep_alive: bool, size: int) -> None:
        """Take a complete request, which holds so many bytes."""
        ...

    def reject(self, status: int) -> None:
        """Answer the request that is being read with an error status, and close."""
        ...

    def send_continue(self) -> None:
        """Ask for the body of a request that waits for it."""
        ...


class RequestReader:
    """Collects one request after the other; the parser calls its `on_` methods."""

    def __init__(self, sink: RequestSink) -> None:
        """Pass each complete request to `sink`."""
        self.sink = sink
        self.parser = httptools.HttpRequestParser(self)
        self.state = ParseState.IDLE
        # When the current wait for data or for a request began, and when the request began.
        self.waiting_since = Millis(time.monotonic() * 1000)
        self.request_started = self.waiting_since
        self.incoming = IncomingRequest()
        self.limits = sink.limits
        # Set by the sink when a request has ended the connection; the rest is ignored.
        self.ended = False

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the next request, or data before it, was read."""
        return self.state is not ParseState.IDLE or self.incoming.size.read > 0

    def close(self) -> None:
        """Ignore further data, and free what was read before the cycle with the parser is."""
        self.ended = True
        self.incoming = IncomingRequest()

    def feed(self, piece: bytes) -> None:
        """Parse data; the sink is asked to reject what is malformed or over the limits."""
        self.incoming.size.read += len(piece)
        while piece:
            piece = self._feed_parser(piece)
        if not self.ended and self.incoming.size.framing_exceeded(self.limits.head_bytes):
            # Blank lines before a request are no request that could be answered as too large.
            is_idle = self.state is ParseState.IDLE
            self.sink.reject(
                HTTPStatus.BAD_REQUEST if is_idle else HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def _feed_parser(self, data: bytes) -> bytes:
        """Parse data, and return what is left to parse after a request that offers an upgrade.

        The offer is ignored. The parser takes no body with it, so the head is parsed again without.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.ended:
                return b""
            method, version = self.parser.get_method(), self.parser.get_http_version()
            self.parser = httptools.HttpRequestParser(self)
            return self.incoming.head_without_upgrade(method, version) + data[upgrade.args[0] :]
        except httptools.HttpParserError:
            if not self.ended:
                self.sink.reject(HTTPStatus.BAD_REQUEST)
        return b""

    def on_message_begin(self) -> None:
        """Start collecting a request."""
        self.state = ParseState.HEAD
        self.waiting_since = self.request_started = Millis(time.monotonic() * 1000)
        self.incoming = IncomingRequest()
        self.limits = self.sink.limits

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.incoming.add_target(url)
        self._check_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field; trailers are counted and dropped."""
        if self.ended:
            return
        if self.state is ParseState.BODY:
            self.incoming.size.add_trailer(len(name) + len(value))
            if self.incoming.size.trailers > self.limits.head_bytes:
                self.sink.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        name = name.lower()
        self.incoming.add_field(name, value)
        self._check_head()

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing, which allows request smuggling."""
        self.state = ParseState.BODY
        if self.incoming.framing_fields > 1 and not self.ended:
            self.sink.reject(HTTPStatus.BAD_REQUEST)
        is_offer = self.parser.should_upgrade()
        if self.incoming.expects_continue and not (self.ended or is_offer):
            self.sink.send_continue()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.ended:
            return
        self.waiting_since = Millis(time.monotonic() * 1000)
        self.incoming.size.add_body(len(body))
        if self.incoming.size.body > self.limits.body_bytes:
            self.sink.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.incoming.body.add(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler, unless an earlier one ended the connection."""
        if self.ended:
            return
        if self.parser.should_upgrade():
            if self.parser.get_method() == b"CONNECT":
                self.sink.reject(HTTPStatus.BAD_REQUEST)
            return
        self.state = ParseState.IDLE
        whole = self.incoming.complete(self.parser.get_method())
        if whole is None:
            self.sink.reject(HTTPStatus.BAD_REQUEST)
            return
        size = self.incoming.size.held
        self.incoming = IncomingRequest()
        request, host = whole
        self.sink.take_request(
            request, host.decode("latin-1"), self.parser.should_keep_alive(), size
        )

    def _check_head(self) -> None:
        if self.incoming.size.head > self.limits.head_bytes and not self.ended:
            self.sink.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
