"""Half-closing of connections."""

import asyncio


def half_close(transport: asyncio.Transport) -> None:
    """Shut down the sending side once pending data is flushed.

    Aborts a connection that the peer has reset: the kernel refuses the shutdown even if the event
    loop has not seen the reset yet.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
