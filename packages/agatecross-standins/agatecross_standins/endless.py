"""Responses of a faulty upstream that never end, until the connection is closed."""

import asyncio
from enum import Enum

KIB = 1024
# Approximate size of one write to the transport.
BLOCK_BYTES = 16 * KIB
# Limits the memory that is used if a daemon does not close the connection.
MAX_WRITTEN_BYTES = 64 * KIB * KIB
TRICKLE_INTERVAL_SECONDS = 0.02
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = STATUS_LINE + b"x-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"


class EndlessPart(Enum):
    """The part of a response that does not end."""

    BLANK_LINES = "blank lines"
    REASON_PHRASE = "reason phrase"
    FIELDS = "fields"
    FIELD_NAME = "field name"
    FIELD_VALUE = "field value"
    INTERIM = "interim responses"
    BODY = "body"
    STATED_BODY = "stated body"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small chunks"
    CHUNK_SIZE = "chunk size"
    CHUNK_EXTENSION = "chunk extension"
    TRAILERS = "trailers"
    TRAILER_VALUE = "trailer value"
    AFTER_ANSWER = "after the answer"


# For each part, the bytes that are written first and the bytes that are repeated without end.
ENDLESS_PARTS: dict[EndlessPart, tuple[bytes, bytes]] = {
    EndlessPart.BLANK_LINES: (b"", b"\r\n"),
    EndlessPart.REASON_PHRASE: (b"HTTP/1.1 200 ", b"O"),
    EndlessPart.FIELDS: (STATUS_LINE, b"a: b\r\n"),
    EndlessPart.FIELD_NAME: (STATUS_LINE, b"a"),
    EndlessPart.FIELD_VALUE: (STATUS_LINE + b"a: ", b"b"),
    EndlessPart.INTERIM: (b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"),
    EndlessPart.BODY: (STATUS_LINE + b"x-response-stamp: s\r\n\r\n", b"b"),
    EndlessPart.STATED_BODY: (
        STATUS_LINE + b"x-response-stamp: s\r\ncontent-length: 99999999999\r\n\r\n",
        b"b",
    ),
    EndlessPart.CHUNKS: (CHUNKED_HEAD, b"400\r\n" + b"b" * KIB + b"\r\n"),
    EndlessPart.SMALL_CHUNKS: (CHUNKED_HEAD, b"2\r\nbb\r\n"),
    EndlessPart.CHUNK_SIZE: (CHUNKED_HEAD, b"0"),
    EndlessPart.CHUNK_EXTENSION: (CHUNKED_HEAD + b"1;", b"a"),
    EndlessPart.TRAILERS: (CHUNKED_HEAD + b"0\r\n", b"a: b\r\n"),
    EndlessPart.TRAILER_VALUE: (CHUNKED_HEAD + b"0\r\na: ", b"b"),
    EndlessPart.AFTER_ANSWER: (
        STATUS_LINE + b"x-response-stamp: s\r\ncontent-length: 1\r\n\r\nb",
        b"b",
    ),
}


class EndlessWriter:
    """Writes an endless response, as fast as it is read or a few bytes at a time."""

    def __init__(self, transport: asyncio.Transport, part: EndlessPart, trickles: bool) -> None:
        self.transport = transport
        self.prefix, self.repeated = ENDLESS_PARTS[part]
        self.trickles = trickles
        self.block = (
            self.repeated if trickles else self.repeated * (BLOCK_BYTES // len(self.repeated) + 1)
        )
        self.written_bytes = 0
        self.paused = False

    def start(self) -> None:
        """Write the start of the response and begin to repeat."""
        self._write(self.prefix)
        self._write_blocks()

    def pause(self) -> None:
        """Stop writing until the transport can take more."""
        self.paused = True

    def resume(self) -> None:
        """Continue writing after the peer has read what was buffered."""
        self.paused = False
        self._write_blocks()

    def _write_blocks(self) -> None:
        if self.paused or self.transport.is_closing() or self.written_bytes >= MAX_WRITTEN_BYTES:
            return
        self._write(self.block)
        loop = asyncio.get_running_loop()
        loop.call_later(TRICKLE_INTERVAL_SECONDS if self.trickles else 0, self._write_blocks)

    def _write(self, data: bytes) -> None:
        self.written_bytes += len(data)
        self.transport.write(data)
