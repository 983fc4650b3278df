"""Steps on answers of servers that are cut off or never end."""

import resource
import sys

from behave import given, then, when
from expression import Result
from hypothesis import given as for_all
from hypothesis import strategies as st
from twisted.internet import reactor

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.address import Address
from hemlockspoke.clock import ReactorClock
from hemlockspoke.http1.connection import Exchange, ExchangeFailure
from hemlockspoke.http1.messages import encode_request, encode_response
from hemlockspoke.http1.pool import ConnectionPool
from hemlockspoke.http1.response_parser import ResponseParser
from tests.features.steps.upstream_http_steps import connect, request
from tests.reactor_thread import run_in_reactor, wait_until
from tests.standins.raw_server import (
    CHUNKED,
    ENDLESS,
    OK_HEAD,
    WRITE_BYTES,
    RawServer,
)

MAX_FED_BYTES = 16 * 1024 * 1024


def raw_server(context, head, filler=b""):
    server = run_in_reactor(RawServer, reactor, head, filler)
    context.add_cleanup(run_in_reactor, server.stop)
    return server


@given("an answer that has {name} without end")
def step_endless(context, name):
    context.head, context.filler = ENDLESS[name]


@when("its bytes are parsed as they arrive")
def step_parse(context):
    parser = ResponseParser()
    data = context.filler * (WRITE_BYTES // len(context.filler))
    parser.feed(context.head)
    context.fed_bytes = len(context.head)
    while not parser.malformed and context.fed_bytes < MAX_FED_BYTES:
        parser.feed(data)
        context.fed_bytes += len(data)
    context.parser = parser


@then("they are malformed after at most {limit_bytes:d} bytes")
def step_malformed(context, limit_bytes):
    assert context.parser.malformed and context.parser.response is None
    assert context.fed_bytes <= limit_bytes, context.fed_bytes


@then("an answer with status 101 is malformed")
def step_upgrade(context):
    parser = ResponseParser()
    parser.feed(
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    )
    parser.feed(encode_response(200, [], b"other protocol", close=False))
    assert parser.malformed and parser.response is None


@then("an answer with status {status} and a body, before one with 200, is malformed")
def step_interim_body(context, status):
    interim = b"HTTP/1.1 %s X\r\nContent-Length: 7\r\n\r\ninterim" % status.encode()
    for cut in range(len(interim) + 1):
        parser = ResponseParser()
        parser.feed(interim[:cut])
        parser.feed(interim[cut:] + encode_response(200, [], b"body", close=False))
        assert parser.malformed and parser.response is None, (cut, parser.response)


@then("no beginning of a framed answer is complete, cut at any byte")
def step_prefixes(context):
    answers = [
        encode_response(200, [(b"X-A", b"1")], b"0123456789" * 3, close=False),
        CHUNKED + b"4;ext\r\nabcd\r\n2\r\nef\r\n0\r\nX-Trailer: 1\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + encode_response(200, [], b"ab", close=True),
    ]
    for data in answers:
        for length in range(len(data)):
            assert cut_answer(data[:length]) is None, data[:length]
        assert cut_answer(data) is not None, data


@then("an answer without a length is complete only if its head is whole")
def step_unframed_prefixes(context):
    head = OK_HEAD + b"X-A: 1\r\nConnection: close\r\n\r\n"

    @for_all(st.binary(max_size=40))
    def check(body):
        data = head + body
        for length in range(len(data)):
            response = cut_answer(data[:length])
            assert (response is not None) == (length >= len(head)), data[:length]

    check()


def cut_answer(data):
    parser = ResponseParser()
    parser.feed(data)
    parser.end()
    return parser.response


@given('the server "{server_id}" sends {name} without end')
def step_endless_server(context, server_id, name):
    world = context.world
    server = raw_server(context, *ENDLESS[name])
    context.endless = [*getattr(context, "endless", []), server]
    entry = world.servers[server_id].entry(address=server.address)
    world.put("servers", server_id, entry)
    directory = world.daemons["e1"].directory
    wait_until(
        lambda: str(directory.servers[server_id].entry.address) == server.address
    )
    context.replies = []


@then("the daemon has closed its connections to that server")
def step_closed(context):
    context.replies.append((context.attempt, context.reply))
    server = context.endless[0]
    assert server.request_count
    wait_until(lambda: not server.open_connections)


@then("{count:d} server has received it")
def step_received(context, count):
    assert sum(server.request_count for server in context.endless) == count


@given("{count:d} connections to servers that send {name} without end")
def step_many(context, count, name):
    server = raw_server(context, *ENDLESS[name])
    context.before_bytes = peak_bytes()
    address = Address.parse(server.address)
    context.outcomes = []
    data = encode_request(b"GET", b"/", [(b"Host", b"h")], b"")

    def submit():
        pool = ConnectionPool(reactor, ReactorClock(reactor), address, count)
        for _ in range(count):
            pool.submit(
                Exchange(
                    lambda: data,
                    context.outcomes.append,
                    lambda failure, _: context.outcomes.append(failure),
                )
            )

    context.count = count
    run_in_reactor(submit)


@when("all of them have been cut")
def step_all_cut(context):
    wait_until(lambda: len(context.outcomes) == context.count, timeout_s=30)
    assert set(context.outcomes) == {ExchangeFailure.MALFORMED}, context.outcomes


@then("the process holds at most {limit_mb:d} MB more than before")
def step_memory(context, limit_mb):
    more_bytes = peak_bytes() - context.before_bytes
    assert more_bytes <= limit_mb * 1024 * 1024, more_bytes


def peak_bytes():
    unit = 1 if sys.platform == "darwin" else 1024
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * unit


@given("an upstream that sends {name} without end")
def step_endless_upstream(context, name):
    context.upstream = raw_server(context, *ENDLESS[name])
    context.client = connect(context, context.upstream.address, 1)


@then("the upstream has sent at most {limit_mb:d} MB")
def step_upstream_sent(context, limit_mb):
    assert context.upstream.sent_bytes <= limit_mb * 1024 * 1024


@given("replies of an upstream that are cut at each byte of their head")
def step_cut_replies(context):
    body = b'{"incarnation": 1, "version": 1, "parts": {}}'
    data = encode_response(200, [(b"X-A", b"1")], body, close=False)
    context.results = []
    for length in range(data.index(b"\r\n\r\n") + 4):
        server = raw_server(context, data[:length])
        client = connect(context, server.address, 1)
        call = request(remaining_ms=1000)
        context.results.append(run_in_reactor(client.query, call))


@then("the upstream client reports each of them as {kind}, sent")
def step_all_reported(context, kind):
    for result in context.results:
        assert isinstance(result, Result) and result.is_error(), result
        assert result.error.kind.value == kind and result.error.sent, result.error


@given("replies to the command line that are cut at each byte")
def step_cut_command_replies(context):
    context.whole = encode_response(
        200, [(b"X-A", b"1")], b'{"outcome": "done"}', close=False
    )
    context.taken = []
    for length in range(len(context.whole)):
        reply = command_line_reply(context, context.whole[:length])
        if reply is not None:
            context.taken.append((length, reply.status, reply.body))


def command_line_reply(context, data):
    address = Address.parse(raw_server(context, data).address)
    try:
        return exchange(address, "POST", "/", timeout_ms=2000, body={})
    except NoReply as error:
        assert error.sent
        return None


@then("the command line takes none of them for a reply")
def step_none_taken(context):
    assert not context.taken, context.taken


@then("it takes the whole reply")
def step_whole_taken(context):
    reply = command_line_reply(context, context.whole)
    assert reply.status == 200 and reply.body == {"outcome": "done"}
