"""Benchmark: latency of short answers beside large ones on one narrow link between two daemons.

Three ways alternate in each round: short answers alone, beside large ones that are cut into pieces,
and beside large ones that are sent whole. The receiver reads at the rate of the link.
"""

import asyncio
import random
import socket
import time
from collections.abc import Sequence
from statistics import median
from unittest import mock

from absl import app, flags

from agatecross_adapters import frames
from agatecross_adapters.frames import MAX_FRAME_BYTES, FrameConnection

from .report import print_table

ROUNDS = flags.DEFINE_integer("rounds", 5, "Rounds; the ways alternate in each.")
SECONDS = flags.DEFINE_float("seconds", 6.0, "Length of each run, in seconds.")
MBIT = flags.DEFINE_float("mbit", 6.0, "Rate of the link, in Mbit/s.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of sizes and arrivals.")

SHORT_BYTES = 1_500
SHORT_INTERVAL_SECONDS = 0.02
# Large answers of 90 KB on average and 540 KB at most take half of the link.
LARGE_MEAN_BYTES = 90_000
LARGE_MAX_BYTES = 540_000
LARGE_SHARE_OF_LINK = 0.5
RECEIVE_BUFFER_BYTES = 32 * 1024
TIMESTAMP_BYTES = 8
BITS_PER_BYTE = 8


class SlowReceiver(FrameConnection):
    """Reads at the rate of the link and records the latency of short frames, in milliseconds."""

    def __init__(self, bytes_per_second: float) -> None:
        super().__init__(lambda _: None, self._record, lambda _: None)
        self.bytes_per_second = bytes_per_second
        self.latencies: list[float] = []

    def data_received(self, data: bytes) -> None:
        """Pause for as long as the link takes for the data."""
        self.transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(len(data) / self.bytes_per_second, self._continue, data)

    def _continue(self, data: bytes) -> None:
        super().data_received(data)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _record(self, connection: FrameConnection, frame: bytes) -> None:
        if len(frame) == SHORT_BYTES:
            sent_at = int.from_bytes(frame[:TIMESTAMP_BYTES], "big")
            self.latencies.append((time.monotonic_ns() - sent_at) / 1e6)


async def run_link(sends_large: bool, rng: random.Random) -> list[float]:
    """Return the latencies of the short frames of one run, in milliseconds."""
    bytes_per_second = MBIT.value * 1e6 / BITS_PER_BYTE
    receiver = SlowReceiver(bytes_per_second)
    loop = asyncio.get_running_loop()
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind(("127.0.0.1", 0))
    server = await loop.create_server(lambda: receiver, sock=listening)
    _, sender = await loop.create_connection(
        lambda: FrameConnection(lambda _: None, lambda _, frame: None, lambda _: None),
        *listening.getsockname(),
    )
    end = time.monotonic() + SECONDS.value
    mean_gap = LARGE_MEAN_BYTES / (LARGE_SHARE_OF_LINK * bytes_per_second)
    next_large = time.monotonic() + rng.expovariate(1 / mean_gap)
    while time.monotonic() < end:
        sender.send(time.monotonic_ns().to_bytes(TIMESTAMP_BYTES, "big").ljust(SHORT_BYTES))
        if sends_large and time.monotonic() > next_large:
            next_large += rng.expovariate(1 / mean_gap)
            sender.send(bytes(min(LARGE_MAX_BYTES, int(rng.expovariate(1 / LARGE_MEAN_BYTES)) + 1)))
        await asyncio.sleep(SHORT_INTERVAL_SECONDS)
    sender.abort()
    receiver.abort()
    server.close()
    return receiver.latencies


def p99(latencies: Sequence[float]) -> float:
    """Return the latency that 99 in 100 do not exceed."""
    return sorted(latencies)[int(0.99 * (len(latencies) - 1))]


def main(argv: Sequence[str]) -> None:
    """Run the rounds and print p50 and p99 of each way."""
    del argv
    rows: dict[str, list[list[float]]] = {"alone": [], "in pieces": [], "whole": []}
    for number in range(ROUNDS.value):
        for way, results in rows.items():
            rng = random.Random(SEED.value + number)
            piece = MAX_FRAME_BYTES if way == "whole" else frames.PIECE_BYTES
            with (
                mock.patch.object(frames, "PIECE_BYTES", piece),
                mock.patch.object(frames, "MAX_BUFFERED_BYTES", 2 * piece),
            ):
                results.append(asyncio.run(run_link(way != "alone", rng)))
    table = []
    for way, results in rows.items():
        tails = [p99(row) for row in results]
        middles = [median(row) for row in results]
        table.append(
            {
                "large answers": "none" if way == "alone" else way,
                "short": sum(map(len, results)),
                "p50 ms": median(middles),
                "p99 ms": median(tails),
                "lowest p99": min(tails),
                "highest p99": max(tails),
            }
        )
    print_table(table)


if __name__ == "__main__":
    app.run(main)
