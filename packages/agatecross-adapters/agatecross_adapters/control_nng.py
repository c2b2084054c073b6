"""Control requests between daemons over NNG request/reply sockets."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

import pynng

from agatecross_core.errors import MessageDecodeError, PeerError
from agatecross_core.ids import Address, Millis

from .codec import ControlMessage, decode_control, encode_control
from .protocols import ControlHandler

MAX_CONTROL_BYTES = 32 * 1024 * 1024
MAX_OPEN_PEERS = 16
ANSWERERS = 8


@dataclass(slots=True)
class TrafficCount:
    """Payload bytes and messages of control traffic, both directions."""

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class NngTransport:
    """Answers and sends control requests; keeps connections to the peers used last."""

    def __init__(self) -> None:
        self.listener: pynng.Rep0 | None = None
        self.answerers: list[asyncio.Task[None]] = []
        self.peers: OrderedDict[Address, pynng.Req0] = OrderedDict()
        self.traffic = TrafficCount()

    async def listen(self, address: Address, handler: ControlHandler) -> Address:
        """Start to answer control requests and return the bound address."""
        self.listener = pynng.Rep0(recv_max_size=MAX_CONTROL_BYTES)
        bound = self.listener.listen(f"tcp://{address}")
        for _ in range(ANSWERERS):
            context = self.listener.new_context()
            self.answerers.append(asyncio.ensure_future(self._answer(context, handler)))
        return Address(str(bound.local_address))

    async def _answer(self, context: pynng.Context, handler: ControlHandler) -> None:
        while True:
            try:
                data = await context.arecv()
            except pynng.Closed:
                return
            self.traffic.received_bytes += len(data)
            try:
                reply = encode_control(await handler(decode_control(data)))
            except (MessageDecodeError, PeerError):
                # The request stays without an answer, which the peer sees as a timeout.
                continue
            self.traffic.sent_bytes += len(reply)
            self.traffic.messages += 1
            await context.asend(reply)

    async def request(
        self, peer: Address, message: ControlMessage, timeout: Millis
    ) -> ControlMessage:
        """Return the peer's answer; raises `PeerError`."""
        data = encode_control(message)
        try:
            async with asyncio.timeout(timeout / 1000):
                with self._socket(peer).new_context() as context:
                    await context.asend(data)
                    self.traffic.sent_bytes += len(data)
                    self.traffic.messages += 1
                    reply = await context.arecv()
            self.traffic.received_bytes += len(reply)
            return decode_control(reply)
        except (TimeoutError, pynng.NNGException, MessageDecodeError) as error:
            self._forget(peer)
            raise PeerError(peer, str(error) or type(error).__name__) from error

    def _socket(self, peer: Address) -> pynng.Req0:
        socket = self.peers.pop(peer, None)
        if socket is None:
            socket = pynng.Req0(recv_max_size=MAX_CONTROL_BYTES)
            socket.dial(f"tcp://{peer}", block=False)
        self.peers[peer] = socket
        while len(self.peers) > MAX_OPEN_PEERS:
            self.peers.popitem(last=False)[1].close()
        return socket

    def _forget(self, peer: Address) -> None:
        socket = self.peers.pop(peer, None)
        if socket is not None:
            socket.close()

    async def close(self) -> None:
        """Close the listener and every connection."""
        for task in self.answerers:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        for socket in self.peers.values():
            socket.close()
        self.peers.clear()
