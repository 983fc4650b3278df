"""Budget for extra load on upstreams: hedges, and retries that reached one."""

# Bounds the burst after a quiet time; the design page names this figure.
MAX_SAVED_TOKENS = 20.0
# Hedges leave these tokens to retries, because a retry saves coverage while a
# hedge saves only time.
RESERVED_FOR_RETRIES = 2.0


class ExtraLoadBudget:
    """Token bucket that earns a share of a token with each primary sub-query.

    >>> budget = ExtraLoadBudget()
    >>> budget.take_for_retry()
    True
    >>> budget.tokens
    19.0
    """

    __slots__ = ("tokens",)

    def __init__(self, tokens=MAX_SAVED_TOKENS):
        self.tokens = tokens

    def earn(self, ratio):
        """Add what one primary that reached an upstream earns."""
        self.tokens = min(MAX_SAVED_TOKENS, self.tokens + ratio)

    def take_for_retry(self):
        """Take a token for a retry; False if there is none."""
        return self._take(1.0)

    def take_for_hedge(self):
        """Take a token for a hedge, beyond those reserved for retries."""
        return self._take(1.0 + RESERVED_FOR_RETRIES)

    def refund(self):
        """Return the token of a sub-query that reached no upstream."""
        self.tokens = min(MAX_SAVED_TOKENS, self.tokens + 1.0)

    def _take(self, needed):
        if self.tokens < needed:
            return False
        self.tokens -= 1.0
        return True
