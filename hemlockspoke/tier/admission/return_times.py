"""When servers that may get no request now are expected to take requests again.

Load: the retries of callers while servers are on hold, restart or are lost. Callers
that come back too early load the daemons for nothing, and those that come back too
late miss their deadline.
"""

from hemlockspoke.registry import Registry
from hemlockspoke.tier.sending.replies import RETRY_AFTER_START_MS
from hemlockspoke.tier.state.directory import RETURN_GRACE_MS

# Callers ignore a longer Retry-After, as it would leave no time for an answer.
USEFUL_FRACTION = 1.0 / 3.0
# Assumed if nothing is known: servers that restart together register within about 2 s,
# and each retry needs part of the caller's time.
UNKNOWN_RETURN_MS = RETRY_AFTER_START_MS

# A server that gives this reason states its return, so an earlier retry is refused too.
STATED_REASON = "held by the server"

# Functions of the server and the drain time in ms that return a clock time, by the name
# of the reason for which the server may not be used (``eligibility``).
return_times = Registry("expected return of a server")


@return_times.register(STATED_REASON)
def after_hold(server, drain_ms):
    """Return the end of the pause that the server has asked for."""
    return server.held_until_ms


@return_times.register("leaving")
def after_leaving(server, drain_ms):
    """Return when a lost entry, or a process that restarts, should be back."""
    duration_ms = drain_ms if server.listed else RETURN_GRACE_MS
    return server.leaving_since_ms + duration_ms


@return_times.register("it is cold")
def after_cold_limit(server, drain_ms):
    """Return when a cold server may get another request from this daemon."""
    return server.cold_room_at_ms()


def returns_in_ms(server, reason, now_ms, drain_ms):
    """Return when a server is expected back, and whether it has stated that itself.

    Return None if nothing is known of its return.
    """
    if reason in return_times:
        remaining_ms = return_times.get(reason)(server, drain_ms) - now_ms
        if remaining_ms > 0.0:
            return remaining_ms, reason == STATED_REASON
    return None


def retry_after_ms(expected_ms, stated, remaining_ms, spread_ms):
    """Return the Retry-After for capacity that is expected after ``expected_ms``.

    Unless that time is ``stated`` by a server, it is limited to what is of use to a
    caller that still waits for ``remaining_ms``. ``spread_ms(duration_ms)`` returns a
    random part of a time, so that callers do not come back together.

    >>> retry_after_ms(100.0, False, 900.0, lambda duration_ms: 0.1 * duration_ms)
    110.0
    >>> retry_after_ms(2000.0, False, 900.0, lambda duration_ms: 0.1 * duration_ms)
    270.0
    """
    useful_ms = max(1.0, USEFUL_FRACTION * remaining_ms)
    wanted_ms = expected_ms + spread_ms(expected_ms)
    if stated or wanted_ms <= useful_ms:
        return wanted_ms
    return useful_ms - spread_ms(useful_ms)
