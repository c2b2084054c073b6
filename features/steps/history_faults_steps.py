import signal
import subprocess
import sys
import time
from urllib.error import URLError

from behave import given, then, when

from agatecross_standins.faults.injector import Injector
from agatecross_standins.faults.recorder import Recorder
from agatecross_standins.faults.schedule import Fault, FaultKind
from agatecross_standins.fleet import Node, Site, wait_until

FAULT_INTERVAL_SECONDS = 0.02
# Longer than any schedule of the table, so that steps that wait for no exit come before the exit.
EXIT_DELAY_SECONDS = 0.3


@when("faults with seed {seed:d} run for {seconds:d} seconds")
def run_faults(context, seed, seconds):
    command = [sys.executable, "-m", "agatecross_standins.faults"]
    context.result = subprocess.run(
        [*command, f"--seed={seed}", f"--seconds={seconds}"],
        capture_output=True,
        text=True,
        timeout=240,
        check=False,
    )


@then("the history has no violations")
def check_result(context):
    result = context.result
    assert result.returncode == 0, (result.stdout[-8_000:], result.stderr[-4_000:])
    assert "0 violations" in result.stdout, result.stdout[-2_000:]


class StandInProcess:
    """A process that exits only after the steps of the other nodes."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number

    def kill(self):
        self.fleet.record(self.number, "kill")

    def send_signal(self, number):
        self.fleet.record(self.number, signal.Signals(number).name)

    def wait(self, timeout=None):
        time.sleep(EXIT_DELAY_SECONDS)
        wait_until(lambda: self.fleet.others_are_done(self.number), "the steps of the other nodes")
        self.fleet.record(self.number, "exited")


class StandInFleet:
    """A fleet that records what the injector does to its nodes."""

    def __init__(self, count, refusals):
        self.refusals = refusals
        self.actions = []
        self.planned = []
        self.refusals_left = dict.fromkeys(range(count), 0)
        self.nodes = [Node(str(n), Site("r", "a"), "s", *[0] * 5) for n in range(count)]
        for number, node in enumerate(self.nodes):
            node.daemon = StandInProcess(self, number)
            node.upstream = StandInProcess(self, number)

    def record(self, number, action):
        self.actions.append(f"{number} {action}")

    def others_are_done(self, number):
        """Return whether each fault of the other nodes has begun and ended."""
        planned = sum(fault.node != number for fault in self.planned)
        return sum(not row.startswith(f"{number} ") for row in self.actions) >= 2 * planned

    def start_daemon(self, node):
        self.record(int(node.name), "start daemon")

    def start_upstream(self, node):
        self.refusals_left[int(node.name)] = self.refusals
        self.record(int(node.name), "start upstream")

    def set_upstream_switches(self, node, draining):
        number = int(node.name)
        if self.refusals_left[number]:
            self.refusals_left[number] -= 1
            raise URLError(ConnectionRefusedError())
        self.record(number, "drain" if draining else "undrain")


@given("a fleet of {count:d} nodes whose upstreams refuse {refusals:d} connections after a start")
def start_fleet(context, count, refusals):
    context.stand_in = StandInFleet(count, refusals)


@when('the faults "{faults}" are injected')
def inject_faults(context, faults):
    rows = [row.split() for row in faults.split(", ")]
    context.stand_in.planned = [
        Fault(
            index * FAULT_INTERVAL_SECONDS, FAULT_INTERVAL_SECONDS / 2, FaultKind(kind), int(node)
        )
        for index, (node, kind) in enumerate(rows)
    ]
    Injector(context.stand_in, Recorder()).run(context.stand_in.planned)


@then('the injector did "{actions}"')
def check_actions(context, actions):
    assert context.stand_in.actions == actions.split(", "), context.stand_in.actions
