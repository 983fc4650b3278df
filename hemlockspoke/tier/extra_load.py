"""Budget for arrivals at a service beyond the first of each request.

Servers bound these over all daemons together: a ratio of the requests plus a fixed
slack in a sliding window. The ratio needs no agreement, since each daemon spends
only what its own requests earn. The slack is divided by the number of daemons.
"""

# Kept back for requests whose clients never reached this daemon, and for the
# windows of two daemons that do not coincide.
RATIO_PART = 0.8
SLACK_PART = 0.75
MIN_BURST = 1.0


class ExtraLoad:
    """One token bucket per service.

    A process that starts again has spent an unknown part of its share a moment
    ago, so its buckets start empty; at the first start of the system they are full.
    """

    __slots__ = ("_fresh", "_member_count", "_ratio", "_slack", "_tokens")

    def __init__(self, ratio, slack, member_count, fresh=False):
        self._ratio = ratio * RATIO_PART
        self._slack = slack * SLACK_PART
        self._member_count = member_count
        self._fresh = fresh
        self._tokens = {}

    def burst(self):
        """Return the most tokens that a service may have saved."""
        return max(MIN_BURST, self._slack / self._member_count())

    def tokens(self, service):
        """Return the tokens of a service."""
        start = self.burst() if self._fresh else 0.0
        return self._tokens.get(service, start)

    def earn(self, service):
        """Add what the first arrival of a request earns."""
        tokens = self.tokens(service) + self._ratio
        self._tokens[service] = min(self.burst(), tokens)

    def take(self, service, reserve=0.0):
        """Take a token, leaving ``reserve`` tokens; False if there are too few."""
        tokens = self.tokens(service)
        if tokens < 1.0 + reserve:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def refund(self, service):
        """Return the token of an arrival that did not happen."""
        self._tokens[service] = min(self.burst(), self.tokens(service) + 1.0)
