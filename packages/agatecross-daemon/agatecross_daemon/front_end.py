"""What a platform provides to the relaying daemon."""

from collections.abc import Callable
from typing import Protocol

from agatecross_adapters.header_names import HeaderNames
from agatecross_adapters.protocols import FleetStore, RequestHandler
from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis
from agatecross_core.routing.host_table import HostTable

from .mailbox import Sender
from .relay_messages import UpstreamMessage


class FrontEnd(Protocol):
    """What a platform provides: its store, its header names and its decoders."""

    names: HeaderNames

    @property
    def store(self) -> FleetStore:
        """Return the platform's store."""
        ...

    def decode_config(self, data: bytes, /) -> HostTable:
        """Return the compiled configuration; raises `MessageDecodeError`."""
        ...

    def set_store_address(self, address: Address) -> None:
        """Use the store at this address from the next call on."""
        ...

    def report_silent_connections(self, report: Callable[[Address, Millis], None], /) -> None:
        """Call `report` with address and idle time of each connection to the store found silent."""
        ...

    def create_heartbeat_handler(self, sender: Sender[UpstreamMessage]) -> RequestHandler:
        """Return the handler of the requests that an upstream sends to its local daemon."""
        ...

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether a request is a readiness check."""
        ...
