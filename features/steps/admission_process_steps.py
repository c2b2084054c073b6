import json
import shutil
import signal
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from agatecross_standins.fleet import Fleet, Site, fetch, wait_until

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "kafeskoop"
LONG_TIMEOUT_SETTING = "timeout_ms = 60000"
ANSWER_TIMEOUT_SECONDS = 60.0


@given('daemons for "{service}" with {slots:d} slots')
def start_daemons(context, service, slots):
    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.__enter__()
    context.node = context.fleet.add_node(Site("marmara", "bursa-a"), service, f"--slots={slots}")
    context.other = context.fleet.add_node(Site("marmara", "bursa-b"), "member-accounts")
    context.service = service
    documents = context.fleet.directory / "documents"
    shutil.copytree(EXAMPLE, documents)
    base = documents / "base.toml"
    text = base.read_text().replace("timeout_ms = 2000", LONG_TIMEOUT_SETTING)
    base.write_text(text.replace("timeout_ms = 5000", LONG_TIMEOUT_SETTING))
    for overlay in (documents / "overlays").iterdir():
        overlay.write_text(overlay.read_text().replace("timeout_ms = 4000", LONG_TIMEOUT_SETTING))
    context.fleet.wait_joined()
    result = context.fleet.run_cli("publish", str(documents))
    assert result.returncode == 0, (result.stdout, result.stderr)
    context.pool = ThreadPoolExecutor(4)
    context.add_cleanup(context.pool.shutdown)
    context.calls = []


def send_call(context, method, path):
    body = b"" if method == "POST" else None
    url = context.node.call_url + path
    return context.pool.submit(fetch, url, method, body, None, ANSWER_TIMEOUT_SECONDS)


def fetch_executions(context):
    url = f"http://127.0.0.1:{context.node.upstream_port}/executions"
    return json.loads(fetch(url)[2])


def wait_for_executions(context, path, count):
    def executed():
        return [row["path"] for row in fetch_executions(context)["executions"]].count(path) >= count

    wait_until(executed, f"{count} executions of {path}")


def send_as_peer(context):
    """Send a call that is past its deadline; its answer states the running and waiting calls."""
    headers = {
        "Agatecross-Call-Id": "late",
        "Agatecross-Service": context.service,
        "Agatecross-Deadline-Ms": "0",
    }
    url = f"http://127.0.0.1:{context.node.peer_port}/late"
    return fetch(url, headers=headers)[1]


def wait_for_admitted_calls(context, count):
    def admitted():
        running, waiting, _ = send_as_peer(context)["Agatecross-Load"].split()
        return int(running) + int(waiting) == count

    wait_until(admitted, f"{count} running or waiting calls")


@when('the upstream holds calls to "{path}"')
def hold_calls(context, path):
    context.fleet.set_upstream_switches(context.node, hold_on=path)


@when("the upstream releases its calls")
def release_calls(context):
    context.fleet.set_upstream_switches(context.node, hold_on="")


@when('the upstream releases its calls if the method is "{method}"')
def release_calls_for_method(context, method):
    if context.method == method:
        release_calls(context)


@when('a "{method}" to "{path}" runs and a "{other}" to "{waiting}" waits')
def run_and_wait(context, method, path, other, waiting):
    context.running = send_call(context, method, path)
    wait_for_executions(context, path, 1)
    context.waiting = send_call(context, other, waiting)
    wait_for_admitted_calls(context, 2)


@when("the daemon gets SIGTERM")
def send_sigterm(context):
    context.node.daemon.send_signal(signal.SIGTERM)


@then('the waiting call is answered "{outcome}" for "{reason}"')
def check_waiting(context, outcome, reason):
    _, headers, _ = context.waiting.result(ANSWER_TIMEOUT_SECONDS)
    found = (headers["Agatecross-Outcome"], headers["Agatecross-Reason"])
    assert found == (outcome, reason), found


@then('a call that a peer sends now is answered "{outcome}" for "{reason}"')
def check_late_call(context, outcome, reason):
    answer = send_as_peer(context)
    found = (answer["Agatecross-Outcome"], answer["Agatecross-Reason"])
    assert found == (outcome, reason), found


@then('the running call is answered "{outcome}" and the daemon exits with code {code:d}')
def check_running(context, outcome, code):
    _, headers, _ = context.running.result(ANSWER_TIMEOUT_SECONDS)
    assert headers["Agatecross-Outcome"] == outcome, headers
    assert context.node.daemon.wait(ANSWER_TIMEOUT_SECONDS) == code


@then("the upstream executed {count:d} call with a deadline")
def check_executed(context, count):
    rows = fetch_executions(context)["executions"]
    assert len(rows) == count, rows
    assert all(0 < float(row["deadline_ms"]) <= 60_000 for row in rows), rows


@when('a caller sends a "{method}" to "{path}" over {hops:d} daemons and disconnects')
def send_and_disconnect(context, method, path, hops):
    context.method = method
    port = (context.node if hops == 1 else context.other).call_port
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        wait_for_executions(context, path, 1)


@then("the upstream has {completed:d} completed and {cancelled:d} cancelled calls")
def check_call_ends(context, completed, cancelled):
    def call_ended():
        rows = fetch_executions(context)
        return len(rows["completed"]) + len(rows["cancelled"]) >= completed + cancelled

    wait_until(call_ended, "the end of the call")
    found = (
        len(fetch_executions(context)["completed"]),
        len(fetch_executions(context)["cancelled"]),
    )
    assert found == (completed, cancelled), found


@then('a "{method}" to "{path}" is answered "{outcome}"')
def check_answered(context, method, path, outcome):
    _, headers, body = send_call(context, method, path).result(ANSWER_TIMEOUT_SECONDS)
    assert headers["Agatecross-Outcome"] == outcome, (headers, body)


@when('a "{method}" to "{path}" was answered')
def send_and_wait(context, method, path):
    send_call(context, method, path).result(ANSWER_TIMEOUT_SECONDS)


@when('{count:d} calls to "{path}" are sent')
def send_several(context, count, path):
    context.calls = [send_call(context, "GET", path) for _ in range(count)]
    wait_for_admitted_calls(context, count)


@then('the upstream executed "{path}" {count:d} times')
def check_execution_count(context, path, count):
    found = [row["path"] for row in fetch_executions(context)["executions"]].count(path)
    release_calls(context)
    assert found == count, found
