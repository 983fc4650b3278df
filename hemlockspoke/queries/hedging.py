"""Hedge policies: when a sub-query is sent to a second replica.

A policy observes the latencies of one index. It returns the delay in ms after which an
unanswered sub-query is hedged, or None to never hedge.
"""

import math

from hemlockspoke.registry import Registry

hedge_policies = Registry("hedge policy")

# Shorter delays would hedge on the scheduling jitter of the daemon itself.
MIN_DELAY_MS = 5.0
# Initial estimate, used until enough latencies have been observed.
INITIAL_DELAY_MS = 50.0
HEDGE_QUANTILE = 0.95
# Fraction of a query's sub-queries whose answer times give the reference for its
# stragglers. At 0.95, three stragglers among 40 sub-queries would prevent the
# fraction from ever being reached.
MOST_ANSWERED_RATIO = 0.8
# A sub-query slower than this multiple of the reference time is a straggler.
STRAGGLER_FACTOR = 1.2
# Multiple of the quantile that is used while there is no reference time.
FALLBACK_FACTOR = 2.0
# Relative size of one correction. Smaller steps follow a latency change too slowly,
# larger ones make the estimate noisy.
STEP_RATIO = 0.02


class QueryProgress:
    """Answer times of most sub-queries of one query.

    >>> progress = QueryProgress(2)
    >>> progress.note_answer(7.0)
    >>> progress.most_answered_ms()
    7.0
    """

    __slots__ = ("_answer_times_ms", "_most_count")

    def __init__(self, sub_queries):
        self._answer_times_ms = []
        most_count = math.ceil(MOST_ANSWERED_RATIO * sub_queries)
        self._most_count = min(most_count, sub_queries - 1)

    def note_answer(self, elapsed_ms):
        """Record the answer of a sub-query, ``elapsed_ms`` after the fan-out."""
        if len(self._answer_times_ms) < self._most_count:
            self._answer_times_ms.append(elapsed_ms)

    def most_answered_ms(self):
        """Return when most sub-queries had been answered, in ms after the fan-out.

        None until then, and always for a query with a single sub-query.
        """
        if self._most_count < 1 or len(self._answer_times_ms) < self._most_count:
            return None
        return self._answer_times_ms[-1]


class StreamingQuantile:
    """Estimate of a quantile that is corrected by a small step for each value.

    A value above the estimate raises it by ``quantile`` steps, any other value lowers
    it by ``1 - quantile`` steps, so it converges to the quantile. It needs no window
    of samples and accepts values that are only known to exceed the estimate.

    >>> estimate = StreamingQuantile(0.5, 10.0)
    >>> estimate.observe(20.0)
    >>> estimate.value > 10.0
    True
    """

    __slots__ = ("_lower_factor", "_raise_factor", "value")

    def __init__(self, quantile, initial):
        self._raise_factor = 1.0 + STEP_RATIO * quantile
        self._lower_factor = 1.0 - STEP_RATIO * (1.0 - quantile)
        self.value = initial

    def observe(self, value):
        """Correct the estimate by one observed value."""
        if value > self.value:
            self.value *= self._raise_factor
        else:
            self.value *= self._lower_factor

    def observe_above(self):
        """Correct the estimate by a value that is only known to exceed it."""
        self.value *= self._raise_factor


@hedge_policies.register("none")
class NoHedging:
    """Baseline that never hedges."""

    __slots__ = ()

    def observe(self, latency_ms):
        """Ignore the latency."""

    def observe_overdue(self):
        """Ignore a sub-query that has not been answered within the delay."""

    def delay_ms(self, progress):
        """Return None: no sub-query is hedged."""


@hedge_policies.register("quantile")
class QuantileHedging:
    """Hedges sub-queries slower than a high quantile of the index's latencies."""

    __slots__ = ("_estimate",)

    def __init__(self):
        self._estimate = StreamingQuantile(HEDGE_QUANTILE, INITIAL_DELAY_MS)

    def observe(self, latency_ms):
        """Record the latency of a sub-query that was answered within the delay."""
        self._estimate.observe(latency_ms)

    def observe_overdue(self):
        """Record a sub-query that was not answered within the delay.

        It is recorded when it is hedged, because the slower of the two is cancelled
        and its latency is never known.
        """
        self._estimate.observe_above()

    def delay_ms(self, progress):
        """Return the delay after which a sub-query is hedged."""
        return max(MIN_DELAY_MS, self._estimate.value)


@hedge_policies.register("relative")
class RelativeHedging(QuantileHedging):
    """Hedges sub-queries that are slow relative to the others of their query.

    A period in which all servers are slow raises the quantile over all queries, so
    stragglers would be hedged too late. The other sub-queries of the same query are
    slowed down equally, so their answer times are a better reference. Until most of
    them are answered, for instance because a holder is stalled, the delay is
    ``FALLBACK_FACTOR`` times the quantile over all queries.
    """

    __slots__ = ()

    def delay_ms(self, progress):
        """Return the delay after which a sub-query of this query is hedged."""
        most_ms = progress.most_answered_ms()
        if most_ms is None:
            return FALLBACK_FACTOR * super().delay_ms(progress)
        return max(MIN_DELAY_MS, STRAGGLER_FACTOR * most_ms)
