"""How many requests a target version may get before it is known to be good.

A limit on the sum over all daemons: the decider learns how many requests the service
and its target version have got, and sets the share of the requests that all daemons
sample for the next moments. Answers the load of services with 1 to some 1,000 requests
a second; at 20 a second and 12 s the limit is 74 requests.
"""

# Part of the limit that sampling may use. The rest is for the switch, which sends all
# requests to the target version before it can be completed.
SAMPLING_FRACTION = 0.42
# Part of the limit that the switch may use. The remainder covers reports that are under
# way and requests that arrive while a verdict spreads.
SWITCHING_FRACTION = 0.4
# Shorter switches leave requests in progress at old servers; longer ones show nothing
# more about a version.
MIN_SWITCH_MS = 600.0
MAX_SWITCH_MS = 2500.0
# At most this share is sampled, so that the old version answers as many requests in the
# same seconds for comparison.
MAX_SHARE = 0.5
# Share while no request has been counted.
FIRST_SHARE = 0.2
# The share is set so that the rest of the allowance lasts for this part of the time:
# requests still to come earn more, and what is left at the switch is of no use.
HORIZON_FRACTION = 0.7
# The share is set for at least this time, so that a small remainder is not used up
# within the delay of the reports.
MIN_HORIZON_MS = 1000.0
# Until this time has passed the rate of requests is uncertain.
MIN_RATE_TIME_MS = 500.0


class ExposureLimit:
    """The limit of one order: a share of its requests plus a slack.

    >>> limit = ExposureLimit(0.1, 50.0)
    >>> round(limit.total(240), 1)
    74.0
    """

    __slots__ = ("_share", "_slack")

    def __init__(self, share, slack):
        self._share = share
        self._slack = slack

    def total(self, request_count):
        """Return how many requests the target version may get."""
        return self._share * request_count + self._slack

    def sampling_share(self, sent_target, sent_total, elapsed_ms, remaining_ms):
        """Return the share of the requests to sample while ``remaining_ms`` is left.

        >>> limit = ExposureLimit(0.1, 50.0)
        >>> round(limit.sampling_share(0, 40, 2000.0, 7000.0), 2)
        0.23
        >>> limit.sampling_share(40, 40, 2000.0, 7000.0)
        0.0
        """
        if not sent_total:
            return FIRST_SHARE
        rate = sent_total / max(MIN_RATE_TIME_MS, elapsed_ms)
        horizon_ms = max(MIN_HORIZON_MS, HORIZON_FRACTION * remaining_ms)
        # Only requests that have been counted earn, as the rate may fall.
        allowed = SAMPLING_FRACTION * self.total(sent_total) - sent_target
        return min(MAX_SHARE, max(0.0, allowed / (rate * horizon_ms)))

    def switch_ms(self, sent_target, sent_total, elapsed_ms):
        """Return for how long all requests may go to the target version unproved.

        >>> limit = ExposureLimit(0.1, 50.0)
        >>> round(limit.switch_ms(30, 160, 8000.0))
        1206
        """
        if not sent_total:
            return MAX_SWITCH_MS
        rate = sent_total / max(MIN_RATE_TIME_MS, elapsed_ms)
        limit = self.total(sent_total)
        allowed = min(
            SWITCHING_FRACTION * limit,
            (SAMPLING_FRACTION + SWITCHING_FRACTION) * limit - sent_target,
        )
        return min(MAX_SWITCH_MS, max(MIN_SWITCH_MS, allowed / rate))
