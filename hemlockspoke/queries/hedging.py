"""Hedge policies: when a sub-query is sent to a second replica.

A policy sees the latencies of one index and gives the delay after which an
unanswered sub-query is hedged, or None to never hedge.
"""

import math

from hemlockspoke.registry import Registry

hedge_policies = Registry("hedge policy")

# Shorter delays would hedge on scheduling noise of the daemon itself.
MIN_DELAY_MS = 5.0
# Used until enough latencies have been seen to estimate a quantile.
INITIAL_DELAY_MS = 50.0
HEDGE_QUANTILE = 0.95
# A sub-query that takes this many times as long as most others of its query is taken
# for a straggler. At 95% instead of 80%, three stragglers in a query of 40 would keep
# the comparison from ever being made.
MOST_RATIO = 0.8
RELATIVE_FACTOR = 1.2
FALLBACK_FACTOR = 2.0
# Relative size of one correction. Smaller steps follow a latency change too
# slowly, larger ones make the estimate itself noisy.
STEP_RATIO = 0.02


class Progress:
    """When the first sub-queries of one query were answered.

    >>> progress = Progress(2)
    >>> progress.note_answer(7.0)
    >>> progress.most_answered_ms()
    7.0
    """

    __slots__ = ("_answer_times_ms", "_most")

    def __init__(self, sub_queries):
        self._answer_times_ms = []
        most = math.ceil(MOST_RATIO * sub_queries)
        self._most = min(most, sub_queries - 1)

    def note_answer(self, elapsed_ms):
        """Note that one more sub-query was answered."""
        if len(self._answer_times_ms) < self._most:
            self._answer_times_ms.append(elapsed_ms)

    def most_answered_ms(self):
        """Return when most were answered, None before or with one alone."""
        if self._most < 1 or len(self._answer_times_ms) < self._most:
            return None
        return self._answer_times_ms[-1]


class SlidingQuantile:
    """Estimate of a quantile that moves a small step with each value.

    Each value above the estimate raises it by ``quantile`` steps, each other one
    lowers it by the rest, so it settles where the stated fraction lies below. It
    needs no window and can count a value that is known only to exceed it.

    >>> estimate = SlidingQuantile(0.5, 10.0)
    >>> estimate.observe(20.0)
    >>> estimate.value > 10.0
    True
    """

    __slots__ = ("_down", "_up", "value")

    def __init__(self, quantile, initial):
        self._up = 1.0 + STEP_RATIO * quantile
        self._down = 1.0 - STEP_RATIO * (1.0 - quantile)
        self.value = initial

    def observe(self, value):
        """Move the estimate towards one observed value."""
        if value > self.value:
            self.value *= self._up
        else:
            self.value *= self._down

    def exceed(self):
        """Count a value that lies above the estimate."""
        self.value *= self._up


@hedge_policies.register("none")
class NoHedging:
    """Baseline that never hedges."""

    __slots__ = ()

    def observe(self, latency_ms):
        """Ignore a latency."""

    def overdue(self):
        """Ignore a sub-query that has not been answered within the delay."""

    def delay_ms(self, progress):
        """Return None: no sub-query is hedged."""


@hedge_policies.register("quantile")
class QuantileHedging:
    """Hedges what is slower than most sub-queries of the index."""

    __slots__ = ("_estimate",)

    def __init__(self):
        self._estimate = SlidingQuantile(HEDGE_QUANTILE, INITIAL_DELAY_MS)

    def observe(self, latency_ms):
        """Take the latency of a sub-query that was answered within the delay."""
        self._estimate.observe(latency_ms)

    def overdue(self):
        """Count a sub-query that has not been answered within the delay.

        It is counted at once, since a loser is cancelled and never has a latency.
        """
        self._estimate.exceed()

    def delay_ms(self, progress):
        """Return the delay after which a sub-query is hedged."""
        return max(MIN_DELAY_MS, self._estimate.value)


@hedge_policies.register("relative")
class RelativeHedging(QuantileHedging):
    """Hedges the slow sub-queries of a query relative to its others.

    A moment in which everything is slow raises a quantile over all queries, and
    then stragglers are hedged late. The other sub-queries of the same query are
    slow in the same moment, so what they took is the better measure. Until most of
    them have been answered, as when a holder stands still, twice the quantile over
    all queries counts.
    """

    __slots__ = ()

    def delay_ms(self, progress):
        """Return the delay after which a sub-query of this query is hedged."""
        most_ms = progress.most_answered_ms()
        if most_ms is None:
            return FALLBACK_FACTOR * super().delay_ms(progress)
        return max(MIN_DELAY_MS, RELATIVE_FACTOR * most_ms)
