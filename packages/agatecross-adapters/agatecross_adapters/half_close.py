"""The end of the sending side of a connection."""

import asyncio


def half_close(transport: asyncio.Transport) -> None:
    """Shut the sending side after what was written; close a connection that the peer reset.

    The reset may not have reached the event loop yet, and the kernel then refuses the shutdown.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
