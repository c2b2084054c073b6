"""A connection dialed to another daemon, and the handovers that await a result over it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from agatecross_adapters.frames import FrameConnection
from agatecross_adapters.hop_codec import decode_hop_message
from agatecross_adapters.hop_messages import (
    Announce,
    Cancel,
    Hello,
    HopMessage,
    Invite,
    Ping,
    Result,
    Resume,
)
from agatecross_adapters.hop_sending import EncodedMessage, encode_for_sending
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import ZERO_MS, Address, DaemonId, HandoverId, Incarnation, Millis, Version
from agatecross_core.members.link_liveness import LinkLiveness, LinkStep
from agatecross_core.members.ping_periods import PING_PERIOD
from agatecross_core.relay.model import (
    Handover,
    RelayResult,
    Repeat,
    not_run_result,
    unknown_result,
)
from agatecross_core.states import Reason

from ..mailbox import monotonic_ms
from ..relay_messages import ResultReceiver

CONNECT_TIMEOUT_SECONDS = 0.5
# A restarted daemon is back within a second or two; its peers must reconnect at once.
REDIAL_DELAY_BASE = Millis(40)
REDIAL_DELAY_CAP = Millis(1_000)


class LinkState(Enum):
    """State of the connection to a peer."""

    DIALING = "dialing"
    OPEN = "open"
    DOWN = "down"
    CLOSED = "closed"


@dataclass(slots=True)
class PendingHandover:
    """A handover whose result has not arrived yet, and which may still wait for its turn."""

    handover: Handover
    reply: ResultReceiver
    started_at: Millis
    is_sent: bool = False


class PeerLink:
    """Keeps a connection to one daemon; after a reconnect, requests the results still pending."""

    def __init__(
        self,
        daemon_id: DaemonId,
        address: Address,
        new_hello: Callable[[], Hello],
        config_version: Callable[[], Version],
        on_message: "Callable[[PeerLink, HopMessage], None]",
        on_silent: "Callable[[PeerLink, Millis], None]",
        rng: random.Random,
    ) -> None:
        self.daemon_id = daemon_id
        self.address = address
        self.new_hello = new_hello
        self.config_version = config_version
        self.on_message = on_message
        # Called with the time since the last byte when a silent connection is closed.
        self.on_silent = on_silent
        self.rng = rng
        self.state = LinkState.DIALING
        self.connection: FrameConnection | None = None
        self.incarnation: Incarnation | None = None
        # The size above which the peer wants handovers to be announced, 0 for none.
        self.announce_above = 0
        self.pending: dict[HandoverId, PendingHandover] = {}
        # Links that open together are pinged at different times.
        self.liveness = LinkLiveness(
            PING_PERIOD, Millis(monotonic_ms() - rng.uniform(0, PING_PERIOD))
        )
        self.failed_dials = 0
        # Nothing listened at the address after the connection was lost.
        self.process_ended = False
        self.redial_spread = ZERO_MS
        self.redial_delay = ZERO_MS
        self.down_since: Millis | None = monotonic_ms()
        self.dialer = asyncio.ensure_future(self._dial())

    @property
    def is_open(self) -> bool:
        """Return whether handovers can be sent."""
        return self.state is LinkState.OPEN

    def send(self, message: HopMessage) -> None:
        """Send a message if the connection is open."""
        self.send_encoded(encode_for_sending(message))

    def send_encoded(self, message: EncodedMessage) -> None:
        """Send an encoded message if the connection is open, and a ping if it must be confirmed."""
        if self.connection is None:
            return
        message.send_on(self.connection)
        if message.must_confirm:
            self.liveness.message_sent(len(message.frame))
            self.check_liveness(monotonic_ms())

    def hand_over(self, handover: Handover, reply: ResultReceiver) -> None:
        """Send a handover, or refuse it as not run if the connection is not open."""
        if self.state is not LinkState.OPEN:
            reply(handover.handover_id, not_run_result(Reason.CONNECT_FAILED))
            return
        pending = PendingHandover(handover, reply, monotonic_ms())
        self.pending[handover.handover_id] = pending
        self._send_or_announce(pending)

    def cancel(self, handover_id: HandoverId) -> None:
        """Stop waiting for the result of a handover."""
        if self.pending.pop(handover_id, None) is not None:
            self.send(Cancel(handover_id))

    def check_liveness(self, now: Millis) -> None:
        """Ping a quiet connection; close one that stays silent. Called several times a second."""
        if self.connection is None or self.connection.transport.is_closing():
            return
        received_at = self.connection.received_at
        match self.liveness.next_step(now, received_at, bool(self.pending)):
            case LinkStep.PING:
                self.send(Ping(False, self.config_version()))
            case LinkStep.CLOSE:
                self.on_silent(self, Millis(now - received_at))
                if not self.pending:
                    self.redial_delay = Millis(self.rng.uniform(0, self.redial_spread))
                self.connection.abort()

    def set_ping_period(self, period: Millis, redial_spread: Millis) -> None:
        """Set the period of idle pings, and the time over which silent idle links are dialed."""
        elapsed = Millis(self.rng.uniform(0, period))
        self.liveness.set_period(period, monotonic_ms(), elapsed)
        self.redial_spread = redial_spread

    def close(self) -> None:
        """Stop dialing and close the connection."""
        self.state = LinkState.CLOSED
        self.dialer.cancel()
        if self.connection is not None:
            self.connection.abort()
        self._fail_pending(lambda pending: True)

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        await asyncio.sleep(self.redial_delay / 1000)
        self.redial_delay = ZERO_MS
        while self.connection is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await loop.create_connection(
                        lambda: FrameConnection(self._on_open, self._on_frame, self._on_close),
                        host,
                        int(port),
                    )
            except ConnectionRefusedError:
                # Nothing listens at the address: the daemon that had the handovers is gone.
                self.process_ended = True
                self._fail_pending(lambda pending: True)
            except (OSError, TimeoutError):
                # The daemon may still run its handovers, so only safe calls may be repeated.
                self._fail_pending(lambda pending: pending.handover.repeat is Repeat.SAFE)
            if self.connection is None:
                self.state = LinkState.DOWN
                self.failed_dials += 1
                await asyncio.sleep(self._redial_delay() / 1000)

    def _redial_delay(self) -> Millis:
        cap = min(REDIAL_DELAY_CAP, REDIAL_DELAY_BASE * 2 ** min(self.failed_dials, 8))
        return Millis(self.rng.uniform(cap / 2, cap))

    def _on_open(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.liveness.connection_opened()
        self.send(self.new_hello())

    def _on_close(self, connection: FrameConnection) -> None:
        if self.connection is not connection or self.state is LinkState.CLOSED:
            return
        self.connection = None
        self.state = LinkState.DIALING
        self.down_since = monotonic_ms()
        self.dialer = asyncio.ensure_future(self._dial())

    def _on_frame(self, connection: FrameConnection, frame: bytes) -> None:
        try:
            message = decode_hop_message(frame)
        except MessageDecodeError:
            connection.abort()
            return
        match message:
            case None:
                pass
            case Result(handover_id, result):
                self._deliver_result(handover_id, result)
            case Invite(handover_id):
                self._send_invited(handover_id)
            case Ping(answer, _):
                if answer:
                    self.liveness.pong_received()
                else:
                    self.send(Ping(True, self.config_version()))
                self.on_message(self, message)
            case Hello():
                self._handle_hello(message)
                self.on_message(self, message)
            case _:
                self.on_message(self, message)

    def _handle_hello(self, hello: Hello) -> None:
        if hello.daemon_id != self.daemon_id:
            # Another daemon has taken over the address.
            self._fail_pending(lambda pending: True)
        elif self.incarnation not in (None, hello.incarnation):
            self._fail_pending(lambda pending: True)
        self.incarnation = hello.incarnation
        self.state = LinkState.OPEN
        self.process_ended = False
        self.failed_dials = 0
        self.down_since = None
        self.announce_above = hello.announce_above
        for handover_id, pending in list(self.pending.items()):
            if pending.is_sent:
                self.send(Resume(handover_id))
            else:
                self._send_or_announce(pending)

    def _send_or_announce(self, pending: PendingHandover) -> None:
        handover = self._with_time_left_now(pending)
        size = len(handover.request.body)
        if 0 < self.announce_above < size:
            times = handover.objective_time_left, handover.time_left
            self.send(Announce(handover.handover_id, handover.call_id, size, *times))
        else:
            pending.is_sent = True
            self.send(handover)

    def _send_invited(self, handover_id: HandoverId) -> None:
        """Send a handover in its turn, unless nobody waits for its result any more."""
        pending = self.pending.get(handover_id)
        if pending is not None and not pending.is_sent:
            pending.is_sent = True
            self.send(self._with_time_left_now(pending))

    def _with_time_left_now(self, pending: PendingHandover) -> Handover:
        handover, waited = pending.handover, monotonic_ms() - pending.started_at
        if waited < 1:
            return handover
        return replace(
            handover,
            objective_time_left=Millis(handover.objective_time_left - waited),
            time_left=Millis(handover.time_left - waited),
        )

    def _deliver_result(self, handover_id: HandoverId, result: RelayResult) -> None:
        pending = self.pending.pop(handover_id, None)
        if pending is not None:
            pending.reply(handover_id, result)

    def _fail_pending(self, matches: Callable[[PendingHandover], bool]) -> None:
        for handover_id, pending in list(self.pending.items()):
            if not pending.is_sent:
                self._deliver_result(handover_id, not_run_result(Reason.CONNECT_FAILED))
            elif matches(pending):
                self._deliver_result(handover_id, unknown_result(Reason.CONNECTION_LOST))
