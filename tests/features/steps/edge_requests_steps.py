"""Steps on requests through the daemons of a platform in one process."""

import time

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from hemlockspoke.address import Address
from hemlockspoke.http1.connection import Exchange
from hemlockspoke.http1.messages import encode_request
from hemlockspoke.http1.pool import ConnectionPool
from hemlockspoke.tier.sending.merge import split_records
from tests.platform_world import HOST, PlatformWorld
from tests.reactor_thread import run_in_reactor, wait_until


@given('a platform with {shards:d} shards and the daemon "{vm}" in "{domain}"')
def step_platform(context, shards, vm, domain):
    context.world = PlatformWorld(shards=shards)
    context.add_cleanup(context.world.stop)
    context.world.add_daemon(vm, domain)
    context.world.wait_ready(vm)
    context.attempts = 0


def next_attempt_id(context):
    context.attempts += 1
    return f"attempt{context.attempts}"


def send(context, vm, target, **options):
    context.attempt = next_attempt_id(context)
    context.sent_s = time.monotonic()
    context.reply = context.world.request(vm, target, context.attempt, **options)
    context.elapsed_ms = (time.monotonic() - context.sent_s) * 1000
    return context.reply


def item_servers(context):
    return [context.world.servers[f"item-{domain}"] for domain in ("a1", "b1")]


@given('both servers of shard {shard:d} are "{behaviour}"')
def step_shard(context, shard, behaviour):
    for domain in ("a1", "b1"):
        context.world.servers[f"s{shard}-{domain}"].behaviour = behaviour


@given('the server "{server}" is "{behaviour}"')
@when('the server "{server}" is now "{behaviour}"')
def step_server(context, server, behaviour):
    context.world.servers[server].behaviour = behaviour


@given('every server of items is "{behaviour}"')
def step_items(context, behaviour):
    for server in item_servers(context):
        server.behaviour = behaviour


@given("the configuration gives requests {timeout_ms:d} ms")
def step_timeout(context, timeout_ms):
    context.world.route_fields["timeout_ms"] = timeout_ms
    context.world.configure()
    version = context.world.version
    daemon = context.world.daemons["e1"]
    wait_until(lambda: daemon.directory.routing.version == version)


@given('the entry of "{server}" holds the address of "{other}"')
def step_reuse_address(context, server, other):
    world = context.world
    address = world.servers[other].address
    world.put("servers", server, world.servers[server].entry(address=address))
    daemon = world.daemons["e1"]
    wait_until(lambda: str(daemon.directory.servers[server].entry.address) == address)


@when('a caller sends a query to "{vm}"')
def step_query(context, vm):
    send(context, vm, "/query/a?page=2")


@when('a caller sends an item request to "{vm}"')
def step_item(context, vm):
    send(context, vm, "/item/a")


@when('a caller that waits {budget_ms:d} ms sends an item request to "{vm}"')
def step_item_with_budget(context, budget_ms, vm):
    send(context, vm, "/item/a", budget_ms=budget_ms)


@when('a caller sends {count:d} item requests to "{vm}"')
def step_items_sent(context, count, vm):
    context.replies = []
    for _ in range(count):
        send(context, vm, "/item/a")
        context.replies.append((context.attempt, context.reply))


@when('a caller sends an order to "{vm}"')
def step_order(context, vm):
    send(context, vm, "/order/a", method=b"POST", body=b"two tonnes")


@when('a caller sends {count:d} orders to "{vm}"')
def step_orders(context, count, vm):
    context.replies = []
    for _ in range(count):
        step_order(context, vm)
        context.replies.append((context.attempt, context.reply))


@when('a caller sends a body of {size:d} B to "{vm}"')
def step_long_body(context, size, vm):
    send(context, vm, "/order/a", method=b"POST", body=b"x" * size)


@when('a caller sends a header of {size:d} B to "{vm}"')
def step_long_header(context, size, vm):
    send(context, vm, "/item/a", extra=[(b"X-Long", b"x" * size)])


@when('a caller sends a path without route to "{vm}"')
def step_no_route(context, vm):
    send(context, vm, "/unknown/a")


class CallerProtocol(Protocol):
    """A caller's connection that sends one request."""

    data = b""

    def connectionMade(self):
        self.transport.write(self.data)


def send_and_disconnect(context, vm, target, servers, condition):
    """Send a request; disconnect once ``condition``, any or all, of servers run it."""
    host, ports = context.world.addresses[vm]
    protocol = CallerProtocol()
    protocol.data = (
        f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        "X-Hemlockspoke-Attempt-Id: leaving\r\n"
        "X-Hemlockspoke-Deadline-Ms: 1500\r\n\r\n"
    ).encode()
    endpoint = TCP4ClientEndpoint(reactor, host, ports["frontend"])
    run_in_reactor(connectProtocol, endpoint, protocol)
    wait_until(
        lambda: condition(len(server.executed_attempts) > 0 for server in servers)
    )
    run_in_reactor(protocol.transport.loseConnection)


def check_cancelled(servers):
    # Servers must stop their work within half a second after the caller disconnects.
    wait_until(
        lambda: all(
            server.cancelled == len(server.executed_attempts) for server in servers
        ),
        timeout_s=0.5,
    )


@when('a caller sends an item request to "{vm}" and disconnects')
def step_disconnect(context, vm):
    send_and_disconnect(context, vm, "/item/a", item_servers(context), any)


@then("the servers see their requests cancelled")
def step_cancelled(context):
    check_cancelled(item_servers(context))


@then("it gets {status:d} with {count:d} proofs and {missing:d} parts missing")
def step_gathered(context, status, count, missing):
    reply = context.reply
    assert reply.status == status, (reply.status, reply.body)
    proofs = reply.headers["x-hemlockspoke-part-stamps"].split(b", ")
    assert len(proofs) == len(set(proofs)) == count, proofs
    attempt = context.attempt.encode()
    assert all(proof.endswith(b"." + attempt) for proof in proofs), proofs
    assert reply.headers["x-hemlockspoke-parts-missing"] == b"%d" % missing


def greatest_records_of(context, shards):
    bodies = [context.world.servers[f"s{shard}-a1"].body for shard in shards]
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(sorted(records, reverse=True)[:5])


@then("the body holds the 5 greatest records of the 3 shards")
def step_body(context):
    assert context.reply.body == greatest_records_of(context, [0, 1, 2])


@then("the body holds the 5 greatest records of the other 2 shards")
def step_body_partial(context):
    assert context.reply.body == greatest_records_of(context, [1, 2])


@then("it gets {status:d} without a proof")
def step_status(context, status):
    reply = context.reply
    assert reply.status == status, (reply.status, reply.body)
    assert not any("stamp" in name for name in reply.headers)


@then("it gets {status:d} without a not-run promise")
def step_no_promise(context, status):
    step_status(context, status)
    assert status not in (408, 421, 429, 503)


@then("it gets {status:d} within {limit_ms:d} ms")
def step_within(context, status, limit_ms):
    step_status(context, status)
    assert context.elapsed_ms < limit_ms, context.elapsed_ms


@then("the answer has come within {limit_ms:d} ms")
def step_answered_within(context, limit_ms):
    assert context.elapsed_ms < limit_ms, context.elapsed_ms


@then("it gets 503 with a retry time")
def step_retry_time(context):
    step_status(context, 503)
    assert 0 < float(context.reply.headers["retry-after"]) < 1.5 / 3


@then("it gets 200 with the proof and the body of one server")
def step_unchanged(context):
    reply = context.reply
    assert reply.status == 200, (reply.status, reply.body)
    proof = reply.headers["x-hemlockspoke-server-stamp"].decode()
    server = context.world.servers[proof.split(".")[0]]
    assert proof.endswith("." + context.attempt)
    assert reply.body == server.body


@then("each gets 200 with a proof for its own attempt")
def step_own_proofs(context):
    for attempt, reply in context.replies:
        assert reply.status == 200, (reply.status, reply.body)
        proof = reply.headers["x-hemlockspoke-server-stamp"].decode()
        assert proof.endswith("." + attempt), (proof, attempt)
        assert reply.body == context.world.servers[proof.split(".")[0]].body


@then("it gets 200 with a proof for its own attempt")
def step_own_proof(context):
    context.replies = [(context.attempt, context.reply)]
    step_own_proofs(context)


@then("exactly {count:d} order has run")
@then("exactly {count:d} orders have run")
def step_runs(context, count):
    runs = [run for server in item_servers(context) for run in server.executed_attempts]
    assert len(runs) == count, runs


@then('"{server}" has run nothing')
def step_has_run_nothing(context, server):
    assert context.world.servers[server].executed_attempts == []


@then("no server got a deadline of more than {limit_ms:d} ms")
def step_deadline(context, limit_ms):
    deadlines_ms = [
        ms for server in item_servers(context) for ms in server.deadlines_ms
    ]
    assert deadlines_ms and max(deadlines_ms) <= limit_ms, deadlines_ms


@then("no server of shard {shard:d} has got it more than {count:d} times")
def step_arrivals(context, shard, count):
    for domain in ("a1", "b1"):
        server = context.world.servers[f"s{shard}-{domain}"]
        assert len(server.received_attempts) <= count, server.received_attempts


@then("no answer to it belongs to another request")
def step_own_order(context):
    reply = context.reply
    if reply.status == 200:
        proof = reply.headers["x-hemlockspoke-server-stamp"].decode()
        assert proof.endswith("." + context.attempt), (proof, context.attempt)
    else:
        step_no_promise(context, 502)


@when('a caller sends an item request to "{vm}", whose servers leave meanwhile')
def step_servers_leave(context, vm):
    servers = context.world.daemons[vm].directory.servers

    def close_pools():
        for server in item_servers(context):
            servers[server.server_id].pool.close_gracefully()

    run_in_reactor(reactor.callLater, 0.1, close_pools)
    send(context, vm, "/item/a")


@then('"{vm}" keeps no connection to the servers of items')
def step_no_connections(context, vm):
    wait_until(lambda: not any(s.site.channels for s in item_servers(context)))


@given('a pool of {limit:d} connections to the server "{server}"')
@given('a pool of {limit:d} connection to the server "{server}"')
def step_pool(context, limit, server):
    world = context.world
    address = Address.parse(world.servers[server].address)
    context.pool = ConnectionPool(reactor, world.clock, address, limit)
    context.add_cleanup(run_in_reactor, context.pool.close_gracefully)
    context.pool_server = world.servers[server]


@when("a request is sent on the pool, and another one that avoids its connection")
def step_avoiding_request(context):
    context.exchanges, context.responses = [], []
    context.most_open = 0
    run_in_reactor(submit_to_pool, context)
    wait_until(lambda: len(context.responses) == 1)
    avoided = (context.exchanges[0].connection,)
    run_in_reactor(lambda: submit_to_pool(context, avoided=avoided))
    wait_until(lambda: len(context.responses) == 2)


def submit_to_pool(context, attempt=b"pooled", **options):
    """Send a request on the pool; its end is added to ``context.responses``."""
    headers = [
        (b"X-Hemlockspoke-Attempt-Id", attempt),
        (b"X-Hemlockspoke-Deadline-Ms", b"1500"),
        (b"X-Hemlockspoke-Expect-Instance", context.pool_server.server_id.encode()),
    ]
    data = encode_request(b"GET", b"/item/a", headers, b"")

    def is_own(response):
        exchange.unidentified = response.header(b"x-hemlockspoke-attempt-id") is None
        return True

    exchange = Exchange(
        lambda: data,
        context.responses.append,
        lambda failure, detail: context.responses.append(detail),
        is_own=is_own,
        **options,
    )
    context.exchanges.append(exchange)
    pool = context.pool
    pool.submit(exchange)
    context.most_open = max(context.most_open, len(pool._open) + pool._connecting)


@when("{count:d} orders on the pool are refused, and are sent again at once")
def step_orders_on_pool(context, count):
    context.exchanges, context.responses = [], []
    context.most_open = 0

    # Far longer than a pause of the test process.
    context.pool_server.work_ms = 500
    attempts = [f"order{number}".encode() for number in range(count)]

    def submit_all():
        for attempt in attempts * 2:
            submit_to_pool(context, attempt, at_most_once=True)

    run_in_reactor(submit_all)
    wait_until(lambda: len(context.responses) == 2 * count)


@then("both are answered by the server at the same time")
def step_same_time(context):
    statuses = [response.status for response in context.responses]
    assert statuses == [503, 503, 200, 200], statuses
    work_s = context.pool_server.work_s.values()
    assert max(start for start, _ in work_s) < min(end for _, end in work_s), work_s


@then("both are answered, the second on a new connection")
def step_both_answered(context):
    assert [response.status for response in context.responses] == [200, 200]
    first, second = context.exchanges
    assert first.connection is not second.connection


@then("the pool never had more than {limit:d} connection open")
def step_pool_limit(context, limit):
    assert context.most_open <= limit, context.most_open
