"""Divides the limits of a server among the daemons that use it.

Every daemon works out its own part from the list of registered daemons, so that no
write and no message is needed for it. The parts of daemons with the same list never
add up to more than the limit.
"""

from hemlockspoke.rendezvous import rank

# Daemons that share the limits until their list has been read: more than small
# systems have, so that nobody takes too much meanwhile.
ASSUMED_MEMBERS = 16
# The rest is left to callers of the server that this daemon does not know of, and to
# daemons whose lists differ for a while.
CONNECTION_PART = 0.95
COLD_PART = 0.8
# Part of a server's connections for the daemons of other regions. Those of its own
# region gather its parts for the others as well.
FAR_PART = 0.25
# Hubs of a failure domain: a part of its daemons, and at least so many. A query of 90
# shards occupies three of them at once, and some may be down or busy.
HUB_PART = 0.5
MIN_HUBS = 6
# Hubs send most requests to the servers of shards, so they get more of the slack of
# extra arrivals than the others.
HUB_WEIGHT = 3


class Apportionment:
    """The part of one daemon in limits over all daemons.

    Some daemons of each failure domain are its hubs: they gather parts of queries for
    the others, and keep connections to servers of other regions. Where a server
    accepts few connections, the hubs of all regions still reach it.

    >>> parts = Apportionment("e1", "a1", {"a1": "a", "b1": "b"})
    >>> parts.set_members({"a1": ["e1", "e2"], "b1": ["e3"]})
    True
    >>> parts.connections("s1", "a1", 40), parts.connections("s1", "b1", 40)
    (14, 4)
    """

    __slots__ = ("_domain", "_hubs", "_members", "_regions", "_share", "_vm")

    def __init__(self, vm, domain, regions):
        self._vm = vm
        self._domain = domain
        self._regions = regions
        self._members = None
        self._hubs = {}
        self._share = 1.0 / ASSUMED_MEMBERS

    def set_members(self, members):
        """Take the names of all daemons by failure domain; tell if they changed."""
        members = {domain: sorted(names) for domain, names in members.items()}
        if members == self._members:
            return False
        self._members = members
        self._hubs = {
            domain: rank(domain, names)[: max(MIN_HUBS, int(HUB_PART * len(names)))]
            for domain, names in members.items()
        }
        # Asked for with every request, while daemons come and go seldom.
        hubs = sum(len(names) for names in self._hubs.values())
        total = self.count() + (HUB_WEIGHT - 1) * hubs
        self._share = (HUB_WEIGHT if self.is_hub() else 1) / max(1, total)
        return True

    def hubs(self, domain):
        """Return the hubs of a failure domain."""
        return self._hubs.get(domain, [])

    def is_hub(self):
        """Return whether this daemon is a hub, as it is while it knows no others."""
        return self._members is None or self._vm in self.hubs(self._domain)

    def count(self):
        """Return how many daemons share the limits."""
        if self._members is None:
            return ASSUMED_MEMBERS
        return max(1, sum(len(names) for names in self._members.values()))

    def share(self):
        """Return this daemon's part of a limit on what all daemons send."""
        return self._share

    def connections(self, server_id, domain, limit):
        """Return how many connections this daemon may have to a server."""
        usable = int(limit * CONNECTION_PART)
        if self._members is None:
            # Without any connection nothing is served while the store is away.
            return max(1, usable // ASSUMED_MEMBERS)
        region = self._regions.get(domain)
        near, far = [], []
        for other, names in self._members.items():
            if self._regions.get(other) == region:
                near.extend(names)
            else:
                far.extend(self._hubs[other])
        far_limit = self._far_limit(usable, len(near), len(far))
        if self._regions.get(self._domain) != region:
            return self._part(server_id, far, far_limit)
        # What cannot be divided among the far ones goes to the near ones.
        if not far:
            far_limit = 0
        elif far_limit >= len(far):
            far_limit -= far_limit % len(far)
        return self._part(server_id, near, usable - far_limit)

    def _far_limit(self, usable, near, far):
        """Return how many connections the hubs of other regions may have.

        Each gets one if that leaves one for each near daemon; else the server's id
        decides which of them do.
        """
        if not near:
            return usable
        return max(int(usable * FAR_PART), min(far, usable - near))

    def cold_requests(self, server_id, limit):
        """Return how many requests a second this daemon may send to a cold server."""
        usable = int(limit * COLD_PART)
        if self._members is None:
            return usable // ASSUMED_MEMBERS
        names = [vm for names in self._members.values() for vm in names]
        whole, rest = divmod(usable, max(1, len(names)))
        return whole + int(self._vm in rank(server_id, names)[:rest])

    def _part(self, server_id, names, limit):
        """Return an equal part of a limit, or 1 for the first by rank."""
        if self._vm not in names:
            return 0
        if limit >= len(names):
            return limit // len(names)
        return int(self._vm in rank(server_id, names)[: max(0, limit)])
