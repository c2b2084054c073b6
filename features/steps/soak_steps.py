import os
import signal
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from agatecross_standins.platform_upstream import PlatformUpstream
from agatecross_standins.soak.checks import violations
from agatecross_standins.soak.events import (
    AnnouncedLeave,
    ConfirmedLeave,
    History,
    LimitedTime,
    RequestOutcome,
    RequestRecord,
    VersionObservation,
)
from agatecross_standins.soak.fleet import Node
from agatecross_standins.soak.known_red import known_red_seeds
from agatecross_standins.soak.schedule import FaultKind, schedule

NODE_COUNT = 6


def request_record(call_id, seen, once=True, status=200, node=0, ended=2.0, key="k-main"):
    return RequestRecord(call_id, node, once, 1.0, ended, seen, status, key)


def add_run_with(key, published_at):
    def add(history):
        history.requests.append(request_record("x", RequestOutcome.ANSWERED, key=key))
        history.published += [(2, published_at - 5.0), (3, published_at)]
        history.runs["x"] = 1

    return add


def add_run_in_touch_again(history):
    add_run_with("k-version-2", -3.0)(history)
    history.disturbances.append((-1, 0.0, 1.5))


def add_hot_runs(count):
    def add(history):
        for number in range(count):
            row = request_record(f"h{number}", RequestOutcome.ANSWERED, key="k-hot")
            history.requests.append(row)
            history.runs[row.call_id] = 1
            # All are sent at 1.0; those after 6.0 are in another window.
            history.first_runs[row.call_id] = 2.0 + 0.02 * number

    return add


def add_second_run(history):
    history.requests.append(request_record("x", RequestOutcome.ANSWERED))
    history.runs["x"] = 2


def add_refused_run(history):
    history.requests.append(request_record("x", RequestOutcome.REFUSED, status=503))
    history.runs["x"] = 1


def add_late_run(history):
    history.requests.append(request_record("x", RequestOutcome.REFUSED, once=False))
    history.announced_leaves.append(AnnouncedLeave("u", 10.0, ((11.0, "y"), (12.5, "x"))))


def add_excused_late_run(history):
    add_late_run(history)
    history.restarts += [(0, 9.0), (1, 11.0), (0, 12.0)]


def add_cut_request(history):
    history.requests.append(request_record("x", RequestOutcome.BROKEN, ended=5.0))
    history.graceful_stops.append((0, 4.0, 6.0))


def add_cut_request_during_fault(history):
    add_cut_request(history)
    history.disturbances.append((-1, 4.5, 5.5))


def add_late_version(history):
    history.published.append((5, 10.0))
    history.versions.append(VersionObservation(0, 1, 4, 13.1))


def add_late_version_at_silence(history):
    add_late_version(history)
    history.disturbances.append((-1, 10.5, 13.5))


HISTORY_CHANGES = {
    "nothing else": lambda history: None,
    "a booking that ran twice": add_second_run,
    "a refused booking that ran": add_refused_run,
    "a foreign answer": lambda h: h.requests.append(request_record("x", RequestOutcome.FOREIGN)),
    "an answer without a run": lambda h: h.requests.append(
        request_record("x", RequestOutcome.ANSWERED)
    ),
    "a run after a confirmed leave": lambda h: h.leaves.append(
        ConfirmedLeave("u", 10.0, ((11.0, "a"), (12.5, "b")))
    ),
    "a run after an answer that said so": add_late_run,
    "the same after a restart since then": add_excused_late_run,
    "a limit that was exceeded": lambda h: h.limited_times.append(
        LimitedTime("u", 10.0, 0.0, 9.0, tuple((3.0 + n * 0.05, "a") for n in range(70)))
    ),
    "a limit that was kept": lambda h: h.limited_times.append(
        LimitedTime("u", 10.0, 0.0, 9.0, tuple((n * 0.1, "a") for n in range(90)))
    ),
    "a version that is late": add_late_version,
    "a version that is late at a silence": add_late_version_at_silence,
    "a version that went down": lambda h: h.versions.append(VersionObservation(0, 0, 4)),
    "a version that is lower after a kill": lambda h: h.versions.append(
        VersionObservation(0, 1, 4)
    ),
    "a run with an unknown key": add_run_with("k-unknown", 0.0),
    "a run with a withdrawn key": add_run_with("k-version-2", -3.0),
    "a run with a key withdrawn just now": add_run_with("k-version-2", 0.0),
    "a run with the newest key": add_run_with("k-version-3", -3.0),
    "a withdrawn key while a link is cut": add_run_in_touch_again,
    "a key in force that was refused": lambda h: h.requests.append(
        request_record("x", RequestOutcome.FAILED, status=401)
    ),
    "141 runs of the limited customer": add_hot_runs(141),
    "142 runs of the limited customer": add_hot_runs(142),
    "a daemon that ended by itself": lambda h: h.exits.append((0, 1)),
    "a traceback": lambda h: h.tracebacks.append("d0.log: Traceback"),
    "a request cut by a graceful stop": add_cut_request,
    "a request cut while a link was reset": add_cut_request_during_fault,
    "requests that fail at the end": lambda h: h.final_requests.extend(
        request_record(f"f{n}", RequestOutcome.FAILED) for n in range(2)
    ),
}


@given("a history of a soak without violations")
def step_history_without_violations(context):
    history = History()
    history.requests += [
        request_record("a", RequestOutcome.ANSWERED),
        request_record("b", RequestOutcome.FAILED, status=502),
    ]
    history.requests.append(request_record("c", RequestOutcome.REFUSED, status=503))
    history.runs = {"a": 1, "b": 1}
    history.leaves.append(ConfirmedLeave("u0", 10.0, ((9.0, "a"), (11.9, "b"))))
    history.versions += [VersionObservation(0, 0, 3), VersionObservation(0, 0, 5)]
    history.exits += [(0, 0), (1, -9)]
    history.final_requests += [request_record(f"s{n}", RequestOutcome.ANSWERED) for n in range(10)]
    context.history = history


@when("it also holds {what}")
def step_change(context, what):
    HISTORY_CHANGES[what](context.history)


@then('exactly "{promise}" is reported')
def step_reported(context, promise):
    found = {text.partition(":")[0] for text in violations(context.history)}
    assert found == {promise} - {"-"}, found


@then("the schedules of seeds {first:d} to {last:d} repeat, overlap and hold every kind of fault")
def step_schedules(context, first, last):
    kinds, overlaps = set(), 0
    for seed in range(first, last + 1):
        faults = list(schedule(seed, 10.0, NODE_COUNT))
        assert faults == list(schedule(seed, 10.0, NODE_COUNT))
        assert all(fault.at + fault.duration_seconds <= 14.0 for fault in faults), faults
        kinds |= {fault.kind for fault in faults}
        overlaps += any(a.at < b.at < a.at + a.duration_seconds for a in faults for b in faults)
    assert kinds == set(FaultKind)
    assert overlaps > (last - first) / 2


@given("a process of a soak that has ended with code {code:d} and is {state}")
def step_ended(context, code, state):
    process = subprocess.Popen([sys.executable, "-c", f"import os; os._exit({code})"])
    context.node = Node(0, PlatformUpstream("u0", "s0"), {}, Path(), Path())
    context.node.attach_process(process)
    context.add_cleanup(context.node.reap)
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    if state == "reaped":
        os.waitpid(process.pid, 0)


@when("the soak sends it a signal")
def step_signal(context):
    context.node.send_signal(signal.SIGTERM)


@then("its exit code is {code}")
def step_exit_code(context, code):
    try:
        _, status = os.waitpid(context.node.process.pid, os.WNOHANG)
        found = str(os.waitstatus_to_exitcode(status))
    except ChildProcessError:
        found = "lost"
    assert found == code, found


@when('a listing holds "{line}"')
def step_listing(context, line):
    context.known_red = known_red_seeds(f"{line}\ncommand: none\n")


@then('the soak seeds "{seeds}" are known to fail')
@then('the soak seeds "" are known to fail')
def step_known_red(context, seeds=""):
    assert context.known_red == {int(seed) for seed in seeds.split()}, context.known_red
