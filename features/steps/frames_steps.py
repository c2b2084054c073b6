import asyncio
import random
from unittest import mock

from behave import then, when

from agatecross_adapters import frames
from agatecross_adapters.frames import PIECE_BYTES, FrameConnection, PrefixKind
from agatecross_core.ids import HandoverId, Millis
from agatecross_core.relay.model import Handover, RelayRequest, Repeat
from agatecross_core.states import Outcome
from agatecross_daemon.relay_messages import CancelHandover, RunHandover

WINDOW_BYTES = 40_000


class NarrowTransport(asyncio.Transport):
    """Blocks its protocol once `WINDOW_BYTES` wait; `deliver` passes them to the other end."""

    def __init__(self, sender, receiver):
        super().__init__()
        self.sender, self.receiver = sender, receiver
        self.waiting = bytearray()
        self.closed = self.half_closed = False

    def set_write_buffer_limits(self, high=None, low=None):
        assert high <= WINDOW_BYTES

    def write(self, data):
        assert not self.half_closed
        self.waiting += data
        if len(self.waiting) >= WINDOW_BYTES:
            self.sender.pause_writing()

    def write_eof(self):
        self.half_closed = True

    def get_write_buffer_size(self):
        return len(self.waiting)

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    def deliver(self, rng=None):
        while self.waiting:
            size = rng.randint(1, WINDOW_BYTES) if rng else WINDOW_BYTES
            data = bytes(self.waiting[:size])
            del self.waiting[:size]
            self.receiver.data_received(data)
            if self.sender.write_blocked and not self.waiting:
                self.sender.resume_writing()


def connect():
    arrived = []
    receiver = FrameConnection(
        lambda _: None, lambda _, frame: arrived.append(frame), lambda _: None
    )
    sender = FrameConnection(lambda _: None, lambda _, frame: None, lambda _: None)
    transport = NarrowTransport(sender, receiver)
    receiver.connection_made(NarrowTransport(receiver, sender))
    sender.connection_made(transport)
    return sender, transport, arrived


def content(name, size):
    return (name.encode() * size)[:size]


@when('a connection sends the frames "{text}" and then {end}')
def step_send(context, text, end):
    sender, transport, context.arrived = connect()
    context.sizes = {}
    for part in text.split("; "):
        name, size = part.split(":")
        if name == "close":
            sender.close_gracefully()
            continue
        send = sender.send_in_order if name.startswith("=") else sender.send
        name = name.removeprefix("=")
        context.sizes[name] = int(size)
        send(content(name, int(size)))
    if end == "closes gracefully":
        sender.close_gracefully()
    if end == "breaks":
        transport.receiver.data_received(bytes(transport.waiting))
        transport.receiver.connection_lost(ConnectionResetError())
        assert not transport.receiver.incoming
    else:
        transport.deliver()
        assert sender.unsent == 0, sender.unsent
    assert transport.half_closed == (end == "closes gracefully" or "close" in text)


@then('the other end gets the frames "{names}" whole')
def step_arrived(context, names):
    # A frame without bytes has no name in it.
    empty = next((name for name, size in context.sizes.items() if not size), "")
    found = [frame[:1].decode() or empty for frame in context.arrived]
    assert found == names.split(), found
    for name, frame in zip(found, context.arrived, strict=True):
        assert frame == content(name, context.sizes[name]), (name, len(frame))


@then("{count:d} random series of frames with seed {seed:d} arrive whole, the short ones in order")
def step_random(context, count, seed):
    rng = random.Random(seed)
    for _ in range(count):
        sender, transport, arrived = connect()
        sizes = [rng.choice((0, 1, 70, 5_000, PIECE_BYTES, 16_385, 99_000)) for _ in range(8)]
        series = [
            number.to_bytes(2, "big") + rng.randbytes(size) for number, size in enumerate(sizes)
        ]
        for frame in series:
            sender.send(frame)
            if rng.random() < 0.3:
                transport.deliver(rng)
        transport.deliver(rng)
        assert sorted(arrived) == series, [len(frame) for frame in arrived]
        short = [frame for frame in arrived if len(frame) <= PIECE_BYTES]
        assert short == sorted(short)


def prefix(kind, length):
    return (kind << 30 | length).to_bytes(4, "big")


@when("a connection receives {what}")
def step_receive(context, what):
    sender, _, context.arrived = connect()
    receiver = sender.transport.receiver
    match what:
        case "a length above the limit":
            receiver.data_received(prefix(PrefixKind.WHOLE, frames.MAX_FRAME_BYTES + 1))
        case "an unknown kind of prefix":
            receiver.data_received(prefix(3, 5) + b"abcde")
        case "a piece without the number of a frame":
            receiver.data_received(prefix(PrefixKind.LAST_PIECE, 4) + b"abcd")
        case "more incomplete frames than may wait":
            with mock.patch.object(frames, "MAX_FRAME_BYTES", 10_000):
                for number in range(3):
                    piece = number.to_bytes(4, "big") + bytes(4_000)
                    receiver.data_received(prefix(PrefixKind.PIECE, len(piece)) + piece)
    context.receiver = receiver


@then("it is closed and no frame is reported")
def step_closed(context):
    assert context.receiver.transport.is_closing()
    assert not context.arrived


def new_handover(handover_id, instance, time_left):
    headers = ((b"host", b"a.example"), (b"x-request-id", b"c%d" % handover_id))
    request = RelayRequest(b"GET", b"/safe/1", headers, b"")
    return Handover(
        handover_id,
        f"c{handover_id}",
        "r",
        "s0",
        instance,
        Repeat.SAFE,
        1,
        time_left,
        time_left,
        request,
    )


@when('a handover to upstream "{name}" is cancelled before it arrives')
def step_cancelled_early(context, name):
    exit_task = context.testbed.sidecars[int(name[1:])].exit
    context.results = []
    handover = new_handover(HandoverId(77), name, Millis(900))

    async def work():
        exit_task.mailbox.put(CancelHandover(handover.handover_id))
        exit_task.mailbox.put(
            RunHandover(handover, lambda _, result: context.results.append(result))
        )
        await asyncio.sleep(0.1)

    context.testbed.run(work())


@then('upstream "{name}" has run nothing and the handover\'s answer is "{reason}"')
def step_ran_nothing(context, name, reason):
    assert not context.testbed.upstreams[int(name[1:])].runs
    assert [row.reason.value for row in context.results] == [reason], context.results


@then('d{number:d} refuses a handover of a peer to "{name}" as "{reason}"')
def step_refuses_handover(context, number, name, reason):
    exit_task, results = context.testbed.sidecars[number].exit, []
    handover = new_handover(HandoverId(79), name, Millis(900))

    async def work():
        exit_task.mailbox.put(RunHandover(handover, lambda _, result: results.append(result)))

    context.testbed.run(work())
    found = [(row.outcome, row.reason.value) for row in results]
    assert found == [(Outcome.NOT_RUN, reason)], found
    assert not context.testbed.upstreams[int(name[1:])].runs
