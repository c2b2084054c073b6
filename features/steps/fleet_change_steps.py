import json
import shutil
import signal
import time
from pathlib import Path

from behave import given, then, when

from agatecross_standins.fleet import Fleet, LinkShape, Site, fetch, wait_until

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
SITES = [
    Site("jylland", "aarhus-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "koebenhavn-a"),
    Site("sjaelland", "roskilde-b"),
]


@given('a fleet in two regions joined by a link, with "{service}" in each data centre')
def start_linked(context, service):
    context.fleet = Fleet(link=LinkShape("jylland"))
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.start_link([(site, service) for site in SITES])
    context.fleet.start_planned_nodes()
    context.fleet.wait_joined()


@when("the link is cut")
def cut_link(context):
    context.fleet.set_link_switches(cut=True)


@when("the link is restored")
def restore_link(context):
    context.fleet.set_link_switches(cut=False)


@when("a changed configuration is published with a wait of {seconds:d} seconds")
def publish_changed(context, seconds):
    folder = context.fleet.directory / "changed"
    shutil.copytree(EXAMPLES / "lysknude", folder)
    base = folder / "base.toml"
    base.write_text(base.read_text().replace("timeout_ms = 2000", "timeout_ms = 2500", 1))
    context.result = context.fleet.run_cli("publish", str(folder), f"--timeout={seconds}")


@then('the client names every daemon of region "{region}" as behind')
def check_behind(context, region):
    for node in context.fleet.nodes:
        assert (node.name in context.result.stdout) == (node.site.region == region), (
            node.name,
            context.result.stdout,
        )


@then("version {version:d} is in force on every daemon")
def check_version(context, version):
    context.fleet.wait_version(version, seconds=60)


@then("every daemon sees every upstream as ready")
def check_upstreams_ready(context):
    context.fleet.wait_joined(60)


@when('the daemon next to "{service}" is {condition} while the first upstream starts to drain')
def drain_first_upstream(context, service, condition):
    fleet = context.fleet
    context.first_node = fleet.nodes[0]
    caller_node = next(node for node in fleet.nodes if node.service == service)
    if condition == "paused":
        caller_node.daemon.send_signal(signal.SIGSTOP)
    fleet.set_upstream_switches(context.first_node, draining=True)
    wait_until(
        lambda: upstream_state_seen_by(fleet, context.first_node, context.first_node) == "draining",
        "the drain",
    )
    if condition == "paused":
        # New work for a draining upstream must stop "after a few seconds". These pass during the
        # pause, so the daemon gets calls as soon as it is resumed.
        time.sleep(3)
        caller_node.daemon.send_signal(signal.SIGCONT)
    else:
        wait_until(
            lambda: upstream_state_seen_by(fleet, caller_node, context.first_node) == "draining",
            "the drain to be known to the peer",
        )
    context.executed_before = len(fleet.executions(context.first_node))


def upstream_state_seen_by(fleet, observer, subject):
    rows = {row["daemon_id"]: row for row in fleet.members(observer)}
    upstream = rows[subject.name]["upstream"]
    return upstream and upstream["state"]


@when('{count:d} calls to "{path}" go through the daemon next to "{service}"')
def send_calls(context, count, path, service):
    node = next(node for node in context.fleet.nodes if node.service == service)
    context.answers = []
    deadline = time.monotonic() + 30
    while len(context.answers) < count and time.monotonic() < deadline:
        status, headers, body = fetch(node.call_url + path)
        # A daemon that was paused refuses calls as not run until its view is current again.
        if headers.get("Agatecross-Reason") != "stale-view":
            context.answers.append((status, headers, body))


@then("all calls ran")
def check_ran(context):
    assert context.answers
    for status, headers, body in context.answers:
        assert (status, headers["Agatecross-Outcome"]) == (200, "ran"), (status, headers, body)
        assert json.loads(body)["service"] == "case-portal"


@then("the first upstream executed none of them")
def check_none_executed(context):
    assert len(context.fleet.executions(context.first_node)) == context.executed_before


@when('a peer sends a call to "{path}" straight to the first daemon')
def send_as_peer(context, path):
    headers = {
        "Agatecross-Call-Id": "peer-call",
        "Agatecross-Service": context.first_node.service,
        "Agatecross-Deadline-Ms": "2000",
        "Agatecross-Idempotent": "1",
    }
    url = f"http://127.0.0.1:{context.first_node.peer_port}{path}"
    context.peer_answer = fetch(url, headers=headers)


@then('the peer is told "{outcome}" because of "{reason}"')
def check_refusal(context, outcome, reason):
    _, headers, _ = context.peer_answer
    found = (headers.get("Agatecross-Outcome"), headers.get("Agatecross-Reason"))
    assert found == (outcome, reason), found
