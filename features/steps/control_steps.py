import asyncio

from behave import given, then, when

from agatecross_adapters.control_nng import NngTransport
from agatecross_core.distribution.pulls import VersionNotice
from agatecross_core.errors import PeerError
from agatecross_core.ids import Address, Digest, Millis, Version
from agatecross_core.members.records import Member
from agatecross_core.states import MemberState

STEP_TIMEOUT_SECONDS = 30.0
SECONDS_BEFORE_CLOSE = 0.2
MEMBER = Member("d1", 1, MemberState.ALIVE, "r", "a", *(f"127.0.0.1:{n}" for n in (1, 2, 3, 4)))
NOTICE = VersionNotice(MEMBER, Version(1), Digest("x"))


async def echo(message):
    return message


async def no_answer(message):
    await asyncio.Event().wait()


class RequestLoop:
    """Repeats requests to a listener until one fails."""

    def __init__(self, address):
        self.address = address
        self.transport = NngTransport()
        self.answers = []

    async def repeat_requests(self):
        try:
            while True:
                answer = await self.transport.request(self.address, NOTICE, Millis(2_000))
                self.answers.append(answer)
        except PeerError:
            return


async def close_during_requests(handler, count):
    listener = NngTransport()
    address = await listener.listen(Address("127.0.0.1:0"), handler)
    request_loop = RequestLoop(address)
    tasks = [asyncio.ensure_future(request_loop.repeat_requests()) for _ in range(count)]
    await asyncio.sleep(SECONDS_BEFORE_CLOSE)
    closing = asyncio.ensure_future(listener.close())
    await asyncio.wait([closing], timeout=STEP_TIMEOUT_SECONDS)
    closed = closing.done()
    left = [task for task in listener.responders if not task.done()]
    while left:
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=0.1)
    await asyncio.gather(*tasks, closing)
    await request_loop.transport.close()
    return closed, request_loop.answers


@given("a control listener whose handler {handler}")
def control_listener(context, handler):
    context.handler = {"answers": echo, "does not answer": no_answer}[handler]


@when('"{peers}" with {count:d} concurrent requests and the listener closes')
def close_listener(context, count, peers):
    context.closed, context.answers = asyncio.run(close_during_requests(context.handler, count))


@then("it has closed and every answer was complete")
def check_closed(context):
    assert context.closed, "the listener waits for a responder that goes on"
    assert all(answer == NOTICE for answer in context.answers), context.answers[:3]
