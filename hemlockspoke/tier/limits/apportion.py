"""Divides limits among the daemons of the query tier.

Three limits hold for all daemons together: the connections that a server of an upstream
accepts, the requests a second that a cold server (one that has just started) can
handle, and the extra load, which consists of retries and hedges. Every daemon computes
its own share from the list of registered daemons, so the daemons need not communicate.
The shares of daemons with the same list never add up to more than the limit.
"""

from hemlockspoke.rendezvous import rank

# Number of daemons assumed until the list of daemons has been read. Small systems have
# fewer daemons, so there no daemon takes too large a share meanwhile.
ASSUMED_DAEMONS = 16
# Fraction of a server's connections, and of the requests to a cold server, that the
# daemons divide. The remainder is reserved for users of the server that are not in this
# daemon's list, and for daemons whose lists differ temporarily.
CONNECTION_FRACTION = 0.95
COLD_FRACTION = 0.8
# Minimum fraction of a server's connections for the hubs of other regions together. The
# daemons of its own region need more, as they also gather its answers for others.
MIN_REMOTE_FRACTION = 0.25
# Fraction of the daemons of a failure domain that are hubs, but at least MIN_HUBS. A
# query of 90 shards occupies three hubs at once, and some may be down or busy. With
# more hubs each sees a server too rarely to notice that it has turned slow or dark.
HUB_FRACTION = 0.16
MIN_HUBS = 6
# Fraction of the extra load of a shard's service that the hubs divide, as they send
# most requests of queries. The other daemons divide the rest.
HUB_EXTRA_FRACTION = 0.7


def choose_hubs(ranked_vms):
    """Return the hubs of a failure domain, given its daemons by rank for its name.

    >>> choose_hubs([f"e{number}" for number in range(44)])
    ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6']
    """
    return ranked_vms[: max(MIN_HUBS, int(HUB_FRACTION * len(ranked_vms)))]


class LimitShares:
    """The shares of one daemon in the limits that hold for all daemons together.

    ``vm`` is the VM of this daemon, which identifies it, ``domain`` its failure domain.
    ``regions`` maps each failure domain to its region.

    Some daemons of each failure domain are its hubs: they gather parts of queries for
    other daemons, and only they connect to servers of other regions. That leaves a
    connection for the hubs of all regions even if a server accepts few.

    In the example a server accepts 40 connections, of which 38 are divided. If it is in
    a1, the hub of region b gets 9, and the two daemons of region a get 14 each.

    >>> shares = LimitShares("e1", "a1", {"a1": "a", "b1": "b"})
    >>> shares.set_members({"a1": ["e1", "e2"], "b1": ["e3"]})
    True
    >>> [shares.connection_limit("s1", domain, 40) for domain in ("a1", "b1")]
    [14, 4]
    """

    __slots__ = (
        "_all_hubs",
        "_domain",
        "_extra_arrivals",
        "_gathered_services",
        "_hubs",
        "_regions",
        "_vm",
        "_vms_by_domain",
    )

    def __init__(self, vm, domain, regions):
        self._vm = vm
        self._domain = domain
        self._regions = regions
        self._vms_by_domain = None
        self._hubs = {}
        self._all_hubs = set()
        self._gathered_services = frozenset()
        # This daemon's share of the extra arrivals by service and total, since it is
        # read for every request and rarely changes.
        self._extra_arrivals = {}

    def set_gathered_services(self, services):
        """Set the services whose answers are parts of queries."""
        self._gathered_services = frozenset(services)
        self._extra_arrivals.clear()

    def set_members(self, vms_by_domain):
        """Set the VMs of all daemons by failure domain; return whether they changed."""
        vms_by_domain = {domain: sorted(vms) for domain, vms in vms_by_domain.items()}
        if vms_by_domain == self._vms_by_domain:
            return False
        self._vms_by_domain = vms_by_domain
        self._hubs = {
            domain: choose_hubs(rank(domain, vms))
            for domain, vms in vms_by_domain.items()
        }
        self._all_hubs = {vm for hubs in self._hubs.values() for vm in hubs}
        self._extra_arrivals.clear()
        return True

    def hubs(self, domain):
        """Return the VMs of the hubs of a failure domain."""
        return self._hubs.get(domain, [])

    def domains(self):
        """Return the failure domains that have daemons."""
        return list(self._hubs)

    def is_hub(self):
        """Return whether this daemon is a hub; True until the list has been read."""
        return self._vms_by_domain is None or self._vm in self.hubs(self._domain)

    def daemon_count(self):
        """Return how many daemons share the limits."""
        if self._vms_by_domain is None:
            return ASSUMED_DAEMONS
        return max(1, sum(len(vms) for vms in self._vms_by_domain.values()))

    def extra_arrivals(self, service, total):
        """Return this daemon's share of ``total`` extra arrivals at a service.

        If there is less than one for each daemon, the rank for the service decides
        which daemons get one, since a part of an arrival is of no use.

        >>> shares = LimitShares("e1", "a1", {"a1": "a"})
        >>> shares.set_members({"a1": ["e1", "e2", "e3", "e4"]})
        True
        >>> shares.extra_arrivals("items", 10), shares.extra_arrivals("items", 0)
        (2.5, 0.0)
        """
        share = self._extra_arrivals.get((service, total))
        if share is None:
            share = self._divide_extra_arrivals(service, total)
            self._extra_arrivals[service, total] = share
        return share

    def _divide_extra_arrivals(self, service, total):
        if self._vms_by_domain is None:
            return total / ASSUMED_DAEMONS
        vms = [vm for vms in self._vms_by_domain.values() for vm in vms]
        hubs = [vm for vms in self._hubs.values() for vm in vms]
        if service in self._gathered_services and len(hubs) < len(vms):
            if self.is_hub():
                vms, total = hubs, HUB_EXTRA_FRACTION * total
            else:
                vms = sorted(set(vms) - set(hubs))
                total *= 1.0 - HUB_EXTRA_FRACTION
        if total >= len(vms):
            return total / max(1, len(vms))
        return float(self._vm in rank(service, vms)[: int(total)])

    def connection_limit(self, server_id, server_domain, limit):
        """Return how many connections this daemon may open to a server.

        ``limit`` is the number that the server accepts from all daemons together.
        """
        usable = int(limit * CONNECTION_FRACTION)
        if self._vms_by_domain is None:
            # With no connection allowed, a daemon that starts during an outage of the
            # store could serve no request.
            return max(1, usable // ASSUMED_DAEMONS)
        region = self._regions.get(server_domain)
        local_vms, remote_vms = [], []
        for daemon_domain, vms in self._vms_by_domain.items():
            if self._regions.get(daemon_domain) == region:
                local_vms.extend(vms)
            else:
                remote_vms.extend(self._hubs[daemon_domain])
        remote_limit = self._remote_limit(usable, len(local_vms), len(remote_vms))
        if self._regions.get(self._domain) != region:
            return self._connection_share(server_id, remote_vms, remote_limit)
        # What cannot be divided evenly among the remote hubs goes to the daemons of
        # the server's region.
        if not remote_vms:
            remote_limit = 0
        elif remote_limit >= len(remote_vms):
            remote_limit -= remote_limit % len(remote_vms)
        return self._connection_share(server_id, local_vms, usable - remote_limit)

    def _remote_limit(self, usable, local_count, remote_count):
        """Return how many connections the hubs of other regions share.

        It is enough for one each if that leaves one for each daemon of the server's
        region, and at least ``MIN_REMOTE_FRACTION``. If it is less than one each, the
        rank for the server's id decides which hubs get none.
        """
        if not local_count:
            return usable
        return max(
            int(usable * MIN_REMOTE_FRACTION), min(remote_count, usable - local_count)
        )

    def cold_request_limit(self, server_id, limit):
        """Return how many requests a second this daemon may send to a cold server.

        ``limit`` is the number that all daemons together may send.
        """
        usable = int(limit * COLD_FRACTION)
        if self._vms_by_domain is None:
            return usable // ASSUMED_DAEMONS
        vms = [vm for vms in self._vms_by_domain.values() for vm in vms]
        quotient, remainder = divmod(usable, max(1, len(vms)))
        return quotient + int(self._vm in rank(server_id, vms)[:remainder])

    def _connection_share(self, server_id, vms, limit):
        """Return this daemon's share of ``limit`` connections divided among ``vms``.

        If there are fewer connections than VMs, hubs get one first, as they send for
        the others; apart from that the rank decides.
        """
        if self._vm not in vms:
            return 0
        if limit >= len(vms):
            return limit // len(vms)
        ranked = rank(server_id, vms)
        ranked.sort(key=lambda vm: vm not in self._all_hubs)
        return int(self._vm in ranked[: max(0, limit)])
