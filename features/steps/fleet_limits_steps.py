import json
import re
import shutil
import signal
import tempfile
import threading
import time
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from behave import given, then, when
from fleet_steps import EXAMPLES, REGIONS

from agatecross_standins.fleet import Fleet, Site, fetch, wait_until

# Together at most five times the limit of 40 calls a second.
CALLERS = 6
CALL_INTERVAL_SECONDS = 0.03
WINDOW_SECONDS = 5.0
PATH = "/vans"
SERVICE = "van-booking"
KEY = {"ann": "k-ann", "bob": "k-bob"}


NO_ANSWER = 0
# Calls whose daemon or upstream's daemon is killed or paused.
FAULT_STATUSES = {NO_ANSWER, 502, 503, 504}


@dataclass(frozen=True)
class Answer:
    status: int
    retry_after: str | None
    at: float


def fetch_as(node, customer):
    return fetch(node.call_url + PATH, headers={"Authorization": f"Token {KEY[customer]}"})


def admin(node, path):
    return json.loads(fetch(f"http://{node.admin_address}/agatecross/v1/{path}")[2])


def running(context):
    return [node for node in context.fleet.nodes if node.daemon.poll() is None]


def publish(context, limit):
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(EXAMPLES / "lysknude", folder, dirs_exist_ok=True)
        with (Path(folder) / "base.toml").open("a") as base:
            base.write(f'\n[customers.ann]\nkeys = ["k-ann"]\n{limit}\n')
            base.write('[customers.bob]\nkeys = ["k-bob"]\n')
        result = context.fleet.run_cli("publish", folder)
    assert result.returncode == 0, (result.stdout, result.stderr)


def start(context, daemons, limit):
    context.fleet = Fleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    sites = list(REGIONS.items())[:daemons]
    for data_centre, region in sites:
        context.fleet.add_node(Site(region, data_centre), SERVICE)
    context.fleet.wait_joined()
    publish(context, limit)


def usage_of_ann(node):
    rows = admin(node, "customers/ann")
    return rows[0] if rows else None


def refused_so_far(context):
    rows = [usage_of_ann(node) for node in running(context)]
    return sum(row["refused"] for row in rows if row is not None)


def follows_home(node, homes):
    usage = usage_of_ann(node)
    if usage is None or usage["standing"] != "informed":
        return False
    homes.add(usage["home"])
    return True


def wait_for_one_home(context):
    """Wait until every daemon follows the same home; it sees "ann" once it has called."""
    for node in running(context):
        fetch_as(node, "ann")

    def agree():
        homes = set()
        return all(follows_home(node, homes) for node in running(context)) and len(homes) == 1

    wait_until(agree, "one home for ann")


@given(
    'a fleet of {daemons:d} daemons in which "ann" may send {rate:d} calls a second '
    "and a burst of {burst:d}"
)
def step_limited(context, daemons, rate, burst):
    start(context, daemons, f"rate_per_second = {rate}\nburst = {burst}")
    context.burst = burst
    wait_for_one_home(context)


@given('a fleet of {daemons:d} daemons in which "ann" has no limit')
def step_unlimited(context, daemons):
    start(context, daemons, "")


def home_of_ann(context):
    names = {usage_of_ann(node)["home"] for node in running(context)}
    return next(node for node in context.fleet.nodes if node.name in names)


def learn_shares(context):
    rows = running(context)
    wait_until(lambda: all(is_limited(node) for node in rows), "a share below 1 at every daemon")


def is_limited(node):
    usage = usage_of_ann(node)
    return usage["standing"] == "informed" and usage["share"] < 1


EVENTS = {
    "nothing happens": lambda context: None,
    "all daemons learn their share": learn_shares,
    "its home is killed": lambda context: context.fleet.stop_daemon(
        home_of_ann(context), signal.SIGKILL
    ),
    "its home is paused": lambda context: pause(context, home_of_ann(context)),
}


def pause(context, node):
    node.daemon.send_signal(signal.SIGSTOP)
    context.paused = node


@when('callers of all daemons send {count:d} calls of "ann" while {event}')
def step_load(context, count, event):
    ran_before = sum(len(context.fleet.executions(node)) for node in context.fleet.nodes)
    nodes = running(context)
    context.has_fault = "home" in event
    context.refused_before = refused_so_far(context)
    answers = []
    left = iter(range(count))
    lock = threading.Lock()
    context.paused = None

    def call(node):
        while True:
            with lock:
                if next(left, None) is None:
                    return
            if node is context.paused or node.daemon.poll() is not None:
                return
            try:
                status, headers, _ = fetch_as(node, "ann")
                answers.append(Answer(status, headers.get("Retry-After"), time.monotonic()))
            except OSError:
                answers.append(Answer(NO_ANSWER, None, time.monotonic()))
            time.sleep(CALL_INTERVAL_SECONDS)

    rows = [nodes[number % len(nodes)] for number in range(CALLERS)]
    threads = [threading.Thread(target=call, args=(node,)) for node in rows]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(answers) >= count // 4 or not any(map(alive, threads)), "some calls")
    EVENTS[event](context)
    for thread in threads:
        thread.join()
    if context.paused is not None:
        context.paused.daemon.send_signal(signal.SIGCONT)
    context.answers = answers
    ran = sum(len(context.fleet.executions(node)) for node in context.fleet.nodes)
    context.ran = ran - ran_before


def alive(thread):
    return thread.is_alive()


@then(
    '"ann" has at most what a limit of {rate:d} allows, and the upstreams ran just the served calls'
)
def step_bound(context, rate):
    times = sorted(row.at for row in context.answers if row.status == 200)
    allowed = (rate * WINDOW_SECONDS + context.burst) * 1.1 + 20
    worst = max(bisect_right(times, at + WINDOW_SECONDS) - i for i, at in enumerate(times))
    assert worst <= allowed, (worst, allowed)
    # The answer of a call that ran may be lost with the daemon that was killed.
    lost = sum(row.status in FAULT_STATUSES for row in context.answers)
    assert len(times) <= context.ran <= len(times) + lost, (len(times), context.ran, lost)


@then("all refusals are 429 with a time to come back between {low:g} and {high:g} s")
def step_refused(context, low, high):
    refused = [row for row in context.answers if row.status == 429]
    assert refused
    for row in refused:
        assert low <= float(row.retry_after) <= high, row
    others = {row.status for row in context.answers} - {200, 429}
    assert others <= (FAULT_STATUSES if context.has_fault else set()), others


@then('every call of "ann" was served')
def step_all_served(context):
    statuses = Counter(row.status for row in context.answers)
    assert set(statuses) == {200}, statuses


@then('"{customer}" gets 200 at every daemon that runs')
def step_served(context, customer):
    for node in running(context):
        wait_until(lambda node=node: fetch_as(node, customer)[0] == 200, f"200 at {node.name}")


@then('"{customer}" gets 200 again at every daemon that runs')
def step_served_again(context, customer):
    step_served(context, customer)


@when('the limit of "ann" falls to {rate:d} calls a second')
def step_falls(context, rate):
    publish(context, f"rate_per_second = {rate}\nburst = {context.burst}")


@when('the limit of "ann" is withdrawn')
def step_withdrawn(context):
    publish(context, "")


def metric_points(node, name):
    for resource in admin(node, "metrics").get("resource_metrics", []):
        for scope in resource["scope_metrics"]:
            for metric in scope["metrics"]:
                if metric["name"] == name:
                    yield from metric["data"]["data_points"]


@then("no daemon has sent a report")
def step_no_report(context):
    for node in context.fleet.nodes:
        points = list(metric_points(node, "agatecross.customers.reports"))
        assert [point["value"] for point in points] == [0], points


@then('the refusals that the client\'s "customers" shows for "ann" are those that its callers got')
def step_refusals(context):
    result = context.fleet.run_cli("customers", "ann", "--format=json")
    assert result.returncode == 0, (result.stdout, result.stderr)
    rows = json.loads(result.stdout)["result"]["customers"]
    refused = sum(row.status == 429 for row in context.answers)
    assert refused > 0
    shown = [row["refused"] - context.refused_before for row in rows if row["customer"] == "ann"]
    assert shown == [refused], (rows, refused)


@then('the client\'s "{command}" shows "{text}"')
def step_client(context, command, text):
    result = context.fleet.run_cli(*command.split())
    shown = re.sub(r"\s+", " ", result.stdout)
    assert text in shown, (result.stdout, result.stderr)


@then('a daemon\'s metrics have "{name}" of "{customer}"')
def step_metrics(context, name, customer):
    rows = [point for node in context.fleet.nodes for point in metric_points(node, name)]
    assert any(row["attributes"]["customer"] == customer for row in rows), rows


@then('a home has limited "{customer}" by the reports of all {count:d} daemons')
def step_reporters(context, customer, count):
    wanted = [f"customer={customer}", f"reporters={count}", f"daemons={count}"]

    def has_logged():
        texts = [path.read_text() for path in context.fleet.directory.glob("*-daemon.out")]
        lines = [line.split() for text in texts for line in text.splitlines()]
        return any("event=customer_limited" in row and set(wanted) <= set(row) for row in lines)

    wait_until(has_logged, f"a line with {wanted}")
