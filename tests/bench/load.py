"""Query load at a fixed rate from threads, with a latency histogram."""

import http.client
import json
import threading
import time

from hdrh.histogram import HdrHistogram

from tests.cluster import CALLER_PORT

HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3
# Shorter than the daemons' idle timeout, as in any HTTP client with a pool.
MAX_IDLE_S = 5.0
BALANCER_POLL_S = 1.0


class Sample:
    """Counts of outcomes and the latencies of a load."""

    __slots__ = (
        "complete",
        "connection_errors",
        "failed",
        "histogram",
        "inconsistent",
        "partial",
    )

    def __init__(self):
        self.histogram = HdrHistogram(
            HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS
        )
        self.complete = 0
        self.partial = 0
        # Counts of answers with a status other than 200, by problem type.
        self.failed = {}
        # Requests whose connection was closed or refused.
        self.connection_errors = 0
        # 200 answers whose rows contradict their snapshot or coverage.
        self.inconsistent = 0

    def percentile_ms(self, percentile):
        """Return a percentile (0 to 100) of the latency in ms."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def total(self):
        """Return the number of requests."""
        answered = self.complete + self.partial + self.connection_errors
        return answered + sum(self.failed.values())

    def summary(self):
        """Describe the outcome in one line."""
        return (
            f"{self.total()} requests, {self.complete} complete, "
            f"{self.partial} partial, {sum(self.failed.values())} refused or failed "
            f"{self.failed or ''}, {self.connection_errors} connection errors, "
            f"{self.inconsistent} inconsistent"
        )


class Load:
    """Sends queries at a steady rate, spread over the daemons.

    Latency is measured from the scheduled send time, so that a stalled daemon is
    not hidden by fewer requests. Once a second, daemons that are not ready are taken
    out of rotation, as the platform's load balancer does.
    """

    def __init__(self, cluster, index, rate_per_s, threads=16, deadline_ms=2000):
        self.cluster = cluster
        self.index = index
        self.rate_per_s = rate_per_s
        self.deadline_ms = deadline_ms
        self.sample = Sample()
        self.in_rotation = list(cluster.daemons)
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._next_due_s = 0.0
        self._next_daemon = 0
        self._threads = [
            threading.Thread(target=self._send_loop, daemon=True)
            for _ in range(threads)
        ]
        self._threads.append(threading.Thread(target=self._poll_readiness, daemon=True))

    def start(self):
        """Start sending."""
        self._next_due_s = time.monotonic()
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Stop sending and return the last sample."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.sample

    def swap_sample(self):
        """Return the current sample and start a new one."""
        with self._lock:
            sample, self.sample = self.sample, Sample()
        return sample

    def run_for(self, duration_s):
        """Start a new sample, wait for ``duration_s`` and return it."""
        self.swap_sample()
        time.sleep(duration_s)
        return self.swap_sample()

    def _poll_readiness(self):
        while not self._stop.wait(BALANCER_POLL_S):
            ready = [daemon for daemon in self.cluster.daemons if daemon.is_ready()]
            if ready:
                self.in_rotation = ready

    def _next_request(self):
        with self._lock:
            due_s = self._next_due_s
            self._next_due_s += 1.0 / self.rate_per_s
            self._next_daemon += 1
            rotation = self.in_rotation
            daemon = rotation[self._next_daemon % len(rotation)]
        return due_s, daemon

    def _send_loop(self):
        connections = {}
        while not self._stop.is_set():
            due_s, daemon = self._next_request()
            delay_s = due_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            self._send(connections, daemon, due_s)
        for connection, _ in connections.values():
            connection.close()

    def _send(self, connections, daemon, due_s):
        service = self.cluster.layout.service
        path = f"/v1/services/{service}/indexes/{self.index}/query"
        body = json.dumps({"query": {}, "deadline_ms": self.deadline_ms})
        try:
            status, answer = self._exchange(connections, daemon, path, body)
        except (OSError, http.client.HTTPException):
            with self._lock:
                self.sample.connection_errors += 1
            return
        elapsed_us = int((time.monotonic() - due_s) * 1_000_000)
        with self._lock:
            self._record(status, answer, elapsed_us)

    def _exchange(self, connections, daemon, path, body):
        connection, last_used_s = connections.pop(daemon.vm, (None, 0.0))
        if connection is not None and time.monotonic() - last_used_s > MAX_IDLE_S:
            connection.close()
            connection = None
        if connection is None:
            timeout_s = self.deadline_ms / 1000 + 5
            connection = http.client.HTTPConnection(
                daemon.host, CALLER_PORT, timeout=timeout_s
            )
        connection.request("POST", path, body, {"Content-Type": "application/json"})
        reply = connection.getresponse()
        answer = json.loads(reply.read())
        if reply.getheader("Connection", "").lower() == "close":
            connection.close()
        else:
            connections[daemon.vm] = (connection, time.monotonic())
        return reply.status, answer

    def _record(self, status, answer, elapsed_us):
        sample = self.sample
        sample.histogram.record_value(min(elapsed_us, HISTOGRAM_MAX_US))
        if status != 200:
            name = answer.get("type", str(status)).rpartition(":")[2]
            sample.failed[name] = sample.failed.get(name, 0) + 1
            return
        if answer["complete"]:
            sample.complete += 1
        else:
            sample.partial += 1
        sample.inconsistent += not is_consistent_answer(answer)


def is_consistent_answer(answer):
    """Return whether the rows, snapshot and coverage of an answer agree."""
    version = answer["snapshot"]["version"]
    coverage = answer["coverage"]
    missing = coverage["missing_parts"]
    parts = {row["part"] for row in answer["rows"]}
    return (
        all(row["version"] == version for row in answer["rows"])
        and len(parts) == coverage["parts_answered"]
        and coverage["parts_answered"] + len(missing) == coverage["parts_total"]
        and parts.isdisjoint(missing)
    )
