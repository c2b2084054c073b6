"""Owns the connections between daemons and the directory of the fleet."""

import asyncio
import random
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
from agatecross_core.distribution.propagation import push_links
from agatecross_core.ids import (
    ZERO_MS,
    Address,
    DaemonId,
    HandoverId,
    Millis,
    StoreEra,
)
from agatecross_core.limits.model import LimitAnswer, LimitReport
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.ping_periods import REDIAL_SPACING, ping_periods
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.quarantine.suspects import SuspectTable
from agatecross_core.relay.model import Handover, RelayResult, not_run_result
from agatecross_core.states import Reason, UpstreamState

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import (
    CancelHandover,
    CancelRemoteHandover,
    CrashesReported,
    FleetChanged,
    LeaveReceived,
    LimitMessageReceived,
    OwnEndpointChanged,
    PeersSeen,
    RunHandover,
    SendHandover,
    SendToPeer,
    StoreReachability,
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
from .fleet_publisher import FleetPublisher
from .greetings import new_hello, reply_hello
from .inbound_links import InboundLinks
from .peer_link import LinkState, PeerLink

PeersMessage = (
    CrashesReported
    | SendHandover
    | CancelRemoteHandover
    | OwnEndpointChanged
    | StoreReachability
    | ConfigChanged
    | FullConfigNeeded
    | EndpointsRead
    | StoreRestored
    | SendToPeer
)
TICK_SECONDS = 0.1
FINISH_POLL_SECONDS = 0.01
LISTEN_BACKLOG = 1024
# Suspects are kept for daemons that connect later; what some ten deaths interrupted fits.
MAX_KEPT_SUSPECTS = 512
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
        entry: Sender[FleetChanged | CrashesReported],
        store: Sender[
            ConfigReceived
            | DeltaReceived
            | LinksChanged
            | StoreDrain
            | PeerRemoved
            | StoreRestoreReported
        ],
        limits: Sender[PeersSeen | LimitMessageReceived],
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
        self.limits = limits
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.links: dict[DaemonId, PeerLink] = {}
        self.inbound = InboundLinks(
            exit_mailbox,
            self._reply_hello,
            lambda: self.config_distributor.version,
            self._handle_peer_message,
            log,
            guard or new_guard(),
            directory.me.link_rate,
        )
        self.server: asyncio.Server | None = None
        self.config_distributor = ConfigDistributor(directory, self.links, store, rng, log)
        self.open_links: frozenset[DaemonId] = frozenset()
        self.publisher = FleetPublisher(directory, self.links, entry, log)
        self.seen: PeersSeen | None = None
        self.periods_outdated = False
        self.periods_due_at = ZERO_MS
        self.suspects = SuspectTable(MAX_KEPT_SUSPECTS)
        # The latest era in which the store came back from an older copy, 0 if it has not.
        self.restored_era = StoreEra(0)

    async def start(self) -> None:
        """Start accepting connections from other daemons."""
        self.server = await listen_in_batches(
            self.inbound.new_connection, self.address, LISTEN_BACKLOG
        )
        self.publisher.publish()

    async def run(self) -> None:
        """Check the connections periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                self._tick(monotonic_ms())
        finally:
            self.publisher.close()
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
                    me = self.directory.update(reaches_store=reachable, store_latency=latency)
                    self._send_to_peers(Endpoints((me,)))
            case ConfigChanged():
                self.config_distributor.config_changed(message, self.open_links, monotonic_ms())
            case FullConfigNeeded(version):
                self.config_distributor.delta_unfit(version)
            case EndpointsRead(endpoints):
                self._merge_endpoints(endpoints)
            case CrashesReported(report):
                self._record_crashes(report)
                encoded = encode_for_sending(Strikes(report))
                for link in self.links.values():
                    link.send_encoded(encoded)
            case SendToPeer(daemon_id, limit_message):
                if daemon_id in self.links:
                    self.links[daemon_id].send(limit_message)
            case StoreRestored(era, reported):
                self.restored_era = era
                if not reported:
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
        self.publisher.publish()

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
            if len(self.links) >= len(self.directory.rows):
                self._close_unknown_links()
            self.periods_outdated = True
            if all(endpoint.ready for endpoint in updated):
                self.publisher.publish_soon()
            else:
                self.publisher.publish()

    def _apply_own_drain(self, endpoints: tuple[Endpoint, ...]) -> None:
        # A drain that was confirmed before a restart still applies to this daemon.
        for endpoint in endpoints:
            own = endpoint.daemon_id == self.directory.me.daemon_id
            if own and endpoint.state is UpstreamState.DRAINING and endpoint.instance is not None:
                self.exit.put(LeaveReceived(endpoint.instance, endpoint.born))

    def _reply_hello(self, hello: Hello) -> Hello:
        announce_above = self.inbound.turns.announce_above
        return reply_hello(self.directory, self.config_distributor.version, hello, announce_above)

    def _dial(self, endpoint: Endpoint) -> None:
        link = self.links.get(endpoint.daemon_id)
        if link is not None and link.address == endpoint.address:
            return
        if link is not None:
            link.close()
        self.links[endpoint.daemon_id] = PeerLink(
            endpoint.daemon_id,
            endpoint.address,
            lambda: new_hello(
                self.directory,
                self.config_distributor.version,
                endpoint.daemon_id,
                endpoint.data_centre,
            ),
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
        self._check_open_links()

    def _on_link_message(self, link: PeerLink, message: HopMessage) -> None:
        self._handle_peer_message(message, link.send, link.daemon_id)
        if isinstance(message, Hello):
            if link.is_open and link.daemon_id not in self.open_links:
                self._set_open_links(self.open_links | {link.daemon_id})
            self.config_distributor.link_opened(link, message.version, self.open_links)
            if report := self.suspects.snapshot(monotonic_ms()):
                link.send(Strikes(report))

    def _on_silent_link(self, link: PeerLink, silent: Millis) -> None:
        self.metrics.silent_connections.labels("peer").inc()
        self.log.write_change(
            "peer_connection_silent",
            peer=link.daemon_id,
            silent_ms=int(silent),
            pending=len(link.pending),
        )

    def _record_crashes(self, report: CrashReport) -> None:
        self.suspects.add(report, monotonic_ms())
        self.entry.put(CrashesReported(report))
        self.exit.put(CrashesReported(report))

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
            case Strikes(report):
                self._record_crashes(report)
            case StoreEraNotice(era):
                # Passed on only when an answer of the store has shown it: the report may be wrong.
                self.store.put(StoreRestoreReported(era))
            case LimitReport() | LimitAnswer():
                if peer is not None:
                    self.limits.put(LimitMessageReceived(message, peer, send_reply))
            case Pull(version):
                self.config_distributor.answer_pull(version, send_reply)
            case _:
                self.log.write_change("peer_message_unexpected", kind=type(message).__name__)

    def _tick(self, now: Millis) -> None:
        for link in list(self.links.values()):
            if link.pending or now >= link.liveness.next_check_at:
                link.check_liveness(now)
            if link.down_since is not None:
                self._handle_down_link(link, now)
        self._report_peers()
        if self.periods_outdated and now >= self.periods_due_at:
            self.periods_due_at = Millis(now + PERIODS_UPDATE_INTERVAL)
            self._set_ping_periods()
        self.config_distributor.pull_if_due(now)
        self.inbound.cancel_orphans(now)

    def _handle_down_link(self, link: PeerLink, now: Millis) -> None:
        assert link.down_since is not None
        if now - link.down_since > FORGET_PEER_AFTER:
            self._forget_peer(link)
        if link.daemon_id in self.open_links:
            self._check_open_links()

    def _check_open_links(self) -> None:
        open_links = frozenset(i for i, link in self.links.items() if link.is_open)
        if open_links != self.open_links:
            self._set_open_links(open_links)

    def _set_open_links(self, open_links: frozenset[DaemonId]) -> None:
        lost = self.open_links - open_links
        self.open_links = open_links
        self.periods_outdated = True
        self.metrics.peers.set(len(open_links))
        self.store.put(LinksChanged(open_links))
        if lost:
            self.publisher.publish()
        else:
            self.publisher.publish_soon()

    def _report_peers(self) -> None:
        ended = frozenset(i for i, link in self.links.items() if link.process_ended)
        seen = PeersSeen(frozenset(self.directory.rows), self.open_links, ended)
        if seen != self.seen:
            self.seen = seen
            self.limits.put(seen)

    def _forget_peer(self, link: PeerLink) -> None:
        self.log.write_change("peer_forgotten", daemon=link.daemon_id, address=link.address)
        self.links.pop(link.daemon_id).close()
        self.directory.remove(link.daemon_id)
        self.config_distributor.peer_removed(link.daemon_id)
        self.periods_outdated = True
        self.store.put(PeerRemoved(link.daemon_id))
