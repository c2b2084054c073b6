"""Connections that other daemons dialed: handovers come in on them, and results go out."""

from collections.abc import Callable, Collection

from agatecross_adapters.frames import FrameConnection
from agatecross_adapters.hop_codec import decode_hop, encode_hop
from agatecross_adapters.hop_messages import Cancel, Hello, HopMessage, Ping, Result, Resume
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import DaemonId, HandoverId, Millis, Version
from agatecross_core.relay.model import Handover, RelayResult

from ..decision_log import DecisionLog
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import CancelHandover, ResultReceiver, ResumeHandover, RunHandover
from .config_spread import Answer
from .exit_task import ExitMessage

# Handovers whose connection is gone are given up when their entry daemon does not ask for them.
ORPHAN_TIME = Millis(1_500)

MessageHandler = Callable[[HopMessage, Answer, DaemonId | None], None]


class Inbound:
    """A connection that another daemon dialed."""

    def __init__(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.daemon_id: DaemonId | None = None
        self.handovers: set[HandoverId] = set()

    def send(self, message: HopMessage) -> None:
        """Send a message."""
        self.connection.send(encode_hop(message))


class InboundLinks:
    """Passes handovers to the exit task, and every other message to `on_message`."""

    def __init__(
        self,
        exit_box: Sender[ExitMessage],
        greeting: Callable[[Hello], Hello],
        version: Callable[[], Version],
        on_message: MessageHandler,
        log: DecisionLog,
    ) -> None:
        self.exit = exit_box
        self.greeting = greeting
        self.version = version
        self.on_message = on_message
        self.log = log
        self.rows: dict[FrameConnection, Inbound] = {}
        self.orphans: list[tuple[Millis, HandoverId]] = []

    def connection(self) -> FrameConnection:
        """Return the protocol of a new connection."""
        return FrameConnection(self._accepted, self._frame, self._closed)

    def send_to_others(self, frame: bytes, reached: Collection[DaemonId]) -> None:
        """Send a frame to the daemons that are not in `reached`."""
        for row in self.rows.values():
            if row.daemon_id is not None and row.daemon_id not in reached:
                row.connection.send(frame)

    def give_up_orphans(self, now: Millis) -> None:
        """Cancel handovers that nobody asked for after their connection was lost."""
        while self.orphans and now - self.orphans[0][0] > ORPHAN_TIME:
            self.exit.put(CancelHandover(self.orphans.pop(0)[1]))

    @property
    def unsent(self) -> int:
        """Return the bytes of results and answers not yet given to the kernel."""
        return sum(connection.unsent for connection in self.rows)

    def finish(self) -> None:
        """End every connection after the results that were written."""
        for connection in self.rows:
            connection.finish()

    def abort(self) -> None:
        """Close every connection at once."""
        for connection in list(self.rows):
            connection.abort()

    def _accepted(self, connection: FrameConnection) -> None:
        self.rows[connection] = Inbound(connection)

    def _closed(self, connection: FrameConnection) -> None:
        row = self.rows.pop(connection, None)
        if row is not None:
            now = monotonic_ms()
            self.orphans += [(now, handover_id) for handover_id in row.handovers]

    def _frame(self, connection: FrameConnection, frame: bytes) -> None:
        row = self.rows[connection]
        try:
            message = decode_hop(frame)
        except MessageDecodeError as error:
            self.log.write_change(
                "peer_message_malformed", peer=row.daemon_id or "", reason=str(error)
            )
            connection.abort()
            return
        match message:
            case Handover():
                row.handovers.add(message.handover_id)
                self.exit.put(RunHandover(message, self._replier(row)))
            case Cancel(handover_id):
                row.handovers.discard(handover_id)
                self.exit.put(CancelHandover(handover_id))
            case Resume(handover_id):
                row.handovers.add(handover_id)
                self.orphans = [pair for pair in self.orphans if pair[1] != handover_id]
                self.exit.put(ResumeHandover(handover_id, self._replier(row)))
            case Hello():
                row.daemon_id = message.daemon_id
                row.send(self.greeting(message))
                self.on_message(message, row.send, row.daemon_id)
            case Ping(False, _):
                row.send(Ping(True, self.version()))
                self.on_message(message, row.send, row.daemon_id)
            case _:
                self.on_message(message, row.send, row.daemon_id)

    def _replier(self, row: Inbound) -> ResultReceiver:
        def reply(handover_id: HandoverId, result: RelayResult) -> None:
            row.handovers.discard(handover_id)
            row.send(Result(handover_id, result))

        return reply
