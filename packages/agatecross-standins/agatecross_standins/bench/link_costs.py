"""Measures the processor time of dialing and greeting a peer, and of a ping with its answer.

Both ends run in this process over loopback connections, so the figures hold both ends.
"""

import asyncio
import os
import random
import time
from collections.abc import Sequence

from absl import app, flags

from agatecross_adapters.connection_guard import new_guard
from agatecross_adapters.hop_messages import Hello, HopMessage, Ping
from agatecross_core.ids import (
    Address,
    DaemonId,
    DataCentreName,
    Incarnation,
    RegionName,
    ServiceName,
    Version,
)
from agatecross_core.members.directory import Endpoint
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.direct_mailbox import DirectMailbox
from agatecross_daemon.tasks.exit_task import ExitMessage
from agatecross_daemon.tasks.inbound_links import InboundLinks
from agatecross_daemon.tasks.peer_link import PeerLink

LINKS = flags.DEFINE_integer("links", 200, "Number of links.")
PINGS = flags.DEFINE_integer("pings", 50, "Pings on each link.")
POLL_SECONDS = 0.001


def _hello(name: str) -> Hello:
    endpoint = Endpoint(
        DaemonId(name),
        Incarnation(1),
        0,
        Address("127.0.0.1:1"),
        RegionName("north"),
        DataCentreName("north-a"),
        ServiceName("shop"),
    )
    return Hello(endpoint.daemon_id, endpoint.incarnation, Version(1), (endpoint,))


async def measure() -> None:
    """Print both figures in microseconds."""
    exit_mailbox: DirectMailbox[ExitMessage] = DirectMailbox()
    log = DecisionLog(os.open(os.devnull, os.O_WRONLY))
    inbound = InboundLinks(
        exit_mailbox,
        lambda hello: _hello("b"),
        lambda: Version(1),
        lambda *message: None,
        log,
        new_guard(),
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(inbound.new_connection, "127.0.0.1", 0, backlog=1024)
    address = Address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    answers = 0

    def on_message(link: PeerLink, message: HopMessage) -> None:
        nonlocal answers
        answers += isinstance(message, Ping)

    rng = random.Random(1)
    before = time.process_time()
    links = [
        PeerLink(
            DaemonId("b"),
            address,
            lambda name=f"a{number}": _hello(name),  # type: ignore[misc]
            lambda: Version(1),
            on_message,
            lambda link, silent: None,
            rng,
        )
        for number in range(LINKS.value)
    ]
    while not all(link.is_open for link in links):
        await asyncio.sleep(POLL_SECONDS)
    dialed = time.process_time()
    for number in range(PINGS.value):
        for link in links:
            link.send(Ping(False, Version(1)))
        while answers < (number + 1) * len(links):
            await asyncio.sleep(POLL_SECONDS)
    pinged = time.process_time()
    print(f"dial and greeting: {(dialed - before) / len(links) * 1e6:.0f} us")
    print(f"ping and answer: {(pinged - dialed) / (len(links) * PINGS.value) * 1e6:.0f} us")
    for link in links:
        link.close()
    server.close()


def main(argv: Sequence[str]) -> None:
    """Run the measurement."""
    del argv
    asyncio.run(measure())


if __name__ == "__main__":
    app.run(main)
