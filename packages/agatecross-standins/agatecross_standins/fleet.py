"""Starts a log service, upstreams and daemons as processes for the demo, tests and benchmarks."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from .ports import PortPool

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Site:
    """A data centre and its region."""

    region: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class LinkShape:
    """The link between two regions; the log service runs in `log_region`."""

    log_region: str
    delay_ms: float = 8.0
    mbit: float = 30.0


@dataclass(slots=True)
class Node:
    """One daemon and the upstream that it serves.

    `remote_ports` maps the peer port and the control port of the daemon to the ports on which the
    link proxy offers them to the other region.
    """

    name: str
    site: Site
    service: str
    call_port: int
    peer_port: int
    control_port: int
    admin_port: int
    upstream_port: int
    daemon: subprocess.Popen[bytes] | None = None
    upstream: subprocess.Popen[bytes] | None = None
    upstream_flags: tuple[str, ...] = ()
    remote_ports: dict[int, int] = field(default_factory=dict)

    @property
    def call_url(self) -> str:
        """Return the base URL for callers."""
        return f"http://127.0.0.1:{self.call_port}"

    @property
    def admin_address(self) -> str:
        """Return the address of the admin endpoint."""
        return f"127.0.0.1:{self.admin_port}"


def fetch(
    url: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request and return status, headers and body, also of an error response."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(
    condition: Callable[[], bool], description: str, seconds: float = START_TIMEOUT_SECONDS
) -> None:
    """Wait for a condition, treating `OSError` as not yet true.

    Raises `TimeoutError`, with the description, after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"timed out waiting for {description}")


@dataclass(slots=True)
class Fleet:
    """Running processes of one small deployment; use as a context manager."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="agatecross-")))
    nodes: list[Node] = field(default_factory=list)
    log_port: int = 0
    log_process: subprocess.Popen[bytes] | None = None
    log_flags: tuple[str, ...] = ()
    extra_settings: str = ""
    ports: PortPool = field(default_factory=PortPool)
    link: LinkShape | None = None
    link_port: int = 0
    remote_log_port: int = 0
    other_processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> "Fleet":
        """Start the log service."""
        if not self.log_port:
            self.log_port = self.ports.reserve(1)[0]
        self.start_log()
        return self

    def __exit__(self, *exc: object) -> None:
        """Kill every running process and release the ports."""
        for process in self.processes():
            if process.poll() is None:
                process.kill()
        for process in self.processes():
            process.wait()
        self.ports.close()

    def processes(self) -> Iterator[subprocess.Popen[bytes]]:
        """Yield every process that was started, except those that were replaced."""
        rows = [self.log_process, *self.other_processes]
        rows += [p for node in self.nodes for p in (node.daemon, node.upstream)]
        yield from (process for process in rows if process is not None)

    @property
    def log_address(self) -> str:
        """Return the address of the log service."""
        return f"127.0.0.1:{self.log_port}"

    def spawn(self, name: str, *command: str) -> subprocess.Popen[bytes]:
        """Start a Python module as a process; its output goes to a file in the directory."""
        with (self.directory / f"{name}.out").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def start_log(self) -> None:
        """Start the log service and wait until it responds."""
        self.log_process = self.spawn(
            "log", "agatecross_standins.log_service", f"--port={self.log_port}", *self.log_flags
        )
        wait_until(
            lambda: fetch(f"http://{self.log_address}/switches")[0] == 200, "the log service"
        )

    def set_log_switches(self, **switches: object) -> None:
        """Set switches of the log service."""
        fetch(f"http://{self.log_address}/switches", "PUT", json.dumps(switches).encode())

    def add_node(self, site: Site, service: str, *upstream_flags: str) -> Node:
        """Start a daemon and its upstream."""
        node = self.add_daemon(site, service)
        node.upstream_flags = upstream_flags
        self.start_upstream(node)
        return node

    def add_daemon(self, site: Site, service: str) -> Node:
        """Start a daemon without an upstream process."""
        node = self._plan_node(site, service)
        self.start_daemon(node)
        return node

    def _plan_node(self, site: Site, service: str) -> Node:
        call, peer, control, admin, upstream = self.ports.reserve(5)
        name = f"{site.data_centre}-{service}-{len(self.nodes)}"
        node = Node(name, site, service, call, peer, control, admin, upstream)
        self.nodes.append(node)
        return node

    def start_link(self, sites: Sequence[tuple[Site, str]]) -> None:
        """Plan the nodes and start the link proxy; `start_planned_nodes` then starts the nodes."""
        assert self.link is not None
        self.link_port, self.remote_log_port = self.ports.reserve(2)
        pairs = [f"--pair={self.remote_log_port}={self.log_port}"]
        for site, service in sites:
            node = self._plan_node(site, service)
            node.remote_ports = dict(
                zip((node.peer_port, node.control_port), self.ports.reserve(2), strict=True)
            )
            pairs += [
                f"--pair={remote_port}={local_port}"
                for local_port, remote_port in node.remote_ports.items()
            ]
        flags = (f"--delay_ms={self.link.delay_ms}", f"--mbit={self.link.mbit}")
        self.other_processes.append(
            self.spawn(
                "link",
                "agatecross_standins.link_proxy",
                f"--port={self.link_port}",
                *flags,
                *pairs,
            )
        )
        url = f"http://127.0.0.1:{self.link_port}/switches"
        wait_until(lambda: fetch(url)[0] == 200, "the link proxy")

    def set_link_switches(self, **switches: object) -> None:
        """Set switches of the link proxy."""
        url = f"http://127.0.0.1:{self.link_port}/switches"
        fetch(url, "PUT", json.dumps(switches).encode())

    def link_payload_bytes(self) -> tuple[int, int]:
        """Return the payload bytes carried by the link, from and towards the connecting side."""
        carried = json.loads(fetch(f"http://127.0.0.1:{self.link_port}/switches")[2])
        return int(carried["forward"]), int(carried["backward"])

    def start_planned_nodes(self, *upstream_flags: str) -> None:
        """Start the daemon and the upstream of every planned node."""
        for node in self.nodes:
            node.upstream_flags = upstream_flags
            self.start_daemon(node)
            self.start_upstream(node)

    def start_daemon(self, node: Node, *flags: str) -> None:
        """Start the daemon of a node."""
        settings = self.directory / f"{node.name}.toml"
        settings.write_text(self.settings_text(node), encoding="utf-8")
        node.daemon = self.spawn(
            f"{node.name}-daemon", "agatecross_daemon", f"--settings={settings}", *flags
        )

    def settings_text(self, node: Node) -> str:
        """Return the settings of a node's daemon."""
        return (
            f'[daemon]\nid = "{node.name}"\nregion = "{node.site.region}"\n'
            f'data_centre = "{node.site.data_centre}"\nhost = "127.0.0.1"\n'
            f"call_port = {node.call_port}\npeer_port = {node.peer_port}\n"
            f"control_port = {node.control_port}\nadmin_port = {node.admin_port}\n"
            f'\n[log]\naddress = "{self._log_address_for(node)}"\n{self.extra_settings}'
            f"{self._address_map(node)}"
        )

    def _log_address_for(self, node: Node) -> str:
        remote = self.link is not None and node.site.region != self.link.log_region
        return f"127.0.0.1:{self.remote_log_port if remote else self.log_port}"

    def _address_map(self, node: Node) -> str:
        others = (other for other in self.nodes if other.site.region != node.site.region)
        rows = [
            f'"127.0.0.1:{local_port}" = "127.0.0.1:{remote_port}"\n'
            for other in others
            for local_port, remote_port in other.remote_ports.items()
        ]
        return "\n[address_map]\n" + "".join(rows) if rows else ""

    def start_upstream(self, node: Node) -> None:
        """Start the upstream of a node."""
        node.upstream = self.spawn(
            f"{node.name}-upstream",
            "agatecross_standins.upstream",
            f"--port={node.upstream_port}",
            f"--admin={node.admin_address}",
            f"--service={node.service}",
            *node.upstream_flags,
        )

    def set_upstream_switches(self, node: Node, **switches: object) -> None:
        """Set switches of an upstream."""
        url = f"http://127.0.0.1:{node.upstream_port}/switches"
        fetch(url, "PUT", json.dumps(switches).encode())

    def executions(self, node: Node) -> list[dict[str, object]]:
        """Return the executions that an upstream has recorded since its start."""
        url = f"http://127.0.0.1:{node.upstream_port}/executions"
        rows: list[dict[str, object]] = json.loads(fetch(url)[2])["executions"]
        return rows

    def status(self, node: Node) -> dict[str, object]:
        """Return the status of a daemon."""
        status: dict[str, object] = json.loads(
            fetch(f"http://{node.admin_address}/agatecross/v1/status")[2]
        )
        return status

    def members(self, node: Node) -> list[dict[str, object]]:
        """Return the members that a daemon knows."""
        rows: list[dict[str, object]] = json.loads(
            fetch(f"http://{node.admin_address}/agatecross/v1/members")[2]
        )
        return rows

    def wait_joined(self, seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until every daemon lists every upstream as ready."""
        wanted = {node.name for node in self.nodes}

        def joined(node: Node) -> bool:
            ready = {
                str(row["daemon_id"])
                for row in self.members(node)
                if row["upstream"] and row["upstream"]["state"] == "ready"  # type: ignore[index]
            }
            return wanted <= ready

        for node in self.nodes:
            wait_until(lambda node=node: joined(node), f"{node.name} to join", seconds)  # type: ignore[misc]

    def wait_version(
        self,
        version: int,
        nodes: Sequence[Node] | None = None,
        seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until daemons have this version or a later one in force."""
        for node in self.nodes if nodes is None else nodes:
            wait_until(
                lambda node=node: int(str(self.status(node)["version"])) >= version,  # type: ignore[misc]
                f"version {version} on {node.name}",
                seconds,
            )

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line client against this fleet."""
        target = (
            f"--log={self.log_address}",
            f"--daemon={self.nodes[0].admin_address if self.nodes else ''}",
        )
        return subprocess.run(
            [sys.executable, "-m", "agatecross_cli", *arguments, *target],
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )

    def stop_daemon(self, node: Node, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a daemon and return its exit code."""
        assert node.daemon is not None
        node.daemon.send_signal(signal_number)
        return node.daemon.wait(60)
