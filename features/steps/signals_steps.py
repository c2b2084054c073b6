import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from agatecross_daemon.process_signals import HANDLED_SIGNALS
from agatecross_standins.ports import PortPool
from agatecross_standins.soak.fleet import SETTINGS_TEMPLATE

PROCESS_TIMEOUT_SECONDS = 30.0
# Runs the daemon as `python -m` does; the process sends itself a signal at an import or at exit.
PROGRAM = """
import atexit, os, runpy, sys
number, point = int(sys.argv.pop(1)), sys.argv.pop(1)

def send():
    os.kill(os.getpid(), number)

class AtImport:
    sent = False
    @classmethod
    def find_spec(cls, name, path=None, target=None):
        if name == point and not cls.sent:
            cls.sent = True
            send()

if point == "exit":
    atexit.register(send)
sys.meta_path.insert(0, AtImport)
runpy.run_module("agatecross_daemon", run_name="__main__", alter_sys=True)
"""
FLEET_SETTINGS = """
[daemon]
id = "d1"
region = "north"
data_centre = "north-a"
host = "127.0.0.1"
call_port = {callers}
peer_port = {peers}
control_port = {ready}
admin_port = {heartbeats}
[log]
address = "127.0.0.1:{store}"
"""
PORT_NAMES = (
    "callers",
    "peers",
    "ready",
    "heartbeats",
    "metrics",
    "upstream",
    "store",
    "announced",
)


@given("a daemon process with the settings of a {kind} daemon")
def step_settings(context, kind):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    pool = PortPool()
    context.add_cleanup(pool.close)
    ports = dict(zip(PORT_NAMES, pool.reserve(len(PORT_NAMES)), strict=True))
    if kind == "relaying":
        addresses = {name: f"127.0.0.1:{port}" for name, port in ports.items()}
        place = {"number": 1, "region": "north", "data_centre": "north-a", "service": "s0"}
        text = SETTINGS_TEMPLATE.format(**place, **addresses)
    else:
        text = FLEET_SETTINGS.format(**ports)
    context.settings = Path(folder.name) / "node.toml"
    context.settings.write_text(text, encoding="utf-8")
    context.output = Path(folder.name) / "output"


def start_daemon(context, number, point):
    command = [sys.executable, "-c", PROGRAM, str(int(number)), point]
    with context.output.open("wb") as output:
        context.process = subprocess.Popen(
            [*command, f"--settings={context.settings}"], stdout=output, stderr=output
        )
    context.add_cleanup(kill_and_wait, context.process)


def kill_and_wait(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def count_starts(context):
    return context.output.read_text(encoding="utf-8").count("event=daemon_started")


@when("SIGHUP and SIGTERM come before its interpreter runs, and are blocked")
def step_blocked(context):
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        start_daemon(context, signal.SIGCONT, "none")
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    context.process.send_signal(signal.SIGHUP)
    context.process.send_signal(signal.SIGTERM)


@when("{name} comes at the import of {module}")
def step_at_import(context, name, module):
    start_daemon(context, signal.Signals[name], module)


@when("{name} comes after its event loop was closed")
def step_at_exit(context, name):
    start_daemon(context, signal.Signals[name], "exit")


@when("SIGTERM comes after it started")
def step_after_start(context):
    deadline = time.monotonic() + PROCESS_TIMEOUT_SECONDS
    while not count_starts(context):
        running = context.process.poll() is None
        assert running, (context.process.returncode, context.output.read_text())
        assert time.monotonic() < deadline, context.output.read_text()
        time.sleep(0.05)
    context.process.send_signal(signal.SIGTERM)


@then('it ends with code {code:d} and logs "daemon_started" {count}')
def step_ended(context, code, count):
    found = context.process.wait(PROCESS_TIMEOUT_SECONDS)
    text = context.output.read_text(encoding="utf-8")
    assert found == code, (found, text)
    assert count_starts(context) == {"never": 0, "once": 1}[count], text
