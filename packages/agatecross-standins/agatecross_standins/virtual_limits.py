"""A fleet that limits customers, in virtual time: daemons, links with faults, and callers.

Only the decisions of `agatecross_core.limits` run; a message takes a random delay or is lost.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from agatecross_adapters.hop_codec import encode_hop_message
from agatecross_core.customers.model import Customer
from agatecross_core.ids import CustomerName, DaemonId, HomeSlot, Millis
from agatecross_core.limits.gate import CustomerGate
from agatecross_core.limits.home import LimitHome
from agatecross_core.limits.model import LimitAnswer, LimitReport

TICK = 100.0
DELAY = (1.0, 10.0)
RUN_DELAY = (3.0, 60.0)
# A refused connection is noticed at once, a silent one after the time-out of the ping.
REFUSED_AFTER = 20.0
SILENT_AFTER = 900.0
OPENED_AFTER = 150.0
CALLER_WAITS = 460.0
# Header of a frame, and TCP/IP headers.
FRAME_BYTES = 4 + 52


class Daemon:
    """One daemon and, if it is one, the home of slots."""

    def __init__(self, daemon_id: DaemonId, rng: random.Random) -> None:
        self.daemon_id = daemon_id
        self.rng = rng
        self.incarnation = 0
        self.group = 0
        self.is_running = True
        self.wakes_at = 0.0
        # The version of the configuration in force, which never falls.
        self.version = 0
        self.sent: Counter[str] = Counter()
        self.reset()

    def reset(self) -> None:
        """Forget everything, as after a start."""
        self.gate = CustomerGate(self.daemon_id, self.rng)
        self.homes: dict[HomeSlot, LimitHome] = {}


class VirtualLimits:
    """Runs the daemons' decisions on a queue of events."""

    def __init__(self, daemons: int, customers: Iterable[Customer], seed: int) -> None:
        """Start with every link open."""
        self.rng = random.Random(seed)
        self.customers: dict[CustomerName, Customer] = {row.name: row for row in customers}
        ids = [DaemonId(f"d{number}") for number in range(daemons)]
        self.daemons = {i: Daemon(i, random.Random(self.rng.random())) for i in ids}
        self.now = 1_000.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.loss = 0.0
        self.version = 0
        self.offered: list[tuple[float, CustomerName]] = []
        self.arrivals: list[tuple[float, CustomerName]] = []
        for daemon in self.daemons.values():
            daemon.gate.set_customers(self.customers)
            self.see_peers(daemon)
            self.at(self.now + self.rng.uniform(0, TICK), partial(self._tick, daemon))

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (time, next(self.order), act))

    def run_until(self, time: float) -> None:
        """Let the events up to a time happen."""
        while self.events and self.events[0][0] <= time:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = time

    def call(self, daemon: Daemon, customer: Customer, refused_before: bool = False) -> None:
        """Offer a call to a daemon; a refused caller comes back once."""
        if not daemon.is_running or self.now < daemon.wakes_at:
            return
        if not refused_before:
            self.offered.append((self.now, customer.name))
        wait = daemon.gate.admit(customer, Millis(self.now))
        if wait is None:
            arrival = self.now + self.rng.uniform(*RUN_DELAY)
            self.at(arrival, lambda: self.arrivals.append((self.now, customer.name)))
        elif not refused_before and wait <= CALLER_WAITS:
            self.at(self.now + wait, lambda: self.call(daemon, customer, True))

    def cut(self, share: float) -> None:
        """Cut a share of the daemons off from the others."""
        for daemon in list(self.daemons.values())[: int(share * len(self.daemons))]:
            daemon.group = 1
        self.at(self.now + SILENT_AFTER, self.see_all_peers)

    def heal(self) -> None:
        """Join all daemons again."""
        for daemon in self.daemons.values():
            daemon.group = 0
        self.at(self.now + OPENED_AFTER, self.see_all_peers)

    def kill(self, daemons: Iterable[Daemon], restart_after: float) -> None:
        """Kill daemons and start them again later."""
        for daemon in daemons:
            daemon.is_running = False
            daemon.incarnation += 1
            self.at(self.now + restart_after, partial(self._start, daemon))
        self.at(self.now + REFUSED_AFTER, self.see_all_peers)

    def freeze(self, daemons: Iterable[Daemon], span: float) -> None:
        """Let daemons stand still for a time; messages to them wait."""
        for daemon in daemons:
            daemon.wakes_at = self.now + span

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Bring a configuration into force, at each daemon a little later."""
        self.customers = {row.name: row for row in customers}
        self.version += 1
        table, version = self.customers, self.version
        for daemon in self.daemons.values():
            self.at(
                self.now + self.rng.uniform(0, 300),
                partial(self._set_table, daemon, table, version),
            )

    def homes(self) -> list[Daemon]:
        """Return the daemons to which most others report now."""
        votes = Counter(
            reporter.home
            for daemon in self.daemons.values()
            for reporter in daemon.gate.reporters.values()
            if reporter.home is not None
        )
        count = max(len(daemon.gate.reporters) for daemon in self.daemons.values())
        return [self.daemons[home] for home, _ in votes.most_common(max(1, count))]

    def see_all_peers(self) -> None:
        """Tell each daemon which peers it reaches."""
        for daemon in self.daemons.values():
            if daemon.is_running:
                self.see_peers(daemon)

    def see_peers(self, daemon: Daemon) -> None:
        """Tell a daemon which peers it reaches."""
        near = [row for row in self.daemons.values() if row.group == daemon.group]
        open_links = frozenset(row.daemon_id for row in near if row.is_running)
        ended = frozenset(row.daemon_id for row in near if not row.is_running)
        known = frozenset(self.daemons)
        daemon.gate.set_peers(known, open_links, ended, Millis(self.now))

    def _set_table(self, daemon: Daemon, table: dict[CustomerName, Customer], version: int) -> None:
        if version < daemon.version:
            return
        daemon.version = version
        daemon.gate.set_customers(table)
        for home in daemon.homes.values():
            home.set_customers(table)

    def _start(self, daemon: Daemon) -> None:
        daemon.reset()
        daemon.is_running = True
        self._set_table(daemon, self.customers, self.version)
        self.see_peers(daemon)
        self.at(self.now + OPENED_AFTER, self.see_all_peers)
        self._tick(daemon)

    def _tick(self, daemon: Daemon) -> None:
        if not daemon.is_running:
            return
        incarnation = daemon.incarnation

        def again() -> None:
            if daemon.incarnation == incarnation:
                self._tick(daemon)

        if self.now < daemon.wakes_at:
            self.at(daemon.wakes_at, again)
            return
        for row in daemon.gate.tick(Millis(self.now)):
            self._send_report(daemon, row.home, row.report)
        self.at(self.now + TICK, again)

    def _send_report(self, sender: Daemon, home: DaemonId, report: LimitReport) -> None:
        target = self.daemons[home]
        if target is sender:
            answer = self._receive_report(target, sender, report)
            if answer is not None:
                sender.gate.receive(answer, target.daemon_id, Millis(self.now))
            return

        def deliver() -> None:
            target.gate.report_received(report.slot)
            answer = self._receive_report(target, sender, report)
            if answer is not None:
                self._send(
                    target, sender, answer, lambda: self._take_answer(sender, target, answer)
                )

        self._send(sender, target, report, deliver)

    def _take_answer(self, daemon: Daemon, home: Daemon, answer: LimitAnswer) -> None:
        daemon.gate.receive(answer, home.daemon_id, Millis(self.now))

    def _receive_report(
        self, home: Daemon, sender: Daemon, report: LimitReport
    ) -> LimitAnswer | None:
        limit_home = home.homes.get(report.slot)
        if limit_home is None:
            limit_home = home.homes[report.slot] = LimitHome(report.slot, home.gate.fleet)
            limit_home.set_customers(home.gate.customers)
        answer = limit_home.receive(report, sender.daemon_id, Millis(self.now))
        for daemon_id, pushed in limit_home.take_pushes(Millis(self.now)):
            target = self.daemons[daemon_id]
            self._send(home, target, pushed, partial(self._take_answer, target, home, pushed))
        return answer

    def _send(
        self,
        sender: Daemon,
        target: Daemon,
        message: LimitReport | LimitAnswer,
        act: Callable[[], None],
    ) -> None:
        sender.sent["messages"] += 1
        sender.sent["bytes"] += len(encode_hop_message(message)) + FRAME_BYTES
        if sender.group != target.group or self.rng.random() < self.loss:
            return
        incarnation = target.incarnation

        def deliver() -> None:
            if self.now < target.wakes_at:
                self.at(target.wakes_at, deliver)
            elif target.is_running and target.incarnation == incarnation:
                act()

        self.at(self.now + self.rng.uniform(*DELAY), deliver)
