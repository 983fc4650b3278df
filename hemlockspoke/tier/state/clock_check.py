"""Finds out from the registrations of others that this daemon's wall clock is off.

The load that it answers: a daemon with a wrong clock, which would take others for gone
and their parts of quotas for its own.
"""

from hemlockspoke.tier.state.own_registration import EXPIRY_MS
from hemlockspoke.tier.state.peer_directory import wall_time_ms

# Registrations may be in the future by this much, as clocks differ a little.
FUTURE_MS = 30_000.0
# Registrations that expired longer ago say nothing on the clock: those of removed VMs
# stay in the store.
EVIDENCE_MS = 2 * 3600_000.0
# Fewer daemons than that may have ended together.
MIN_EXPIRED = 3


def clock_differs(renewed_times_ms, wall_ms):
    """Return whether the wall clock disagrees with registrations of other daemons.

    It does if most of those that have not expired are in the future, or if all have
    expired, some of them not long ago.

    >>> clock_differs([3_600_000, 3_610_000, 3_620_000], wall_ms=0)
    True
    >>> clock_differs([0, 10_000, 20_000], wall_ms=3_600_000)
    True
    >>> clock_differs([0, 0, 0, 3_610_000, 3_620_000], wall_ms=3_600_000)
    False
    """
    times_ms = [wall_time_ms(value) for value in renewed_times_ms]
    ages_ms = [wall_ms - time_ms for time_ms in times_ms if time_ms is not None]
    valid_ms = [age_ms for age_ms in ages_ms if age_ms <= EXPIRY_MS]
    if valid_ms:
        future = sum(age_ms < -FUTURE_MS for age_ms in valid_ms)
        return len(valid_ms) > 1 and 2 * future > len(valid_ms)
    return sum(age_ms <= EVIDENCE_MS for age_ms in ages_ms) >= MIN_EXPIRED
