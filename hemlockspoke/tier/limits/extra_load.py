"""Retry budget: limits the extra arrivals of requests at a service.

Every arrival of a request at a server after its first one is extra load: a retry or a
hedge. Answers the load of many lost or late answers at once, whose repeats would load
the servers further. The limit holds for all daemons together: a ratio of the requests
plus a fixed slack in a sliding window. The ratio needs no coordination, since each
daemon spends only what its own requests earn. The slack is divided among the daemons.
"""

# The remainder is a safety margin for requests whose callers never reached this daemon,
# and for daemons whose windows do not coincide.
RATIO_FRACTION = 0.8
SLACK_FRACTION = 0.8
# Fraction of a daemon's slack that may be spent at once. The remainder is refilled
# evenly over the window, so that a first burst does not use up the whole budget.
BURST_FRACTION = 0.6
# A smaller burst would never allow an extra arrival, which costs one token.
MIN_BURST_TOKENS = 1.0
# Minimum fraction of a daemon's slack that is refilled over a window, for daemons whose
# slack is little more than one token. The safety margin of the slack covers it.
MIN_REFILL_FRACTION = 0.2
# Hedges leave this fraction of the burst, but at most one token, to requests that a
# server has refused: those cannot be answered without another arrival.
HEDGE_RESERVE_FRACTION = 0.15


# A daemon that has spent no token of a service for this long needs none of its own.
UNUSED_MS = 5000.0


class _Bucket:
    """Tokens of one service at the clock time ``updated_ms``.

    ``used_ms`` is the clock time at which one was last wanted, or None.
    """

    __slots__ = ("tokens", "updated_ms", "used_ms")

    def __init__(self, tokens, updated_ms):
        self.tokens = tokens
        self.updated_ms = updated_ms
        self.used_ms = None


class ExtraLoad:
    """One token bucket for each service; an extra arrival costs a token.

    In any window a daemon spends at most the saved burst, the refill of one window,
    and what its requests in the window earn. A restarted process may just have spent
    an unknown part of its share, so its buckets start empty; at the first start of
    the system, with ``starts_full``, they start full. ``share(service, total)`` returns
    how many of ``total`` extra arrivals at a service this daemon may send.

    Daemons may lend each other tokens. A token is taken from one bucket before it is
    put into another, and no bucket ever holds more than its capacity, so in any window
    all daemons together spend no more than without that. ``on_shortage(service)`` is
    called when a bucket has less than one token left.
    """

    __slots__ = (
        "_bounds",
        "_buckets",
        "_clock",
        "_share",
        "_started_ms",
        "_starts_full",
        "on_shortage",
    )

    def __init__(self, clock, bounds, share, starts_full=False):
        self._clock = clock
        self._bounds = bounds
        self._share = share
        self._starts_full = starts_full
        self._started_ms = clock.now_ms()
        self._buckets = {}
        self.on_shortage = None

    def burst(self, service):
        """Return the capacity of a service's bucket in tokens."""
        slack = self._slack(service)
        return max(min(MIN_BURST_TOKENS, slack), BURST_FRACTION * slack)

    def _capacity(self, service):
        """Return how many tokens a bucket holds.

        A daemon without slack can still save what its requests earn.
        """
        return max(MIN_BURST_TOKENS, self.burst(service))

    def hedge_reserve(self, service):
        """Return the number of tokens that a hedge must leave in the bucket."""
        return min(1.0, HEDGE_RESERVE_FRACTION * self.burst(service))

    def window_limit(self, service):
        """Return the most tokens spent in a window if no requests earn any."""
        return self.burst(service) + self._window_refill(service)

    def _window_refill(self, service):
        """Return the number of tokens refilled in a window."""
        slack = self._slack(service)
        return max(slack - self.burst(service), MIN_REFILL_FRACTION * slack)

    def _slack(self, service):
        """Return this daemon's share of the slack of a window."""
        return self._share(service, SLACK_FRACTION * self._bounds.extra_load_slack)

    def _bucket(self, service):
        """Return the bucket of a service, refilled up to now."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(service)
        capacity = self._capacity(service)
        if bucket is None:
            start = self.burst(service) if self._starts_full else 0.0
            bucket = self._buckets[service] = _Bucket(start, self._started_ms)
        windows = (now_ms - bucket.updated_ms) / self._bounds.extra_load_window_ms
        bucket.tokens = min(
            capacity, bucket.tokens + self._window_refill(service) * windows
        )
        bucket.updated_ms = now_ms
        return bucket

    def earn(self, service):
        """Add the tokens that the first arrival of a request earns."""
        bucket = self._bucket(service)
        earned = RATIO_FRACTION * self._bounds.extra_load_ratio
        bucket.tokens = min(self._capacity(service), bucket.tokens + earned)

    def try_spend(self, service, reserve=0.0):
        """Spend a token if ``reserve`` tokens are left; return whether it was spent."""
        bucket = self._bucket(service)
        bucket.used_ms = bucket.updated_ms
        has_token = bucket.tokens >= 1.0 + reserve
        if has_token:
            bucket.tokens -= 1.0
        if bucket.tokens < 1.0 and self.on_shortage is not None:
            self.on_shortage(service)
        return has_token

    def lend(self, service):
        """Take the tokens that this daemon does not need; return their number.

        It keeps one token while it sends extra arrivals itself.
        """
        bucket = self._bucket(service)
        used_ms = bucket.used_ms
        in_use = used_ms is not None and bucket.updated_ms - used_ms < UNUSED_MS
        spare = int(bucket.tokens) - int(in_use)
        if spare < 1:
            return 0
        bucket.tokens -= spare
        return spare

    def receive(self, service, tokens):
        """Add tokens that another daemon has lent."""
        bucket = self._bucket(service)
        bucket.tokens = min(self._capacity(service), bucket.tokens + tokens)

    def refund(self, service):
        """Put back the token of an arrival that did not happen."""
        bucket = self._bucket(service)
        bucket.tokens = min(self._capacity(service), bucket.tokens + 1.0)
