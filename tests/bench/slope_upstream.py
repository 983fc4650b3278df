"""Cost of HTTP calls to an upstream: the real adapter and the stand-in.

The stand-in runs in a process of its own, so that the processor time of each
end is measured separately.
"""

import json
import subprocess
import sys
import time
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import gatherResults

from hemlockspoke.adapters.http_upstream import HttpUpstreamClients
from hemlockspoke.clock import ReactorClock
from hemlockspoke.config.document import Server, UpstreamClass
from hemlockspoke.ports import UpstreamRequest
from tests.bench.slope_fit import FigureRow, SlopeRow, measurements
from tests.reactor_thread import run_in_reactor

PARTS = (1, 10, 50, 200)
CALLS = 300
ROUNDS = 4
CONNECTIONS = 8
STALL_MS = 5000
DEADLINE_MS = 5000
# The first field of this file is the processor time of the process in ns.
SCHEDSTAT = "/proc/{}/schedstat"


class StandIn:
    """The stand-in for upstreams as a process on loopback."""

    def __init__(self, service_ms=0):
        server = {
            "name": "s",
            "slots": CONNECTIONS,
            "connections": 2 * CONNECTIONS,
            "service_ms": service_ms,
            "rows_per_part": 1,
            "indexes": {"bins": {"1": {"parts_total": 200, "parts": list(range(200))}}},
        }
        config = json.dumps({"servers": [server]})
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.standins.upstream", "--config-json", config],
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        ports = json.loads(self.process.stdout.readline())
        self.address = f"127.0.0.1:{ports['servers']['s']}"

    def cpu_ns(self):
        """Return the processor time in ns that the process has used."""
        text = Path(SCHEDSTAT.format(self.process.pid)).read_text(encoding="ascii")
        return int(text.split()[0])

    def stop(self):
        """End the process."""
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()


class AdapterLoad:
    """Calls through the real adapter, with a constant number in flight."""

    def __init__(self, address, concurrency=CONNECTIONS):
        upstream_class = UpstreamClass("c", CONNECTIONS, CONNECTIONS)
        server = Server("s", upstream_class, address, "fd", "mtl")
        clients = HttpUpstreamClients(reactor, ReactorClock(reactor), STALL_MS)
        self.client = run_in_reactor(clients.connect, server)
        run_in_reactor(self.client.set_limit, CONNECTIONS)
        self.latencies_ms = []
        self._concurrency = concurrency

    def run(self, calls, parts):
        """Make ``calls`` calls for ``parts`` parts each and wait for the answers."""
        run_in_reactor(self._run, calls, parts)

    def _run(self, calls, parts):
        calls_per_sequence = calls // self._concurrency
        sequences = [
            self._call(calls_per_sequence, parts) for _ in range(self._concurrency)
        ]
        return gatherResults(sequences)

    def _call(self, remaining, parts):
        body = {
            "index": "bins",
            "version": 1,
            "parts": list(range(parts)),
            "query": {"stop": "Sainte-Foy", "radius_m": 400},
        }
        request = UpstreamRequest(f"r-{remaining}", body, DEADLINE_MS)
        start_s = time.monotonic()
        done = self.client.query(request)
        done.addCallback(self._done, remaining, parts, start_s)
        return done

    def _done(self, result, remaining, parts, start_s):
        assert result.is_ok(), str(result.error)
        self.latencies_ms.append((time.monotonic() - start_s) * 1000)
        return self._call(remaining - 1, parts) if remaining > 1 else None

    def close(self):
        """Close all connections."""
        run_in_reactor(self.client.close)


def call_cost(stand_in, load, parts):
    """Return the processor time in us of one call, in the adapter and the stand-in."""
    adapter_us, stand_in_us = [], []
    load.run(CONNECTIONS, parts)
    calls = CALLS // CONNECTIONS * CONNECTIONS
    for _ in range(ROUNDS):
        adapter_start_ns, stand_in_start_ns = time.process_time_ns(), stand_in.cpu_ns()
        load.run(calls, parts)
        adapter_us.append((time.process_time_ns() - adapter_start_ns) / calls / 1000)
        stand_in_us.append((stand_in.cpu_ns() - stand_in_start_ns) / calls / 1000)
    return min(adapter_us), min(stand_in_us)


@measurements.register("upstream")
def upstream():
    """Measure one HTTP call against the number of its parts."""
    stand_in = StandIn()
    try:
        load = AdapterLoad(stand_in.address)
        costs = [(parts, call_cost(stand_in, load, parts)) for parts in PARTS]
        load.close()
    finally:
        stand_in.stop()
    adapter_us = [(parts, cost[0]) for parts, cost in costs]
    stand_in_us = [(parts, cost[1]) for parts, cost in costs]
    return [
        SlopeRow("upstream: call, adapter", "us", "part", adapter_us),
        SlopeRow("upstream: call, stand-in", "us", "part", stand_in_us),
        FigureRow(
            "upstream: one part in a call of its own, adapter", "us", adapter_us[0][1]
        ),
        FigureRow(
            f"upstream: one part in a call of {PARTS[-1]}, adapter",
            "us",
            adapter_us[-1][1] / PARTS[-1],
        ),
    ]
