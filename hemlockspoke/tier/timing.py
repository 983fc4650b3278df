"""How long requests of a route usually take, and how much time their callers give."""

from collections import Counter, deque

# Until requests have been measured.
INITIAL_WORK_MS = 20.0
SLOW_QUANTILE = 0.9
# While many servers are slow the quantile tells little; a request that takes this
# many times the usual time is late all the same.
SLOW_FACTOR = 2.5
# Sending the other parts of a query delays a short request by some ms at this daemon.
SLOW_MARGIN_MS = 20.0
# Enough for the quantile, and soon replaced when the work of the route changes.
WORK_SAMPLE = 120
# Sorting the sample for each request would cost more than it tells.
REFRESH_EVERY = 10
# Callers' first attempts are most of the requests, so the most usual budget among
# this many is theirs.
BUDGET_SAMPLE = 64


class RouteTiming:
    """Usual times of one route at its servers, without the round trip."""

    __slots__ = ("_budgets", "_sample", "_slow_ms", "_unsorted", "usual_work_ms")

    def __init__(self):
        self.usual_work_ms = INITIAL_WORK_MS
        self._slow_ms = 2.0 * INITIAL_WORK_MS
        self._sample = deque(maxlen=WORK_SAMPLE)
        self._unsorted = 0
        self._budgets = deque(maxlen=BUDGET_SAMPLE)

    def note_work(self, work_ms):
        """Take the time of one answered request."""
        work_ms = max(0.2, work_ms)
        self._sample.append(work_ms)
        self._unsorted += 1
        if self._unsorted >= min(REFRESH_EVERY, len(self._sample)):
            self._refresh()

    def _refresh(self):
        self._unsorted = 0
        ordered = sorted(self._sample)
        self._slow_ms = ordered[int(SLOW_QUANTILE * (len(ordered) - 1))]
        # The median stands for the work itself while less than half is disturbed.
        self.usual_work_ms = ordered[len(ordered) // 2]

    def slow_work_ms(self):
        """Return the time that 9 in 10 requests stay under at sound servers."""
        usual_ms = self.usual_work_ms
        limit_ms = max(SLOW_FACTOR * usual_ms, usual_ms + SLOW_MARGIN_MS)
        return min(self._slow_ms, limit_ms)

    def note_budget(self, budget_ms):
        """Take how long a caller says it will wait."""
        self._budgets.append(round(budget_ms))

    def time_spent_ms(self, budget_ms):
        """Return how long a caller has waited before this attempt.

        An attempt that repeats an earlier one states less time than a first one.
        """
        if len(self._budgets) < 8:
            return 0.0
        usual_ms = Counter(self._budgets).most_common(1)[0][0]
        return max(0.0, usual_ms - budget_ms)


class Timings:
    """Timing of every route, kept across versions of the configuration."""

    __slots__ = ("_by_route",)

    def __init__(self):
        self._by_route = {}

    def of(self, route):
        """Return the timing of a route."""
        timing = self._by_route.get(route.key())
        if timing is None:
            timing = self._by_route[route.key()] = RouteTiming()
        return timing

    def keep(self, routes):
        """Forget all but these routes."""
        keys = {route.key() for route in routes}
        for key in [key for key in self._by_route if key not in keys]:
            del self._by_route[key]
