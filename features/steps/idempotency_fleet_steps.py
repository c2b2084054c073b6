import contextlib
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from agatecross_standins.fleet import fetch, wait_until

BOOKING_PATH = "/vans/book"
IDEMPOTENCY_KEY = "booking-1"


@given('the example configuration "{name}" is in force')
def put_in_force(context, name):
    context.execute_steps(f'When the example configuration "{name}" is published')
    context.fleet.wait_version(1)


def send_booking(context, index, work_ms=200, timeout=20.0):
    """Send the booking through a daemon and return its outcome."""
    url = f"{context.fleet.nodes[index].call_url}{BOOKING_PATH}?work_ms={work_ms}"
    headers = {"Idempotency-Key": IDEMPOTENCY_KEY}
    _, found, _ = fetch(url, "POST", b"{}", headers, timeout)
    return found["Agatecross-Outcome"]


def send_bookings_at_once(context, indexes):
    numbers = [int(index) for index in indexes.split(",")]
    with ThreadPoolExecutor(len(numbers)) as pool:
        context.answers = list(pool.map(lambda index: send_booking(context, index), numbers))


def booking_executions(context):
    rows = [row for node in context.fleet.nodes for row in context.fleet.executions(node)]
    return [row for row in rows if row["key"] == IDEMPOTENCY_KEY]


@when('bookings are sent through daemons "{indexes}" at once')
def send_bookings(context, indexes):
    send_bookings_at_once(context, indexes)


@when('the log is down and bookings are sent through daemons "{indexes}" at once')
def send_without_log(context, indexes):
    context.fleet.set_log_switches(outage=True)
    send_bookings_at_once(context, indexes)


@when('the log loses {count:d} answers and bookings are sent through daemons "{indexes}" at once')
def send_with_lost_answers(context, count, indexes):
    context.fleet.set_log_switches(lose_answers=count)
    send_bookings_at_once(context, indexes)


@when('the holder {index:d} of a running booking is killed and it is resent through "{indexes}"')
def kill_holder(context, index, indexes):
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(send_booking, context, index, 3_000)
        wait_until(lambda: bool(booking_executions(context)), "the booking to start")
        context.fleet.nodes[index].daemon.kill()
        with contextlib.suppress(OSError):
            running.result()
    context.answers = [send_booking(context, int(i), 3_000) for i in indexes.split(",")]


@when('a caller of daemon {index:d} disconnects and resends through "{indexes}"')
def disconnect_and_resend(context, index, indexes):
    with contextlib.suppress(OSError):
        send_booking(context, index, 1_000, timeout=0.3)
    wait_until(lambda: bool(booking_executions(context)), "the booking to start")
    context.answers = [send_booking(context, int(i), 1_000) for i in indexes.split(",")]


@then('the answers are "{answers}"')
def check_answers(context, answers):
    assert ",".join(context.answers) == answers, context.answers


@then("the booking was executed {times}")
def check_executions(context, times):
    assert len(booking_executions(context)) == {"never": 0, "once": 1}[times], booking_executions(
        context
    )
