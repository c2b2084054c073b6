"""Owns the connections between daemons and the directory of the fleet."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from agatecross_adapters.frames import FrameConnection
from agatecross_adapters.hop_codec import (
    Cancel,
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    HopMessage,
    Ping,
    Pull,
    Result,
    Resume,
    Strikes,
    decode_hop,
    encode_hop,
)
from agatecross_core.constants import TABLE_DONORS
from agatecross_core.distribution.feeding import push_targets
from agatecross_core.distribution.readers import select_readers
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import Address, DaemonId, DataCentreName, HandoverId, Millis, Version
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import Handover, RelayResult, refused
from agatecross_core.states import Reason, UpstreamState

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic
from ..relay_messages import (
    CancelAt,
    CancelHandover,
    FleetChanged,
    HandOver,
    LeaveReceived,
    LogReached,
    ResumeHandover,
    SendTo,
    StrikesLearnt,
    UpstreamDescribed,
)
from ..relay_metrics import RelayMetrics
from ..source_messages import (
    ConfigChanged,
    ConfigOrigin,
    ConfigReceived,
    DeltaReceived,
    EndpointsRead,
    LinksChanged,
    PeerForgotten,
    PullNeeded,
)
from .exit_task import ExitMessage
from .peer_link import PING_PERIOD, REMOTE_PING_PERIOD, PeerLink

PeersMessage = (
    StrikesLearnt
    | SendTo
    | CancelAt
    | UpstreamDescribed
    | LogReached
    | ConfigChanged
    | PullNeeded
    | EndpointsRead
)
TICK_SECONDS = 0.1
BACKLOG = 1024
# Handovers whose connection is gone are given up when their entry daemon does not ask for them.
ORPHAN_TIME = Millis(1_500)
PULL_PERIOD = Millis(300)
# The own region learns a change within this time, or its readers are gone; then a whole
# configuration crosses the link between regions.
REMOTE_PULL_DELAY = Millis(700)
# Told to daemons that join later; an upstream has some tens of slots, so ten deaths fit.
KEPT_STRIKES = 512
# A daemon that was unreachable for this long is forgotten; it announces itself when it is back.
FORGET_TIME = Millis(20_000)


class Inbound:
    """A connection that another daemon dialed."""

    def __init__(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.daemon_id: DaemonId | None = None
        self.handovers: set[HandoverId] = set()

    def send(self, message: HopMessage) -> None:
        """Send a message."""
        self.connection.send(encode_hop(message))


class PeersTask:
    """Dials every known daemon; carries handovers, descriptions and configurations."""

    def __init__(
        self,
        mailbox: DirectMailbox[PeersMessage],
        address: Address,
        directory: Directory,
        exit_box: Sender[ExitMessage],
        entry: Sender[FleetChanged | StrikesLearnt],
        source: Sender[ConfigReceived | DeltaReceived | LinksChanged | PeerForgotten],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.own(self._handle)
        self.address = address
        self.directory = directory
        self.exit = exit_box
        self.entry = entry
        self.source = source
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.links: dict[DaemonId, PeerLink] = {}
        self.inbound: dict[FrameConnection, Inbound] = {}
        self.orphans: list[tuple[Millis, HandoverId]] = []
        self.server: asyncio.Server | None = None
        self.version = Version(0)
        self.blob = b""
        self.delta: ConfigDelta | None = None
        self.pulled_at = Millis(0)
        self.behind_since: Millis | None = None
        self.open_links: frozenset[DaemonId] = frozenset()
        self.strikes: deque[Strike] = deque(maxlen=KEPT_STRIKES)

    async def start(self) -> None:
        """Start to accept other daemons."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self.server = await loop.create_server(
            lambda: FrameConnection(self._accepted, self._frame, self._closed),
            host,
            int(port),
            backlog=BACKLOG,
        )
        self._publish()

    async def run(self) -> None:
        """Watch the connections until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                self._tick(monotonic())
        finally:
            for link in self.links.values():
                link.close()
            if self.server is not None:
                self.server.close()

    def leave(self) -> None:
        """Tell every peer that this daemon takes no more calls."""
        self._announce(self.directory.update(leaving=True))

    def _handle(self, message: PeersMessage) -> None:
        match message:
            case SendTo(daemon_id, handover, reply):
                self._send_to(daemon_id, handover, reply)
            case CancelAt(daemon_id, handover_id):
                self._cancel_at(daemon_id, handover_id)
            case UpstreamDescribed(changes):
                self._announce(self.directory.update(**changes))
            case LogReached(reached, latency):
                me = self.directory.me
                if (reached, latency) != (me.reads_log, me.log_latency):
                    self._announce(self.directory.update(reads_log=reached, log_latency=latency))
            case ConfigChanged():
                self._config_changed(message)
            case PullNeeded(version):
                self._pull_from_region(version)
            case EndpointsRead(endpoints):
                self._merge(endpoints)
            case StrikesLearnt(strikes):
                self._strikes_learnt(strikes)
                for link in self.links.values():
                    link.send(Strikes(strikes))

    def _send_to(
        self,
        daemon_id: DaemonId,
        handover: Handover,
        reply: Callable[[HandoverId, RelayResult], None],
    ) -> None:
        if daemon_id == self.directory.me.daemon_id:
            self.exit.put(HandOver(handover, reply))
            return
        link = self.links.get(daemon_id)
        if link is None:
            reply(handover.handover_id, refused(Reason.CONNECT_FAILED))
        else:
            link.hand_over(handover, reply)

    def _cancel_at(self, daemon_id: DaemonId, handover_id: HandoverId) -> None:
        if daemon_id == self.directory.me.daemon_id:
            self.exit.put(CancelHandover(handover_id))
        elif daemon_id in self.links:
            self.links[daemon_id].cancel(handover_id)

    def _config_changed(self, message: ConfigChanged) -> None:
        self.version, self.blob, self.delta = message.version, message.blob, message.delta
        self.behind_since = None
        if message.origin is ConfigOrigin.REGION:
            return
        frame = encode_hop(self.delta or ConfigBlob(self.version, self.blob))
        rows = self.directory.rows.values()
        from_store = message.origin is ConfigOrigin.STORE
        for daemon_id in push_targets(self.directory.me, rows, self.open_links, from_store):
            link = self.links.get(daemon_id)
            if link is not None and link.connection is not None:
                link.connection.send(frame)

    def _pull_from_region(self, version: Version) -> None:
        """Ask the first reachable daemon of the region for a whole configuration."""
        me = self.directory.me
        for row in self.directory.others():
            link = self.links.get(row.daemon_id)
            if row.region == me.region and link is not None and link.is_open:
                link.send(Pull(self.version))
                return
        self.log.change("config_not_pulled", version=version, reason="no open link in the region")

    def _announce(self, me: Endpoint) -> None:
        frame = encode_hop(Endpoints((me,)))
        reached: set[DaemonId] = set()
        for link in self.links.values():
            if link.is_open and link.connection is not None:
                link.connection.send(frame)
                reached.add(link.daemon_id)
        for row in self.inbound.values():
            if row.daemon_id is not None and row.daemon_id not in reached:
                row.connection.send(frame)
        self._publish()

    def _merge(self, endpoints: tuple[Endpoint, ...]) -> None:
        before = self.directory.me
        self._learn_own(endpoints)
        news = self.directory.merge(endpoints)
        if self.directory.me.order != before.order:
            self._announce(self.directory.me)
        for row in news:
            self._dial(row)
            self.log.change(
                "endpoint_learnt",
                daemon=row.daemon_id,
                incarnation=row.incarnation,
                sequence=row.sequence,
                service=row.service,
                instance=row.instance or "",
                state=row.state.value,
                leaving=row.leaving,
            )
        if news:
            self._drop_unknown()
            self._publish()

    def _learn_own(self, endpoints: tuple[Endpoint, ...]) -> None:
        # A drain that was confirmed before a restart binds this daemon too.
        for row in endpoints:
            own = row.daemon_id == self.directory.me.daemon_id
            if own and row.state is UpstreamState.DRAINING and row.instance is not None:
                self.exit.put(LeaveReceived(row.instance, row.born))

    def _dial(self, row: Endpoint) -> None:
        link = self.links.get(row.daemon_id)
        if link is not None and link.address == row.address:
            return
        if link is not None:
            link.close()
        near = row.region == self.directory.me.region
        self.links[row.daemon_id] = PeerLink(
            row.daemon_id,
            row.address,
            lambda: self._hello(row.daemon_id, row.data_centre),
            lambda: self.version,
            self._heard,
            self.rng,
            PING_PERIOD if near else REMOTE_PING_PERIOD,
        )

    def _drop_unknown(self) -> None:
        for daemon_id in [i for i in self.links if i not in self.directory.rows]:
            self.links.pop(daemon_id).close()

    def _hello(self, peer: DaemonId, data_centre: DataCentreName) -> Hello:
        """Return the greeting for a peer: the own row, its row if it drains, or the table.

        Each daemon greets every other one, so whole tables would grow with the square of the
        fleet; they go only from a few daemons of a data centre to their neighbours.
        """
        me = self.directory.me
        rows = [row for row in self.directory.rows.values() if row.daemon_id != me.daemon_id]
        neighbours = [row.daemon_id for row in rows if row.data_centre == me.data_centre]
        donors = select_readers((me.daemon_id, *neighbours), TABLE_DONORS)
        if data_centre != me.data_centre or me.daemon_id not in donors:
            # A drain that the peer confirmed before it restarted still binds it.
            rows = [
                row for row in rows if row.daemon_id == peer and row.state is UpstreamState.DRAINING
            ]
        return Hello(me.daemon_id, me.incarnation, self.version, (me, *rows))

    def _publish(self) -> None:
        """Tell the entry task which endpoints take calls: those with an open link."""
        me = self.directory.me.daemon_id
        rows = {
            service: tuple(row for row in endpoints if self._reachable(row.daemon_id, me))
            for service, endpoints in self.directory.by_service.items()
        }
        self.entry.put(FleetChanged(rows, len(self.directory.rows)))

    def _reachable(self, daemon_id: DaemonId, me: DaemonId) -> bool:
        if daemon_id == me:
            return True
        link = self.links.get(daemon_id)
        return link is not None and link.is_open

    def _heard(self, link: PeerLink, message: HopMessage) -> None:
        self._common(message, link.send, link.daemon_id)
        if isinstance(message, Hello):
            self._links_changed()
            if self.strikes:
                link.send(Strikes(tuple(self.strikes)))

    def _strikes_learnt(self, strikes: tuple[Strike, ...]) -> None:
        self.strikes.extend(row for row in strikes if row not in self.strikes)
        self.entry.put(StrikesLearnt(strikes))

    def _accepted(self, connection: FrameConnection) -> None:
        self.inbound[connection] = Inbound(connection)

    def _closed(self, connection: FrameConnection) -> None:
        row = self.inbound.pop(connection, None)
        if row is not None:
            now = monotonic()
            self.orphans += [(now, handover_id) for handover_id in row.handovers]

    def _frame(self, connection: FrameConnection, frame: bytes) -> None:
        row = self.inbound[connection]
        try:
            message = decode_hop(frame)
        except MessageDecodeError as error:
            self.log.change("peer_message_malformed", peer=row.daemon_id or "", reason=str(error))
            connection.abort()
            return
        match message:
            case Handover():
                row.handovers.add(message.handover_id)
                self.exit.put(HandOver(message, self._replier(row)))
            case Cancel(handover_id):
                row.handovers.discard(handover_id)
                self.exit.put(CancelHandover(handover_id))
            case Resume(handover_id):
                row.handovers.add(handover_id)
                self.orphans = [pair for pair in self.orphans if pair[1] != handover_id]
                self.exit.put(ResumeHandover(handover_id, self._replier(row)))
            case Hello():
                row.daemon_id = message.daemon_id
                data_centre = message.endpoints[0].data_centre if message.endpoints else ""
                row.send(self._hello(message.daemon_id, DataCentreName(data_centre)))
                self._common(message, row.send, row.daemon_id)
            case Ping(False, _):
                row.send(Ping(True, self.version))
                self._common(message, row.send, row.daemon_id)
            case _:
                self._common(message, row.send, row.daemon_id)

    def _replier(self, row: Inbound) -> Callable[[HandoverId, RelayResult], None]:
        def reply(handover_id: HandoverId, result: RelayResult) -> None:
            row.handovers.discard(handover_id)
            row.send(Result(handover_id, result))

        return reply

    def _common(
        self, message: HopMessage, answer: Callable[[HopMessage], None], peer: DaemonId | None
    ) -> None:
        match message:
            case Hello(_, _, version, endpoints):
                self._merge(endpoints)
                self._pull_if_newer(version, answer, peer)
            case Endpoints(endpoints):
                self._merge(endpoints)
            case Ping(_, version):
                self._pull_if_newer(version, answer, peer)
            case ConfigBlob(version, data):
                if version > self.version:
                    self.source.put(ConfigReceived(version, data, self._origin(peer)))
            case ConfigDelta():
                if message.version > self.version:
                    self.source.put(DeltaReceived(message, self._origin(peer)))
            case Strikes(strikes):
                self._strikes_learnt(strikes)
            case Pull(version):
                if self.delta is not None and self.delta.base == version:
                    answer(self.delta)
                elif self.version > version:
                    answer(ConfigBlob(self.version, self.blob))
            case _:
                self.log.change("peer_message_unexpected", kind=type(message).__name__)

    def _pull_if_newer(
        self, version: Version, answer: Callable[[HopMessage], None], peer: DaemonId | None
    ) -> None:
        now = monotonic()
        if version <= self.version or now - self.pulled_at < PULL_PERIOD:
            return
        if self.behind_since is None:
            self.behind_since = now
        near = self._origin(peer) is ConfigOrigin.REGION
        if near or now - self.behind_since > REMOTE_PULL_DELAY:
            self.pulled_at = now
            answer(Pull(self.version))

    def _origin(self, peer: DaemonId | None) -> ConfigOrigin:
        row = self.directory.rows.get(peer) if peer is not None else None
        near = row is not None and row.region == self.directory.me.region
        return ConfigOrigin.REGION if near else ConfigOrigin.OTHER_REGION

    def _tick(self, now: Millis) -> None:
        for link in list(self.links.values()):
            link.check(now)
            if link.down_since is not None and now - link.down_since > FORGET_TIME:
                self._forget(link)
        self._links_changed()
        while self.orphans and now - self.orphans[0][0] > ORPHAN_TIME:
            self.exit.put(CancelHandover(self.orphans.pop(0)[1]))

    def _links_changed(self) -> None:
        open_links = frozenset(i for i, link in self.links.items() if link.is_open)
        if open_links == self.open_links:
            return
        self.log.change(
            "peers_changed",
            lost=",".join(sorted(self.open_links - open_links)),
            gained=",".join(sorted(open_links - self.open_links)),
        )
        self.open_links = open_links
        self.metrics.peers.set(len(open_links))
        self.source.put(LinksChanged(open_links))
        self._publish()

    def _forget(self, link: PeerLink) -> None:
        self.log.change("peer_forgotten", daemon=link.daemon_id, address=link.address)
        self.links.pop(link.daemon_id).close()
        self.directory.forget(link.daemon_id)
        self.source.put(PeerForgotten(link.daemon_id))
