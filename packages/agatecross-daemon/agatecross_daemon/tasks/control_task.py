"""Owns the control transport; passes requests from peers to tasks, and from tasks to peers."""

import asyncio
from collections.abc import Mapping

from agatecross_adapters.codec import ControlMessage
from agatecross_adapters.peer_transport import PeerTransport
from agatecross_core.errors import PeerError
from agatecross_core.ids import Address, Millis

from ..mailbox import Ask, Mailbox, Sender, new_ask
from ..messages import ControlReceived, SendControl

ControlAsk = Ask[SendControl, ControlMessage | None]
ReceivedAsk = Ask[ControlReceived, ControlMessage]


class ControlTask:
    """Carries control messages between the other tasks and the peers."""

    def __init__(
        self,
        mailbox: Mailbox[ControlAsk],
        address: Address,
        transport: PeerTransport,
        receivers: Mapping[type, Sender[ReceivedAsk]],
    ) -> None:
        self.address = address
        self.transport = transport
        self.receivers = receivers
        self.mailbox = mailbox
        self.sends: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.transport.listen(self.address, self._handle_request)
        try:
            while True:
                ask = await self.mailbox.get()
                task = asyncio.ensure_future(self._send(ask))
                self.sends.add(task)
                task.add_done_callback(self.sends.discard)
        finally:
            await self.transport.close()

    async def _send(self, ask: ControlAsk) -> None:
        outgoing = ask.payload
        try:
            ask.answer(
                await self.transport.request(outgoing.peer, outgoing.message, outgoing.timeout)
            )
        except PeerError:
            ask.answer(None)

    async def _handle_request(self, message: ControlMessage) -> ControlMessage:
        receiver = self.receivers.get(type(message))
        if receiver is None:
            raise PeerError(self.address, f"{type(message).__name__} is not a request")
        ask: ReceivedAsk = new_ask(ControlReceived(message))
        receiver.put(ask)
        return await ask.reply


async def send_control(
    control: Sender[ControlAsk], peer: Address, message: ControlMessage, timeout: Millis
) -> ControlMessage | None:
    """Send a request through the control task; return the answer, or None if there is none."""
    ask: ControlAsk = new_ask(SendControl(peer, message, timeout))
    control.put(ask)
    return await ask.reply
