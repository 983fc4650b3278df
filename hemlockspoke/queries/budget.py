"""Budget for extra load on upstreams from hedges and retries."""

# Limits the burst of extra load after an idle period; documented in docs/design.md.
MAX_TOKENS = 20.0
# Hedges leave these tokens for retries, because a retry preserves the coverage of
# an answer while a hedge only reduces its latency.
RESERVED_FOR_RETRIES = 2.0


class ExtraLoadBudget:
    """Token bucket that gains a fraction of a token with each primary sub-query.

    >>> budget = ExtraLoadBudget()
    >>> budget.consume_for_retry()
    True
    >>> budget.tokens
    19.0
    """

    __slots__ = ("tokens",)

    def __init__(self, tokens=MAX_TOKENS):
        self.tokens = tokens

    def credit(self, ratio):
        """Add ``ratio`` tokens for a primary sub-query that reached an upstream."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def consume_for_retry(self):
        """Consume a token for a retry; return False if there is none."""
        return self._consume(1.0)

    def consume_for_hedge(self):
        """Consume a token for a hedge; return False if only reserved tokens remain."""
        return self._consume(1.0 + RESERVED_FOR_RETRIES)

    def refund(self):
        """Give back the token of a sub-query that reached no upstream."""
        self.tokens = min(MAX_TOKENS, self.tokens + 1.0)

    def _consume(self, needed):
        if self.tokens < needed:
            return False
        self.tokens -= 1.0
        return True
