import asyncio
from dataclasses import replace

from behave import then, when
from frames_steps import new_handover
from http_steps import RawServer
from upstream_answers_steps import BODY, FIELDS, read_head, with_upstream

from agatecross_adapters.hop_codec import decode_hop_message, encode_hop_message
from agatecross_adapters.hop_messages import Result
from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.upstream_connection import UpstreamFailure
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError, ExchangeTimeoutError
from agatecross_core.ids import HandoverId, Millis
from agatecross_core.relay.model import RelayResponse, RelayResult
from agatecross_core.states import Outcome

TIMEOUT = Millis(5_000)
FRAMINGS = {
    "a length": b"content-length: 12\r\n\r\n" + BODY,
    "chunks": b"transfer-encoding: chunked\r\n\r\nc\r\n" + BODY + b"\r\n0\r\n\r\n",
    "no length": b"\r\n" + BODY,
}


def answer_with(status, framing, fields=FIELDS):
    return b"HTTP/1.1 %s X\r\n%s%s" % (status.encode(), fields, FRAMINGS[framing])


async def exchange_with_status(method, status, framing):
    opened = []

    async def serve(reader, writer):
        opened.append(writer)
        call_id = await read_head(reader)
        fields = FIELDS + b"x-request-id: %s\r\n" % call_id
        writer.write(answer_with(status, framing, fields))
        await reader.read()

    async def work(pool):
        done = asyncio.get_running_loop().create_future()
        handover = new_handover(HandoverId(1), "u0", TIMEOUT)
        request = replace(handover.request, method=method.encode())
        pool.send(replace(handover, request=request), TIMEOUT, done.set_result)
        result = await asyncio.wait_for(done, TIMEOUT / 1000)
        await asyncio.sleep(0)
        return result, [connection for connection in pool.idle if connection.reusable]

    return await with_upstream(serve, work)


@when('an upstream answers "{method}" with status "{status}" and {framing}')
def step_answers(context, method, status, framing):
    try:
        context.found = asyncio.run(exchange_with_status(method, status, framing))
    except TimeoutError:
        context.found = ("no result", [])


@then("the exchange has failed as malformed and its connection is not used again")
def step_malformed(context):
    assert context.found == (UpstreamFailure.MALFORMED, []), context.found


@when('upstream "{name}" answers its next request with status "{status}"')
def step_next_status(context, name, status):
    # Like the stand-in's own garbled answer, it needs no request id on a new connection.
    context.testbed.upstreams[int(name[1:])].queue_answers([answer_with(status, "a length")])


async def client_exchange(method, status, framing):
    async def answer(server, writer):
        writer.write(answer_with(status, framing))

    async with RawServer(answer) as server:
        client = TornadoHttpClient()
        try:
            found = await client.send(server.address, Request(method, "/", (), b""), TIMEOUT)
        except ExchangeError as error:
            found = error
        idle = [stream for streams in client.idle.values() for stream in streams]
        client.close()
        return found, idle


@when('a server answers "{method}" with status "{status}" and {framing}')
def step_server_answers(context, method, status, framing):
    context.found = asyncio.run(client_exchange(method, status, framing))


@then("the client's exchange has failed and its connection is not used again")
def step_client_failed(context):
    found, idle = context.found
    failed = isinstance(found, ExchangeError) and not isinstance(found, ExchangeTimeoutError)
    assert failed and not idle, context.found


@when('a peer reports a result with status "{status:d}"')
def step_peer_reports(context, status):
    response = RelayResponse(status, (), b"body")
    result = RelayResult(Outcome.RAN, None, response, True, 0, 0, Millis(0))
    context.found = decode_hop_message(encode_hop_message(Result(HandoverId(1), result)))


@then('it is decoded as a response "{found}"')
def step_decoded(context, found):
    result = context.found.result
    assert (result.response is not None) == (found == "yes"), result
    assert result.outcome is (Outcome.RAN if found == "yes" else Outcome.UNKNOWN), result
