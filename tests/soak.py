"""Long randomised run of processes, with invariants judged at the end.

The schedule of actions is a function of the seed. Facts are read from the far side:
the upstreams count violations themselves, callers compare rows with snapshot and
coverage, and every daemon reports violated invariants.
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
HEAL_LIMIT_S = 60
VIOLATIONS = (
    "cold_overruns",
    "connection_overruns",
    "slot_overruns",
    "work_after_drain",
    "orders_run_twice",
)


class Soak:
    """A cluster under load and the actions on it."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.version = 1
        self.changes = 0
        self.failures = []
        self.stopped = threading.Event()
        self.seen_versions = {}

    def log(self, text):
        """Print a line of the schedule."""
        print(text, flush=True)

    def daemon(self):
        """Return a random daemon."""
        return self.rng.choice(self.cluster.daemons)

    def server(self):
        """Return the name of a random server."""
        return self.rng.choice(sorted(self.cluster.layout.servers))

    def watch_versions(self):
        """Note any configuration version that goes down within one process."""
        while not self.stopped.wait(0.3):
            for daemon in self.cluster.daemons:
                self._read_versions(daemon)

    def _read_versions(self, daemon):
        process = daemon.process.pid
        try:
            body = daemon.operator("/v1/configuration").body
        except OSError:
            return
        if process != daemon.process.pid:
            return
        for key, item in body["objects"].items():
            known = self.seen_versions.get((process, key), 0)
            if item["version"] < known:
                self.failures.append(f"{daemon.vm}: {key} went back from {known}")
            self.seen_versions[process, key] = item["version"]


@actions.register("kill")
def kill(soak):
    """Kill a daemon and start it again."""
    victim = soak.daemon()
    victim.kill()
    soak.cluster.list_vms(missing={victim.vm})
    time.sleep(soak.rng.uniform(0.2, 5))
    soak.cluster.list_vms()
    victim.start()
    return victim.vm


@actions.register("freeze")
def freeze(soak):
    """Freeze a daemon, sometimes for longer than its peers wait."""
    victim = soak.daemon()
    victim.signal(signal.SIGSTOP)
    time.sleep(soak.rng.uniform(0.3, 5))
    victim.signal(signal.SIGCONT)
    return victim.vm


@actions.register("graceful")
def graceful(soak):
    """Restart a daemon gracefully."""
    victim = soak.daemon()
    victim.terminate(limit_s=60)
    victim.start()
    return victim.vm


@actions.register("store-fault")
def store_fault(soak):
    """Let the platform fail in one of its ways, for all or for one daemon."""
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
        fault["vms"] = [soak.daemon().vm]
    soak.cluster.set_faults(fault)
    time.sleep(soak.rng.uniform(0.5, 6))
    soak.cluster.set_faults()
    return fault


@actions.register("cold-server")
def cold_server(soak):
    """Restart a server, which comes back cold."""
    server = soak.server()
    soak.cluster.upstream(server, "restart", {"down_ms": soak.rng.choice([0, 300])})
    return server


@actions.register("silence")
def silence(soak):
    """Let the open connections of a server go silent for ever."""
    server = soak.server()
    soak.cluster.upstream(server, "silence")
    return server


@actions.register("domain")
def domain(soak):
    """Take a failure domain out and back."""
    name = soak.rng.choice(sorted(soak.cluster.layout.domains))
    soak.cluster.put_object("fleet", fleet([name]))
    time.sleep(soak.rng.uniform(0.5, 5))
    soak.cluster.put_object("fleet", fleet([]))
    return name


def fleet(domains):
    """Return a fleet object with some failure domains out."""
    return {"failure_domains_out": domains, "vms_out": [], "audit": [], "writer": "t"}


@actions.register("document")
def document(soak):
    """Change the document."""
    soak.changes += 1
    soak.cluster.put_document(default_deadline_ms=800 + soak.changes)
    return soak.changes


@actions.register("repartition")
def repartition(soak):
    """Publish the next index version with another number of parts."""
    soak.version += 1
    shards = soak.cluster.layout.indexes[0].shards
    old, new = str(soak.version - 1), str(soak.version)
    factor = 1 + soak.version % 2
    before = partition(shards, 1 + (soak.version - 1) % 2)
    after = partition(shards, factor)
    for both in (True, False):
        for server in soak.cluster.layout.all_servers():
            if not server.name.startswith("bins"):
                continue
            shard = int(server.name.split("-")[1])
            versions = {new: after[shard]}
            if both:
                versions[old] = before[shard]
            body = {"indexes": {"bins": versions}}
            soak.cluster.upstream(server.name, "config", body)
        time.sleep(soak.rng.uniform(0.5, 3))
    return new


def partition(shards, factor):
    """Return what each shard serves if it holds ``factor`` parts."""
    total = shards * factor
    parts = [list(range(n * factor, (n + 1) * factor)) for n in range(shards)]
    return [{"parts_total": total, "parts": own} for own in parts]


def judge(soak, load, orders):
    """Return what did not hold."""
    failures = list(soak.failures)
    for name in VIOLATIONS:
        count = soak.cluster.total(name)
        if count:
            failures.append(f"upstreams counted {count} {name}")
    sample = load.sample
    if sample.wrong:
        failures.append(f"{sample.wrong} answers contradict their snapshot or coverage")
    if not sample.complete:
        failures.append("no query was answered completely")
    if orders.false_not_run():
        failures.append(f"{orders.false_not_run()} orders ran although refused")
    for daemon in soak.cluster.daemons:
        found = daemon.operator("/v1/state").body["violations"]
        if found:
            failures.append(f"{daemon.vm} violated {found}")
    return failures


def healed(cluster):
    """Tell whether all daemons are ready with one configuration."""
    if not all(daemon.is_ready() for daemon in cluster.daemons):
        return False
    views = [d.operator("/v1/configuration").body for d in cluster.daemons]
    return len({view["digest"] for view in views}) == 1


def run(seed, duration_s):
    """Run one soak and return what did not hold."""
    print(f"seed {seed}, {duration_s} s", flush=True)
    with Cluster(demo_layout, DAEMONS, timings={"drain_lag_ms": 1000}) as cluster:
        cluster.start_stand_ins(service_ms=5)
        cluster.put_document()
        cluster.start_daemons()
        soak = Soak(cluster, seed)
        threading.Thread(target=soak.watch_versions, daemon=True).start()
        load = Load(cluster, "bins", QUERY_RATE_PER_S).start()
        orders = OrderLoad(cluster, "refill", threads=3, seed=seed).start()
        act(soak, duration_s)
        cluster.set_faults()
        try:
            wait_until(lambda: healed(cluster), HEAL_LIMIT_S, poll_s=0.2)
            cluster.wait_ready(cluster.daemons, HEAL_LIMIT_S)
        except TimeoutError as error:
            soak.failures.append(f"not healed after the faults: {error}")
        orders.stop()
        load.stop()
        soak.stopped.set()
        print(f"queries: {load.sample.summary()}")
        print(f"orders: {orders.summary()}")
        return judge(soak, load, orders)


def act(soak, duration_s):
    """Carry out random actions until the time is over."""
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
    print("every invariant held" if not failures else f"{len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
