"""What the registration of this daemon holds, over renewals and restarts.

The load that it answers: processes that restart often, and registrations that expire
while the store is away.
"""

from hemlockspoke.tier.state.peer_directory import wall_time_ms
from hemlockspoke.tier.state.store_era import StoreEras

# Registrations are renewed, so that those of removed VMs expire. The margin between the
# two times allows for clocks that differ by some seconds.
RENEW_INTERVAL_MS = 120_000.0
EXPIRY_MS = 600_000.0
# A daemon takes its own registration for expired before others with other clocks do.
OWN_EXPIRY_MS = 570_000.0


class OwnRegistration:
    """The fields that this daemon has last written or read.

    ``registered_ms`` is the wall-clock time at which the VM was first registered, and
    ``started_ms`` the start that last used start tokens of quotas, or None. Objects
    name the era of the store in which they were written: one of an earlier era may lack
    a start that was written after the copy from which the store came back.
    """

    __slots__ = (
        "_clock",
        "_eras",
        "_settings",
        "registered_ms",
        "renewed_ms",
        "started_ms",
    )

    def __init__(self, clock, settings, eras=None):
        self._clock = clock
        self._settings = settings
        self._eras = eras or StoreEras()
        self.registered_ms = None
        self.started_ms = None
        self.renewed_ms = None

    def adopt(self, spec):
        """Take over the fields of an object, unless it counts for other daemons only.

        One that has expired or belongs to another failure domain is replaced by a new
        registration. An earlier version wrote none of the fields; its daemon is old.
        """
        self.registered_ms = self.started_ms = self.renewed_ms = None
        spec = spec if isinstance(spec, dict) else {}
        if not self.is_valid(spec):
            return
        renewed_ms = wall_time_ms(spec.get("renewed_ms"))
        if renewed_ms is None:
            # It does not expire, and counts as old.
            renewed_ms = self._clock.wall_ms()
        self.renewed_ms = renewed_ms
        self.started_ms = wall_time_ms(spec.get("started_ms"))
        self.registered_ms = wall_time_ms(spec.get("registered_ms"))
        if self.registered_ms is None:
            self.registered_ms = renewed_ms - int(EXPIRY_MS)

    def is_lost(self, spec):
        """Return whether the store has an older object than this daemon has written.

        >>> from hemlockspoke.clock import ManualClock
        >>> own = OwnRegistration(ManualClock(), None)
        >>> own.renewed_ms = 9
        >>> own.is_lost({"renewed_ms": 8}), own.is_lost({"renewed_ms": 9})
        (True, False)
        """
        renewed_ms = wall_time_ms(spec.get("renewed_ms"))
        return self.renewed_ms is not None and (
            renewed_ms is None or renewed_ms < self.renewed_ms
        )

    def is_of_newest_era(self, spec):
        """Return whether an object was written in the newest era of the store."""
        return spec.get("store_era", 0) == self._eras.newest

    def is_valid(self, spec):
        """Return whether others count an object as registration in this domain."""
        age_ms = self._age_ms(spec.get("renewed_ms"))
        is_expired = age_ms is not None and age_ms > OWN_EXPIRY_MS
        return spec.get("failure_domain") == self._settings.failure_domain and (
            not is_expired
        )

    def is_current(self, spec):
        """Return whether an object need not be written again yet."""
        age_ms = self._age_ms(spec.get("renewed_ms"))
        return (
            spec.get("peer_address") == str(self._settings.peer_address)
            and spec.get("failure_domain") == self._settings.failure_domain
            and age_ms is not None
            and age_ms < RENEW_INTERVAL_MS
        )

    def next_spec(self, starts=False):
        """Return the object to be written now; ``starts`` if start tokens are used."""
        now_ms = self._clock.wall_ms()
        age_ms = self._age_ms(self.renewed_ms)
        registered_ms, started_ms = self.registered_ms, self.started_ms
        if age_ms is None or age_ms > OWN_EXPIRY_MS or registered_ms is None:
            registered_ms, started_ms = now_ms, None
        spec = {
            "failure_domain": self._settings.failure_domain,
            "peer_address": str(self._settings.peer_address),
            "renewed_ms": now_ms,
            "registered_ms": registered_ms,
            "store_era": self._eras.newest,
        }
        if starts:
            started_ms = now_ms
        if started_ms is not None:
            spec["started_ms"] = started_ms
        return spec

    def _age_ms(self, renewed_ms):
        renewed_ms = wall_time_ms(renewed_ms)
        return None if renewed_ms is None else self._clock.wall_ms() - renewed_ms


def may_use_start_tokens(spec, hold_ms, wall_ms):
    """Return whether no process of the VM has used start tokens within ``hold_ms``.

    ``spec`` is the VM's own object in the first list that the process has read.

    >>> may_use_start_tokens({"registered_ms": 0, "started_ms": 90}, 50, 100)
    False
    >>> may_use_start_tokens({"registered_ms": 0, "started_ms": 110}, 50, 100)
    False
    >>> may_use_start_tokens({"registered_ms": 0}, 50, 100)
    True
    """
    registered_ms = wall_time_ms(spec.get("registered_ms"))
    since_ms = registered_ms
    if "started_ms" in spec:
        since_ms = wall_time_ms(spec["started_ms"])
    if since_ms is None or registered_ms is None:
        return False
    return wall_ms - since_ms >= hold_ms
