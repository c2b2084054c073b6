"""Control requests between daemons, over NNG request/reply sockets."""

import asyncio
import socket
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Final

import pynng
from pynng import _nng

from agatecross_core.constants import DEFAULT_CONTROL_REQUEST_BYTES
from agatecross_core.errors import MessageDecodeError, PeerError
from agatecross_core.ids import Address, Millis

from .codec import ControlMessage, decode_control, encode_control
from .connection_guard import ConnectionGuard, new_guard
from .control_accepting import ControlAcceptor
from .peer_transport import ControlHandler

# Answers may hold a whole configuration.
MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024
MAX_PEER_SOCKETS: Final = 16
# Answering an indirect probe occupies a context for up to a probe timeout; direct probes must
# still find a free one.
RESPONDER_COUNT: Final = 32
HANDLER_TIMEOUT: Final = Millis(5_000)
REDIAL_MIN_MS: Final = 100
REDIAL_MAX_MS: Final = 1_000
# By default NNG starts threads for each core, 30 on ten cores. Control traffic needs only one of
# each kind, but NNG raises the number of task threads to two.
NNG_THREADS: Final = {
    _nng.lib.NNG_INIT_NUM_TASK_THREADS: 2,
    _nng.lib.NNG_INIT_MAX_TASK_THREADS: 2,
    _nng.lib.NNG_INIT_NUM_EXPIRE_THREADS: 1,
    _nng.lib.NNG_INIT_MAX_EXPIRE_THREADS: 1,
    _nng.lib.NNG_INIT_NUM_POLLER_THREADS: 1,
    _nng.lib.NNG_INIT_MAX_POLLER_THREADS: 1,
    _nng.lib.NNG_INIT_NUM_RESOLVER_THREADS: 1,
}


# NNG's transport for connections that were accepted elsewhere.
ACCEPTED_URL: Final = "socket://"
ACCEPTED_OPTION: Final = b"socket:fd"


def limit_nng_threads() -> None:
    """Bound NNG's threads in this process; has no effect once a socket was opened."""
    for parameter, value in NNG_THREADS.items():
        _nng.lib.nng_init_set_parameter(parameter, value)


@dataclass(slots=True)
class TrafficCounters:
    """Payload bytes, messages and dials of control traffic, as client and as server."""

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0
    dials: int = 0


@dataclass(slots=True)
class PeerSocket:
    """The socket to one peer, and the number of requests that use it."""

    socket: pynng.Req0
    active_requests: int = 0


class NngListener:
    """Passes accepted connections to a replying socket of NNG."""

    def __init__(self, replier: pynng.Rep0) -> None:
        """Use a socket that does not listen yet."""
        self.replier = replier
        self.listener = replier.listen(ACCEPTED_URL)

    def report_changes(self, on_added: Callable[[], None], on_ended: Callable[[], None]) -> None:
        """Call `on_added` and `on_ended` in the event loop for each connection."""
        loop = asyncio.get_running_loop()

        def report(on_change: Callable[[], None]) -> None:
            # Called in a thread of NNG.
            if not loop.is_closed():
                loop.call_soon_threadsafe(on_change)

        self.replier.add_post_pipe_connect_cb(lambda pipe: report(on_added))
        self.replier.add_post_pipe_remove_cb(lambda pipe: report(on_ended))

    def take(self, sock: socket.socket) -> bool:
        """Take over a connection; return False if that is not possible."""
        taken = not _nng.lib.nng_listener_set_int(
            self.listener.listener, ACCEPTED_OPTION, sock.fileno()
        )
        if taken:
            sock.detach()
        return taken

    def count(self) -> int:
        """Return the number of connections in use."""
        return len(self._open_pipes())

    def keep_newest(self, count: int) -> int:
        """Close those that were added first, beyond this number; return how many were closed."""
        pipes = self._open_pipes()
        closed = 0
        for pipe in pipes[: max(0, len(pipes) - count)]:
            with suppress(pynng.NNGException):
                pipe.close()
                closed += 1
        return closed

    def _open_pipes(self) -> list[pynng.Pipe]:
        return [pipe for pipe in self.replier.pipes if not pipe.closed and _exists(pipe)]


def _exists(pipe: pynng.Pipe) -> bool:
    """Return whether NNG has this pipe; pynng may report that one was added after it has ended."""
    try:
        return bool(pipe.protocol)
    except pynng.NNGException:
        return False


class NngTransport:
    """Answers and sends control requests; keeps connections to the most recently used peers.

    At most `MAX_PEER_SOCKETS` requests, and therefore dials, are in flight; further ones wait.
    """

    def __init__(
        self,
        guard: ConnectionGuard | None = None,
        max_request_bytes: int = DEFAULT_CONTROL_REQUEST_BYTES,
    ) -> None:
        """Count the connections of peers with `guard`, and end those that send longer requests."""
        limit_nng_threads()
        self.guard = guard or new_guard()
        self.max_request_bytes = max_request_bytes
        self.acceptor: ControlAcceptor | None = None
        self.listener: pynng.Rep0 | None = None
        self.responders: list[asyncio.Task[None]] = []
        self.closing = False
        self.contexts: list[pynng.Context] = []
        self.peers: OrderedDict[Address, PeerSocket] = OrderedDict()
        self.request_slots = asyncio.Semaphore(MAX_PEER_SOCKETS)
        self.traffic = TrafficCounters()

    async def listen(self, address: Address, handler: ControlHandler) -> Address:
        """Start answering control requests and return the bound address."""
        self.listener = pynng.Rep0(recv_max_size=self.max_request_bytes)
        owner = NngListener(self.listener)
        self.acceptor = ControlAcceptor(owner, self.guard)
        owner.report_changes(self.acceptor.close_surplus, self.acceptor.forget_one)
        bound = self.acceptor.listen(address)
        for _ in range(RESPONDER_COUNT):
            context = self.listener.new_context()
            self.contexts.append(context)
            self.responders.append(asyncio.ensure_future(self._serve_requests(context, handler)))
        return bound

    async def _serve_requests(self, context: pynng.Context, handler: ControlHandler) -> None:
        # pynng loses a cancellation that arrives together with a message, so the loop checks
        # `closing` too.
        while not self.closing:
            try:
                await self._serve_one_request(context, handler)
            except pynng.Closed:
                return
            except (MessageDecodeError, PeerError, TimeoutError, pynng.NNGException):
                # The request gets no reply, which the peer sees as a timeout.
                continue

    async def _serve_one_request(self, context: pynng.Context, handler: ControlHandler) -> None:
        data = await context.arecv()
        self.traffic.received_bytes += len(data)
        if self.closing:
            # The task that handles requests may have ended; the peer sees a timeout.
            return
        async with asyncio.timeout(HANDLER_TIMEOUT / 1000):
            reply = encode_control(await handler(decode_control(data)))
        # A peer that does not read its answers would keep this responder from the others.
        async with asyncio.timeout(HANDLER_TIMEOUT / 1000):
            await context.asend(reply)
        self.traffic.sent_bytes += len(reply)
        self.traffic.messages += 1

    async def request(
        self, peer: Address, message: ControlMessage, timeout: Millis
    ) -> ControlMessage:
        """Return the peer's reply; raises `PeerError`."""
        try:
            data = encode_control(message)
            async with asyncio.timeout(timeout / 1000), self._socket_for_peer(peer) as socket:
                with socket.new_context() as context:
                    await context.asend(data)
                    self.traffic.sent_bytes += len(data)
                    self.traffic.messages += 1
                    reply = await context.arecv()
            self.traffic.received_bytes += len(reply)
            return decode_control(reply)
        except (TimeoutError, pynng.NNGException, MessageDecodeError) as error:
            raise PeerError(peer, str(error) or type(error).__name__) from error

    @asynccontextmanager
    async def _socket_for_peer(self, address: Address) -> AsyncIterator[pynng.Req0]:
        """Yield the socket that connects to a peer; after an error, close it once it is unused."""
        async with self.request_slots:
            peer = self._get_or_dial(address)
            peer.active_requests += 1
            try:
                yield peer.socket
            except BaseException:
                if self.peers.get(address) is peer:
                    del self.peers[address]
                raise
            finally:
                peer.active_requests -= 1
                if peer.active_requests == 0 and self.peers.get(address) is not peer:
                    peer.socket.close()

    def _get_or_dial(self, address: Address) -> PeerSocket:
        peer = self.peers.pop(address, None)
        if peer is None:
            self._evict_idle()
            peer = PeerSocket(self._dial(address))
        self.peers[address] = peer
        return peer

    def _dial(self, address: Address) -> pynng.Req0:
        self.traffic.dials += 1
        socket = pynng.Req0(
            recv_max_size=MAX_ANSWER_BYTES,
            reconnect_time_min=REDIAL_MIN_MS,
            reconnect_time_max=REDIAL_MAX_MS,
        )
        try:
            socket.dial(f"tcp://{address}", block=False)
        except pynng.NNGException:
            socket.close()
            raise
        return socket

    def _evict_idle(self) -> None:
        idle = [address for address, peer in self.peers.items() if peer.active_requests == 0]
        for address in idle[: max(0, len(self.peers) + 1 - MAX_PEER_SOCKETS)]:
            self.peers.pop(address).socket.close()

    async def close(self) -> None:
        """Close the listener and every connection."""
        self.closing = True
        if self.acceptor is not None:
            self.acceptor.close()
        for task in self.responders:
            task.cancel()
        await asyncio.gather(*self.responders, return_exceptions=True)
        # A context that outlives its socket reports an error when it is garbage-collected.
        for context in self.contexts:
            context.close()
        if self.listener is not None:
            self.listener.close()
        for peer in self.peers.values():
            peer.socket.close()
        self.peers.clear()
