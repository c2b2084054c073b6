"""Owns the connections between daemons and the directory of the fleet."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from agatecross_adapters.accepting import listen_in_batches
from agatecross_adapters.connection_guard import ConnectionGuard, new_guard
from agatecross_adapters.hop_messages import (
    ConfigBlob,
    ConfigDelta,
    Endpoints,
    Hello,
    HopMessage,
    Ping,
    Pull,
    StoreEraNotice,
    Strikes,
)
from agatecross_adapters.hop_sending import encode_for_sending
from agatecross_core.constants import FULL_TABLE_SENDERS
from agatecross_core.distribution.propagation import push_links
from agatecross_core.distribution.readers import select_readers
from agatecross_core.ids import (
    ZERO_MS,
    Address,
    DaemonId,
    DataCentreName,
    HandoverId,
    Millis,
    StoreEra,
)
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.ping_periods import REDIAL_SPACING, ping_periods
from agatecross_core.members.records import Strike
from agatecross_core.relay.model import Handover, RelayResult, not_run_result
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
from ..store_messages import (
    ConfigChanged,
    ConfigReceived,
    DeltaReceived,
    EndpointsRead,
    FullConfigNeeded,
    LinksChanged,
    PeerRemoved,
    StoreDrain,
    StoreRestored,
    StoreRestoreReported,
)
from .config_distributor import ConfigDistributor
from .exit_task import ExitMessage
from .inbound_links import InboundLinks
from .peer_link import LinkState, PeerLink

PeersMessage = (
    StrikesReported
    | SendHandover
    | CancelRemoteHandover
    | OwnEndpointChanged
    | StoreReachability
    | ConfigChanged
    | FullConfigNeeded
    | EndpointsRead
    | StoreRestored
)
TICK_SECONDS = 0.1
FINISH_POLL_SECONDS = 0.01
LISTEN_BACKLOG = 1024
# The newest strikes are kept for daemons that connect later. An upstream has some tens of slots, so
# the strikes of ten deaths fit.
MAX_KEPT_STRIKES = 512
# A daemon unreachable for this long is forgotten; it announces itself again when it is back.
FORGET_PEER_AFTER = Millis(20_000)
PERIODS_UPDATE_INTERVAL = Millis(1_000)


class PeersTask:
    """Connects to every known daemon; exchanges handovers, endpoints and configurations with it."""

    def __init__(
        self,
        mailbox: DirectMailbox[PeersMessage],
        address: Address,
        directory: Directory,
        exit_mailbox: Sender[ExitMessage],
        entry: Sender[FleetChanged | StrikesReported],
        store: Sender[
            ConfigReceived
            | DeltaReceived
            | LinksChanged
            | StoreDrain
            | PeerRemoved
            | StoreRestoreReported
        ],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
        guard: ConnectionGuard | None = None,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.address = address
        self.directory = directory
        self.exit = exit_mailbox
        self.entry = entry
        self.store = store
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.links: dict[DaemonId, PeerLink] = {}
        self.inbound = InboundLinks(
            exit_mailbox,
            self._new_hello_reply,
            lambda: self.config_distributor.version,
            self._handle_peer_message,
            log,
            guard or new_guard(),
        )
        self.server: asyncio.Server | None = None
        self.config_distributor = ConfigDistributor(directory, self.links, store, rng, log)
        self.open_links: frozenset[DaemonId] = frozenset()
        self.periods_outdated = False
        self.periods_due_at = ZERO_MS
        self.strikes: deque[Strike] = deque(maxlen=MAX_KEPT_STRIKES)
        # The latest era in which the store came back from an older copy, 0 if it has not.
        self.restored_era = StoreEra(0)

    async def start(self) -> None:
        """Start accepting connections from other daemons."""
        self.server = await listen_in_batches(
            self.inbound.new_connection, self.address, LISTEN_BACKLOG
        )
        self._publish_endpoints()

    async def run(self) -> None:
        """Check the connections periodically until cancelled."""
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
        """Announce to every peer that this daemon accepts no more calls."""
        self._announce_self(self.directory.update(leaving=True))

    async def finish(self, timeout: Millis) -> None:
        """Stop listening and wait, for at most `timeout`, until peers have read every result."""
        if self.server is not None:
            self.server.close()
        self.inbound.finish()
        deadline = monotonic_ms() + timeout
        while self.inbound.connections and monotonic_ms() < deadline:
            await asyncio.sleep(FINISH_POLL_SECONDS)

    def _handle(self, message: PeersMessage) -> None:
        match message:
            case SendHandover(daemon_id, handover, reply):
                self._send_handover(daemon_id, handover, reply)
            case CancelRemoteHandover(daemon_id, handover_id):
                self._cancel_handover(daemon_id, handover_id)
            case OwnEndpointChanged(changes):
                self._announce_self(self.directory.update(**changes))
                if self.directory.me.state is UpstreamState.DRAINING:
                    self.store.put(StoreDrain(self.directory.me))
            case StoreReachability(reachable, latency):
                me = self.directory.me
                if (reachable, latency) != (me.reaches_store, me.store_latency):
                    self._announce_self(
                        self.directory.update(reaches_store=reachable, store_latency=latency)
                    )
            case ConfigChanged():
                self.config_distributor.config_changed(message, self.open_links, monotonic_ms())
            case FullConfigNeeded(version):
                self.config_distributor.delta_unfit(version)
            case EndpointsRead(endpoints):
                self._merge_endpoints(endpoints)
            case StrikesReported(strikes):
                self._record_strikes(strikes)
                encoded = encode_for_sending(Strikes(strikes))
                for link in self.links.values():
                    link.send_encoded(encoded)
            case StoreRestored(era):
                self.restored_era = max(self.restored_era, era)
                self._send_to_peers(StoreEraNotice(era))

    def _send_handover(
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
            reply(handover.handover_id, not_run_result(Reason.CONNECT_FAILED))
        else:
            link.hand_over(handover, reply)

    def _cancel_handover(self, daemon_id: DaemonId, handover_id: HandoverId) -> None:
        if daemon_id == self.directory.me.daemon_id:
            self.exit.put(CancelHandover(handover_id))
        elif daemon_id in self.links:
            self.links[daemon_id].cancel(handover_id)

    def _announce_self(self, me: Endpoint) -> None:
        self._send_to_peers(Endpoints((me,)))
        self._publish_endpoints()

    def _send_to_peers(self, message: HopMessage) -> None:
        """Send a message once to each peer that is connected in either direction."""
        encoded = encode_for_sending(message)
        reached: set[DaemonId] = set()
        for link in self.links.values():
            if link.is_open:
                link.send_encoded(encoded)
                reached.add(link.daemon_id)
        self.inbound.send_to_others(encoded, reached)

    def _merge_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        previous = self.directory.me
        self._apply_own_drain(endpoints)
        updated = self.directory.merge(endpoints)
        if self.directory.me.order != previous.order:
            self._announce_self(self.directory.me)
        for endpoint in updated:
            self._dial(endpoint)
            self.log.write_change(
                "endpoint_learnt",
                daemon=endpoint.daemon_id,
                incarnation=endpoint.incarnation,
                sequence=endpoint.sequence,
                service=endpoint.service,
                instance=endpoint.instance or "",
                state=endpoint.state.value,
                leaving=endpoint.leaving,
            )
        if updated:
            self._close_unknown_links()
            self.periods_outdated = True
            self._publish_endpoints()

    def _apply_own_drain(self, endpoints: tuple[Endpoint, ...]) -> None:
        # A drain that was confirmed before a restart still applies to this daemon.
        for endpoint in endpoints:
            own = endpoint.daemon_id == self.directory.me.daemon_id
            if own and endpoint.state is UpstreamState.DRAINING and endpoint.instance is not None:
                self.exit.put(LeaveReceived(endpoint.instance, endpoint.born))

    def _dial(self, endpoint: Endpoint) -> None:
        link = self.links.get(endpoint.daemon_id)
        if link is not None and link.address == endpoint.address:
            return
        if link is not None:
            link.close()
        self.links[endpoint.daemon_id] = PeerLink(
            endpoint.daemon_id,
            endpoint.address,
            lambda: self._new_hello(endpoint.daemon_id, endpoint.data_centre),
            lambda: self.config_distributor.version,
            self._on_link_message,
            self._on_silent_link,
            self.rng,
        )

    def _set_ping_periods(self) -> None:
        """Set the periods of all links; sorts the fleet, so it is not called at each change."""
        self.periods_outdated = False
        me, rows = self.directory.me, self.directory.rows.values()
        # A link that is being replaced is soon open again.
        expected = {i for i, link in self.links.items() if link.state is not LinkState.DOWN}
        pushed = push_links(me, rows, expected)
        periods = ping_periods(me.region, self.directory.others(), pushed)
        spread = Millis(REDIAL_SPACING * len(self.links))
        for daemon_id, link in self.links.items():
            link.set_ping_period(periods[daemon_id], ZERO_MS if daemon_id in pushed else spread)

    def _close_unknown_links(self) -> None:
        for daemon_id in [i for i in self.links if i not in self.directory.rows]:
            self.links.pop(daemon_id).close()

    def _new_hello(self, peer: DaemonId, data_centre: DataCentreName) -> Hello:
        """Return the hello for a peer: this daemon's endpoint, and the table or the peer's drain.

        Every daemon sends a hello to every other one, so the number of whole tables sent would grow
        with the square of the fleet. Only a few daemons of each data centre send theirs, to the
        daemons of the same data centre.
        """
        me = self.directory.me
        others = [
            endpoint
            for endpoint in self.directory.rows.values()
            if endpoint.daemon_id != me.daemon_id
        ]
        same_data_centre = [
            endpoint.daemon_id for endpoint in others if endpoint.data_centre == me.data_centre
        ]
        table_senders = select_readers((me.daemon_id, *same_data_centre), FULL_TABLE_SENDERS)
        if data_centre != me.data_centre or me.daemon_id not in table_senders:
            # A drain that the peer confirmed before it restarted still applies to it.
            others = [
                endpoint
                for endpoint in others
                if endpoint.daemon_id == peer and endpoint.state is UpstreamState.DRAINING
            ]
        return Hello(me.daemon_id, me.incarnation, self.config_distributor.version, (me, *others))

    def _new_hello_reply(self, hello: Hello) -> Hello:
        data_centre = hello.endpoints[0].data_centre if hello.endpoints else DataCentreName("")
        return self._new_hello(hello.daemon_id, data_centre)

    def _publish_endpoints(self) -> None:
        """Send the entry task the reachable endpoints: this daemon and those with an open link."""
        me = self.directory.me.daemon_id
        reachable = {
            service: tuple(
                endpoint for endpoint in endpoints if self._is_reachable(endpoint.daemon_id, me)
            )
            for service, endpoints in self.directory.by_service.items()
        }
        self.entry.put(FleetChanged(reachable, len(self.directory.rows)))

    def _is_reachable(self, daemon_id: DaemonId, me: DaemonId) -> bool:
        if daemon_id == me:
            return True
        link = self.links.get(daemon_id)
        return link is not None and link.is_open

    def _on_link_message(self, link: PeerLink, message: HopMessage) -> None:
        self._handle_peer_message(message, link.send, link.daemon_id)
        if isinstance(message, Hello):
            self._check_open_links()
            self.config_distributor.link_opened(link, message.version, self.open_links)
            if self.strikes:
                link.send(Strikes(tuple(self.strikes)))

    def _on_silent_link(self, link: PeerLink, silent: Millis) -> None:
        self.metrics.silent_connections.labels("peer").inc()
        self.log.write_change(
            "peer_connection_silent",
            peer=link.daemon_id,
            silent_ms=int(silent),
            pending=len(link.pending),
        )

    def _record_strikes(self, strikes: tuple[Strike, ...]) -> None:
        self.strikes.extend(strike for strike in strikes if strike not in self.strikes)
        self.entry.put(StrikesReported(strikes))

    def _handle_peer_message(
        self, message: HopMessage, send_reply: Callable[[HopMessage], None], peer: DaemonId | None
    ) -> None:
        match message:
            case Hello(_, _, version, endpoints):
                self._merge_endpoints(endpoints)
                if self.restored_era:
                    # The peer may have been cut off when the others were notified.
                    send_reply(StoreEraNotice(self.restored_era))
                self.config_distributor.version_offered(version, send_reply, peer, monotonic_ms())
            case Endpoints(endpoints):
                self._merge_endpoints(endpoints)
            case Ping(_, version):
                self.config_distributor.version_offered(version, send_reply, peer, monotonic_ms())
            case ConfigBlob() | ConfigDelta():
                self.config_distributor.config_received(message, send_reply, peer, monotonic_ms())
            case Strikes(strikes):
                self._record_strikes(strikes)
            case StoreEraNotice(era):
                self.restored_era = max(self.restored_era, era)
                self.store.put(StoreRestoreReported(era))
            case Pull(version):
                self.config_distributor.answer_pull(version, send_reply)
            case _:
                self.log.write_change("peer_message_unexpected", kind=type(message).__name__)

    def _tick(self, now: Millis) -> None:
        for link in list(self.links.values()):
            link.check_liveness(now)
            if link.down_since is not None and now - link.down_since > FORGET_PEER_AFTER:
                self._forget_peer(link)
        self._check_open_links()
        if self.periods_outdated and now >= self.periods_due_at:
            self.periods_due_at = Millis(now + PERIODS_UPDATE_INTERVAL)
            self._set_ping_periods()
        self.config_distributor.pull_if_due(now)
        self.inbound.cancel_orphans(now)

    def _check_open_links(self) -> None:
        open_links = frozenset(i for i, link in self.links.items() if link.is_open)
        if open_links == self.open_links:
            return
        self.log.write_change(
            "peers_changed",
            lost=",".join(sorted(self.open_links - open_links)),
            gained=",".join(sorted(open_links - self.open_links)),
        )
        self.open_links = open_links
        self.periods_outdated = True
        self.metrics.peers.set(len(open_links))
        self.store.put(LinksChanged(open_links))
        self._publish_endpoints()

    def _forget_peer(self, link: PeerLink) -> None:
        self.log.write_change("peer_forgotten", daemon=link.daemon_id, address=link.address)
        self.links.pop(link.daemon_id).close()
        self.directory.remove(link.daemon_id)
        self.config_distributor.peer_removed(link.daemon_id)
        self.periods_outdated = True
        self.store.put(PeerRemoved(link.daemon_id))
