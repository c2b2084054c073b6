"""Reserves ports of 127.0.0.1 until the process that they are meant for binds them."""

import socket
from dataclasses import dataclass, field


@dataclass(slots=True)
class PortPool:
    """Reserves ports with sockets that are bound but do not listen.

    A port that is free but not bound can become the local port of an outgoing connection before its
    server starts. The kernel does not assign a bound port to a connection, but still lets a server
    bind it if both sockets set SO_REUSEADDR.
    """

    sockets: list[socket.socket] = field(default_factory=list)

    def reserve(self, count: int) -> list[int]:
        """Reserve ports and return them."""
        ports = []
        for _ in range(count):
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            # Set after the bind, so that the kernel picks a port that is not reserved elsewhere.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sockets.append(sock)
            ports.append(int(sock.getsockname()[1]))
        return ports

    def close(self) -> None:
        """Release every port."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()
