"""Order load with retries through other VMs, and the outcomes callers received."""

import http.client
import random
import threading
import time
import uuid

MAX_ATTEMPTS = 4


class OrderLoad:
    """Sends orders sequentially in each of several threads.

    An order is sent up to ``MAX_ATTEMPTS`` times with the same key, each time through
    a random VM, as callers do when the outcome is unknown or the order was refused.
    """

    def __init__(self, cluster, order, threads=4, seed=1):
        self.cluster = cluster
        self.order = order
        self.done = 0
        self.refused = 0
        self.unknown = 0
        self.connection_errors = 0
        # Outcomes that the caller of each key received, in order.
        self.outcomes_by_key = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._order_loop, args=(seed + n,), daemon=True)
            for n in range(threads)
        ]

    def start(self):
        """Start sending."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Stop sending; every thread finishes the attempts of its order."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def run_for(self, duration_s):
        """Send orders for ``duration_s``, then stop."""
        self.start()
        time.sleep(duration_s)
        self.stop()

    def _order_loop(self, seed):
        rng = random.Random(seed)
        while not self._stop.is_set():
            key = uuid.uuid4().hex
            outcomes = []
            for _ in range(rng.randint(1, MAX_ATTEMPTS)):
                outcomes.append(self._send(rng.choice(self.cluster.daemons), key))
            with self._lock:
                self.outcomes_by_key[key] = outcomes
            time.sleep(0.02)

    def _send(self, daemon, key):
        body = {"tonnes": 2}
        service = self.cluster.layout.service
        try:
            reply = daemon.order(service, self.order, key, body)
        except (OSError, http.client.HTTPException):
            return self._count("connection_errors")
        if reply.status == 200:
            return self._count("done")
        refused = reply.body["outcome"] == "not_run"
        return self._count("refused" if refused else "unknown")

    def _count(self, outcome):
        with self._lock:
            setattr(self, outcome, getattr(self, outcome) + 1)
        return outcome

    def _runs_by_key(self):
        runs = {}
        for counters in self.cluster.upstream_counters().values():
            for key, count in counters["order_keys"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def count_false_not_run(self):
        """Return how many keys ran although every attempt was refused as not run."""
        runs = self._runs_by_key()
        refused_keys = [
            key
            for key, outcomes in self.outcomes_by_key.items()
            if set(outcomes) == {"refused"}
        ]
        return sum(runs.get(key, 0) > 0 for key in refused_keys)

    def refusals_are_true(self):
        """Return whether there were refusals and no key that was only refused ran."""
        return self.refused > 0 and self.count_false_not_run() == 0

    def summary(self):
        """Describe the outcomes of all requests in one line."""
        return (
            f"{len(self.outcomes_by_key)} orders: {self.done} done, "
            f"{self.refused} not run, {self.unknown} unknown, "
            f"{self.connection_errors} connection errors"
        )
