"""Usual processing times of routes, and usual time budgets of their callers."""

from collections import Counter, deque

# Assumed until requests have been measured.
INITIAL_WORK_MS = 20.0
SLOW_QUANTILE = 0.9
# While many servers are slow the quantile is too high, so a request also counts as slow
# after this many times the usual time.
SLOW_FACTOR = 2.5
# Added for short requests, which sending the other parts of a query delays by some ms.
SLOW_MARGIN_MS = 20.0
# Large enough for the quantile, and small enough to follow changes of the route's work.
WORK_SAMPLE_COUNT = 120
# Number of new samples after which the statistics are updated: sorting all samples for
# each request would be too expensive.
REFRESH_INTERVAL = 10
# Most requests are callers' first attempts, so the most frequent budget among this many
# is that of a first attempt.
BUDGET_SAMPLE_COUNT = 64


class RouteTiming:
    """Measured processing times of one route, and the time budgets of its callers.

    A processing time is the time from request to answer, without the round trip to the
    server. A budget is how long a caller states that it will wait.
    """

    __slots__ = (
        "_budgets",
        "_new_sample_count",
        "_slow_ms",
        "_work_samples",
        "usual_work_ms",
    )

    def __init__(self):
        self.usual_work_ms = INITIAL_WORK_MS
        self._slow_ms = 2.0 * INITIAL_WORK_MS
        self._work_samples = deque(maxlen=WORK_SAMPLE_COUNT)
        self._new_sample_count = 0
        self._budgets = deque(maxlen=BUDGET_SAMPLE_COUNT)

    def record_work_time(self, work_ms):
        """Record the processing time of one answered request."""
        work_ms = max(0.2, work_ms)
        self._work_samples.append(work_ms)
        self._new_sample_count += 1
        if self._new_sample_count >= min(REFRESH_INTERVAL, len(self._work_samples)):
            self._refresh()

    def _refresh(self):
        self._new_sample_count = 0
        ordered = sorted(self._work_samples)
        self._slow_ms = ordered[int(SLOW_QUANTILE * (len(ordered) - 1))]
        # The median is the undisturbed time while less than half of the requests are
        # disturbed.
        self.usual_work_ms = ordered[len(ordered) // 2]

    def slow_work_ms(self):
        """Return the time within which 9 in 10 requests finish at healthy servers."""
        usual_ms = self.usual_work_ms
        limit_ms = max(SLOW_FACTOR * usual_ms, usual_ms + SLOW_MARGIN_MS)
        return min(self._slow_ms, limit_ms)

    def longest_ms(self, default_ms):
        """Return the time within which 9 in 10 of the last requests were answered.

        That includes the time in the queues of servers. Without measurements it is
        ``default_ms``.
        """
        return self._slow_ms if self._work_samples else default_ms

    def record_budget(self, budget_ms):
        """Record the budget of one request."""
        self._budgets.append(round(budget_ms))

    def time_spent_ms(self, budget_ms):
        """Return how long a caller has waited for its earlier attempts.

        A retry of the caller states a shorter budget than a first attempt.
        """
        if len(self._budgets) < 8:
            return 0.0
        usual_budget_ms = Counter(self._budgets).most_common(1)[0][0]
        return max(0.0, usual_budget_ms - budget_ms)


class Timings:
    """The ``RouteTiming`` of each route, kept across versions of the configuration."""

    __slots__ = ("_by_route",)

    def __init__(self):
        self._by_route = {}

    def for_route(self, route):
        """Return the ``RouteTiming`` of a route; a new one if there is none yet."""
        timing = self._by_route.get(route.key())
        if timing is None:
            timing = self._by_route[route.key()] = RouteTiming()
        return timing

    def retain(self, routes):
        """Remove all routes but these."""
        keys = {route.key() for route in routes}
        for key in [key for key in self._by_route if key not in keys]:
            del self._by_route[key]
