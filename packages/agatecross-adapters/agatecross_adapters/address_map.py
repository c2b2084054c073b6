"""Replaces addresses before connecting, so that tests can put a proxy into a link."""

from collections.abc import Mapping

from agatecross_core.calls.model import Request, Response
from agatecross_core.ids import Address, Millis

from .codec import ControlMessage
from .peer_transport import ControlHandler, PeerTransport
from .protocols import HttpClient

AddressMap = Mapping[Address, Address]


class MappedHttpClient:
    """Sends requests to the mapped address, or to the given one if it has no mapping."""

    def __init__(self, inner: HttpClient, addresses: AddressMap) -> None:
        self.inner = inner
        self.addresses = addresses

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the complete response; raises a subclass of `ExchangeError`."""
        return await self.inner.send(self.addresses.get(address, address), request, timeout)


class MappedTransport:
    """Sends control requests to the mapped address, or to the given one if it has no mapping."""

    def __init__(self, inner: PeerTransport, addresses: AddressMap) -> None:
        self.inner = inner
        self.addresses = addresses

    async def listen(self, address: Address, handler: ControlHandler) -> Address:
        """Start answering control requests and return the bound address."""
        return await self.inner.listen(address, handler)

    async def request(
        self, peer: Address, message: ControlMessage, timeout: Millis
    ) -> ControlMessage:
        """Return the peer's reply; raises `PeerError`."""
        return await self.inner.request(self.addresses.get(peer, peer), message, timeout)

    async def close(self) -> None:
        """Close the listener and every connection."""
        await self.inner.close()
