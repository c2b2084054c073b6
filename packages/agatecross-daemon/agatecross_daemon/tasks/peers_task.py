"""Owns the connections between daemons and the directory of the fleet."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from agatecross_adapters.hop_codec import encode_hop
from agatecross_adapters.hop_messages import (
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    HopMessage,
    Ping,
    Pull,
    Strikes,
)
from agatecross_core.constants import TABLE_DONORS
from agatecross_core.distribution.readers import select_readers
from agatecross_core.ids import Address, DaemonId, DataCentreName, HandoverId, Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import Handover, RelayResult, refused
from agatecross_core.states import Reason, UpstreamState

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import (
    CancelHandover,
    CancelRemoteHandover,
    FleetChanged,
    LeaveReceived,
    OwnEndpointChanged,
    RunHandover,
    SendHandover,
    StoreReachability,
    StrikesReported,
)
from ..relay_metrics import RelayMetrics
from ..source_messages import (
    ConfigChanged,
    ConfigReceived,
    DeltaReceived,
    DrainConfirmed,
    EndpointsRead,
    FullConfigNeeded,
    LinksChanged,
    PeerRemoved,
)
from .config_spread import ConfigSpread
from .exit_task import ExitMessage
from .inbound_links import InboundLinks
from .peer_link import PING_PERIOD, REMOTE_PING_PERIOD, PeerLink

PeersMessage = (
    StrikesReported
    | SendHandover
    | CancelRemoteHandover
    | OwnEndpointChanged
    | StoreReachability
    | ConfigChanged
    | FullConfigNeeded
    | EndpointsRead
)
TICK_SECONDS = 0.1
FINISH_POLL_SECONDS = 0.01
BACKLOG = 1024
# Told to daemons that join later; an upstream has some tens of slots, so ten deaths fit.
KEPT_STRIKES = 512
# A daemon that was unreachable for this long is forgotten; it announces itself when it is back.
FORGET_TIME = Millis(20_000)


class PeersTask:
    """Dials every known daemon; carries handovers, descriptions and configurations."""

    def __init__(
        self,
        mailbox: DirectMailbox[PeersMessage],
        address: Address,
        directory: Directory,
        exit_box: Sender[ExitMessage],
        entry: Sender[FleetChanged | StrikesReported],
        source: Sender[
            ConfigReceived | DeltaReceived | LinksChanged | DrainConfirmed | PeerRemoved
        ],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.address = address
        self.directory = directory
        self.exit = exit_box
        self.entry = entry
        self.source = source
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.links: dict[DaemonId, PeerLink] = {}
        self.inbound = InboundLinks(
            exit_box, self._greeting, lambda: self.configs.version, self._common, log
        )
        self.server: asyncio.Server | None = None
        self.configs = ConfigSpread(directory, self.links, source, log)
        self.open_links: frozenset[DaemonId] = frozenset()
        self.strikes: deque[Strike] = deque(maxlen=KEPT_STRIKES)

    async def start(self) -> None:
        """Start to accept other daemons."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self.server = await loop.create_server(
            self.inbound.connection,
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
                self._tick(monotonic_ms())
        finally:
            for link in self.links.values():
                link.close()
            if self.server is not None:
                self.server.close()

    def leave(self) -> None:
        """Tell every peer that this daemon takes no more calls."""
        self._announce(self.directory.update(leaving=True))

    async def finish(self, limit: Millis) -> None:
        """Listen no more; let peers read every result, and wait `limit` at most for them."""
        if self.server is not None:
            self.server.close()
        self.inbound.finish()
        last = monotonic_ms() + limit
        while self.inbound.rows and monotonic_ms() < last:
            await asyncio.sleep(FINISH_POLL_SECONDS)

    def _handle(self, message: PeersMessage) -> None:
        match message:
            case SendHandover(daemon_id, handover, reply):
                self._send_to(daemon_id, handover, reply)
            case CancelRemoteHandover(daemon_id, handover_id):
                self._cancel_at(daemon_id, handover_id)
            case OwnEndpointChanged(changes):
                self._announce(self.directory.update(**changes))
                if self.directory.me.state is UpstreamState.DRAINING:
                    self.source.put(DrainConfirmed(self.directory.me))
            case StoreReachability(reached, latency):
                me = self.directory.me
                if (reached, latency) != (me.reads_log, me.log_latency):
                    self._announce(self.directory.update(reads_log=reached, log_latency=latency))
            case ConfigChanged():
                self.configs.changed(message, self.open_links)
            case FullConfigNeeded(version):
                self.configs.pull_from_region(version)
            case EndpointsRead(endpoints):
                self._merge(endpoints)
            case StrikesReported(strikes):
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
            self.exit.put(RunHandover(handover, reply))
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

    def _announce(self, me: Endpoint) -> None:
        frame = encode_hop(Endpoints((me,)))
        reached: set[DaemonId] = set()
        for link in self.links.values():
            if link.is_open and link.connection is not None:
                link.connection.send(frame)
                reached.add(link.daemon_id)
        self.inbound.send_to_others(frame, reached)
        self._publish()

    def _merge(self, endpoints: tuple[Endpoint, ...]) -> None:
        before = self.directory.me
        self._learn_own(endpoints)
        news = self.directory.merge(endpoints)
        if self.directory.me.order != before.order:
            self._announce(self.directory.me)
        for row in news:
            self._dial(row)
            self.log.write_change(
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
            lambda: self.configs.version,
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
        return Hello(me.daemon_id, me.incarnation, self.configs.version, (me, *rows))

    def _greeting(self, hello: Hello) -> Hello:
        data_centre = hello.endpoints[0].data_centre if hello.endpoints else DataCentreName("")
        return self._hello(hello.daemon_id, data_centre)

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
        self.entry.put(StrikesReported(strikes))

    def _common(
        self, message: HopMessage, answer: Callable[[HopMessage], None], peer: DaemonId | None
    ) -> None:
        match message:
            case Hello(_, _, version, endpoints):
                self._merge(endpoints)
                self.configs.peer_has(version, answer, peer, monotonic_ms())
            case Endpoints(endpoints):
                self._merge(endpoints)
            case Ping(_, version):
                self.configs.peer_has(version, answer, peer, monotonic_ms())
            case ConfigBlob() | ConfigDelta():
                self.configs.received(message, peer)
            case Strikes(strikes):
                self._strikes_learnt(strikes)
            case Pull(version):
                self.configs.pulled(version, answer)
            case _:
                self.log.write_change("peer_message_unexpected", kind=type(message).__name__)

    def _tick(self, now: Millis) -> None:
        for link in list(self.links.values()):
            link.check(now)
            if link.down_since is not None and now - link.down_since > FORGET_TIME:
                self._forget(link)
        self._links_changed()
        self.inbound.give_up_orphans(now)

    def _links_changed(self) -> None:
        open_links = frozenset(i for i, link in self.links.items() if link.is_open)
        if open_links == self.open_links:
            return
        self.log.write_change(
            "peers_changed",
            lost=",".join(sorted(self.open_links - open_links)),
            gained=",".join(sorted(open_links - self.open_links)),
        )
        self.open_links = open_links
        self.metrics.peers.set(len(open_links))
        self.source.put(LinksChanged(open_links))
        self._publish()

    def _forget(self, link: PeerLink) -> None:
        self.log.write_change("peer_forgotten", daemon=link.daemon_id, address=link.address)
        self.links.pop(link.daemon_id).close()
        self.directory.forget(link.daemon_id)
        self.source.put(PeerRemoved(link.daemon_id))
