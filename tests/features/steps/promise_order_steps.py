"""Steps of the promise features for orders and graceful shutdown."""

import threading
import uuid

from behave import given, then, when

from tests.bench.order_load import OrderLoad
from tests.promises import RECOVERY_TIMEOUT_S, SERVICE, accepts_orders, eventually

ORDER_BODY = {"tonnes": 2}


def configure_orders(context, **settings):
    """Change settings of all order servers until the scenario ends."""
    for server in context.cluster.layout.servers:
        if server.startswith("refill"):
            context.cluster.upstream(server, "config", settings)


@given(
    "cluster orders take {service_ms:d} ms and {percent:d}% of their replies are lost"
)
def step_order_replies_lost(context, service_ms, percent):
    ratio = percent / 100
    configure_orders(context, service_ms=service_ms, lost_reply_ratio=ratio)
    defaults = {"service_ms": 5, "lost_reply_ratio": 0.0}
    context.add_cleanup(configure_orders, context, **defaults)


@given("{threads:d} callers of the cluster retry their orders through other daemons")
def step_start_order_load(context, threads):
    context.orders = OrderLoad(context.cluster, "refill", threads)
    context.add_cleanup(context.orders.stop)
    context.orders.start()


@then("some orders of the cluster were done")
def step_orders_done(context):
    context.orders.stop()
    assert context.orders.done, context.orders.summary()


@then("cluster orders were rejected as not run and none of them was executed")
def step_rejections_not_executed(context):
    context.orders.stop()
    assert context.orders.refusals_are_true(), context.orders.summary()


@given("cluster daemon {number:d} has no available order server in its own region")
def step_drain_order_servers(context, number):
    cluster = context.cluster
    region = cluster.daemons[number].region
    for server in cluster.layout.all_servers():
        if server.name.startswith("refill") and server.region == region:
            cluster.upstream(server.name, "config", {"draining": True})
            defaults = {"draining": False}
            context.add_cleanup(cluster.upstream, server.name, "config", defaults)
    eventually(lambda: accepts_orders(cluster.daemons[number]))


def send_order(context, number, key, outcomes):
    """Send one order and record the outcome returned to its caller."""
    daemon = context.cluster.daemons[number]
    try:
        reply = daemon.order(SERVICE, "refill", key, ORDER_BODY, deadline_ms=6000)
        outcomes[key] = reply.body["outcome"]
    except OSError:
        outcomes[key] = "disconnected"


def start_orders(context, number, count):
    """Send orders through a daemon and wait until the upstreams execute them.

    Orders beyond the slots of the daemon's shares would queue behind the others.
    """
    initial_count = context.cluster.counter_total("orders")
    context.order_outcomes = {uuid.uuid4().hex: None for _ in range(count)}
    context.order_threads = [
        threading.Thread(
            target=send_order,
            args=(context, number, key, context.order_outcomes),
            daemon=True,
        )
        for key in context.order_outcomes
    ]
    for thread in context.order_threads:
        thread.start()
    eventually(lambda: context.cluster.counter_total("orders") >= initial_count + count)


@when("{count:d} order(s) sent through cluster daemon {number:d} are running")
def step_orders_running(context, count, number):
    start_orders(context, number, count)


@when("all cluster daemons except {number:d} are killed")
def step_all_others_killed(context, number):
    for position, daemon in enumerate(context.cluster.daemons):
        if position != number:
            daemon.kill()


def execution_count(context, key):
    """Return how often the upstreams have executed an order."""
    counters = context.cluster.upstream_counters().values()
    return sum(server["order_keys"].get(key, 0) for server in counters)


@then("the running cluster orders are reported as {outcome} after one execution each")
def step_orders_reported(context, outcome):
    for thread in context.order_threads:
        thread.join(RECOVERY_TIMEOUT_S)
    results = {
        key: (context.order_outcomes[key], execution_count(context, key))
        for key in context.order_outcomes
    }
    assert set(results.values()) == {(outcome, 1)}, results


@then(
    "the orders are not executed again when retried through cluster daemon {number:d}"
)
def step_orders_retried(context, number):
    for key in list(context.order_outcomes):
        send_order(context, number, key, context.order_outcomes)
    results = {
        key: (context.order_outcomes[key], execution_count(context, key))
        for key in context.order_outcomes
    }
    assert set(results.values()) <= {("unknown", 1), ("done", 1)}, results


@when("cluster daemon {number:d} is terminated")
def step_daemon_terminated(context, number):
    context.exit_status = context.cluster.daemons[number].terminate(limit_s=60)


@then("the process of the terminated cluster daemon exited with status zero")
def step_exit_status_zero(context):
    assert context.exit_status == 0, context.exit_status


@then("no request to the cluster was interrupted")
def step_no_request_interrupted(context):
    sample = context.load.stop()
    assert sample.complete, sample.summary()
    assert not sample.connection_errors, sample.summary()
    assert not sample.failed, sample.summary()
