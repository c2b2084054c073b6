import asyncio
from collections import Counter
from unittest import mock

from behave import given, then, when
from platform_steps import poll_until, start_testbed

from agatecross_adapters.frames import FrameConnection
from agatecross_adapters.hop_codec import decode_hop_message, encode_hop_message
from agatecross_adapters.hop_messages import Announce, Result
from agatecross_core.ids import Millis
from agatecross_daemon.mailbox import monotonic_ms

HELD = "held"
HELD_MS = 150
# Later than the time limit of any caller here.
NEVER_MS = 60_000


def announced(testbed):
    return [row for sidecar in testbed.sidecars for row in sidecar.peers.inbound.announced]


def request_bytes(line, number, size):
    head = (
        f"{line} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: t{number}\r\n"
        f"X-Deadline-Ms: 20000\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + b"b" * size


async def open_caller(testbed, daemon, data):
    host, _, port = testbed.sidecars[daemon].settings.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    return reader, writer


async def read_status(reader, writer):
    line = await asyncio.wait_for(reader.readline(), 30)
    writer.close()
    return int(line.split()[1])


def take_turn(testbed, overdue_after):
    """Let a request be on its way to every daemon that should arrive after HELD_MS."""
    now = monotonic_ms()
    for sidecar in testbed.sidecars:
        inbound = sidecar.peers.inbound
        inbound.announced[HELD] = (None, None)
        inbound.turns.invited = HELD
        inbound.turns.link_free_at = Millis(now + HELD_MS)
        inbound.turns.overdue_at = Millis(now + overdue_after)


def end_turn(testbed):
    for sidecar in testbed.sidecars:
        sidecar.peers.inbound._end_turn(HELD, monotonic_ms())


def announced_besides(testbed):
    return set(announced(testbed)) - {HELD}


@given("a platform fleet on links of {rate:d} Mbit/s")
def step_fleet(context, rate):
    start_testbed(context, False, 30, rate)


@when('a caller of d1 sends "{line}" with {size:d} bytes while a turn is taken, and {event}')
def step_send(context, line, size, event):
    testbed = context.testbed

    async def work():
        take_turn(testbed, NEVER_MS if event == "it arrives" else HELD_MS)
        reader, writer = await open_caller(testbed, 1, request_bytes(line, 1, size))
        await poll_until(lambda: announced_besides(testbed), "an announcement")
        match event:
            case "it arrives":
                end_turn(testbed)
            case "the links of d1 break":
                for link in testbed.sidecars[1].peers.links.values():
                    link.connection.abort()
            case "the caller leaves":
                writer.close()
                await poll_until(
                    lambda: not announced_besides(testbed), "the end of the announcement"
                )
                await asyncio.sleep(2 * HELD_MS / 1000)
                return None
            case "d0 and d2 are killed":
                await testbed.kill_daemon(0)
                await testbed.kill_daemon(2)
        return await read_status(reader, writer)

    context.status = testbed.run(work())


@then("the caller's status is {status} and the upstreams ran {runs:d} requests with {size:d} bytes")
def step_status(context, status, runs, size):
    assert str(context.status or "none") == status, context.status
    bodies = [row[":body"] for u in context.testbed.upstreams for row in u.received_requests]
    assert [len(body) for body in bodies] == [size] * runs, [len(body) for body in bodies]


@then("no announcement is left")
def step_none_left(context):
    assert not announced_besides(context.testbed)
    waiting = [sidecar.peers.inbound.turns.waiting for sidecar in context.testbed.sidecars]
    assert not any(waiting), waiting


@when("callers of d1 send {count:d} requests of {size:d} bytes at once")
def step_send_many(context, count, size):
    testbed = context.testbed
    context.count = count
    turns = [sidecar.peers.inbound.turns for sidecar in testbed.sidecars]
    context.spies = [mock.Mock(wraps=row.announce) for row in turns]

    async def work():
        for row, spy in zip(turns, context.spies, strict=True):
            row.announce = spy
        callers = [
            await open_caller(testbed, 1, request_bytes("POST /once/1", number, size))
            for number in range(count)
        ]
        return await asyncio.gather(*(read_status(*caller) for caller in callers))

    context.statuses = testbed.run(work())


@then("all are answered 200, {which} after it was announced, and ran once")
def step_all_served(context, which):
    assert context.statuses == [200] * context.count, context.statuses
    calls = [call for spy in context.spies for call in spy.call_args_list]
    assert len(calls) == (context.count if which == "each" else 0), calls
    runs = sum((upstream.runs for upstream in context.testbed.upstreams), Counter())
    assert sorted(runs.values()) == [1] * context.count, runs


@when("a peer announces {count:d} requests to d{number:d} and sends none")
def step_announce_without_end(context, count, number):
    testbed, context.answers = context.testbed, []

    def add_answer(_, frame):
        context.answers.append(decode_hop_message(frame))

    async def work():
        host, _, port = testbed.sidecars[number].settings.peers.rpartition(":")
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(lambda _: None, add_answer, lambda _: None), host, int(port)
        )
        for handover_id in range(count):
            message = Announce(handover_id, f"c{handover_id}", 0, Millis(2**40), Millis(2**40))
            connection.send(encode_hop_message(message))
        await poll_until(lambda: len(context.answers) >= count - 1024, "the refusals")
        context.held = len(announced(testbed))
        connection.abort()

    testbed.run(work())


@then("d{number:d} holds {held:d} announcements and refused {refused:d}")
def step_bounded(context, number, held, refused):
    refusals = [row for row in context.answers if isinstance(row, Result)]
    assert (context.held, len(refusals)) == (held, refused), (context.held, len(refusals))


@then("a caller of d{number:d} gets 200")
def step_still_serves(context, number):
    assert context.testbed.run(context.testbed.send(number, "GET /safe/1")).status == 200
