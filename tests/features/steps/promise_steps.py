"""Steps shared by the promise features: processes, faults, load and checks."""

import signal
import time

from behave import given, then, when

from tests.cluster import Cluster
from tests.layout import demo_layout
from tests.promises import (
    RECOVERY_TIMEOUT_S,
    repartition,
    restore_cluster,
    resume_daemons,
    start_load,
)

STORE_FAULTS = {
    "is down": {"kind": "down"},
    "hangs": {"kind": "down", "mode": "hang"},
    "is slow": {"kind": "slow", "delay_ms": 1500},
    "loses replies": {"kind": "lose_reply", "ratio": 0.5, "seed": 1},
    "has silent watches": {"kind": "watch_silent"},
}


@given(
    "a cluster of {count:d} daemons and servers with {service_ms:d} ms of service time"
)
def step_start_cluster(context, count, service_ms):
    if "cluster" not in context.shared:
        cluster = Cluster(demo_layout, count)
        context.add_cleanup(cluster.stop, layer="feature")
        cluster.start_stand_ins(service_ms=service_ms)
        cluster.put_document()
        cluster.start_daemons()
        context.shared.update(cluster=cluster, version=1)
    context.cluster = context.shared["cluster"]
    restore_cluster(context.cluster)


@given("the cluster receives queries continuously")
def step_start_queries(context):
    start_load(context)


@given("the cluster receives {rate:d} queries per second")
def step_start_queries_at_rate(context, rate):
    start_load(context, rate)


@when("cluster daemon {number:d} is killed")
def step_daemon_killed(context, number):
    context.cluster.daemons[number].kill()


@when("cluster daemon {number:d} is started again")
def step_daemon_started(context, number):
    daemon = context.cluster.daemons[number]
    daemon.start()
    context.cluster.wait_ready([daemon], RECOVERY_TIMEOUT_S)


@when("cluster daemon {number:d} is suspended")
def step_daemon_suspended(context, number):
    context.cluster.daemons[number].signal(signal.SIGSTOP)


@when("cluster daemon {number:d} is resumed")
def step_daemon_resumed(context, number):
    context.cluster.daemons[number].signal(signal.SIGCONT)


@when("the cluster's store {fault}")
def step_store_fault(context, fault):
    context.cluster.set_faults(STORE_FAULTS[fault])


@when("cluster daemon {number:d} is cut off from a store that {fault}")
def step_cut_off_from_store(context, number, fault):
    vm = context.cluster.daemons[number].vm
    context.cluster.set_faults(STORE_FAULTS[fault], {"kind": "down", "vms": [vm]})


@when("all faults of the cluster's store are cleared")
def step_store_faults_cleared(context):
    context.cluster.set_faults()


@when("the cluster runs for {seconds:d} s")
def step_load_runs(context, seconds):
    time.sleep(seconds)


@when("the open connections of cluster server {server} stop responding")
def step_connections_stall(context, server):
    context.cluster.upstream(server, "silence")


@when("the cluster's index is repartitioned")
def step_repartitioned(context):
    repartition(context, after_step=lambda: time.sleep(1))


@then("queries of the cluster are complete again")
def step_queries_complete(context):
    context.cluster.wait_ready(context.cluster.daemons, RECOVERY_TIMEOUT_S)


@then("all answers of the cluster match their snapshot and coverage")
def step_answers_consistent(context):
    sample = context.load.stop()
    assert sample.complete, sample.summary()
    assert not sample.inconsistent, sample.summary()


@then("no invariant was violated in the cluster")
def step_no_violations(context):
    cluster = context.cluster
    resume_daemons(cluster)
    violations = cluster.violating_servers()
    logged = cluster.logged_violations()
    if logged:
        violations["logged"] = logged
    for daemon in cluster.daemons:
        if daemon.is_ready():
            counts = daemon.operator_get("/v1/state").body["violations"]
            if any(counts.values()):
                violations[daemon.vm] = counts
    assert not violations, violations
