"""Choice of the VMs that should hold the shares of each group of servers."""

from hemlockspoke.limits.shares import MAX_HOLDERS
from hemlockspoke.rendezvous import rank


def region_of(group):
    """Return the region of a group.

    >>> region_of("mtl-0a")
    'mtl'
    """
    return group.rpartition("-")[0]


def by_region(members):
    """Return a map of region to the set of its VM names."""
    names = {}
    for member in members:
        names.setdefault(member.region, set()).add(member.vm)
    return names


class HolderRanking:
    """The highest-ranked candidate VMs of each group.

    Ranking all candidates for all groups takes seconds with thousands of VMs, so
    the two best are cached per group. A VM that joins is compared with these two
    only; when a VM leaves, only the groups that it was among the best of are
    ranked again.

    >>> ranking = HolderRanking()
    >>> _ = ranking.update({"mtl": {"vm-1"}})
    >>> ranking.best("mtl-0a")
    ['vm-1']
    """

    __slots__ = ("_best", "_by_region", "_candidates")

    def __init__(self):
        self._by_region = {}
        self._candidates = {}
        self._best = {}

    def best(self, group):
        """Return the names of the desired holders of ``group``, best first."""
        if group not in self._best:
            names = self._candidates_of(region_of(group))
            self._best[group] = rank(group, names)[:MAX_HOLDERS]
        return self._best[group]

    def update(self, by_region):
        """Set the candidates by region; return the groups whose best changed."""
        before = {region: self._candidates_of(region) for region in self._regions()}
        self._by_region = {region: set(names) for region, names in by_region.items()}
        self._candidates = {}
        changed = set()
        for region, old in before.items():
            new = self._candidates_of(region)
            if old != new:
                changed.update(self._update_region(region, new, new - old))
        return changed

    def _regions(self):
        return {region_of(group) for group in self._best}

    def _candidates_of(self, region):
        """Return the candidates of a region, or of all regions if it has none."""
        if region not in self._candidates:
            names = self._by_region.get(region)
            if not names:
                names = set().union(*self._by_region.values())
            self._candidates[region] = names
        return self._candidates[region]

    def _update_region(self, region, names, joined):
        """Rank the groups of a region again; return those whose best changed."""
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
