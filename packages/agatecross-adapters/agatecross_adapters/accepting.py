"""Listens for connections and accepts a few of them at a time."""

import asyncio
import os
import socket
from collections.abc import Callable

from agatecross_core.ids import Address

# asyncio accepts as many connections in a row as the backlog before it runs their protocols; a
# crowd would then take all descriptors before any connection of it can be closed.
ACCEPT_BATCH = 16
# Of many places, a part is accepted at a time: each connection must be read, some turns of the loop
# later, before it is the oldest of those without a request.
PLACES_PER_BATCH = 32


async def listen_in_batches(
    new_protocol: Callable[[], asyncio.BaseProtocol],
    address: Address,
    backlog: int,
    batch: int = ACCEPT_BATCH,
) -> asyncio.Server:
    """Start a server whose kernel queue holds `backlog` connections; accept `batch` in a turn."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(new_protocol, host, int(port), backlog=batch)
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            duplicate.listen(backlog)
    return server
