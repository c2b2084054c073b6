import json
import re

from behave import given, then, when

from agatecross_standins.fleet import Fleet, fetch, wait_until

TRACE = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"
SPAN = re.compile(r'event=span name="?([^"=]+)"? trace=(\w+) span=(\w+) parent=(\w+)')


@given("daemons write their spans to the log")
def log_spans(context):
    context.fleet = Fleet(extra_settings="\n[telemetry]\nspans_to_log = true\n")


@when('a call to "{path}" is sent through the daemon next to "{service}" with a trace')
def send_traced(context, path, service):
    node = node_of(context, service)
    headers = {"traceparent": f"00-{TRACE}-{CALLER_SPAN}-01"}
    status, _, body = fetch(node.call_url + path, headers=headers)
    assert status == 200, body


@then("the logs show these spans of that trace, each the parent of the next")
def check_spans(context):
    parent = CALLER_SPAN
    for row in context.table:
        node = node_of(context, row["node"])
        wait_until(lambda node=node, row=row: find_spans(context, node, row["span"]), row["span"])
        span, actual_parent = find_spans(context, node, row["span"])[0]
        assert actual_parent == parent, (row["span"], actual_parent, parent)
        parent = span


@then('the daemon next to "{service}" reports these metrics')
def check_metrics(context, service):
    node = node_of(context, service)
    body = json.loads(fetch(f"http://{node.admin_address}/agatecross/v1/metrics")[2])
    scopes = [scope for row in body["resource_metrics"] for scope in row["scope_metrics"]]
    units = {metric["name"]: metric["unit"] for scope in scopes for metric in scope["metrics"]}
    for row in context.table:
        assert units.get(row["metric"]) == row["unit"], units


def node_of(context, service):
    return next(node for node in context.fleet.nodes if node.service == service)


def find_spans(context, node, name):
    text = (context.fleet.directory / f"{node.name}-daemon.out").read_text(encoding="utf-8")
    rows = [m.groups() for m in SPAN.finditer(text)]
    return [
        (span, parent) for found, trace, span, parent in rows if (found, trace) == (name, TRACE)
    ]
