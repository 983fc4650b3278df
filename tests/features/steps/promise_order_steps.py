"""Steps of the promises on orders and on a graceful shutdown."""

import threading
import uuid

from behave import given, then, when

from tests.bench.order_load import OrderLoad
from tests.promises import HEAL_LIMIT_S, SERVICE, eventually, takes_orders

ORDER_BODY = {"tonnes": 2}


def configure_orders(context, **settings):
    """Change settings of all order servers until the scenario ends."""
    for server in context.cluster.layout.servers:
        if server.startswith("refill"):
            context.cluster.upstream(server, "config", settings)


@given(
    "promise orders take {service_ms:d} ms and {percent:d}% of their replies get lost"
)
def step_order_replies_lost(context, service_ms, percent):
    ratio = percent / 100
    configure_orders(context, service_ms=service_ms, lost_reply_ratio=ratio)
    undo = {"service_ms": 5, "lost_reply_ratio": 0.0}
    context.add_cleanup(configure_orders, context, **undo)


@given("{threads:d} promise callers repeat their orders through other daemons")
def step_orders_run(context, threads):
    context.orders = OrderLoad(context.cluster, "refill", threads)
    context.add_cleanup(context.orders.stop)
    context.orders.start()


@then("some promise orders were done")
def step_orders_done(context):
    context.orders.stop()
    assert context.orders.done, context.orders.summary()


@then("promise orders were refused as not run, each time truly")
def step_true_refusals(context):
    context.orders.stop()
    assert context.orders.true_refusals(), context.orders.summary()


@given("promise daemon {number:d} finds no order server in its own region")
def step_order_server_drained(context, number):
    cluster = context.cluster
    region = cluster.daemons[number].region
    for server in cluster.layout.all_servers():
        if server.name.startswith("refill") and server.region == region:
            cluster.upstream(server.name, "config", {"draining": True})
            undo = {"draining": False}
            context.add_cleanup(cluster.upstream, server.name, "config", undo)
    eventually(lambda: takes_orders(cluster.daemons[number]))


def order_through(context, number, key, told):
    """Send one order and note what its caller was told."""
    daemon = context.cluster.daemons[number]
    try:
        reply = daemon.order(SERVICE, "refill", key, ORDER_BODY, deadline_ms=6000)
        told[key] = reply.body["outcome"]
    except OSError:
        told[key] = "cut"


def begin_orders(context, number, count):
    """Send orders through a daemon and wait until the upstreams run them.

    More orders than the daemon's shares have slots would wait for one another.
    """
    before = context.cluster.total("orders")
    context.told = {uuid.uuid4().hex: None for _ in range(count)}
    context.order_threads = [
        threading.Thread(
            target=order_through, args=(context, number, key, context.told), daemon=True
        )
        for key in context.told
    ]
    for thread in context.order_threads:
        thread.start()
    eventually(lambda: context.cluster.total("orders") >= before + count)


@when("{count:d} promise order(s) through daemon {number:d} run")
def step_orders_running(context, count, number):
    begin_orders(context, number, count)


@when("all promise daemons but {number:d} are killed")
def step_all_others_killed(context, number):
    for position, daemon in enumerate(context.cluster.daemons):
        if position != number:
            daemon.kill()


def runs_of(context, key):
    """Return how often the upstreams have run an order."""
    counters = context.cluster.upstream_counters().values()
    return sum(server["order_keys"].get(key, 0) for server in counters)


@then("the running promise orders are told as {outcome}, for they ran")
def step_told(context, outcome):
    for thread in context.order_threads:
        thread.join(HEAL_LIMIT_S)
    told = {key: (context.told[key], runs_of(context, key)) for key in context.told}
    assert set(told.values()) == {(outcome, 1)}, told


@then("repeated through promise daemon {number:d} they run no second time")
def step_repeated(context, number):
    for key in list(context.told):
        order_through(context, number, key, context.told)
    told = {key: (context.told[key], runs_of(context, key)) for key in context.told}
    assert set(told.values()) <= {("unknown", 1), ("done", 1)}, told


@when("promise daemon {number:d} is terminated")
def step_terminated(context, number):
    context.exit_status = context.cluster.daemons[number].terminate(limit_s=60)


@then("its promise process ended on its own")
def step_ended(context):
    assert context.exit_status == 0, context.exit_status


@then("no promise request was interrupted")
def step_not_interrupted(context):
    sample = context.load.stop()
    assert sample.complete, sample.summary()
    assert not sample.errors, sample.summary()
    assert not sample.failed, sample.summary()
