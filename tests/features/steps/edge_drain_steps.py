"""Steps on requests that wait for a connection while their server leaves."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tests.reactor_thread import run_in_reactor, wait_until

MAX_CONNECTIONS = 2
ORDER_BUDGET_MS = 6000


def tracked(context, server_id):
    return context.world.daemons["e1"].directory.servers[server_id]


@given("servers of items that take {work_ms:d} ms and accept few connections")
def step_few_connections(context, work_ms):
    world = context.world
    world.route_fields["max_attempts"] = 1
    services = world.configuration()["services"]
    for service in services:
        service["max_connections"] = MAX_CONNECTIONS
    world.configure(services=services)
    for domain in ("a1", "b1"):
        world.servers[f"item-{domain}"].work_ms = work_ms
    wait_until(lambda: tracked(context, "item-b1").pool.limit <= MAX_CONNECTIONS)


@given('the server "{server}" has left')
def step_has_left(context, server):
    context.world.remove("servers", server)
    servers = context.world.daemons["e1"].directory.servers
    wait_until(lambda: server not in servers, timeout_s=8)


@when('{count:d} orders to "{vm}" wait for connections to "{server}"')
def step_waiting_orders(context, count, vm, server):
    executor = ThreadPoolExecutor(count)
    context.add_cleanup(executor.shutdown)
    context.orders = {
        f"order{number}": executor.submit(send_order, context, vm, f"order{number}")
        for number in range(count)
    }
    wait_until(lambda: tracked(context, server).pool._waiting)


def send_order(context, vm, attempt):
    """Return the reply to an order and when it came."""
    reply = context.world.request(
        vm, "/order/a", attempt, b"POST", b"two tonnes", ORDER_BUDGET_MS
    )
    return reply, time.monotonic()


@when('the server "{server_id}" starts to drain')
def step_drain(context, server_id):
    server = context.world.servers[server_id]
    context.world.put("servers", server_id, server.entry("draining"))
    context.changed_s = time.monotonic()


@when('the server "{server_id}" loses its entry')
def step_remove(context, server_id):
    context.world.remove("servers", server_id)
    context.changed_s = time.monotonic()


@when('the server "{server_id}" has its failure domain taken out')
def step_domain_out(context, server_id):
    domain = context.world.servers[server_id].domain
    context.world.put("evacuations", domain, {})
    context.changed_s = time.monotonic()


@then('no request reaches "{server_id}" later than {limit_ms:d} ms after that')
def step_nothing_late(context, server_id, limit_ms):
    received = context.world.servers[server_id].received_attempts
    time.sleep(max(0.0, context.changed_s + limit_ms / 1000 - time.monotonic()))
    count = run_in_reactor(lambda: len(received))
    for order in context.orders.values():
        order.result(timeout=10)
    assert len(received) == count, received[count:]


@then("every order is answered with status {status:d} and has run once")
def step_all_answered(context, status):
    statuses = [order.result()[0].status for order in context.orders.values()]
    assert statuses == [status] * len(statuses), statuses
    runs = executed(context)
    assert sorted(runs) == sorted(context.orders), runs


def executed(context):
    return [
        attempt.decode()
        for server in context.world.servers.values()
        for attempt in server.executed_attempts
    ]


@then("the orders that it has not got are refused within {limit_ms:d} ms after that")
def step_refused_early(context, limit_ms):
    runs = executed(context)
    replies = {
        attempt: order.result()
        for attempt, order in context.orders.items()
        if attempt not in runs
    }
    assert len(replies) >= 4, replies
    for reply, at_s in replies.values():
        assert reply.status == 503, reply.status
        assert (at_s - context.changed_s) * 1000 <= limit_ms


@then("no order that was refused has reached a server")
def step_refused_not_sent(context):
    refused = {
        attempt
        for attempt, order in context.orders.items()
        if order.result()[0].status == 503
    }
    assert not refused & set(executed(context))
