"""The keepers that follow from one list of daemons, now and as daemons become old.

The load that it answers: daemons that are added, which must not take over parts of
quotas before all others have stopped to create them.
"""

import math
from bisect import bisect_right

from hemlockspoke.rendezvous import rank
from hemlockspoke.tier.limits.apportion import choose_hubs
from hemlockspoke.tier.quotas.keepers import KeeperMap, domain_keepers

# For this time after its registration a daemon is recent and keeps no tokens. A daemon
# whose list lacks it creates nothing any more by then (``LIST_LEASE_MS``).
RECENT_MS = 600_000.0
# Daemons that register within this time of the first one of their failure domain are
# not recent: no earlier keeper could take their place.
FIRST_REGISTRATIONS_MS = 15_000.0
# Daemons become old at multiples of this time, so that many added at once change the
# keepers a few times only.
CHANGE_STEP_MS = 5000.0


class KeeperSchedule:
    """Keepers by wall-clock time for one list of registered daemons.

    ``registered_by_domain`` maps each failure domain to the time of registration of
    its daemons, which is None if unknown: those count as old. Changes before
    ``since_ms`` are left out. Two schedules are equal if the keepers are at all times.

    In the example, e1 to e4 are the keepers until e5 has been registered for 600 s.

    >>> vms = {f"e{n}": None for n in range(1, 5)}
    >>> schedule = KeeperSchedule({"a1": {**vms, "e5": 20_000}}, since_ms=0.0)
    >>> schedule.domain_count(), schedule.next_change_ms(20_000.0)
    (1, 620000.0)
    >>> "e5" in schedule.map_at(619_999).keepers("a1")
    False
    """

    __slots__ = ("_from_ms", "_maps")

    def __init__(self, registered_by_domain, since_ms):
        changes_by_domain = {
            domain: domain_changes(domain, registered, since_ms)
            for domain, registered in sorted(registered_by_domain.items())
        }
        times_ms = {
            from_ms for changes in changes_by_domain.values() for from_ms in changes
        }
        self._from_ms = sorted(times_ms)
        self._maps = []
        keepers = {}
        for from_ms in self._from_ms:
            keepers = {
                domain: changes.get(from_ms, keepers.get(domain))
                for domain, changes in changes_by_domain.items()
            }
            self._maps.append(KeeperMap(keepers))

    def __eq__(self, other):
        return (
            isinstance(other, KeeperSchedule)
            and self._from_ms == other._from_ms
            and self._maps == other._maps
        )

    __hash__ = None

    def domain_count(self):
        """Return how many failure domains have registered daemons."""
        return len(self._maps[0].domains())

    def map_at(self, wall_ms):
        """Return the ``KeeperMap`` at a time."""
        return self._maps[bisect_right(self._from_ms, wall_ms) - 1]

    def maps_between(self, from_ms, until_ms):
        """Return the maps that are in force at any time from one to another."""
        first = bisect_right(self._from_ms, from_ms) - 1
        return self._maps[first : bisect_right(self._from_ms, until_ms)]

    def next_change_ms(self, wall_ms):
        """Return when the keepers change after a time, or None."""
        index = bisect_right(self._from_ms, wall_ms)
        return self._from_ms[index] if index < len(self._from_ms) else None


def lists_since(before, registered_by_domain):
    """Return the lists to note when one is read; ``before`` is the last one, or None.

    If daemons were both added and removed, others may have read a list between that
    has them all.

    >>> lists_since({"a1": {"e1": 0, "e2": 0}}, {"a1": {"e2": 0, "e3": 9}})
    [{'a1': {'e2': 0, 'e3': 9, 'e1': 0}}, {'a1': {'e2': 0, 'e3': 9}}]
    """
    if before is None:
        return [registered_by_domain]
    old, new = (
        {(domain, vm) for domain, vms in by_domain.items() for vm in vms}
        for by_domain in (before, registered_by_domain)
    )
    if old <= new or new <= old:
        return [registered_by_domain]
    both = {
        domain: {**registered_by_domain.get(domain, {}), **before.get(domain, {})}
        for domain in {**registered_by_domain, **before}
    }
    return [both, registered_by_domain]


def old_from_ms(vm, domain, registered_by_domain):
    """Return from when on a daemon is not recent in the whole system.

    Also in a failure domain that is new, it may create tokens only after that: the
    keepers of other domains may have older lists, which divide the quotas by fewer.
    """
    earliest_ms = min(
        _known_ms(registered_ms)
        for registered in registered_by_domain.values()
        for registered_ms in registered.values()
    )
    registered_ms = _known_ms(registered_by_domain[domain][vm])
    return _old_from_ms(registered_ms, earliest_ms, -math.inf)


def domain_changes(domain, registered, since_ms):
    """Return the keepers of a failure domain by the time from which they are.

    The first time is minus infinity. Only daemons that are not recent are candidates
    for hubs and keepers.
    """
    earliest_ms = min(map(_known_ms, registered.values()))
    candidate_from_ms = {
        vm: _old_from_ms(_known_ms(registered_ms), earliest_ms, since_ms)
        for vm, registered_ms in registered.items()
    }
    ranked = rank(domain, registered)
    changes = {}
    last = last_vms = None
    for from_ms in sorted(set(candidate_from_ms.values())):
        vms = [vm for vm in ranked if candidate_from_ms[vm] <= from_ms]
        hubs = choose_hubs(vms)
        if last_vms == (len(vms), hubs):
            continue
        last_vms = (len(vms), hubs)
        keepers = tuple(domain_keepers(hubs, len(vms)))
        if keepers != last:
            changes[from_ms] = last = keepers
    return changes


def _known_ms(registered_ms):
    return -math.inf if registered_ms is None else registered_ms


def _old_from_ms(registered_ms, earliest_ms, since_ms):
    """Return from when on a daemon is not recent."""
    if registered_ms - earliest_ms <= FIRST_REGISTRATIONS_MS:
        return -math.inf
    old_ms = registered_ms + RECENT_MS
    if math.isinf(old_ms):
        return old_ms
    old_ms = math.ceil(old_ms / CHANGE_STEP_MS) * CHANGE_STEP_MS
    return -math.inf if old_ms <= since_ms else old_ms
