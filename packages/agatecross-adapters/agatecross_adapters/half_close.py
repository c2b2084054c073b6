"""Half-closing of connections, and what the kernel holds of them."""

import asyncio
import os
import socket


def half_close(transport: asyncio.Transport) -> None:
    """Shut down the sending side once pending data is flushed.

    Aborts a connection that the peer has reset: the kernel then refuses the shutdown, and the event
    loop may not have seen the reset yet.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds data from the peer that was not read."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return False
    # asyncio does not expose `recv` of its sockets; a duplicate shares the connection.
    try:
        with socket.socket(fileno=os.dup(sock.fileno())) as peek:
            return bool(peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # No data waits, the peer has reset the connection, or no file descriptor is free.
        return False
