"""Measured scenarios, each against its target and, where it has one, a baseline."""

import signal
import time

from hemlockspoke.registry import Registry
from tests.bench.load import Load
from tests.bench.order_load import OrderLoad
from tests.cluster import Cluster, wait_until
from tests.layout import laurentide_layout, vestkyst_layout

scenarios = Registry("scenario")

# One-way delay required for Laurentide, from caller to VM and from VM to upstream.
ONE_WAY_MS = 1
SERVICE_MS = 5
LONG_SERVICE_MS = 20
# Upstream stand-ins share the machine; with fewer processes they would queue
# requests that the servers in the requirements handle concurrently.
UPSTREAM_PROCESSES = 6
TAIL_PARTS = 40
TAIL_RATE_PER_S = 8
TAIL_DURATION_S = 25
RATE_PER_S = 20
STEADY_DURATION_S = 10
# The cold-start gates of all servers open within this time at the rates used here.
WARM_UP_S = 8
DOMAIN_OUT_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 2.0
IN_FORCE_LIMIT_SILENT_S = 12.0


class Row:
    """One measured figure and whether it meets its target."""

    __slots__ = ("deployment", "figure", "holds", "measured", "scenario", "target")

    def __init__(self, scenario, deployment, figure, target, measured, holds):
        self.scenario = scenario
        self.deployment = deployment
        self.figure = figure
        self.target = target
        self.measured = measured
        self.holds = holds


class Deployment:
    """Layout of one deployment, scaled to the test machine."""

    __slots__ = ("domain", "index", "layout", "name", "order")

    def __init__(self, name, layout, index, order, domain):
        self.name = name
        self.layout = layout
        self.index = index
        self.order = order
        self.domain = domain


DEPLOYMENTS = {
    "laurentide": Deployment("laurentide", laurentide_layout, "bins", "refill", "qc-a"),
    "vestkyst": Deployment(
        "vestkyst", vestkyst_layout, "catalogue", "reservation", "koege"
    ),
}


def started_cluster(deployment, daemons=9, stand_in=None, **policy):
    """Return a running cluster with the document in force."""
    settings = {"service_ms": SERVICE_MS, "delay_ms": ONE_WAY_MS, **(stand_in or {})}
    cluster = Cluster(
        deployment.layout, daemons, stand_in=settings, processes=UPSTREAM_PROCESSES
    )
    cluster.start_stand_ins()
    cluster.put_document(**policy)
    cluster.start_daemons()
    return cluster


def steady_sample(
    cluster, deployment, duration_s=STEADY_DURATION_S, rate_per_s=RATE_PER_S
):
    """Return the sample of a steady load, measured after a warm-up."""
    load = Load(cluster, deployment.index, rate_per_s).start()
    time.sleep(WARM_UP_S)
    sample = load.run_for(duration_s)
    load.stop()
    return sample


@scenarios.register("tail")
def tail(deployment):
    """p99 with 1% of sub-queries 10 times slow, for each hedge policy.

    Measured at two service times, because the fan-out itself costs about 20 ms of
    latency on one machine, which hides most of what hedging saves at the shorter.
    """
    for service_ms in (SERVICE_MS, LONG_SERVICE_MS):
        samples = {
            policy: tail_sample(deployment, policy, service_ms)
            for policy in ("none", "relative")
        }
        yield from tail_rows(deployment, service_ms, samples)


def tail_sample(deployment, policy, service_ms):
    """Measure one hedge policy; return the sample and the sub-queries per query."""

    def layout(hosts):
        return deployment.layout(hosts, shards=TAIL_PARTS)

    wide_deployment = Deployment(
        deployment.name, layout, deployment.index, deployment.order, deployment.domain
    )
    settings = {"straggler_ratio": 0.01, "straggler_factor": 10}
    settings["service_ms"] = service_ms
    with started_cluster(
        wide_deployment, stand_in=settings, hedge_policy=policy
    ) as cluster:
        load = Load(cluster, wide_deployment.index, TAIL_RATE_PER_S).start()
        time.sleep(WARM_UP_S)
        load.swap_sample()
        before = cluster.counter_total("queries")
        time.sleep(TAIL_DURATION_S)
        after = cluster.counter_total("queries")
        sample = load.stop()
        return sample, (after - before) / sample.total()


def tail_rows(deployment, service_ms, samples):
    """Return the rows of one service time."""
    unhedged, unhedged_load = samples["none"]
    hedged, hedged_load = samples["relative"]
    unhedged_ms, hedged_ms = unhedged.percentile_ms(99), hedged.percentile_ms(99)
    figure = f"p99 of relative against none, {service_ms} ms a sub-query"
    medians = f"p50 {hedged.percentile_ms(50):.0f} and {unhedged.percentile_ms(50):.0f}"
    yield Row(
        "tail",
        deployment.name,
        figure,
        "at most 1/3",
        f"{hedged_ms:.0f} ms against {unhedged_ms:.0f} ms ({medians})",
        hedged_ms <= unhedged_ms / 3,
    )
    extra = hedged_load / unhedged_load - 1
    name = f"extra load, {service_ms} ms a sub-query"
    yield Row(
        "tail", deployment.name, name, "at most 5%", f"{extra:.1%}", extra <= 0.05
    )
    yield answers_row("tail", deployment, hedged)


def answers_row(scenario, deployment, sample):
    """Return the row that requires a complete answer to every query."""
    all_complete = sample.complete == sample.total() and sample.inconsistent == 0
    return Row(
        scenario,
        deployment.name,
        "queries",
        "all complete",
        sample.summary(),
        all_complete,
    )


def violations_row(scenario, deployment, cluster):
    """Return the row of violations that the upstreams have counted."""
    names = ("cold_overruns", "connection_overruns", "slot_overruns")
    names += ("work_after_drain", "orders_run_twice")
    violations = {name: cluster.counter_total(name) for name in names}
    violations = {name: count for name, count in violations.items() if count}
    return Row(
        scenario, deployment.name, "violations", "0", violations or 0, not violations
    )


def domain_queries(cluster, domain):
    """Return how many sub-queries the servers of a failure domain have received."""
    counters = cluster.upstream_counters()
    servers = cluster.layout.all_servers()
    names = [server.name for server in servers if server.failure_domain == domain]
    return sum(counters[name]["queries"] for name in names)


@scenarios.register("domain")
def domain_out_and_in(deployment):
    """A failure domain taken out and put back under load."""
    with started_cluster(deployment) as cluster:
        load = Load(cluster, deployment.index, RATE_PER_S).start()
        time.sleep(WARM_UP_S)
        normal_ms = load.run_for(STEADY_DURATION_S).percentile_ms(99)
        cluster.command("domain", "out", deployment.domain, "--why", "bench")
        time.sleep(DOMAIN_OUT_LIMIT_S)
        before = domain_queries(cluster, deployment.domain)
        time.sleep(5)
        late_queries = domain_queries(cluster, deployment.domain) - before
        cluster.command("domain", "in", deployment.domain, "--why", "bench")
        time.sleep(8)
        move_sample = load.stop()
        yield answers_row("domain", deployment, move_sample)
        yield Row(
            "domain",
            deployment.name,
            "new work after 3 s",
            "0 sub-queries",
            late_queries,
            late_queries == 0,
        )
        move_ms = move_sample.percentile_ms(99)
        yield Row(
            "domain",
            deployment.name,
            "p99 during the move",
            "at most 1.5 times steady",
            f"{move_ms:.0f} ms against {normal_ms:.0f} ms",
            move_ms <= 1.5 * normal_ms,
        )
        yield violations_row("domain", deployment, cluster)


@scenarios.register("cold")
def cold_start(deployment):
    """Half of the servers restart cold under load."""
    with started_cluster(deployment) as cluster:
        load = Load(cluster, deployment.index, RATE_PER_S).start()
        time.sleep(3)
        servers = [s.name for s in cluster.layout.all_servers()]
        for server in servers[::2]:
            cluster.upstream(server, "restart", {"down_ms": 200})
        time.sleep(15)
        load.swap_sample()
        after = load.run_for(5)
        load.stop()
        overloads = cluster.counter_total("overloads")
        yield Row(
            "cold",
            deployment.name,
            "servers fallen over",
            "0",
            overloads,
            not overloads,
        )
        yield answers_row("cold", deployment, after)
        yield violations_row("cold", deployment, cluster)


@scenarios.register("store-down")
def store_down(deployment):
    """The platform's store is down for the whole scenario."""
    with started_cluster(deployment) as cluster:
        cluster.set_faults({"kind": "down"})
        load = Load(cluster, deployment.index, RATE_PER_S).start()
        orders = OrderLoad(cluster, deployment.order, threads=2)
        orders.run_for(STEADY_DURATION_S)
        sample = load.stop()
        cluster.set_faults()
        yield answers_row("store-down", deployment, sample)
        yield Row(
            "store-down",
            deployment.name,
            "orders",
            "refused truthfully",
            orders.summary(),
            orders.refusals_are_true() and not orders.done,
        )


def in_force_delay_s(cluster, version, daemons, limit_s):
    """Return the time in s until a document version is in force on all ``daemons``."""
    key = f"services/{cluster.layout.service}"
    started_s = time.monotonic()

    def in_force_on_all():
        states = [
            daemon.operator_get("/v1/configuration").body["objects"]
            for daemon in daemons
        ]
        return all(
            objects.get(key, {}).get("version", 0) >= version for objects in states
        )

    wait_until(in_force_on_all, limit_s * 3, poll_s=0.02)
    return time.monotonic() - started_s


@scenarios.register("configuration")
def configuration(deployment):
    """A document change in force on all daemons, also with faults."""
    with started_cluster(deployment) as cluster:
        version = cluster.put_document(default_deadline_ms=900)
        delay_s = in_force_delay_s(cluster, version, cluster.daemons, IN_FORCE_LIMIT_S)
        yield Row(
            "configuration",
            deployment.name,
            "in force on 9 daemons",
            "under 2 s",
            f"{delay_s:.2f} s",
            delay_s < IN_FORCE_LIMIT_S,
        )
        cluster.set_faults(
            {"kind": "watch_silent"}, {"kind": "down", "vms": [cluster.daemons[0].vm]}
        )
        time.sleep(1)
        version = cluster.put_document(default_deadline_ms=950)
        delay_s = in_force_delay_s(
            cluster, version, cluster.daemons, IN_FORCE_LIMIT_SILENT_S
        )
        yield Row(
            "configuration",
            deployment.name,
            "watch silent, one daemon cut from the store",
            "under 12 s",
            f"{delay_s:.2f} s",
            delay_s < IN_FORCE_LIMIT_SILENT_S,
        )


@scenarios.register("orders")
def orders_under_kills(deployment):
    """Orders with killed daemons, lost replies and retries through other VMs."""
    with started_cluster(deployment) as cluster:
        cluster.set_faults({"kind": "lose_reply", "ratio": 0.1, "seed": 1})
        orders = OrderLoad(cluster, deployment.order, threads=6).start()
        for daemon in cluster.daemons[:3]:
            time.sleep(4)
            daemon.kill()
            time.sleep(1)
            daemon.start()
        time.sleep(4)
        orders.stop()
        cluster.set_faults()
        run_twice = cluster.counter_total("orders_run_twice")
        false_refusals = orders.count_false_not_run()
        yield Row(
            "orders", deployment.name, "run twice", "0", run_twice, run_twice == 0
        )
        yield Row(
            "orders",
            deployment.name,
            "false not_run",
            "0",
            false_refusals,
            false_refusals == 0,
        )
        yield Row(
            "orders",
            deployment.name,
            "orders",
            "some done",
            orders.summary(),
            orders.done > 0,
        )


@scenarios.register("rolling")
def rolling_restart(deployment):
    """All daemons restarted one by one under load."""
    with started_cluster(deployment) as cluster:
        load = Load(cluster, deployment.index, RATE_PER_S).start()
        time.sleep(3)
        load.swap_sample()
        for daemon in cluster.daemons:
            daemon.signal(signal.SIGTERM)
            daemon.process.wait(40)
            daemon.start()
            cluster.wait_ready([daemon])
        sample = load.stop()
        yield Row(
            "rolling",
            deployment.name,
            "requests cut",
            "0",
            sample.summary(),
            sample.connection_errors == 0 and not sample.failed,
        )
        yield answers_row("rolling", deployment, sample)
        yield violations_row("rolling", deployment, cluster)


@scenarios.register("connections")
def connections(deployment):
    """Connections at each server with 9 daemons under load."""
    with started_cluster(deployment) as cluster:
        steady_sample(cluster, deployment)
        counters = cluster.upstream_counters()
        servers = cluster.layout.servers
        highest_ratio = max(
            counters[name]["max_connections"] / servers[name].upstream_class.connections
            for name in servers
        )
        yield Row(
            "connections",
            deployment.name,
            "most connections, of the cap",
            "at most 100%",
            f"{highest_ratio:.0%}",
            highest_ratio <= 1,
        )
        yield violations_row("connections", deployment, cluster)
