"""Long randomised run of processes whose invariants are checked at the end.

The seed determines the schedule of actions. The checks don't rely on the daemons
alone: the upstreams count violations, callers compare rows with snapshot and
coverage, and every daemon reports the invariants it has found violated.
"""

import argparse
import random
import signal
import sys
import threading
import time

from hemlockspoke.registry import Registry
from tests.bench.load import Load
from tests.bench.order_load import OrderLoad
from tests.cluster import Cluster, wait_until
from tests.layout import demo_layout

actions = Registry("soak action")

DAEMONS = 6
QUERY_RATE_PER_S = 15
RECOVERY_LIMIT_S = 60


class Soak:
    """A cluster under load and the faults and changes applied to it."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.version = 1
        self.changes = 0
        self.failures = []
        self.stopped = threading.Event()
        self.latest_versions = {}

    def log(self, text):
        """Print a line of the schedule."""
        print(text, flush=True)

    def pick_daemon(self):
        """Return a random daemon."""
        return self.rng.choice(self.cluster.daemons)

    def pick_server(self):
        """Return the name of a random server."""
        return self.rng.choice(sorted(self.cluster.layout.servers))

    def watch_versions(self):
        """Record each configuration version that decreases within one process."""
        while not self.stopped.wait(0.3):
            for daemon in self.cluster.daemons:
                self._read_versions(daemon)

    def _read_versions(self, daemon):
        pid = daemon.process.pid
        try:
            body = daemon.operator_get("/v1/configuration").body
        except OSError:
            return
        if pid != daemon.process.pid:
            return
        for key, item in body["objects"].items():
            previous = self.latest_versions.get((pid, key), 0)
            if item["version"] < previous:
                self.failures.append(
                    f"{daemon.vm}: version of {key} decreased from {previous}"
                )
            self.latest_versions[pid, key] = item["version"]


@actions.register("kill")
def kill(soak):
    """Kill a daemon and start it again."""
    daemon = soak.pick_daemon()
    daemon.kill()
    soak.cluster.set_vm_list(missing={daemon.vm})
    time.sleep(soak.rng.uniform(0.2, 5))
    soak.cluster.set_vm_list()
    daemon.start()
    return daemon.vm


@actions.register("freeze")
def suspend(soak):
    """Suspend a daemon, sometimes for longer than the timeouts of its peers."""
    daemon = soak.pick_daemon()
    daemon.signal(signal.SIGSTOP)
    time.sleep(soak.rng.uniform(0.3, 5))
    daemon.signal(signal.SIGCONT)
    return daemon.vm


@actions.register("graceful")
def restart_gracefully(soak):
    """Restart a daemon with SIGTERM."""
    daemon = soak.pick_daemon()
    daemon.terminate(limit_s=60)
    daemon.start()
    return daemon.vm


@actions.register("store-fault")
def store_fault(soak):
    """Inject a random fault of the platform, for all daemons or for one."""
    fault = soak.rng.choice(
        [
            {"kind": "down"},
            {"kind": "down", "mode": "hang"},
            {"kind": "slow", "delay_ms": 1500},
            {"kind": "lose_reply", "ratio": 0.5, "seed": 1},
            {"kind": "watch_silent"},
            {"kind": "silence_connections"},
        ]
    )
    if soak.rng.random() < 0.5:
        fault["vms"] = [soak.pick_daemon().vm]
    soak.cluster.set_faults(fault)
    time.sleep(soak.rng.uniform(0.5, 6))
    soak.cluster.set_faults()
    return fault


@actions.register("cold-server")
def cold_server(soak):
    """Restart a server, which is cold afterwards."""
    server = soak.pick_server()
    soak.cluster.upstream(server, "restart", {"down_ms": soak.rng.choice([0, 300])})
    return server


@actions.register("silence")
def silence_server(soak):
    """Make a server stop replying on the connections open now."""
    server = soak.pick_server()
    soak.cluster.upstream(server, "silence")
    return server


@actions.register("domain")
def disable_domain(soak):
    """Take a failure domain out of service and restore it."""
    name = soak.rng.choice(sorted(soak.cluster.layout.domains))
    soak.cluster.put_object("fleet", fleet([name]))
    time.sleep(soak.rng.uniform(0.5, 5))
    soak.cluster.put_object("fleet", fleet([]))
    return name


def fleet(domains):
    """Return a fleet object with the given failure domains out of service."""
    return {"failure_domains_out": domains, "vms_out": [], "audit": [], "writer": "t"}


@actions.register("document")
def change_document(soak):
    """Change the default deadline in the configuration document."""
    soak.changes += 1
    soak.cluster.put_document(default_deadline_ms=800 + soak.changes)
    return soak.changes


@actions.register("repartition")
def repartition(soak):
    """Publish the next index version with a different number of parts."""
    soak.version += 1
    shards = soak.cluster.layout.indexes[0].shards
    old_version, new_version = str(soak.version - 1), str(soak.version)
    factor = 1 + soak.version % 2
    old_shards = shard_parts(shards, 1 + (soak.version - 1) % 2)
    new_shards = shard_parts(shards, factor)
    for serve_both in (True, False):
        for server in soak.cluster.layout.all_servers():
            if not server.name.startswith("bins"):
                continue
            shard = int(server.name.split("-")[1])
            versions = {new_version: new_shards[shard]}
            if serve_both:
                versions[old_version] = old_shards[shard]
            body = {"indexes": {"bins": versions}}
            soak.cluster.upstream(server.name, "config", body)
        time.sleep(soak.rng.uniform(0.5, 3))
    return new_version


def shard_parts(shards, factor):
    """Return the parts that each shard serves, with ``factor`` parts per shard."""
    total = shards * factor
    parts = [list(range(n * factor, (n + 1) * factor)) for n in range(shards)]
    return [{"parts_total": total, "parts": served_parts} for served_parts in parts]


def check_invariants(soak, load, orders):
    """Return the invariants that were violated, as texts."""
    failures = list(soak.failures)
    for name, counters in soak.cluster.violating_servers().items():
        failures.append(f"upstream {name} counted {counters}")
    sample = load.sample
    if sample.inconsistent:
        failures.append(
            f"{sample.inconsistent} answers contradict their snapshot or coverage"
        )
    if not sample.complete:
        failures.append("no query was answered completely")
    if orders.count_false_not_run():
        failures.append(
            f"{orders.count_false_not_run()} orders ran although reported as not run"
        )
    for daemon in soak.cluster.daemons:
        violations = daemon.operator_get("/v1/state").body["violations"]
        if violations:
            failures.append(f"{daemon.vm} violated {violations}")
    return failures


def has_recovered(cluster):
    """Return whether all daemons are ready with the same configuration."""
    if not all(daemon.is_ready() for daemon in cluster.daemons):
        return False
    configurations = [d.operator_get("/v1/configuration").body for d in cluster.daemons]
    return len({body["digest"] for body in configurations}) == 1


def run(seed, duration_s):
    """Run one soak and return the violated invariants."""
    print(f"seed {seed}, {duration_s} s", flush=True)
    with Cluster(demo_layout, DAEMONS, timings={"drain_lag_ms": 1000}) as cluster:
        cluster.start_stand_ins(service_ms=5)
        cluster.put_document()
        cluster.start_daemons()
        soak = Soak(cluster, seed)
        threading.Thread(target=soak.watch_versions, daemon=True).start()
        load = Load(cluster, "bins", QUERY_RATE_PER_S).start()
        orders = OrderLoad(cluster, "refill", threads=3, seed=seed).start()
        run_actions(soak, duration_s)
        cluster.set_faults()
        try:
            wait_until(lambda: has_recovered(cluster), RECOVERY_LIMIT_S, poll_s=0.2)
            cluster.wait_ready(cluster.daemons, RECOVERY_LIMIT_S)
        except TimeoutError as error:
            soak.failures.append(f"not recovered after the faults: {error}")
        orders.stop()
        load.stop()
        soak.stopped.set()
        print(f"queries: {load.sample.summary()}")
        print(f"orders: {orders.summary()}")
        return check_invariants(soak, load, orders)


def run_actions(soak, duration_s):
    """Run random actions for ``duration_s``."""
    names = actions.names()
    started_s = time.monotonic()
    while time.monotonic() - started_s < duration_s:
        name = soak.rng.choice(names)
        at_s = time.monotonic() - started_s
        soak.log(f"{at_s:6.1f} s {name}: {actions.get(name)(soak)}")
        time.sleep(soak.rng.uniform(0.1, 2))


def main(arguments):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=int, default=60)
    options = parser.parse_args(arguments)
    failures = run(options.seed, options.duration_s)
    for failure in failures:
        print(f"FAILED: {failure}")
    print("every invariant held" if not failures else f"{len(failures)} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
