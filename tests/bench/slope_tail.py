"""The tail of a query with many sub-queries, from measured latencies.

Latencies of single sub-queries are measured over loopback with the real adapter;
the stand-in serves each for some ms, and some are stragglers.
"""

import random

from tests.bench.slope_fit import Figure, measurements
from tests.bench.slope_upstream import Caller, StandIn

SUB_QUERIES = 1700
LIMIT_MS = 69.0
QUANTILE = 0.99
SAMPLES = 4000
SERVICE_MS = 5
# Few requests under way at once, so that they do not wait for the stand-in itself.
CHAINS = 3
TRIALS = 300
HEDGE_QUANTILE = 0.95
MIN_HEDGE_MS = 5.0
STRAGGLER_FACTOR = 10


def measured_latencies_ms():
    """Return sorted latencies of sub-queries over loopback without stragglers."""
    stand_in = StandIn(service_ms=SERVICE_MS)
    try:
        caller = Caller(stand_in.address, CHAINS)
        caller.run(CHAINS * 8, 1)
        caller.latencies_ms.clear()
        caller.run(SAMPLES, 1)
        caller.close()
    finally:
        stand_in.stop()
    return sorted(caller.latencies_ms)


def quantile(values, ratio):
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(ratio * len(values)))]


def allowed_rate(sub_queries, share=1 - QUANTILE):
    """Return how often one sub-query may be late when a query waits for all.

    >>> round(allowed_rate(1) , 6)
    0.01
    """
    return 1 - (1 - share) ** (1 / sub_queries)


def hedge_delay_ms(latencies_ms):
    """Return the delay of the policy ``quantile`` for a distribution."""
    return max(MIN_HEDGE_MS, quantile(latencies_ms, HEDGE_QUANTILE))


def allowed_rate_hedged(rate, latencies_ms):
    """Return how often a sub-query may be late when a hedge follows it.

    It is lost when the primary is late, with a rate x, and the hedge is late by
    itself, again with x, or lacks the time since it was sent after the delay, with
    a rate y: x * (x + y) = ``rate``.
    """
    delay_ms = hedge_delay_ms(latencies_ms)
    too_slow = sum(1 for latency in latencies_ms if delay_ms + latency > LIMIT_MS)
    y = too_slow / len(latencies_ms)
    return ((y * y + 4 * rate) ** 0.5 - y) / 2


def query_quantile_ms(latencies_ms, rate, hedge, rng):
    """Return the 99th percentile of whole queries of 1,700 sub-queries."""
    delay_ms = hedge_delay_ms(latencies_ms)

    def one():
        latency_ms = rng.choice(latencies_ms)
        return latency_ms * STRAGGLER_FACTOR if rng.random() < rate else latency_ms

    slowest = []
    for _ in range(TRIALS):
        worst_ms = 0.0
        for _ in range(SUB_QUERIES):
            latency_ms = one()
            if hedge and latency_ms > delay_ms:
                latency_ms = min(latency_ms, delay_ms + one())
            worst_ms = max(worst_ms, latency_ms)
        slowest.append(worst_ms)
    return quantile(sorted(slowest), QUANTILE)


@measurements.register("tail")
def tail():
    """Measure a latency distribution and work out the tail of a query."""
    rng = random.Random(1)
    latencies_ms = measured_latencies_ms()
    rows = [
        Figure(f"tail: sub-query p{ratio * 100:g}", "ms", quantile(latencies_ms, ratio))
        for ratio in (0.5, 0.95, 0.99, 0.999)
    ]
    rate = allowed_rate(SUB_QUERIES)
    rows.append(Figure("tail: late sub-queries allowed, per million", "", rate * 1e6))
    hedged = allowed_rate_hedged(rate, latencies_ms)
    rows.append(Figure("tail: the same with hedging, per million", "", hedged * 1e6))
    for straggler_rate in (0.0, 1e-4, 1e-3, 1e-2):
        for hedge in (False, True):
            value = query_quantile_ms(latencies_ms, straggler_rate, hedge, rng)
            kind = "hedged" if hedge else "not hedged"
            name = f"tail: query p99, {straggler_rate:g} stragglers, {kind}"
            rows.append(Figure(name, "ms", value))
    return rows
