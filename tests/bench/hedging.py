"""Simulated tail latency of the hedge policies, printed as a plain table.

40 parts on 40 shards of two replicas; a server runs two sub-queries at a time and
queues the others. Each sub-query takes 10 times as long with a probability of 1%,
independently of its replica. Time comes from a manual clock; only the upstreams and
the network to them are simulated.
"""

import random
import sys
from collections import deque

from hemlockspoke.messages import SubAnswerBatch, SubQueryCancel
from hemlockspoke.queries.hedging import hedge_policies
from hemlockspoke.requests import QueryRequest
from tests.fuzz.query_fakes import SERVICE, FakeQueryTier, make_document

PARTS = 40
SLOTS_PER_SERVER = 2
MEASURED_QUERIES = 5000
WARM_UP_QUERIES = 500
MEAN_SERVICE_MS = 10.0
SLOW_RATIO = 0.01
SLOW_FACTOR = 10.0
LINK_DELAY_MS = 1.0
DEADLINE_MS = 5000


class SimulatedServer:
    """A server with two slots and a queue; a cancellation frees its slot."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.running = {}
        self.queue = deque()

    def submit(self, job):
        self.queue.append(job)
        self.start_queued()

    def start_queued(self):
        while self.queue and len(self.running) < SLOTS_PER_SERVER:
            job = self.queue.popleft()
            duration_ms = self.simulation.service_time_ms()
            clock = self.simulation.tier.clock
            self.running[job.key] = clock.call_later(duration_ms, self.finish, job)
            self.simulation.started_jobs += 1

    def finish(self, job):
        del self.running[job.key]
        self.simulation.send_answer(job)
        self.start_queued()

    def cancel(self, key):
        timer = self.running.pop(key, None)
        if timer is not None:
            timer.cancel()
        self.queue = deque(job for job in self.queue if job.key != key)
        self.start_queued()


class Job:
    """One sub-query at a server."""

    def __init__(self, vm, batch, item):
        self.vm, self.batch = vm, batch
        self.sub_id, self.server, self.parts = item
        self.key = (batch.request_id, self.sub_id)


class Simulation:
    """Queries at a fixed rate against simulated servers."""

    def __init__(self, policy, utilization, seed):
        document = make_document(
            PARTS,
            hedge_policy=policy,
            max_concurrent_queries=10_000,
            max_deadline_ms=DEADLINE_MS,
        )
        self.tier = FakeQueryTier(document, seed=seed)
        self.tier.engine.send = self.send
        self.rng = random.Random(seed)
        self.servers = {name: SimulatedServer(self) for name in document.servers}
        self.jobs = {}
        self.started_jobs = 0
        self.latencies, self.partial = [], 0
        # Each query sends one sub-query per shard, to one of its two replicas.
        work_ms = MEAN_SERVICE_MS * (1 + SLOW_RATIO * (SLOW_FACTOR - 1))
        self.interval_ms = work_ms / (2 * SLOTS_PER_SERVER * utilization)
        for name in document.servers:
            self.tier.report(name, {1: (PARTS, [int(name[1:3])])})

    def service_time_ms(self):
        duration_ms = self.rng.uniform(0.5, 1.5) * MEAN_SERVICE_MS
        slow = self.rng.random() < SLOW_RATIO
        return duration_ms * (SLOW_FACTOR if slow else 1.0)

    def send(self, vm, message):
        self.tier.clock.call_later(LINK_DELAY_MS, self.receive, vm, message)
        return True

    def receive(self, vm, message):
        if isinstance(message, SubQueryCancel):
            for sub_id in message.sub_ids:
                job = self.jobs.pop((message.request_id, sub_id), None)
                if job is not None:
                    self.servers[job.server].cancel(job.key)
            return
        for item in message.items:
            job = Job(vm, message, item)
            self.jobs[job.key] = job
            self.servers[job.server].submit(job)

    def send_answer(self, job):
        del self.jobs[job.key]
        rows = {str(part): [] for part in job.parts}
        item = [job.sub_id, "ok", job.batch.version, rows]
        message = SubAnswerBatch(request_id=job.batch.request_id, items=[item])
        self.tier.clock.call_later(
            LINK_DELAY_MS, self.tier.engine.receive, job.vm, message
        )

    def run(self):
        """Run all queries; return the ratio of extra to planned sub-queries."""
        for number in range(WARM_UP_QUERIES + MEASURED_QUERIES):
            if number == WARM_UP_QUERIES:
                self.latencies.clear()
                self.started_jobs = 0
            started_ms = self.tier.clock.now_ms()
            self.start_query(started_ms)
            self.tier.clock.advance(self.rng.expovariate(1 / self.interval_ms))
        started_jobs = self.started_jobs
        self.tier.clock.advance(DEADLINE_MS)
        self.latencies.sort()
        return started_jobs / (MEASURED_QUERIES * PARTS) - 1

    def start_query(self, started_ms):
        def record(result):
            self.latencies.append(self.tier.clock.now_ms() - started_ms)
            self.partial += bool(result.ok.missing_parts)

        request = QueryRequest(SERVICE, "bins", {}, DEADLINE_MS)
        self.tier.engine.run(request).addCallback(record)

    def quantile(self, ratio):
        return self.latencies[int(ratio * len(self.latencies))]


def main(seeds):
    """Print one line for each load, policy and seed."""
    print("load  policy    seed  p50_ms  p99_ms  p999_ms  extra_%  partial")
    for load in (0.1, 0.3, 0.5):
        for policy in hedge_policies.names():
            for seed in seeds:
                simulation = Simulation(policy, load, seed)
                extra_ratio = simulation.run()
                print(
                    f"{load:4.1f}  {policy:8}  {seed:4d}  "
                    f"{simulation.quantile(0.5):6.1f}  {simulation.quantile(0.99):6.1f}"
                    f"  {simulation.quantile(0.999):7.1f}  {100 * extra_ratio:7.2f}"
                    f"  {simulation.partial:7d}"
                )


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or [1])
