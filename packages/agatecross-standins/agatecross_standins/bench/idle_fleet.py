"""Starts daemons without upstream processes; a thread announces an upstream to each of them."""

import json
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..fleet import Fleet, Node, Site, fetch

SITES = (
    Site("jylland", "aarhus-a"),
    Site("sjaelland", "koebenhavn-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "roskilde-b"),
)
EXAMPLE = "examples/lysknude"
ANNOUNCE_INTERVAL_SECONDS = 1.0
SERVICE = "case-portal"


@dataclass(slots=True)
class Announcer:
    """Announces an upstream to each daemon every second, instead of upstream processes."""

    nodes: Sequence[Node]
    stopped: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Announce until stopped."""
        while not self.stopped.wait(ANNOUNCE_INTERVAL_SECONDS):
            for node in self.nodes:
                self._announce(node)

    def _announce(self, node: Node) -> None:
        body = {
            "service": node.service,
            "address": f"127.0.0.1:{node.upstream_port}",
            "slots": 17,
            "connections": 120,
            "state": "ready",
        }
        try:
            fetch(
                f"http://{node.admin_address}/agatecross/v1/upstream",
                "PUT",
                json.dumps(body).encode(),
            )
        except OSError:
            return


@contextmanager
def running_fleet(size: int, extra_settings: str = "") -> Iterator[Fleet]:
    """Start `size` daemons that know each other and put the example configuration in force."""
    with Fleet(extra_settings=extra_settings) as fleet:
        for index in range(size):
            fleet.add_daemon(SITES[index % len(SITES)], SERVICE)
        announcer = Announcer(fleet.nodes)
        threading.Thread(target=announcer.run, daemon=True).start()
        try:
            fleet.wait_joined(120)
            result = fleet.run_cli("publish", EXAMPLE)
            if result.returncode:
                raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
            fleet.wait_version(1)
            yield fleet
        finally:
            announcer.stopped.set()


def control_bytes(fleet: Fleet) -> list[int]:
    """Return the control bytes that each daemon has sent and received since its start."""
    rows = [fleet.status(node) for node in fleet.nodes]
    return [
        int(str(row["control_sent_bytes"])) + int(str(row["control_received_bytes"]))
        for row in rows
    ]
