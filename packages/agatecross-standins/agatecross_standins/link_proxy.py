"""Stand-in for the link between regions: delays, rate-limits and blocks TCP traffic.

Each `--pair=LISTEN=TARGET` forwards one port of 127.0.0.1 to another; all pairs share one rate for
each direction. `PUT /switches` sets the switches, for example `{"cut": true}`; `GET /switches`
returns the bytes carried in each direction.
"""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from absl import app, flags
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

PORT = flags.DEFINE_integer("port", None, "Port of the switches.", required=True)
PAIRS = flags.DEFINE_multi_string("pair", [], "LISTEN=TARGET ports on 127.0.0.1.")
DELAY_MS = flags.DEFINE_float("delay_ms", 8.0, "One-way latency, in milliseconds.")
MBIT = flags.DEFINE_float("mbit", 30.0, "Rate of each direction in Mbit/s.")

CHUNK_BYTES = 16 * 1024
MAX_QUEUED_CHUNKS = 256


@dataclass(slots=True)
class Switches:
    """While `cut` is set, nothing is forwarded, but connections are accepted and stay open."""

    cut: bool = False


@dataclass(slots=True)
class CarriedBytes:
    """Payload bytes carried since the start."""

    forward: int = 0
    backward: int = 0


class Direction:
    """One direction of the link, with a rate shared by its connections and a fixed delay.

    `free_at` is the event loop time at which the link has sent all earlier chunks.
    """

    def __init__(self, bytes_per_second: float, delay_seconds: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.delay_seconds = delay_seconds
        self.free_at = 0.0

    def arrival_time(self, size: int, now: float) -> float:
        """Return the time at which a chunk that is sent now arrives at the other end."""
        self.free_at = max(now, self.free_at) + size / self.bytes_per_second
        return self.free_at + self.delay_seconds


class Link:
    """Forwards connections with a rate and a delay in each direction."""

    def __init__(self, mbit: float, delay_ms: float) -> None:
        bytes_per_second, delay_seconds = mbit * 1e6 / 8, delay_ms / 1000
        self.forward = Direction(bytes_per_second, delay_seconds)
        self.backward = Direction(bytes_per_second, delay_seconds)
        self.switches = Switches()
        self.carried = CarriedBytes()
        self.restored = asyncio.Event()
        self.restored.set()
        self.servers: list[asyncio.Server] = []
        self.connections: set[asyncio.Task[None]] = set()

    def set_switches(self, changes: dict[str, object]) -> None:
        """Set the given switches."""
        self.switches.cut = bool(changes.get("cut", self.switches.cut))
        if self.switches.cut:
            self.restored.clear()
        else:
            self.restored.set()

    async def serve(self, listen: int, target: int) -> None:
        """Forward connections from one port to another."""

        def start_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._forward_connection(target, reader, writer))
            self.connections.add(task)
            task.add_done_callback(self.connections.discard)

        self.servers.append(
            await asyncio.start_server(start_connection, "127.0.0.1", listen, backlog=512)
        )

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for server in self.servers:
            server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def _forward_connection(
        self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.restored.wait()
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._forward_direction(reader, target_writer, self.forward, "forward"),
                self._forward_direction(target_reader, writer, self.backward, "backward"),
            )
        finally:
            writer.close()
            target_writer.close()

    async def _forward_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        name: str,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        writing = asyncio.ensure_future(self._write_delayed(queue, writer))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                setattr(self.carried, name, getattr(self.carried, name) + len(data))
                await queue.put((direction.arrival_time(len(data), loop.time()), data))
        except OSError:
            pass
        except asyncio.CancelledError:
            writing.cancel()
            raise
        await queue.put((loop.time() + direction.delay_seconds, b""))
        await writing

    async def _write_delayed(
        self, queue: "asyncio.Queue[tuple[float, bytes]]", writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            await self.restored.wait()
            if not data or writer.is_closing():
                writer.close()
                return
            writer.write(data)


class SwitchesHandler(RequestHandler):
    """Sets the switches and returns the bytes carried."""

    def initialize(self, link: Link) -> None:
        """Store the link."""
        self.link = link

    def put(self) -> None:
        """Set the given switches."""
        self.link.set_switches(json.loads(self.request.body))
        self.finish({})

    def get(self) -> None:
        """Return the bytes carried."""
        self.finish(asdict(self.link.carried))


async def serve(port: int, pairs: Sequence[str], mbit: float, delay_ms: float) -> None:
    """Serve until the process ends."""
    link = Link(mbit, delay_ms)
    for pair in pairs:
        listen, _, target = pair.partition("=")
        await link.serve(int(listen), int(target))
    application = Application(
        [(r"/switches", SwitchesHandler, {"link": link})], log_function=lambda handler: None
    )
    HTTPServer(application).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Start the link proxy."""
    del argv
    asyncio.run(serve(PORT.value, PAIRS.value, MBIT.value, DELAY_MS.value))


if __name__ == "__main__":
    app.run(main)
