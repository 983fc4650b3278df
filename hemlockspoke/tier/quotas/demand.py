"""Estimates how many tokens a failure domain needs.

The load that it answers: clients of an account that connect to few failure domains.
"""

import math

# Time constant of the estimate: it must see accounts that send some requests a minute,
# and bursts of some seconds.
MEMORY_MS = 3000.0


class DemandEstimate:
    """Recent rate of requests for tokens, which decays exponentially.

    >>> demand = DemandEstimate()
    >>> for now_ms in range(0, 10_000, 10):
    ...     demand.record(1, float(now_ms))
    >>> 95 < demand.per_s(10_000.0) < 105
    True
    """

    __slots__ = ("_sum", "_updated_ms")

    def __init__(self):
        self._sum = 0.0
        self._updated_ms = 0.0

    def record(self, count, now_ms):
        """Record that ``count`` tokens were asked for."""
        self.per_s(now_ms)
        self._sum += count

    def per_s(self, now_ms):
        """Return the estimated number of tokens a second."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._sum *= math.exp(-elapsed_ms / MEMORY_MS)
        self._updated_ms = now_ms
        return self._sum * 1000.0 / MEMORY_MS
