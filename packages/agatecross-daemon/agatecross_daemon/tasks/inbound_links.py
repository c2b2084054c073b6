"""Connections dialed by other daemons: they receive handovers and send the results back."""

import asyncio
from collections.abc import Callable, Collection, Iterable

from agatecross_adapters.connection_guard import ConnectionGuard
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
from agatecross_adapters.hop_sending import EncodedMessage, send_hop_message
from agatecross_adapters.inbound_frames import InboundFrameConnection
from agatecross_core.admission.slot_queue import RefuseHandover
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import DaemonId, HandoverId, Incarnation, Millis, Version
from agatecross_core.relay.model import Handover, RelayResult, not_run_result
from agatecross_core.relay.transfer_turns import AnnouncedRequest, InviteRequest, TransferTurns
from agatecross_core.states import Reason

from ..decision_log import DecisionLog
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import CancelHandover, ResultReceiver, ResumeHandover, RunHandover
from .config_distributor import ReplySender
from .exit_task import ExitMessage

# A handover whose connection was lost is cancelled unless it is resumed within this time.
ORPHAN_TIMEOUT = Millis(1_500)

# Far more announced handovers than a link carries; a peer that announces without end holds no more.
MAX_ANNOUNCED = 1_024

DaemonProcess = tuple[DaemonId, Incarnation]
MessageHandler = Callable[[HopMessage, ReplySender, DaemonId | None], None]


class InboundConnection:
    """A connection dialed by another daemon."""

    def __init__(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.daemon_id: DaemonId | None = None
        self.process: DaemonProcess | None = None
        self.handovers: set[HandoverId] = set()

    def send(self, message: HopMessage) -> None:
        """Send a message."""
        send_hop_message(self.connection, message)


class InboundLinks:
    """Passes handovers to the exit task, and every other message to `on_message`.

    Other daemons announce long handovers first; `link_rate` in Mbit/s decides which ones.
    """

    def __init__(
        self,
        exit_mailbox: Sender[ExitMessage],
        new_hello_reply: Callable[[Hello], Hello],
        config_version: Callable[[], Version],
        on_message: MessageHandler,
        log: DecisionLog,
        guard: ConnectionGuard,
        link_rate: int = 0,
    ) -> None:
        self.exit = exit_mailbox
        self.new_hello_reply = new_hello_reply
        self.config_version = config_version
        self.on_message = on_message
        self.log = log
        self.guard = guard
        self.connections: dict[FrameConnection, InboundConnection] = {}
        # The newest connection over which each incarnation of a daemon has greeted.
        self.greeted: dict[DaemonProcess, InboundConnection] = {}
        self.orphans: list[tuple[Millis, HandoverId]] = []
        self.turns = TransferTurns(link_rate)
        # The announced handovers that have not arrived yet, with their connections.
        self.announced: dict[HandoverId, tuple[InboundConnection, Announce]] = {}
        self.turn_timer: asyncio.TimerHandle | None = None

    def new_connection(self) -> InboundFrameConnection:
        """Create the protocol object of a new connection."""
        return InboundFrameConnection(self._on_open, self._on_frame, self._on_close, self.guard)

    def send_to_others(self, message: EncodedMessage, reached: Collection[DaemonId]) -> None:
        """Send a message to the daemons that are not in `reached`."""
        for inbound in self.connections.values():
            if inbound.daemon_id is not None and inbound.daemon_id not in reached:
                message.send_on(inbound.connection)

    def cancel_orphans(self, now: Millis) -> None:
        """Cancel handovers that were not resumed in time after their connection was lost."""
        while self.orphans and now - self.orphans[0][0] > ORPHAN_TIMEOUT:
            self.exit.put(CancelHandover(self.orphans.pop(0)[1]))

    @property
    def unsent(self) -> int:
        """Return the number of bytes of results and answers not yet passed to the kernel."""
        return sum(connection.unsent for connection in self.connections)

    def finish(self) -> None:
        """Half-close every connection after its last result; the peer then closes it."""
        for connection in self.connections:
            connection.close_gracefully()

    def abort(self) -> None:
        """Close every connection at once."""
        for connection in list(self.connections):
            connection.abort()

    def _on_open(self, connection: FrameConnection) -> None:
        self.connections[connection] = InboundConnection(connection)

    def _on_close(self, connection: FrameConnection) -> None:
        inbound = self.connections.pop(connection, None)
        if inbound is not None:
            now = monotonic_ms()
            for handover_id in [i for i, row in self.announced.items() if row[0] is inbound]:
                self._end_turn(handover_id, now)
            self.orphans += [(now, handover_id) for handover_id in inbound.handovers]
            if inbound.process is not None and self.greeted.get(inbound.process) is inbound:
                del self.greeted[inbound.process]

    def _on_frame(self, connection: FrameConnection, frame: bytes) -> None:
        inbound = self.connections[connection]
        try:
            message = decode_hop_message(frame)
        except MessageDecodeError as error:
            self.log.write_change(
                "peer_message_malformed", peer=inbound.daemon_id or "", reason=str(error)
            )
            connection.abort()
            return
        match message:
            case None:
                self.log.write_change("peer_message_unknown", peer=inbound.daemon_id or "")
            case Handover():
                inbound.handovers.add(message.handover_id)
                self._end_turn(message.handover_id, monotonic_ms())
                self.exit.put(RunHandover(message, self._result_sender(inbound)))
            case Cancel(handover_id):
                inbound.handovers.discard(handover_id)
                self._end_turn(handover_id, monotonic_ms())
                self.exit.put(CancelHandover(handover_id))
            case Announce():
                self._handle_announcement(inbound, message)
            case Resume(handover_id):
                inbound.handovers.add(handover_id)
                self.orphans = [pair for pair in self.orphans if pair[1] != handover_id]
                self.exit.put(ResumeHandover(handover_id, self._result_sender(inbound)))
            case Hello():
                inbound.daemon_id = message.daemon_id
                if isinstance(connection, InboundFrameConnection):
                    connection.greeted = True
                inbound.process = (message.daemon_id, message.incarnation)
                self._close_replaced(inbound, inbound.process)
                inbound.send(self.new_hello_reply(message))
                self.on_message(message, inbound.send, inbound.daemon_id)
            case Ping(False, _):
                inbound.send(Ping(True, self.config_version()))
                self.on_message(message, inbound.send, inbound.daemon_id)
            case _:
                self.on_message(message, inbound.send, inbound.daemon_id)

    def _close_replaced(self, inbound: InboundConnection, process: DaemonProcess) -> None:
        """Close the connection that the sender of a greeting had before.

        The sender closed it, but on a silent connection that does not arrive. Another incarnation
        may still run, for instance while it drains, and keeps its connection.
        """
        replaced = self.greeted.get(process, inbound)
        self.greeted[process] = inbound
        if replaced is not inbound:
            replaced.connection.abort()

    def _handle_announcement(self, inbound: InboundConnection, message: Announce) -> None:
        now = monotonic_ms()
        self._end_turn(message.handover_id, now)
        if len(self.announced) >= MAX_ANNOUNCED:
            self._refuse_announcement(inbound, message, Reason.OVERLOADED)
            return
        self.announced[message.handover_id] = inbound, message
        request = AnnouncedRequest(
            message.handover_id,
            message.size,
            Millis(now + message.objective_time_left),
            Millis(now + message.time_left),
        )
        self._execute_actions(self.turns.announce(request, now))

    def _end_turn(self, handover_id: HandoverId, now: Millis) -> None:
        if self.announced.pop(handover_id, None) is not None:
            self._execute_actions(self.turns.end(handover_id, now))

    def _execute_actions(self, actions: Iterable[InviteRequest | RefuseHandover]) -> None:
        for action in actions:
            if isinstance(action, InviteRequest):
                inbound, _ = self.announced[action.handover_id]
                inbound.send(Invite(action.handover_id))
                continue
            inbound, message = self.announced.pop(action.handover_id)
            self._refuse_announcement(inbound, message, action.reason)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self.turn_timer is not None:
            self.turn_timer.cancel()
            self.turn_timer = None
        due = self.turns.next_invitation()
        if due is not None:
            delay = max(0.0, due - monotonic_ms()) / 1000
            self.turn_timer = asyncio.get_running_loop().call_later(delay, self._on_turn)

    def _refuse_announcement(
        self, inbound: InboundConnection, message: Announce, reason: Reason
    ) -> None:
        result = not_run_result(reason)
        self.log.write_failed_call(
            "handover_failed",
            call_id=message.call_id,
            outcome=result.outcome.value,
            reason=reason.value,
            announced=message.size,
            waiting=len(self.turns.waiting),
        )
        inbound.send(Result(message.handover_id, result))

    def _on_turn(self) -> None:
        self.turn_timer = None
        self._execute_actions(self.turns.invite_next(monotonic_ms()))

    def _result_sender(self, inbound: InboundConnection) -> ResultReceiver:
        def reply(handover_id: HandoverId, result: RelayResult) -> None:
            inbound.handovers.discard(handover_id)
            inbound.send(Result(handover_id, result))

        return reply
