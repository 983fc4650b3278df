"""Budget for arrivals at a service beyond the first of each request.

Servers bound these over all daemons together: a ratio of the requests plus a fixed
slack in a sliding window. The ratio needs no agreement, since each daemon spends
only what its own requests earn. The slack is divided among the daemons.
"""

# Kept back for requests whose clients never reached this daemon, and for the
# windows of two daemons that do not coincide.
RATIO_PART = 0.8
SLACK_PART = 0.8
# Part of a daemon's slack that may be spent at once; the rest comes back evenly over
# the window, so that a long disturbance does not end with the first burst.
SAVED_PART = 0.6
MIN_BURST = 1.0
# A hedge leaves this part of the burst, one token at most, to requests that a server
# has refused: those cannot be answered without another arrival.
HEDGE_RESERVE_PART = 0.15


class _Bucket:
    """Tokens of one service at a time of the clock."""

    __slots__ = ("at_ms", "tokens")

    def __init__(self, tokens, at_ms):
        self.tokens = tokens
        self.at_ms = at_ms


class ExtraLoad:
    """One token bucket per service.

    In any window a daemon spends at most what it has saved, what comes back in the
    window and what its requests in the window earn. A process that starts again has
    spent an unknown part of its share a moment ago, so its buckets start empty; at
    the first start of the system they are full.
    """

    __slots__ = (
        "_bounds",
        "_buckets",
        "_clock",
        "_fresh",
        "_share",
        "_started_ms",
    )

    def __init__(self, clock, bounds, share, fresh=False):
        self._clock = clock
        self._bounds = bounds
        self._share = share
        self._fresh = fresh
        self._started_ms = clock.now_ms()
        self._buckets = {}

    def burst(self):
        """Return the most tokens that a service may have saved."""
        return max(MIN_BURST, SAVED_PART * self._slack())

    def hedge_reserve(self):
        """Return the tokens that a hedge leaves untouched."""
        return min(1.0, HEDGE_RESERVE_PART * self.burst())

    def window_limit(self):
        """Return the most tokens that a daemon spends in a window unearned."""
        return self.burst() + self._returned()

    def _returned(self):
        """Return the tokens that come back in a window."""
        return (1.0 - SAVED_PART) * self._slack()

    def _slack(self):
        """Return this daemon's part of the slack of a window."""
        return SLACK_PART * self._bounds.extra_load_slack * self._share()

    def _bucket(self, service):
        """Return the bucket of a service as it is now."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(service)
        burst = self.burst()
        if bucket is None:
            start = burst if self._fresh else 0.0
            bucket = self._buckets[service] = _Bucket(start, self._started_ms)
        windows = (now_ms - bucket.at_ms) / self._bounds.extra_load_window_ms
        bucket.tokens = min(burst, bucket.tokens + self._returned() * windows)
        bucket.at_ms = now_ms
        return bucket

    def earn(self, service):
        """Add what the first arrival of a request earns."""
        bucket = self._bucket(service)
        earned = RATIO_PART * self._bounds.extra_load_ratio
        bucket.tokens = min(self.burst(), bucket.tokens + earned)

    def take(self, service, reserve=0.0):
        """Take a token, leaving ``reserve`` tokens; False if there are too few."""
        bucket = self._bucket(service)
        if bucket.tokens < 1.0 + reserve:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, service):
        """Return the token of an arrival that did not happen."""
        bucket = self._bucket(service)
        bucket.tokens = min(self.burst(), bucket.tokens + 1.0)
