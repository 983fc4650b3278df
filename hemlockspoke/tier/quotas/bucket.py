"""Creates and holds the tokens of one keeper.

The load that it answers: bursts of requests within the quota.
"""

from hemlockspoke.tier.quotas.expiring_tokens import ExpiringTokens


class TokenBucket:
    """Tokens that are created at a rate, up to a capacity.

    Lent tokens occupy a part of the capacity until they have been used, added to the
    borrower's bucket, or lost. So the tokens in all buckets and between them are never
    more than the capacities.

    >>> bucket = TokenBucket(capacity=2.0, rate_per_s=10.0, tokens=0.0, now_ms=0.0)
    >>> bucket.take(5, now_ms=150.0), bucket.next_token_ms(150.0)
    (1, 50.0)
    """

    __slots__ = ("_capacity", "_lent", "_rate_per_s", "_tokens", "_updated_ms")

    def __init__(self, capacity, rate_per_s, tokens, now_ms):
        self._capacity = capacity
        self._rate_per_s = rate_per_s
        self._tokens = min(tokens, capacity)
        self._lent = ExpiringTokens()
        self._updated_ms = now_ms

    def set_limits(self, capacity, rate_per_s, now_ms):
        """Change the limits; tokens over the new capacity are removed at once.

        The time since the last call may belong to either rate, so the lower one counts.
        """
        if (capacity, rate_per_s) == (self._capacity, self._rate_per_s):
            return
        self._rate_per_s = min(rate_per_s, self._rate_per_s)
        self._capacity = min(capacity, self._capacity)
        self.level(now_ms)
        self._capacity = capacity
        self._rate_per_s = rate_per_s

    def fill(self, now_ms):
        """Fill the bucket up to its capacity."""
        self._tokens = max(self.level(now_ms), self._free_capacity(now_ms))

    def level(self, now_ms):
        """Return the number of tokens, with fractions."""
        created = self._rate_per_s * max(0.0, now_ms - self._updated_ms) / 1000.0
        self._tokens = min(self._free_capacity(now_ms), self._tokens + created)
        self._updated_ms = max(now_ms, self._updated_ms)
        return self._tokens

    def take(self, count, now_ms):
        """Take up to ``count`` whole tokens; return how many were taken."""
        taken = min(count, int(self.level(now_ms)))
        self._tokens -= taken
        return taken

    def lend(self, count, now_ms, until_ms):
        """Take up to ``count`` tokens that are on their way until ``until_ms``."""
        if self._lent.is_full(now_ms):
            return 0
        taken = self.take(count, now_ms)
        self._lent.add(taken, until_ms)
        return taken

    def add(self, count, now_ms):
        """Add up to ``count`` borrowed tokens; return how many had room."""
        room = self._free_capacity(now_ms) - self.level(now_ms)
        added = max(0, min(count, int(room)))
        self._tokens += added
        return added

    def _free_capacity(self, now_ms):
        return max(0.0, self._capacity - self._lent.count(now_ms))

    def next_token_ms(self, now_ms):
        """Return when the bucket will have a whole token; None if it never will."""
        missing = 1.0 - self.level(now_ms)
        if missing <= 0.0:
            return 0.0
        if self._rate_per_s <= 0.0 or self._capacity < 1.0:
            return None
        return missing / self._rate_per_s * 1000.0
