"""When a query is answered although parts are missing.

Answers the load of gathering daemons and servers that are so slow that the minimum
coverage is not reached by the aim.
"""

# An answer that misses the aim is worth little, so it is held back for this fraction of
# the route's target latency, in which missing parts may still arrive.
LATE_WAIT_FRACTION = 0.5


class AnswerTime:
    """The times at which an answer without all parts is due.

    ``aim_ms`` is when it must be sent to meet the target latency, ``latest_aim_ms``
    until when it may still meet that, and ``late_ms`` when a late one is sent.

    >>> time = AnswerTime(aim_ms=90.0, latest_aim_ms=95.0, late_ms=140.0)
    >>> [time.is_due(now_ms) for now_ms in (89.0, 92.0, 100.0, 140.0)]
    [False, True, False, True]
    """

    __slots__ = ("aim_ms", "late_ms", "latest_aim_ms")

    def __init__(self, aim_ms, latest_aim_ms, late_ms):
        self.aim_ms = aim_ms
        self.latest_aim_ms = latest_aim_ms
        self.late_ms = late_ms

    @classmethod
    def from_request(cls, request):
        """Return the times for a ``TierRequest``."""
        late_wait_ms = LATE_WAIT_FRACTION * request.route.target_ms
        return cls(request.aim_ms, request.latest_aim_ms, request.aim_ms + late_wait_ms)

    def is_due(self, now_ms):
        """Return whether an answer with the minimum coverage is sent now."""
        return self.aim_ms <= now_ms <= self.latest_aim_ms or now_ms >= self.late_ms
