"""One dialed connection to another daemon, and the handovers that wait for a result on it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from agatecross_adapters.frames import FrameConnection
from agatecross_adapters.hop_codec import decode_hop, encode_hop
from agatecross_adapters.hop_messages import Cancel, Hello, HopMessage, Ping, Result, Resume
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import Address, DaemonId, HandoverId, Incarnation, Millis, Version
from agatecross_core.relay.model import Handover, RelayResult, Repeat, lost, refused
from agatecross_core.states import Reason

from ..mailbox import monotonic_ms
from ..relay_messages import ResultReceiver

CONNECT_TIMEOUT = 0.5
# A restarted daemon is back within a second or two; its peers must find it at once.
REDIAL_BASE = Millis(40)
REDIAL_CAP = Millis(1_000)
# With the timeout below, a silent connection is found and a lost push repaired within the 3 s in
# which the platform counts a machine as disturbed after a fault.
PING_PERIOD = Millis(2_000)
# Bytes between regions are paid for, and a change reaches each region through its relays.
REMOTE_PING_PERIOD = Millis(10_000)
# With calls waiting, a silent connection must be found well within their deadlines.
BUSY_PING_PERIOD = Millis(250)
# Two retransmissions of a lost packet between regions take about 600 ms.
PONG_TIMEOUT = Millis(700)


class LinkState(Enum):
    """State of the connection to a peer."""

    DIALING = "dialing"
    OPEN = "open"
    DOWN = "down"
    CLOSED = "closed"


@dataclass(slots=True)
class Pending:
    """A handover without a result."""

    handover: Handover
    reply: ResultReceiver
    deadline: Millis


class PeerLink:
    """Dials one daemon again and again; asks for results that a lost connection left open."""

    def __init__(
        self,
        daemon_id: DaemonId,
        address: Address,
        hello: Callable[[], Hello],
        version: Callable[[], Version],
        on_message: "Callable[[PeerLink, HopMessage], None]",
        rng: random.Random,
        ping_period: Millis,
    ) -> None:
        self.daemon_id = daemon_id
        self.address = address
        self.hello = hello
        self.version = version
        self.on_message = on_message
        self.rng = rng
        self.ping_period = ping_period
        self.state = LinkState.DIALING
        self.connection: FrameConnection | None = None
        self.incarnation: Incarnation | None = None
        self.pending: dict[HandoverId, Pending] = {}
        self.heard_at = monotonic_ms()
        self.pinged_at = Millis(0)
        self.waits_for_pong = False
        self.failures = 0
        self.down_since: Millis | None = monotonic_ms()
        self.dialer = asyncio.ensure_future(self._dial())

    @property
    def is_open(self) -> bool:
        """Return whether handovers can be sent."""
        return self.state is LinkState.OPEN

    def send(self, message: HopMessage) -> None:
        """Send a message if the connection is open."""
        if self.connection is not None:
            self.connection.send(encode_hop(message))

    def hand_over(self, handover: Handover, reply: ResultReceiver) -> None:
        """Send a handover; without an open connection it surely does not run."""
        if self.state is not LinkState.OPEN:
            reply(handover.handover_id, refused(Reason.CONNECT_FAILED))
            return
        deadline = Millis(monotonic_ms() + handover.left)
        self.pending[handover.handover_id] = Pending(handover, reply, deadline)
        self.send(handover)

    def cancel(self, handover_id: HandoverId) -> None:
        """Stop to wait for a result."""
        if self.pending.pop(handover_id, None) is not None:
            self.send(Cancel(handover_id))

    def check(self, now: Millis) -> None:
        """Ping a quiet connection and drop a silent one; called several times a second."""
        if self.connection is None:
            return
        if self.waits_for_pong and now - self.pinged_at > PONG_TIMEOUT:
            if self.heard_at < self.pinged_at:
                self.connection.abort()
                return
            self.waits_for_pong = False
        period = BUSY_PING_PERIOD if self.pending else self.ping_period
        quiet = now - self.heard_at > period or not self.pending
        if not self.waits_for_pong and quiet and now - self.pinged_at > period:
            self.pinged_at = now
            self.waits_for_pong = True
            self.send(Ping(False, self.version()))

    def close(self) -> None:
        """Stop dialing and close the connection."""
        self.state = LinkState.CLOSED
        self.dialer.cancel()
        if self.connection is not None:
            self.connection.abort()
        self._fail_pending(lambda row: True)

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        while self.connection is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await loop.create_connection(
                        lambda: FrameConnection(self._opened, self._frame, self._closed),
                        host,
                        int(port),
                    )
            except ConnectionRefusedError:
                # Nothing listens: the daemon that had the handovers is gone.
                self._fail_pending(lambda row: True)
            except (OSError, TimeoutError):
                # The daemon may still run what it has, so only safe calls may go elsewhere.
                self._fail_pending(lambda row: row.handover.repeat is Repeat.SAFE)
            if self.connection is None:
                self.state = LinkState.DOWN
                self.failures += 1
                await asyncio.sleep(self._delay() / 1000)

    def _delay(self) -> Millis:
        cap = min(REDIAL_CAP, REDIAL_BASE * 2 ** min(self.failures, 8))
        return Millis(self.rng.uniform(cap / 2, cap))

    def _opened(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.heard_at = monotonic_ms()
        self.waits_for_pong = False
        self.send(self.hello())

    def _closed(self, connection: FrameConnection) -> None:
        if self.connection is not connection or self.state is LinkState.CLOSED:
            return
        self.connection = None
        self.state = LinkState.DIALING
        self.down_since = monotonic_ms()
        self.dialer = asyncio.ensure_future(self._dial())

    def _frame(self, connection: FrameConnection, frame: bytes) -> None:
        self.heard_at = monotonic_ms()
        try:
            message = decode_hop(frame)
        except MessageDecodeError:
            connection.abort()
            return
        match message:
            case Result(handover_id, result):
                self._result(handover_id, result)
            case Ping(answer, _):
                if answer:
                    self.waits_for_pong = False
                else:
                    self.send(Ping(True, self.version()))
                self.on_message(self, message)
            case Hello():
                self._greeted(message)
                self.on_message(self, message)
            case _:
                self.on_message(self, message)

    def _greeted(self, hello: Hello) -> None:
        if hello.daemon_id != self.daemon_id:
            # Another machine took over the address.
            self._fail_pending(lambda row: True)
        elif self.incarnation not in (None, hello.incarnation):
            self._fail_pending(lambda row: True)
        self.incarnation = hello.incarnation
        self.state = LinkState.OPEN
        self.failures = 0
        self.down_since = None
        for handover_id in list(self.pending):
            self.send(Resume(handover_id))

    def _result(self, handover_id: HandoverId, result: RelayResult) -> None:
        row = self.pending.pop(handover_id, None)
        if row is not None:
            row.reply(handover_id, result)

    def _fail_pending(self, which: Callable[[Pending], bool]) -> None:
        for handover_id, row in list(self.pending.items()):
            if which(row):
                self._result(handover_id, lost(Reason.CONNECTION_LOST))
