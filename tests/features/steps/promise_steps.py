"""Steps shared by the promise features: processes, faults, load and verdict."""

import signal
import time

from behave import given, then, when

from tests.cluster import Cluster
from tests.layout import demo_layout
from tests.promises import HEAL_LIMIT_S, heal, repartition, start_load, thaw
from tests.soak import VIOLATIONS

STORE_FAULTS = {
    "is down": {"kind": "down"},
    "hangs": {"kind": "down", "mode": "hang"},
    "is slow": {"kind": "slow", "delay_ms": 1500},
    "loses replies": {"kind": "lose_reply", "ratio": 0.5, "seed": 1},
    "has silent watches": {"kind": "watch_silent"},
}


@given("a promise cluster of {count:d} daemons with {service_ms:d} ms of work")
def step_promise_cluster(context, count, service_ms):
    if "cluster" not in context.shared:
        cluster = Cluster(demo_layout, count)
        context.add_cleanup(cluster.stop, layer="feature")
        cluster.start_stand_ins(service_ms=service_ms)
        cluster.put_document()
        cluster.start_daemons()
        context.shared.update(cluster=cluster, version=1)
    context.cluster = context.shared["cluster"]
    heal(context.cluster)


@given("promise queries run all the time")
def step_queries_run(context):
    start_load(context)


@given("promise queries run {rate:d} times a second")
def step_queries_run_at_rate(context, rate):
    start_load(context, rate)


@when("promise daemon {number:d} is killed")
def step_daemon_killed(context, number):
    context.cluster.daemons[number].kill()


@when("promise daemon {number:d} is started again")
def step_daemon_started(context, number):
    daemon = context.cluster.daemons[number]
    daemon.start()
    context.cluster.wait_ready([daemon], HEAL_LIMIT_S)


@when("promise daemon {number:d} freezes")
def step_daemon_freezes(context, number):
    context.cluster.daemons[number].signal(signal.SIGSTOP)


@when("promise daemon {number:d} thaws")
def step_daemon_thaws(context, number):
    context.cluster.daemons[number].signal(signal.SIGCONT)


@when("the store of the promises {fault}")
def step_store_fault(context, fault):
    context.cluster.set_faults(STORE_FAULTS[fault])


@when("promise daemon {number:d} is cut from a store that {fault}")
def step_cut_from_store(context, number, fault):
    vm = context.cluster.daemons[number].vm
    context.cluster.set_faults(STORE_FAULTS[fault], {"kind": "down", "vms": [vm]})


@when("all promise faults of the store end")
def step_store_faults_end(context):
    context.cluster.set_faults()


@when("{seconds:d} s of promise load pass")
def step_load_passes(context, seconds):
    time.sleep(seconds)


@when("the open connections of promise server {server} go silent")
def step_connections_silent(context, server):
    context.cluster.upstream(server, "silence")


@when("the promise index is repartitioned")
def step_repartitioned(context):
    repartition(context, between=lambda: time.sleep(1))


@then("promise queries are complete again")
def step_complete_again(context):
    context.cluster.wait_ready(context.cluster.daemons, HEAL_LIMIT_S)


@then("all promise answers agree with their snapshot and coverage")
def step_answers_agree(context):
    sample = context.load.stop()
    assert sample.complete, sample.summary()
    assert not sample.wrong, sample.summary()


@then("nothing counts against the promises")
def step_nothing_counts(context):
    cluster = context.cluster
    thaw(cluster)
    found = {name: cluster.total(name) for name in VIOLATIONS}
    for daemon in cluster.daemons:
        # The log also holds what processes have reported that were killed since.
        path = cluster.directory / f"{daemon.vm}.log"
        log = path.read_text(encoding="utf-8", errors="replace")
        found[f"log of {daemon.vm}"] = log.count("invariant violated")
        if daemon.is_ready():
            body = daemon.operator("/v1/state").body
            found[daemon.vm] = sum(body["violations"].values())
    found = {name: count for name, count in found.items() if count}
    assert not found, found
