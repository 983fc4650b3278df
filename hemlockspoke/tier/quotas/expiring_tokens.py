"""Tokens that were created elsewhere and expire.

The load that it answers: daemons that are paused, or cut off, with tokens.
"""

from bisect import insort

# Limit on lots with different times, so that many small grants use little memory.
MAX_LOTS = 64


class ExpiringTokens:
    """Lots of tokens, of which those that expire first are taken first.

    >>> tokens = ExpiringTokens()
    >>> tokens.add(2, expires_ms=200.0)
    >>> tokens.add(1, expires_ms=100.0)
    >>> tokens.take(2, now_ms=50.0), tokens.count(150.0), tokens.count(200.0)
    ([100.0, 200.0], 1, 0)
    """

    __slots__ = ("_lots",)

    def __init__(self):
        # Pairs of the time of expiry and a number of tokens, in this order.
        self._lots = []

    def add(self, count, expires_ms):
        """Add tokens."""
        if count > 0:
            insort(self._lots, (expires_ms, count))
            if len(self._lots) > MAX_LOTS:
                del self._lots[0]

    def is_full(self, now_ms):
        """Return whether the next lot would replace another one."""
        self.count(now_ms)
        return len(self._lots) >= MAX_LOTS

    def count(self, now_ms):
        """Return how many tokens have not expired."""
        while self._lots and self._lots[0][0] <= now_ms:
            del self._lots[0]
        return sum(count for _, count in self._lots)

    def take(self, count, now_ms):
        """Take up to ``count`` tokens; return the times at which they expire."""
        self.count(now_ms)
        taken = []
        while self._lots and len(taken) < count:
            expires_ms, available = self._lots[0]
            used = min(available, count - len(taken))
            taken += [expires_ms] * used
            if used == available:
                del self._lots[0]
            else:
                self._lots[0] = (expires_ms, available - used)
        return taken

    def clear(self):
        """Remove all tokens."""
        self._lots.clear()
