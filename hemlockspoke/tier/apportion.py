"""Divides the limits of a server among the daemons that use it.

Every daemon computes its own share from the list of registered daemons, so no
coordination between daemons is needed. The shares of daemons with the same list
never add up to more than the limit.
"""

from hemlockspoke.rendezvous import rank

# Number of daemons assumed until the list of daemons has been read. It exceeds the
# size of small systems, so that no daemon takes too large a share meanwhile.
ASSUMED_DAEMONS = 16
# The remainder is reserved for callers of the server that this daemon does not know of,
# and for daemons whose lists differ temporarily.
CONNECTION_FRACTION = 0.95
COLD_FRACTION = 0.8
# Fraction of a server's connections for daemons of other regions. The daemons of its
# own region need more, as they also gather its answers for other daemons.
REMOTE_FRACTION = 0.25
# Hubs of a failure domain: this fraction of its daemons, but at least MIN_HUBS. A query
# of 90 shards occupies three of them at once, and some may be down or busy.
HUB_FRACTION = 0.5
MIN_HUBS = 6
# Hubs send most requests to the servers of shards, so they get this many times the
# share of another daemon in the extra load.
HUB_WEIGHT = 3


class LimitShares:
    """The shares of one daemon in limits that hold for all daemons together.

    Some daemons of each failure domain are its hubs: they gather parts of queries for
    other daemons, and keep connections to servers of other regions. Even if a server
    accepts few connections, the hubs of all regions can reach it.

    ``regions`` maps each failure domain to its region.

    >>> shares = LimitShares("e1", "a1", {"a1": "a", "b1": "b"})
    >>> shares.set_members({"a1": ["e1", "e2"], "b1": ["e3"]})
    True
    >>> [shares.connection_limit("s1", domain, 40) for domain in ("a1", "b1")]
    [14, 4]
    """

    __slots__ = ("_domain", "_hubs", "_regions", "_share", "_vm", "_vms_by_domain")

    def __init__(self, vm, domain, regions):
        self._vm = vm
        self._domain = domain
        self._regions = regions
        self._vms_by_domain = None
        self._hubs = {}
        self._share = 1.0 / ASSUMED_DAEMONS

    def set_members(self, vms_by_domain):
        """Set the VMs of all daemons by failure domain; return whether they changed."""
        vms_by_domain = {domain: sorted(vms) for domain, vms in vms_by_domain.items()}
        if vms_by_domain == self._vms_by_domain:
            return False
        self._vms_by_domain = vms_by_domain
        self._hubs = {
            domain: rank(domain, vms)[: max(MIN_HUBS, int(HUB_FRACTION * len(vms)))]
            for domain, vms in vms_by_domain.items()
        }
        # Computed here because it is read with every request and rarely changes.
        hub_count = sum(len(vms) for vms in self._hubs.values())
        total_weight = self.daemon_count() + (HUB_WEIGHT - 1) * hub_count
        self._share = (HUB_WEIGHT if self.is_hub() else 1) / max(1, total_weight)
        return True

    def hubs(self, domain):
        """Return the hubs of a failure domain."""
        return self._hubs.get(domain, [])

    def is_hub(self):
        """Return whether this daemon is a hub; True until the daemons are known."""
        return self._vms_by_domain is None or self._vm in self.hubs(self._domain)

    def daemon_count(self):
        """Return how many daemons share the limits."""
        if self._vms_by_domain is None:
            return ASSUMED_DAEMONS
        return max(1, sum(len(vms) for vms in self._vms_by_domain.values()))

    def share(self):
        """Return this daemon's fraction of a limit on what all daemons send."""
        return self._share

    def connection_limit(self, server_id, domain, limit):
        """Return how many connections this daemon may open to a server."""
        usable = int(limit * CONNECTION_FRACTION)
        if self._vms_by_domain is None:
            # Without a connection no request could be served during a store outage.
            return max(1, usable // ASSUMED_DAEMONS)
        region = self._regions.get(domain)
        local_vms, remote_vms = [], []
        for other_domain, vms in self._vms_by_domain.items():
            if self._regions.get(other_domain) == region:
                local_vms.extend(vms)
            else:
                remote_vms.extend(self._hubs[other_domain])
        remote_limit = self._remote_limit(usable, len(local_vms), len(remote_vms))
        if self._regions.get(self._domain) != region:
            return self._server_share(server_id, remote_vms, remote_limit)
        # What cannot be divided evenly among remote hubs goes to local daemons.
        if not remote_vms:
            remote_limit = 0
        elif remote_limit >= len(remote_vms):
            remote_limit -= remote_limit % len(remote_vms)
        return self._server_share(server_id, local_vms, usable - remote_limit)

    def _remote_limit(self, usable, local_count, remote_count):
        """Return how many connections the hubs of other regions may have.

        Each gets one if that leaves one for each local daemon. Otherwise some get
        none, chosen by rank for the server's id.
        """
        if not local_count:
            return usable
        return max(
            int(usable * REMOTE_FRACTION), min(remote_count, usable - local_count)
        )

    def cold_request_limit(self, server_id, limit):
        """Return how many requests a second this daemon may send to a cold server."""
        usable = int(limit * COLD_FRACTION)
        if self._vms_by_domain is None:
            return usable // ASSUMED_DAEMONS
        vms = [vm for vms in self._vms_by_domain.values() for vm in vms]
        quotient, remainder = divmod(usable, max(1, len(vms)))
        return quotient + int(self._vm in rank(server_id, vms)[:remainder])

    def _server_share(self, server_id, vms, limit):
        """Return an equal share of a limit; 1 or 0 by rank if it is too small."""
        if self._vm not in vms:
            return 0
        if limit >= len(vms):
            return limit // len(vms)
        return int(self._vm in rank(server_id, vms)[: max(0, limit)])
