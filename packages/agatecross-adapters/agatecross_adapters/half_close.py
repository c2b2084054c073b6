"""Half-closing of connections."""

import asyncio


def half_close(transport: asyncio.Transport) -> None:
    """Shut down the sending side once pending data is flushed.

    Aborts a connection that the peer has reset: the kernel then refuses the shutdown, and the event
    loop may not have seen the reset yet.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
