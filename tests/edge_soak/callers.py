"""Callers of a soak and the checks on the answers they receive."""

import itertools
import threading
import time

from hemlockspoke.tier.sending.merge import greatest_records
from tests.platform_world import ITEM_PATH, ORDER_PATH, QUERY_PATH
from tests.standins.shard_server import SENDER_HEADER

TOP_K = 5
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CALLER_BUDGET_MS = 1500
SEND_INTERVAL_S = 0.02


def key_headers(key):
    """Return the headers that carry the key of an account, or none without a key."""
    return [] if key is None else [(b"X-Api-Key", key.encode())]


class Outcome:
    """One request and its result; ``status`` is None if the connection failed.

    ``key`` is that of its account, or None in a soak without accounts.
    ``server_ids`` are those of the servers whose proofs it has, and ``says_leaving`` is
    whether it passes on that its server leaves. ``sent`` is False if no connection was
    opened.
    """

    __slots__ = (
        "attempt",
        "key",
        "path",
        "says_leaving",
        "sent",
        "sent_s",
        "server_ids",
        "status",
        "took_ms",
        "vm",
    )

    def __init__(self, attempt, path, vm, sent_s, status, took_ms, key=None):
        self.attempt = attempt
        self.key = key
        self.path = path
        self.vm = vm
        self.sent_s = sent_s
        self.status = status
        self.took_ms = took_ms
        self.server_ids = frozenset()
        self.says_leaving = False
        self.sent = True


class Callers:
    """Threads that send requests to daemons until they are stopped.

    ``name`` begins the ids of their attempts. They use ``keys`` in turn, or that of the
    world. Each waits for ``interval_s`` between its requests.
    """

    def __init__(
        self, world, count, name="soak", keys=None, interval_s=SEND_INTERVAL_S
    ):
        self._world = world
        self._name = name
        self._keys = list(keys or [world.key])
        self._interval_s = interval_s
        self._attempt_numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(caller_index,), daemon=True)
            for caller_index in range(count)
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
                self.findings.append("a caller still waits for an answer after 30 s")

    def add_key(self, key):
        """Use another key too."""
        self._keys.append(key)

    def _run(self, caller_index):
        paths = itertools.cycle([QUERY_PATH, ITEM_PATH, QUERY_PATH, ORDER_PATH])
        vms = sorted(self._world.addresses)
        # A caller reuses its open connections until the daemon closes them.
        pools = [(vm, self._world.caller_pool(vm)) for vm in vms]
        pools = itertools.cycle(pools[caller_index:] + pools[:caller_index])
        while not self._stopped.wait(self._interval_s):
            vm, pool = next(pools)
            self.send(vm, next(paths), pool)

    def send(self, vm, path, pool=None):
        """Send one request and check its answer."""
        number = next(self._attempt_numbers)
        attempt = f"{self._name}{number}"
        # Each round over the keys is shifted, as daemons are called in turn as well.
        keys = list(self._keys)
        key = keys[(number + number // len(keys)) % len(keys)]
        method, body = (b"POST", b"two tonnes") if path == ORDER_PATH else (b"GET", b"")
        sent_s = time.monotonic()
        # Parts of a query may be sent by other daemons, the others are sent by this VM.
        extra = [] if path == QUERY_PATH else [(SENDER_HEADER, vm.encode())]
        extra += key_headers(key)
        reply = self._world.request(
            vm, f"{path}x", attempt, method, body, CALLER_BUDGET_MS, extra, pool
        )
        status = reply.status
        took_ms = (time.monotonic() - sent_s) * 1000
        outcome = Outcome(attempt, path, vm, sent_s, status, took_ms, key)
        proofs = reply.headers.get("x-hemlockspoke-part-stamps", b"")
        proofs = reply.headers.get("x-hemlockspoke-server-stamp", proofs)
        outcome.server_ids = frozenset(
            proof.strip().split(".")[0] for proof in proofs.decode().split(",")
        )
        outcome.sent = reply.sent
        outcome.says_leaving = "server-leaving" in reply.headers
        self.outcomes.append(outcome)
        if status == 200:
            self._check(outcome, reply)
        return outcome

    def _check(self, outcome, reply):
        if outcome.path == QUERY_PATH:
            self._check_query(outcome, reply)
            return
        stamp = reply.headers.get("x-hemlockspoke-server-stamp", b"").decode()
        if not stamp.endswith(f".{outcome.attempt}"):
            self.findings.append(f"{outcome.attempt}: wrong server stamp {stamp!r}")
        server = self._world.servers.get(stamp.split(".", 1)[0])
        if server is None or reply.body != server.body:
            self.findings.append(
                f"{outcome.attempt}: the body differs from the server's"
            )

    def _check_query(self, outcome, reply):
        stamp_list = reply.headers.get("x-hemlockspoke-part-stamps", b"").decode()
        stamps = [stamp.strip() for stamp in stamp_list.split(",") if stamp.strip()]
        missing = int(reply.headers.get("x-hemlockspoke-parts-missing", b"0"))
        answering_servers = []
        for stamp in stamps:
            server = self._world.servers.get(stamp.split(".", 1)[0])
            if server is None or not stamp.endswith(f".{outcome.attempt}"):
                self.findings.append(f"{outcome.attempt}: wrong server stamp {stamp!r}")
                return
            answering_servers.append(server)
        services = {server.service for server in answering_servers}
        if len(services) != len(answering_servers):
            self.findings.append(f"{outcome.attempt}: a shard is counted twice")
        if len(services) + missing not in self._world.shard_counts:
            self.findings.append(
                f"{outcome.attempt}: wrong number of parts with {len(services)} shards"
            )
        if len(services) < self._world.min_coverage * (len(services) + missing):
            self.findings.append(
                f"{outcome.attempt}: a success below the minimum coverage"
            )
        bodies = [server.body for server in answering_servers]
        if reply.body != greatest_records(bodies, TOP_K):
            self.findings.append(
                f"{outcome.attempt}: the body does not hold the greatest records"
            )


def check_runs(outcomes, servers):
    """Return findings on orders that ran twice and requests that ran after a refusal.

    An attempt that a server ran although no caller sent it is a finding too.
    """
    runs = {}
    for server in servers:
        for attempt in server.executed_attempts:
            runs[attempt.decode()] = runs.get(attempt.decode(), 0) + 1
    findings = []
    sent = {outcome.attempt for outcome in outcomes}
    for outcome in outcomes:
        count = runs.get(outcome.attempt, 0)
        if outcome.path == ORDER_PATH and count > 1:
            findings.append(f"{outcome.attempt}: an order ran {count} times")
        if outcome.status in NOT_RUN_STATUSES and count:
            findings.append(
                f"{outcome.attempt}: status {outcome.status}, but the request has run"
            )
    findings.extend(
        f"{attempt}: a server ran an attempt that no caller sent"
        for attempt in runs.keys() - sent
    )
    return findings
