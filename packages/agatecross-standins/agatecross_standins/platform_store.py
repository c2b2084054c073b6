"""Stand-in for the platform's keyed log, with switches that simulate its failures."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.calls.model import Request, Response
from agatecross_core.ids import Address

LENGTH_BYTES = 4
OFFSET_BYTES = 8
# Records beyond this size wait for the next read.
MAX_PAGE_BYTES = 1024 * 1024
SILENT_POLL_INTERVAL_SECONDS = 0.02
JSON_HEADERS = (("Content-Type", "application/json"),)
ERA_HEADER = "Store-Era"
FIRST_ERA = 1
REFUSAL = Response(503, JSON_HEADERS, b"{}")


@dataclass(slots=True)
class Topic:
    """Records of one keyed topic from offset `first` on, and the newest value of each key."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def copy(self) -> "Topic":
        """Return a topic with the same records, to which nobody waits to be appended."""
        return Topic(list(self.records), self.first, dict(self.newest))


@dataclass(slots=True)
class StoreSwitches:
    """Failures to simulate: `refuse` answers with 503; `silent` holds responses until it is unset.

    `refuse_appends` answers with 503 to appends only.

    If `endless_value_bytes` is set, `log-newest` always announces a further page, and each page
    holds one value of this size.
    """

    refuse: bool = False
    silent: bool = False
    refuse_appends: bool = False
    endless_value_bytes: int = 0


class PlatformStoreStandIn:
    """Serves `log-append`, `log-read` and `log-newest` on one address."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = FIRST_ERA
        self.switches = StoreSwitches()
        self.listener = TornadoHttpListener()
        self.paths: list[str] = []
        self.appends = 0

    @property
    def calls(self) -> int:
        """Return the number of requests received."""
        return len(self.paths)

    def listen(self) -> Address:
        """Start serving and return the address."""
        return self.listener.listen(Address("127.0.0.1:0"), self._handle)

    async def close(self) -> None:
        """Stop serving, ending reads that wait for a record."""
        for topic in self.topics.values():
            topic.appended.set()
        await self.listener.close()

    def append_record(self, topic: str, key: str, value: bytes) -> None:
        """Append one record, as the platform's operator does."""
        name = key.encode()
        self._append(self._topic(topic), bytes((len(name),)) + name + value)

    def compact(self, topic: str) -> None:
        """Drop all records of a topic; the newest value of each key stays available."""
        log = self._topic(topic)
        log.first, log.records = log.end, []

    def copy_topics(self) -> dict[str, Topic]:
        """Return a copy of all topics, as they are now."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    def restore(self, copy: Mapping[str, Topic]) -> None:
        """Come back from a copy, in a new era; reads that wait for a record go on in the copy."""
        replaced, self.topics = self.topics, {name: topic.copy() for name, topic in copy.items()}
        self.era += 1
        for topic in replaced.values():
            topic.appended.set()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic."""
        return {key: value for key, (_, value) in self._topic(topic).newest.items()}

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _append(self, topic: Topic, record: bytes) -> None:
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            topic.newest[key] = (topic.end, value)
        else:
            topic.newest.pop(key, None)
        topic.records.append(record)
        topic.appended.set()
        topic.appended = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        response = await self._response(request)
        return replace(response, headers=(*response.headers, (ERA_HEADER, str(self.era))))

    async def _response(self, request: Request) -> Response:
        self.paths.append(request.path)
        while self.switches.silent:
            await asyncio.sleep(SILENT_POLL_INTERVAL_SECONDS)
        if self.switches.refuse:
            return REFUSAL
        path, _, query = request.path.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&"))
        name = fields["topic"]
        topic = self._topic(name)
        if path == "/-/log-append":
            if self.switches.refuse_appends:
                return REFUSAL
            self.appends += 1
            return self._append_response(topic, request.body)
        if path == "/-/log-newest":
            return (
                self._endless_page()
                if self.switches.endless_value_bytes
                else self._newest_response(topic)
            )
        most = min(MAX_PAGE_BYTES, 1024 * int(fields.get("maxKilobytes", 1024)))
        wait_ms = int(fields.get("waitMs", 0))
        return await self._read_response(name, int(fields["from"]), wait_ms, most)

    def _append_response(self, topic: Topic, body: bytes) -> Response:
        offset = topic.end
        while body:
            end = LENGTH_BYTES + int.from_bytes(body[:LENGTH_BYTES], "big")
            self._append(topic, body[LENGTH_BYTES:end])
            body = body[end:]
        return Response(
            200, JSON_HEADERS, json.dumps({"offset": offset, "end": topic.end}).encode()
        )

    def _newest_response(self, topic: Topic) -> Response:
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        body = json.dumps({"items": items, "more": False, "end": topic.end}).encode()
        return Response(200, JSON_HEADERS, body)

    def _endless_page(self) -> Response:
        value = base64.b64encode(bytes(self.switches.endless_value_bytes)).decode()
        row = {"key": f"d{self.calls}", "offset": self.calls, "value": value}
        body = json.dumps({"items": [row], "more": True, "end": self.calls}).encode()
        return Response(200, JSON_HEADERS, body)

    async def _read_response(self, name: str, start: int, wait_ms: int, most: int) -> Response:
        topic = self._topic(name)
        if start == topic.end and wait_ms:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_ms / 1000)
            if self.switches.refuse:
                return REFUSAL
            topic = self._topic(name)
        if not topic.first <= start <= topic.end:
            return Response(410, JSON_HEADERS, json.dumps({"firstOffset": topic.first}).encode())
        head = topic.end.to_bytes(OFFSET_BYTES, "big") + topic.first.to_bytes(OFFSET_BYTES, "big")
        rows = topic.records[max(0, start - topic.first) :]
        body = b""
        for row in rows:
            body += len(row).to_bytes(LENGTH_BYTES, "big") + row
            if len(body) >= most:
                break
        return Response(200, (), head + body)
