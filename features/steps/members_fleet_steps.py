import json
import signal

import psutil
from behave import given, then, when

from agatecross_standins.bench.idle_fleet import SERVICE, SITES
from agatecross_standins.fleet import Fleet, fetch, wait_until


def listed_states(context, node):
    return {row["daemon_id"]: row["state"] for row in context.fleet.members(node)}


def running_nodes(context):
    return [
        n for n in context.fleet.nodes if n.daemon.poll() is None and n not in context.suspended
    ]


@given("a log service with an outage")
def start_log_with_outage(context):
    context.fleet, context.suspended = Fleet(), []
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.set_log_switches(outage=True)


@given("{count:d} daemons that have started")
def start_daemons(context, count):
    for index in range(count):
        context.fleet.add_daemon(SITES[index % len(SITES)], SERVICE)
    for node in context.fleet.nodes:
        wait_until(
            lambda node=node: listed_states(context, node) == {node.name: "alive"}, node.name
        )


@given("{count:d} daemons that know each other")
def start_joined(context, count):
    context.fleet, context.suspended = Fleet(), []
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    for index in range(count):
        context.fleet.add_daemon(SITES[index % len(SITES)], SERVICE)
    check_alive(context, count)


@when("the outage ends")
def end_outage(context):
    context.fleet.set_log_switches(outage=False)


@when("daemon {index:d} gets {name}")
def send_signal(context, index, name):
    node = context.fleet.nodes[index]
    node.daemon.send_signal(signal.Signals[name])
    if name == "SIGSTOP":
        context.suspended.append(node)
        context.log_size_at_pause = (
            (context.fleet.directory / f"{node.name}-daemon.out").stat().st_size
        )
    elif name == "SIGCONT":
        context.suspended.remove(node)
    elif name == "SIGKILL":
        node.daemon.wait()


@when("daemon {index:d} is started again")
def start_again(context, index):
    context.fleet.start_daemon(context.fleet.nodes[index])


@when("daemon {index:d} is replaced under a new id at the same addresses")
def replace_daemon(context, index):
    send_signal(context, index, "SIGKILL")
    context.fleet.nodes[index].name += "-new"
    start_again(context, index)


@when("all daemons get SIGKILL and are started again")
def restart_all(context):
    for index in range(len(context.fleet.nodes)):
        send_signal(context, index, "SIGKILL")
    for node in context.fleet.nodes:
        context.fleet.start_daemon(node)


@then("the other daemons no longer list daemon {index:d}")
def check_dropped(context, index):
    gone = context.fleet.nodes[index]
    for node in running_nodes(context):
        wait_until(
            lambda node=node: gone.name not in listed_states(context, node),
            f"{node.name} to drop the daemon that got a signal",
        )


@then("the other daemons list daemon {index:d} as {state}")
def check_state(context, index, state):
    other = context.fleet.nodes[index].name
    for node in context.fleet.nodes:
        if node.name != other:
            wait_until(
                lambda node=node: listed_states(context, node).get(other) == state, node.name
            )


@then("every daemon lists {count:d} daemons as alive")
def check_alive(context, count):
    wanted = {node.name: "alive" for node in context.fleet.nodes}
    assert len(wanted) == count
    for node in context.fleet.nodes:
        wait_until(
            lambda node=node: listed_states(context, node) == wanted,
            f"{node.name} to list every daemon as alive",
            60,
        )


@then("daemon {index:d} has logged that it synced its table after the pause")
def check_synced_log(context, index):
    path = context.fleet.directory / f"{context.fleet.nodes[index].name}-daemon.out"
    assert "event=synced" in path.read_bytes()[context.log_size_at_pause :].decode()


@then("no daemon has more than {threads:d} threads or {mib:d} MiB of memory")
def check_process(context, threads, mib):
    for node in running_nodes(context):
        process = psutil.Process(node.daemon.pid)
        assert process.num_threads() <= threads, process.num_threads()
        assert process.memory_info().rss <= mib * 2**20, process.memory_info()


@then("the log holds at most {count:d} announcements")
def check_announcements(context, count):
    page = fetch(f"http://{context.fleet.log_address}/streams/members/records?limit=1000")[2]
    assert 1 <= json.loads(page)["end"] <= count, page
