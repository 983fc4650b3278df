"""Stops the daemons of a failure domain one shortly after the other, under load.

    python -m tests.edge_soak.rolling_stops --seed 7 --rounds 4 --code ../earlier

Callers come through the platform's ingress, which sends new connections to stopping
daemons as well while fewer than half of a domain's daemons are ready. Some servers are
slow, and some run requests whose answers are lost. With ``--code`` the daemons run the
code of another folder.
"""

import argparse
import collections
import random
import signal
import sys
import threading
import time

from twisted.internet import reactor

from hemlockspoke.address import Address
from hemlockspoke.http1.pool import ConnectionPool
from tests.edge_soak.ingress import Ingress
from tests.edge_soak.processes import ProcessWorld
from tests.edge_soak.stop_losses import GRACE_S, Sent, describe_loss
from tests.edge_soak.throttle import Throttle
from tests.platform_world import ITEM_PATH, ORDER_PATH

DAEMONS_PER_DOMAIN = 3
STOPPED_PER_ROUND = 2
SERVERS_PER_DOMAIN = 4
CALLERS = 48
# Longer than the bound stable_window_ms, so that the daemons count as undisturbed.
SETTLE_S = 3.0
# Longest time between the signals to two daemons of a round.
MAX_GAP_S = 1.5


class Load:
    """What servers do and what callers ask of them.

    ``work_ms`` is the usual work of a server. A share ``slow_share`` of the servers
    takes ``slow_factor`` times as long; a share ``lost_share`` of the others runs
    requests without answering them. ``cpu_share`` is the part of the time for
    which daemons run, and a share ``order_share`` of the requests are orders.
    """

    __slots__ = (
        "budget_ms",
        "cpu_share",
        "lost_share",
        "order_share",
        "slow_factor",
        "slow_share",
        "target_ms",
        "work_ms",
    )

    def __init__(
        self,
        work_ms=233.0,
        budget_ms=10_000,
        target_ms=1041,
        slow_share=0.4,
        slow_factor=12.0,
        lost_share=0.2,
        order_share=0.1,
        cpu_share=1.0,
    ):
        self.work_ms = work_ms
        self.budget_ms = budget_ms
        self.target_ms = target_ms
        self.slow_share = slow_share
        self.slow_factor = slow_factor
        self.lost_share = lost_share
        self.order_share = order_share
        self.cpu_share = cpu_share


class Caller(threading.Thread):
    """Sends one request after the other and keeps its connection until it is closed."""

    def __init__(self, run, index, domain):
        super().__init__(daemon=True)
        self._run = run
        self._index = index
        self._domain = domain
        self._rng = random.Random(f"{run.seed} {index}")
        self._pool = None
        self._vm = None
        # A retry goes on a new connection, which the ingress gives to another daemon.
        self._tries = 0

    def run(self):
        """Send requests until the run ends."""
        while not self._run.stopped.wait(self._rng.uniform(0.02, 0.3)):
            self._send_one()

    def _send_one(self):
        world, load = self._run.world, self._run.load
        reused = self._pool is not None and self._pool.has_idle()
        if not reused:
            self._connect()
        is_order = self._rng.random() < load.order_share
        path = ORDER_PATH if is_order else ITEM_PATH
        method, body = (b"POST", b"two tonnes") if is_order else (b"GET", b"")
        sent = Sent(self._run.next_attempt(), path, self._vm, reused)
        reply = world.request(
            self._vm,
            f"{path}x",
            sent.attempt,
            method,
            body,
            load.budget_ms,
            pool=self._pool,
        )
        sent.ended_s = time.monotonic()
        sent.status, sent.sent = reply.status, reply.sent
        self._run.requests.append(sent)
        if reply.status == 200:
            self._tries = 0
        else:
            self._tries += 1
            self._pool = None

    def _connect(self):
        self._vm = self._run.ingress.choose(self._domain, self._index + self._tries)
        host, ports = self._run.world.addresses[self._vm]
        address = Address(host, ports["frontend"])
        self._pool = ConnectionPool(reactor, self._run.world.clock, address, 1)


class RollingStops:
    """One run: the daemons, their callers and the stops."""

    def __init__(self, world, load, seed, stopped_per_round=STOPPED_PER_ROUND):
        self.world = world
        self.load = load
        self._stopped_per_round = stopped_per_round
        self.seed = seed
        self.rng = random.Random(seed)
        self.requests = []
        self.stopped = threading.Event()
        self.terminated_s = collections.defaultdict(list)
        self.exit_codes = []
        self._attempt_count = 0
        self._lock = threading.Lock()
        self.vms_by_domain = {}
        for vm, domain in world.domains.items():
            self.vms_by_domain.setdefault(domain, []).append(vm)
        self.ingress = Ingress(world, self.vms_by_domain)

    def next_attempt(self):
        """Return a new attempt id."""
        with self._lock:
            self._attempt_count += 1
            return f"roll{self.seed}-{self._attempt_count}"

    def play(self, rounds):
        """Stop daemons of one domain after the other for some rounds, under load."""
        throttle = Throttle(list(self.world.daemons.values()), self.load.cpu_share)
        if self.load.cpu_share < 1.0:
            throttle.start()
        self.ingress.start()
        domains = sorted(self.vms_by_domain)
        callers = [
            Caller(self, index, domains[index % len(domains)])
            for index in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(SETTLE_S)
        for number in range(rounds):
            self._set_servers()
            self._stop_some(domains[number % len(domains)])
            time.sleep(SETTLE_S)
        self.stopped.set()
        for caller in callers:
            caller.join(timeout=30)
        self.ingress.stop()
        if self.load.cpu_share < 1.0:
            throttle.stop()

    def _set_servers(self):
        """Draw which servers are slow and which lose their answers."""
        load = self.load
        servers = [s for s in self.world.servers.values() if s.service == "items"]
        self.rng.shuffle(servers)
        slow_count = round(load.slow_share * len(servers))
        lost_count = round(load.lost_share * len(servers))
        for number, server in enumerate(servers):
            is_slow = number < slow_count
            is_lost = slow_count <= number < slow_count + lost_count
            factor = load.slow_factor if is_slow else 1.0
            server.work_ms = load.work_ms * factor * self.rng.uniform(0.8, 1.2)
            server.behaviour = "lose_answer" if is_lost else "serve"

    def _stop_some(self, domain):
        threads = []
        for vm in self.rng.sample(self.vms_by_domain[domain], self._stopped_per_round):
            thread = threading.Thread(target=self._restart, args=(vm,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(self.rng.choice([0.0, 1.0, MAX_GAP_S]))
        for thread in threads:
            thread.join(timeout=30)

    def _restart(self, vm):
        self.terminated_s[vm].append(time.monotonic())
        code = self.world.daemons[vm].terminate_and_restart(GRACE_S)
        self.exit_codes.append((vm, code))
        self.world.wait_ready(vm)

    def findings(self):
        """Return a text for each request that a stop has cut against the rule."""
        findings = [
            f"{vm}: exit code {code} within {GRACE_S} s of SIGTERM"
            for vm, code in self.exit_codes
            if code != 0
        ]
        work = collections.defaultdict(list)
        for server in self.world.servers.values():
            for attempt, interval in server.work_s.items():
                work[attempt.decode()].append((server.server_id, *interval))
        for sent in self.requests:
            signals_s = self.terminated_s[sent.vm]
            budget_ms = self.load.budget_ms
            loss = describe_loss(sent, work[sent.attempt], signals_s, budget_ms)
            if loss:
                findings.append(loss)
        return findings

    def describe_unanswered(self):
        """Return how many requests had no answer, by what became of them."""
        ran = {
            attempt.decode()
            for server in self.world.servers.values()
            for attempt in server.work_s
        }
        counts = collections.Counter()
        for sent in self.requests:
            if sent.status is None:
                if not sent.sent:
                    kind = "not connected"
                elif sent.attempt in ran:
                    kind = "ran"
                else:
                    kind = (
                        f"not passed on, {'kept' if sent.reused else 'new'} connection"
                    )
                counts[kind] += 1
        return ", ".join(f"{count} {kind}" for kind, count in counts.items())


def run(
    seed,
    rounds,
    load=None,
    code_folder=None,
    keep_logs=None,
    daemons=DAEMONS_PER_DOMAIN,
    stopped=STOPPED_PER_ROUND,
):
    """Play one run and return its findings.

    Each failure domain has ``daemons``, of which ``stopped`` are stopped in a round.
    """
    load = load or Load()
    world = ProcessWorld(
        shards=1,
        target_ms=load.target_ms,
        timeout_ms=load.budget_ms,
        code_folder=code_folder,
    )
    try:
        for domain in ("a1", "b1"):
            for number in range(SERVERS_PER_DOMAIN):
                world.add_server(f"more-{number}-{domain}", "items", 91, domain)
            for number in range(daemons):
                world.add_daemon(f"{domain}-{number}", domain, bounds={"grace_s": 6})
        world.wait_ready()
        stops = RollingStops(world, load, seed, stopped)
        stops.play(rounds)
        findings = stops.findings()
        statuses = collections.Counter(str(sent.status) for sent in stops.requests)
        counts = ", ".join(f"{count} x {name}" for name, count in statuses.items())
        print(f"seed {seed}: {len(stops.requests)} requests: {counts}")
        print(f"seed {seed}: {stops.describe_unanswered()}", flush=True)
        if findings and keep_logs:
            world.keep_logs(keep_logs)
        return findings
    finally:
        world.stop()


def main():
    """Play the runs given on the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to play")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--code", help="folder of the code that the daemons run")
    parser.add_argument("--keep-logs", help="folder for the logs of failed runs")
    parser.add_argument(
        "--daemons", type=int, default=DAEMONS_PER_DOMAIN, help="by failure domain"
    )
    parser.add_argument(
        "--stopped", type=int, default=STOPPED_PER_ROUND, help="daemons in each round"
    )
    for name in Load.__slots__:
        option = "--" + name.replace("_", "-")
        parser.add_argument(option, type=float, default=getattr(Load(), name))
    options = parser.parse_args()
    load = Load(**{name: getattr(options, name) for name in Load.__slots__})
    load.budget_ms = int(load.budget_ms)
    # Exit through the finally clause on SIGTERM, which ends the daemon processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = f"{options.keep_logs}/{seed}" if options.keep_logs else None
        findings = run(
            seed,
            options.rounds,
            load,
            options.code,
            folder,
            options.daemons,
            options.stopped,
        )
        for finding in findings:
            print(f"seed {seed}: {finding}", flush=True)
        failed += bool(findings)
    print(f"{options.seeds - failed} of {options.seeds} seeds without a finding")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
