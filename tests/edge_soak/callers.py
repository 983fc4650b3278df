"""Callers of a soak, and what their answers must not show."""

import itertools
import threading
import time

from hemlockspoke.tier.merge import greatest_records
from tests.platform_world import ITEM_PATH, ORDER_PATH, QUERY_PATH

TOP_K = 5
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
CALLER_BUDGET_MS = 1500
PAUSE_S = 0.02


class Outcome:
    """One request and what came of it."""

    __slots__ = ("attempt", "path", "sent_s", "status", "took_ms", "vm")

    def __init__(self, attempt, path, vm, sent_s, status, took_ms):
        self.attempt = attempt
        self.path = path
        self.vm = vm
        self.sent_s = sent_s
        self.status = status
        self.took_ms = took_ms


class Callers:
    """Threads that send requests to daemons until they are stopped."""

    def __init__(self, world, count):
        self._world = world
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        self.outcomes = []
        self.findings = []

    def start(self):
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout=30)
            if thread.is_alive():
                self.findings.append("a caller waits for an answer for 30 s")

    def _run(self, number):
        paths = itertools.cycle([QUERY_PATH, ITEM_PATH, QUERY_PATH, ORDER_PATH])
        names = sorted(self._world.addresses)
        # A caller uses its open connections until the daemon at the end is gone.
        pools = [(vm, self._world.caller_pool(vm)) for vm in names]
        pools = itertools.cycle(pools[number:] + pools[:number])
        while not self._stopped.wait(PAUSE_S):
            vm, pool = next(pools)
            self.send(vm, next(paths), pool)

    def send(self, vm, path, pool=None):
        """Send one request and check its answer."""
        attempt = f"soak{next(self._numbers)}"
        method, body = (b"POST", b"two tonnes") if path == ORDER_PATH else (b"GET", b"")
        sent_s = time.monotonic()
        reply = self._world.request(
            vm, f"{path}x", attempt, method, body, CALLER_BUDGET_MS, pool=pool
        )
        status = reply.status
        took_ms = (time.monotonic() - sent_s) * 1000
        outcome = Outcome(attempt, path, vm, sent_s, status, took_ms)
        self.outcomes.append(outcome)
        if status == 200:
            self._check(outcome, reply)
        return outcome

    def _check(self, outcome, reply):
        if outcome.path == QUERY_PATH:
            self._check_query(outcome, reply)
            return
        proof = reply.headers.get("x-hemlockspoke-server-stamp", b"").decode()
        if not proof.endswith(f".{outcome.attempt}"):
            self.findings.append(f"{outcome.attempt}: proof {proof!r} of another")
        server = self._world.servers.get(proof.split(".", 1)[0])
        if server is None or reply.body != server.body:
            self.findings.append(f"{outcome.attempt}: the body is not the server's")

    def _check_query(self, outcome, reply):
        proofs = reply.headers.get("x-hemlockspoke-part-stamps", b"").decode()
        names = [proof.strip() for proof in proofs.split(",") if proof.strip()]
        missing = int(reply.headers.get("x-hemlockspoke-parts-missing", b"0"))
        shards = []
        for proof in names:
            server = self._world.servers.get(proof.split(".", 1)[0])
            if server is None or not proof.endswith(f".{outcome.attempt}"):
                self.findings.append(f"{outcome.attempt}: proof {proof!r} of another")
                return
            shards.append(server)
        services = {server.service for server in shards}
        if len(services) != len(shards):
            self.findings.append(f"{outcome.attempt}: a shard counts twice")
        if len(services) + missing not in self._world.set_sizes:
            self.findings.append(f"{outcome.attempt}: coverage {len(services)} of ?")
        if len(services) < self._world.min_coverage * (len(services) + missing):
            self.findings.append(f"{outcome.attempt}: too few shards in a success")
        bodies = [server.body for server in shards]
        if reply.body != greatest_records(bodies, TOP_K):
            self.findings.append(f"{outcome.attempt}: not the greatest records")


def judge_runs(outcomes, servers):
    """Return what the servers' runs show of requests that may run once at most."""
    runs = {}
    for server in servers:
        for attempt in server.runs:
            runs[attempt.decode()] = runs.get(attempt.decode(), 0) + 1
    findings = []
    sent = {outcome.attempt for outcome in outcomes}
    for outcome in outcomes:
        count = runs.get(outcome.attempt, 0)
        if outcome.path == ORDER_PATH and count > 1:
            findings.append(f"{outcome.attempt}: an order ran {count} times")
        if outcome.status in PROMISES and count:
            findings.append(f"{outcome.attempt}: {outcome.status}, but it has run")
    findings.extend(
        f"{attempt}: a run that no caller asked for" for attempt in runs.keys() - sent
    )
    return findings
