"""Tail latency of a query with many sub-queries, from measured latencies.

Latencies of single sub-queries are measured over loopback with the real adapter;
the stand-in takes ``SERVICE_MS`` for each, and stragglers are simulated.
"""

import random

from tests.bench.slope_fit import FigureRow, measurements
from tests.bench.slope_upstream import AdapterLoad, StandIn

SUB_QUERIES = 1700
# A sub-query that takes longer is late, and so is its query.
SUB_QUERY_LIMIT_MS = 69.0
QUANTILE = 0.99
SAMPLES = 4000
SERVICE_MS = 5
# Few requests in flight, so that they do not queue in the stand-in's process.
CONCURRENCY = 3
TRIALS = 300
HEDGE_QUANTILE = 0.95
MIN_HEDGE_MS = 5.0
STRAGGLER_FACTOR = 10


def measured_latencies_ms():
    """Return sorted latencies of sub-queries over loopback without stragglers."""
    stand_in = StandIn(service_ms=SERVICE_MS)
    try:
        load = AdapterLoad(stand_in.address, CONCURRENCY)
        load.run(CONCURRENCY * 8, 1)
        load.latencies_ms.clear()
        load.run(SAMPLES, 1)
        load.close()
    finally:
        stand_in.stop()
    return sorted(load.latencies_ms)


def quantile(values, ratio):
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(ratio * len(values)))]


def allowed_rate(sub_queries, late_query_ratio=1 - QUANTILE):
    """Return how often one sub-query may be late when a query waits for all.

    >>> round(allowed_rate(1) , 6)
    0.01
    """
    return 1 - (1 - late_query_ratio) ** (1 / sub_queries)


def hedge_delay_ms(latencies_ms):
    """Return the delay of the policy ``quantile`` for a distribution."""
    return max(MIN_HEDGE_MS, quantile(latencies_ms, HEDGE_QUANTILE))


def allowed_rate_hedged(rate, latencies_ms):
    """Return how often a sub-query may be late when a hedge follows it.

    A sub-query is late if its primary is late, at a rate x, and its hedge is late
    too: by itself, again at x, or because the hedge delay leaves it too little time,
    at a rate y.
    So x * (x + y) = ``rate``, and x is returned.
    """
    delay_ms = hedge_delay_ms(latencies_ms)
    late_hedges = sum(
        1 for latency in latencies_ms if delay_ms + latency > SUB_QUERY_LIMIT_MS
    )
    hedge_late_rate = late_hedges / len(latencies_ms)
    return ((hedge_late_rate * hedge_late_rate + 4 * rate) ** 0.5 - hedge_late_rate) / 2


def query_quantile_ms(latencies_ms, rate, hedge, rng):
    """Return the 99th percentile in ms of simulated queries of ``SUB_QUERIES``."""
    delay_ms = hedge_delay_ms(latencies_ms)

    def draw_latency_ms():
        latency_ms = rng.choice(latencies_ms)
        return latency_ms * STRAGGLER_FACTOR if rng.random() < rate else latency_ms

    slowest = []
    for _ in range(TRIALS):
        worst_ms = 0.0
        for _ in range(SUB_QUERIES):
            latency_ms = draw_latency_ms()
            if hedge and latency_ms > delay_ms:
                latency_ms = min(latency_ms, delay_ms + draw_latency_ms())
            worst_ms = max(worst_ms, latency_ms)
        slowest.append(worst_ms)
    return quantile(sorted(slowest), QUANTILE)


@measurements.register("tail")
def tail():
    """Measure a latency distribution and compute the tail latency of a query."""
    rng = random.Random(1)
    latencies_ms = measured_latencies_ms()
    rows = [
        FigureRow(
            f"tail: sub-query p{ratio * 100:g}", "ms", quantile(latencies_ms, ratio)
        )
        for ratio in (0.5, 0.95, 0.99, 0.999)
    ]
    rate = allowed_rate(SUB_QUERIES)
    rows.append(
        FigureRow("tail: late sub-queries allowed, per million", "", rate * 1e6)
    )
    hedged = allowed_rate_hedged(rate, latencies_ms)
    rows.append(FigureRow("tail: the same with hedging, per million", "", hedged * 1e6))
    for straggler_rate in (0.0, 1e-4, 1e-3, 1e-2):
        for hedge in (False, True):
            value = query_quantile_ms(latencies_ms, straggler_rate, hedge, rng)
            kind = "hedged" if hedge else "not hedged"
            name = f"tail: query p99, {straggler_rate:g} stragglers, {kind}"
            rows.append(FigureRow(name, "ms", value))
    return rows
