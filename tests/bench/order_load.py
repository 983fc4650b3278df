"""A load of orders with retries over other VMs, and what callers were told."""

import http.client
import random
import threading
import time
import uuid

MAX_TRIES = 4


class OrderLoad:
    """Sends orders one after the other in each thread.

    An order whose outcome is unknown, or that was refused, is repeated with the
    same key through another VM.
    """

    def __init__(self, cluster, order, threads=4, seed=1):
        self.cluster = cluster
        self.order = order
        self.done = 0
        self.refused = 0
        self.unknown = 0
        self.cut = 0
        # Outcomes told to the caller of each key, in order.
        self.told = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(seed + n,), daemon=True)
            for n in range(threads)
        ]

    def start(self):
        """Start sending."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Stop sending; every thread finishes its order."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def run_for(self, duration_s):
        """Send for some time."""
        self.start()
        time.sleep(duration_s)
        self.stop()

    def _work(self, seed):
        rng = random.Random(seed)
        while not self._stop.is_set():
            key = uuid.uuid4().hex
            told = []
            for _ in range(rng.randint(1, MAX_TRIES)):
                told.append(self._send(rng.choice(self.cluster.daemons), key))
            with self._lock:
                self.told[key] = told
            time.sleep(0.02)

    def _send(self, daemon, key):
        body = {"tonnes": 2}
        service = self.cluster.layout.service
        try:
            reply = daemon.order(service, self.order, key, body)
        except (OSError, http.client.HTTPException):
            return self._count("cut")
        if reply.status == 200:
            return self._count("done")
        refused = reply.body["outcome"] == "not_run"
        return self._count("refused" if refused else "unknown")

    def _count(self, outcome):
        with self._lock:
            setattr(self, outcome, getattr(self, outcome) + 1)
        return outcome

    def _runs(self):
        runs = {}
        for counters in self.cluster.upstream_counters().values():
            for key, count in counters["order_keys"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def false_not_run(self):
        """Return how many keys were only ever refused as not run, and yet ran."""
        runs = self._runs()
        refused = [k for k, told in self.told.items() if set(told) == {"refused"}]
        return sum(runs.get(key, 0) > 0 for key in refused)

    def true_refusals(self):
        """Tell whether every refusal was true and at least one was made."""
        return self.refused > 0 and self.false_not_run() == 0

    def summary(self):
        """Describe the outcomes of all requests."""
        return (
            f"{len(self.told)} orders: {self.done} done, {self.refused} not run, "
            f"{self.unknown} unknown, {self.cut} cut"
        )
