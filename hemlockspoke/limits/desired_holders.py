"""The VMs that should hold the shares of each group of servers."""

from hemlockspoke.limits.shares import MAX_HOLDERS
from hemlockspoke.rendezvous import rank


def region_of(group):
    """Return the region of a group.

    >>> region_of("mtl-0a")
    'mtl'
    """
    return group.rpartition("-")[0]


def by_region(members):
    """Return the names of members by region."""
    names = {}
    for member in members:
        names.setdefault(member.region, set()).add(member.vm)
    return names


class HolderPool:
    """The best VMs of each group among some candidates.

    Ranking all candidates for all groups costs seconds at thousands of VMs, so
    the best are kept per group: a VM that joins is compared with the two best
    only, and a VM that leaves costs a ranking of the groups it was best for.

    >>> pool = HolderPool()
    >>> _ = pool.update({"mtl": {"vm-1"}})
    >>> pool.best("mtl-0a")
    ['vm-1']
    """

    __slots__ = ("_best", "_by_region", "_names")

    def __init__(self):
        self._by_region = {}
        self._names = {}
        self._best = {}

    def best(self, group):
        """Return the names of the desired holders of ``group``, best first."""
        if group not in self._best:
            names = self._names_of(region_of(group))
            self._best[group] = rank(group, names)[:MAX_HOLDERS]
        return self._best[group]

    def update(self, by_region):
        """Set the names of the candidates by region; return the groups affected."""
        before = {region: self._names_of(region) for region in self._regions()}
        self._by_region = {region: set(names) for region, names in by_region.items()}
        self._names = {}
        changed = set()
        for region, old in before.items():
            new = self._names_of(region)
            if old != new:
                changed.update(self._update_region(region, new, new - old))
        return changed

    def _regions(self):
        return {region_of(group) for group in self._best}

    def _names_of(self, region):
        """Return the candidates of a region, or all if it has none."""
        if region not in self._names:
            names = self._by_region.get(region)
            if not names:
                names = set().union(*self._by_region.values())
            self._names[region] = names
        return self._names[region]

    def _update_region(self, region, names, joined):
        """Update the groups of a region; return those whose best have changed."""
        changed = []
        for group, best in self._best.items():
            if region_of(group) != region:
                continue
            candidates = [*best, *joined] if names.issuperset(best) else names
            ranked = rank(group, candidates)[:MAX_HOLDERS]
            if ranked != best:
                self._best[group] = ranked
                changed.append(group)
        return changed
