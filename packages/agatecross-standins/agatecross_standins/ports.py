"""Ports of 127.0.0.1 that stay reserved until a process of ours binds them."""

import socket
from dataclasses import dataclass, field


@dataclass(slots=True)
class PortPool:
    """Reserves ports by sockets that are bound but do not listen.

    A port that is only known to be free can become the local port of any outgoing connection before
    its server starts. The kernel gives no bound port to a connection, and lets a server bind it
    when both sockets allow reuse.
    """

    sockets: list[socket.socket] = field(default_factory=list)

    def reserve(self, count: int) -> list[int]:
        """Reserve ports and return them."""
        ports = []
        for _ in range(count):
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            # Set after the bind, so that the kernel picks a port that nobody else has reserved.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sockets.append(sock)
            ports.append(int(sock.getsockname()[1]))
        return ports

    def close(self) -> None:
        """Release every port."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()
