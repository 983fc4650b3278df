"""Divides the quota of an account among the keepers that create its tokens.

The load that it answers: an account that asks for far more than its quota, at many
daemons at once.
"""

import math

# Least time from a token's creation until its request is sent. Without overshoot the
# burst or the rate pays for it.
MIN_TOKEN_AGE_MS = 250.0
# Fractions of that time: for a token lent to another keeper, for a token granted to a
# daemon, and the rest for a request that has passed the gate until it is sent.
LENT_FRACTION = 0.4
GRANTED_FRACTION = 0.3
# Tokens that each keeper's bucket holds in addition to its part of the burst, as
# fractions of a token in several buckets serve no request. The slack pays for them.
EXTRA_TOKENS = 2.0
# Requests of a window that may be sent late, so that they count in the next one; start
# tokens leave this much of the slack.
LATE_REQUESTS = 2.0


def token_age_ms(window_ms, overshoot):
    """Return how old a token may be when its request is sent."""
    return max(overshoot * window_ms, MIN_TOKEN_AGE_MS)


class QuotaPlan:
    """What the keepers of one account create in a system of ``domain_count`` domains.

    ``creator_count`` keepers each create ``rate_per_s`` tokens a second in a bucket of
    ``capacity`` tokens. A lent token expires ``lent_ms`` and a granted one
    ``granted_ms`` after it was asked for. In any window at most ``window_total()``
    requests are sent, which never exceeds ``limit``. After a restart a keeper begins
    with ``start_tokens`` tokens, which what is left of the limit pays for, at most once
    in a window.

    >>> plan = QuotaPlan.from_quota(10.0, 10.0, 6, 5000.0, 0.1, 20.0)
    >>> plan.creator_count, round(plan.creator_count * plan.capacity, 6)
    (6, 22.0)
    >>> round(plan.window_total(), 6), round(plan.limit, 6)
    (77.0, 86.0)
    >>> plan.start_tokens
    1
    """

    __slots__ = (
        "age_ms",
        "capacity",
        "creator_count",
        "granted_ms",
        "lent_ms",
        "limit",
        "rate_per_s",
        "start_tokens",
        "total_rate_per_s",
        "window_ms",
    )

    def __init__(self, limit, capacity, rate_per_s, creator_count, age_ms, window_ms):
        self.limit = limit
        self.creator_count = creator_count
        self.capacity = capacity / creator_count
        self.rate_per_s = rate_per_s / creator_count
        self.total_rate_per_s = rate_per_s
        self.age_ms = age_ms
        self.window_ms = window_ms
        self.lent_ms = LENT_FRACTION * age_ms
        self.granted_ms = GRANTED_FRACTION * age_ms
        left = (limit - self.window_total() - LATE_REQUESTS) / creator_count
        self.start_tokens = max(0, math.floor(min(left, self.capacity)))

    @classmethod
    def from_quota(cls, rate_per_s, burst, domain_count, window_ms, overshoot, slack):
        """Build from a quota, the number of failure domains and the bounds."""
        window_s = window_ms / 1000.0
        age_ms = token_age_ms(window_ms, overshoot)
        creating_s = window_s + age_ms / 1000.0
        limit = (rate_per_s * window_s + burst) * (1.0 + overshoot) + slack
        room = limit - rate_per_s * creating_s
        capacity = min(room, burst + EXTRA_TOKENS * domain_count)
        # A bucket of less than a token grants none. If the slack does not pay for one,
        # the rate does.
        capacity = max(capacity, min(limit, max(1.0, burst)))
        rate_per_s = min(rate_per_s, max(0.0, limit - capacity) / creating_s)
        creator_count = max(1, min(domain_count, math.floor(capacity)))
        return cls(limit, capacity, rate_per_s, creator_count, age_ms, window_ms)

    @classmethod
    def from_config(cls, account, domain_count, bounds):
        """Build from an ``Account`` and the ``Bounds`` of the settings."""
        return cls.from_quota(
            account.rate_per_s,
            account.burst,
            max(1, domain_count),
            bounds.quota_window_ms,
            bounds.quota_overshoot,
            bounds.quota_slack,
        )

    def window_total(self):
        """Return the most requests that are sent in a window."""
        creating_s = (self.window_ms + self.age_ms) / 1000.0
        return self.creator_count * (self.capacity + self.rate_per_s * creating_s)

    def grows_to(self, other):
        """Return whether no part of this plan is greater than that of ``other``."""
        return (
            self.creator_count == other.creator_count
            and self.capacity <= other.capacity
            and self.rate_per_s <= other.rate_per_s
        )
