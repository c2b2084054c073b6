"""Accepts control connections for NNG, which bounds neither their number nor the silent ones.

NNG gets a connection only after its greeting has arrived. Until then it is counted like any other
client that has sent nothing, and afterwards like one that is between requests.
"""

import asyncio
import errno
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from agatecross_core.admission.connection_budget import (
    ConnectionPhase,
    HeldConnection,
    Place,
    ShedReason,
)
from agatecross_core.ids import Address, Millis

from .accepting import ACCEPT_BATCH
from .connection_guard import ConnectionGuard

# What a requesting socket of NNG sends first.
GREETING: Final = b"\x00SP\x00\x00\x30\x00\x00"
GREETING_TIMEOUT: Final = Millis(10_000)
# NNG needs less to answer a greeting; connections that it has not added by then have failed.
ADD_TIMEOUT: Final = Millis(1_000)
ACCEPT_BACKLOG: Final = 1_024
# Without a free descriptor the listening socket stays readable, so accepting pauses for this time.
ACCEPT_PAUSE_SECONDS: Final = 0.1


class PipeOwner(Protocol):
    """Serves connections after their greeting."""

    def take(self, sock: socket.socket) -> bool:
        """Take over a connection; return False if that is not possible."""
        ...

    def count(self) -> int:
        """Return the number of connections in use."""
        ...

    def keep_newest(self, count: int) -> int:
        """Close those that were added first, beyond this number; return how many were closed."""
        ...


class GreetingConnection:
    """A connection whose greeting has not arrived yet."""

    def __init__(
        self, sock: socket.socket, on_greeted: Callable[["GreetingConnection"], None]
    ) -> None:
        """Wait for the greeting; `on_greeted` is called with this connection."""
        self.sock = sock
        self.on_greeted = on_greeted
        self.held: HeldConnection | None = None
        self.loop = asyncio.get_running_loop()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The socket becomes readable with the whole greeting, or at the end of the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, len(GREETING))
        self.loop.add_reader(sock, self._read)
        self.timer = self.loop.call_later(GREETING_TIMEOUT / 1000, self._end)

    def shed(self, reason: ShedReason) -> bool:
        """Close the connection."""
        del reason
        # Not within the call that counts a new connection.
        self.loop.call_soon(self._end)
        return True

    def release(self) -> socket.socket:
        """Stop waiting and return the socket."""
        self.timer.cancel()
        self.loop.remove_reader(self.sock)
        # The rest of a message may be shorter than a greeting.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        return self.sock

    def _read(self) -> None:
        try:
            start = self.sock.recv(len(GREETING), socket.MSG_PEEK)
        except OSError:
            start = b""
        is_shed = self.held is not None and self.held.shed
        if start == GREETING and not is_shed:
            self.on_greeted(self)
        else:
            self._end()

    def _end(self) -> None:
        if self.sock.fileno() >= 0:
            self.release().close()
            self.on_greeted(self)


class GreetedConnection:
    """A connection that was passed on; NNG does not tell which it is, so the oldest is closed."""

    def __init__(
        self, close_oldest: Callable[["GreetedConnection"], None], held: HeldConnection
    ) -> None:
        """Call `close_oldest` with this connection when it is shed."""
        self.close_oldest = close_oldest
        self.held = held
        self.passed_at = _now()

    def shed(self, reason: ShedReason) -> bool:
        """Close the oldest connection."""
        del reason
        # Not within the call that counts a new connection.
        asyncio.get_running_loop().call_soon(self.close_oldest, self)
        return True


class ControlAcceptor:
    """Accepts connections, and passes those that have greeted to their owner."""

    def __init__(self, owner: PipeOwner, guard: ConnectionGuard) -> None:
        """Count every connection with `guard`."""
        self.owner = owner
        self.guard = guard
        self.loop = asyncio.get_running_loop()
        self.greeting: set[GreetingConnection] = set()
        self.greeted: deque[GreetedConnection] = deque()
        # Connections of the owner that are closed, but not reported as ended yet.
        self.closings = 0
        self.resume_timer: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> Address:
        """Start accepting and return the bound address."""
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listening = socket.create_server(
            (host.strip("[]"), int(port)), family=family, backlog=ACCEPT_BACKLOG
        )
        self.listening.setblocking(False)
        self.loop.add_reader(self.listening, self._accept)
        return Address(f"{host}:{self.listening.getsockname()[1]}")

    def close(self) -> None:
        """Stop accepting, and close the connections that have not greeted."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listening)
        self.listening.close()
        for connection in list(self.greeting):
            connection.release().close()
        self.greeting.clear()

    def _accept(self) -> None:
        self.forget_ended()
        for _ in range(ACCEPT_BATCH):
            try:
                sock, peer_name = self.listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.loop.remove_reader(self.listening)
                    self.resume_timer = self.loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)
                    return
                # The connection has ended in the queue.
                continue
            connection = GreetingConnection(sock, self._pass_on)
            self.greeting.add(connection)
            connection.held = self.guard.add(connection, Place.CONTROL, peer_name)

    def _resume(self) -> None:
        self.loop.add_reader(self.listening, self._accept)

    def _pass_on(self, connection: GreetingConnection) -> None:
        """Pass a connection to the owner, unless it has ended."""
        self.greeting.discard(connection)
        held = connection.held
        assert held is not None
        if connection.sock.fileno() >= 0:
            sock = connection.release()
            if self.owner.take(sock):
                greeted = GreetedConnection(self._close_oldest, held)
                held.owner = greeted
                self.greeted.append(greeted)
                self.guard.update(held, 0, ConnectionPhase.IDLE)
                return
            sock.close()
        self.guard.remove(held)

    def _close_oldest(self, greeted: GreetedConnection) -> None:
        if greeted in self.greeted:
            self.greeted.remove(greeted)
            self.guard.remove(greeted.held)
            self.close_surplus()

    def forget_one(self) -> None:
        """Stop counting one connection, as one of the owner's has ended by itself."""
        if self.closings:
            self.closings -= 1
        elif self.greeted:
            self.guard.remove(self.greeted.popleft().held)

    def close_surplus(self) -> None:
        """Close the oldest connections beyond those that are counted; some are added late."""
        self.closings += self.owner.keep_newest(len(self.greeted))

    def forget_ended(self) -> None:
        """Stop counting as many of the oldest connections as the owner no longer has."""
        surplus = len(self.greeted) - self.owner.count()
        latest = _now() - ADD_TIMEOUT
        while surplus > 0 and self.greeted[0].passed_at < latest:
            self.guard.remove(self.greeted.popleft().held)
            surplus -= 1


def _now() -> Millis:
    return Millis(time.monotonic() * 1000)
