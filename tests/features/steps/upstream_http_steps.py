"""Steps on the HTTP client of upstreams and the upstream stand-in."""

import contextlib
import json
import subprocess
import sys
import urllib.error
import urllib.request

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.task import deferLater

from hemlockspoke.adapters.http_upstream import HttpUpstreamClients
from hemlockspoke.clock import ReactorClock
from hemlockspoke.config.document import Server
from hemlockspoke.ports import UpstreamRequest
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor, wait_until
from tests.standins.upstream import StandIn
from tests.standins.upstream_model import part_rows

STALL_MS = 100


def sleep(duration_ms):
    return deferLater(reactor, duration_ms / 1000.0, lambda: None)


def request(number=0, parts=(0,), version=1, **fields):
    body = {"index": "bins", "version": version, "parts": list(parts), "query": {}}
    return UpstreamRequest(
        f"r{number}", body, fields.pop("remaining_ms", 2000), **fields
    )


def connect(context, address, limit):
    clients = HttpUpstreamClients(reactor, ReactorClock(reactor), STALL_MS)
    client = clients.connect(Server("up", None, address, "fd", "region"))
    client.set_limit(limit)
    context.add_cleanup(run_in_reactor, client.close)
    return client


@given("an upstream stand-in with {settings}")
def step_stand_in(context, settings):
    config = {"servers": [{"name": "up", **json.loads(settings)}]}
    context.stand_in = StandIn(reactor, STAND_IN_HOST, config)
    ports = run_in_reactor(context.stand_in.start)
    context.add_cleanup(run_in_reactor, context.stand_in.stop)
    context.server = context.stand_in.servers["up"]
    context.address = f"{STAND_IN_HOST}:{ports['servers']['up']}"
    step_client(context, 2)


@given("an upstream client with {limit:d} connections")
def step_client(context, limit):
    context.client = connect(context, context.address, limit)


@when("the upstream client queries parts 0 and 3 of version 7")
def step_query_parts(context):
    call = request(parts=[0, 3], version=7)
    context.result = run_in_reactor(context.client.query, call)


@when("the upstream client queries part 0")
def step_query_part(context):
    context.result = run_in_reactor(context.client.query, request())


@when("the upstream client sends order k1 with {remaining_ms:d} ms left")
def step_order(context, remaining_ms):
    call = request(remaining_ms=remaining_ms, idempotency_key="k1")
    context.result = run_in_reactor(context.client.order, call)


@when("the upstream client sends order k1 that may no longer be sent")
def step_order_stopped(context):
    call = request(idempotency_key="k1", may_send=lambda: False)
    context.result = run_in_reactor(context.client.order, call)


@when("the open upstream connections go silent")
def step_silence(context):
    run_in_reactor(context.server.admin, "silence", {})


@when("the upstream stand-in stops")
def step_stop(context):
    context.lost = []
    context.client.set_loss_listener(lambda: context.lost.append(True))
    run_in_reactor(context.server.stop)


async def run_with_cancels(client, total, limit):
    running = set()
    for number in range(total):
        while len(running) >= limit:
            await DeferredList(list(running), fireOnOneCallback=True)
        call = client.query(request(number))
        running.add(call)
        call.addBoth(lambda _, call=call: running.discard(call))
        if number % 3 == 0:
            reactor.callLater(0.01, call.cancel)
    await DeferredList(list(running))


@when(
    "{total:d} upstream requests run {limit:d} at a time and every third is cancelled"
)
def step_cancels(context, total, limit):
    run_in_reactor(
        lambda: ensureDeferred(run_with_cancels(context.client, total, limit))
    )


@when("an upstream request is cancelled after it has started")
def step_cancel(context):
    model = context.server.model

    async def run():
        call = context.client.query(request())
        while not model.running:
            await sleep(2)
        call.cancel()
        context.open_after_cancel = context.client.open_connections()
        result = await call
        return result, model.running

    context.result, context.running_at_end = run_in_reactor(
        lambda: ensureDeferred(run())
    )


@when("{count:d} upstream queries are sent at once")
def step_concurrent_queries(context, count):
    def send():
        calls = [request(n, remaining_ms=300) for n in range(count)]
        return DeferredList([context.client.query(call) for call in calls])

    run_in_reactor(send)


@then("the upstream rows are those of version {version:d}")
def step_rows(context, version):
    reply = context.result.ok
    assert reply.version == version
    for part, rows in reply.parts.items():
        assert rows == part_rows("bins", version, int(part), 3), rows


@then("the upstream error is {kind}, {sent}")
def step_error(context, kind, sent):
    error = context.result.error
    assert error.kind.value == kind, error
    assert error.sent == (sent == "sent"), error


@then("the upstream error lists version 8")
def step_lists(context):
    assert list(context.result.error.indexes["bins"]) == ["8"]


@then("the upstream counts {amount:d} {name}")
def step_counts(context, amount, name):
    counters = run_in_reactor(context.server.counters)
    assert counters[name] == amount, counters


@then("the upstream has seen at least {amount:d} cancellations")
def step_cancellations(context, amount):
    assert context.server.counters()["cancellations"] >= amount


@then("the upstream has run {amount:d} orders")
def step_orders(context, amount):
    assert context.server.counters()["orders"] == amount


@then("the upstream had no request running when the cancelled one ended")
def step_free(context):
    assert context.running_at_end == 0


@then("the upstream connection was counted until then")
def step_counted(context):
    assert context.open_after_cancel == 1


@then("the upstream client reports a lost idle connection")
def step_lost(context):
    wait_until(lambda: context.lost)


@given("an upstream stand-in process with 2 servers")
def step_process(context):
    config = json.dumps({"servers": [{"name": "a"}, {"name": "b"}]})
    command = [sys.executable, "-m", "tests.standins.upstream", "--config-json", config]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.add_cleanup(process.wait)
    context.add_cleanup(process.stdout.close)
    context.add_cleanup(process.terminate)
    context.ports = json.loads(process.stdout.readline())


@then("both servers of the upstream stand-in process answer")
def step_process_answers(context):
    for name, port in context.ports["servers"].items():
        client = connect(context, f"127.0.0.1:{port}", 1)
        assert run_in_reactor(client.query, request()).is_ok(), name
    url = f"http://127.0.0.1:{context.ports['admin']}/admin/counters"
    with urllib.request.urlopen(url, timeout=5) as reply:
        counters = json.load(reply)
    assert [counters[name]["queries"] for name in ("a", "b")] == [1, 1]


@when('another program reads "{path}" from the upstream')
def step_foreign_call(context, path):
    with contextlib.suppress(urllib.error.HTTPError):
        urllib.request.urlopen(f"http://{context.address}{path}", timeout=5)


@then("the upstream has seen {count:d} foreign requests and {violations:d} violations")
def step_foreign_requests(context, count, violations):
    counters = run_in_reactor(context.server.counters)
    assert counters["foreign_requests"] == count, counters
    assert counters["violations"] == violations, counters
