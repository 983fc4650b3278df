"""The other daemons: where they are, and which of them this one talks to."""

import logging

from hemlockspoke.address import Address
from hemlockspoke.rendezvous import rank

logger = logging.getLogger(__name__)

# Streams to each other failure domain, by which parts of queries are gathered there.
DELEGATES_PER_DOMAIN = 3
# Streams within the failure domain. In a larger one some daemons read the store
# that could take the news of another.
DOMAIN_PEERS = 24


class Fellow:
    """A registered daemon."""

    __slots__ = ("address", "failure_domain", "vm")

    def __init__(self, vm, address, failure_domain):
        self.vm = vm
        self.address = address
        self.failure_domain = failure_domain


class Fellows:
    """Chooses the daemons to keep streams to, and finds one by place."""

    __slots__ = ("_all", "_hubs", "_network", "domain", "vm")

    def __init__(self, vm, failure_domain, network, hubs):
        self.vm = vm
        self.domain = failure_domain
        self._network = network
        self._hubs = hubs
        self._all = {}

    def set_all(self, fellows):
        """Take the list of registered daemons."""
        self._all = {fellow.vm: fellow for fellow in fellows if fellow.vm != self.vm}
        chosen = {}
        for names in self._groups().values():
            for vm in names:
                chosen[vm] = self._all[vm].address
        # The choice is one-sided between domains: the other daemon may prefer others.
        self._network.set_addresses(chosen, one_sided=True)

    def _groups(self):
        """Return the chosen daemons of each failure domain."""
        groups = {}
        for fellow in self._all.values():
            groups.setdefault(fellow.failure_domain, []).append(fellow.vm)
        for domain, names in groups.items():
            if domain == self.domain:
                groups[domain] = sorted(names)[:DOMAIN_PEERS]
            else:
                hubs = rank(self.vm, self._hubs(domain))
                groups[domain] = hubs[:DELEGATES_PER_DOMAIN]
        return groups

    def knows(self, vm):
        """Return whether a daemon is in the list of registered daemons."""
        return vm in self._all

    def lowest_in_domain(self):
        """Return whether no daemon of the failure domain has a lower name."""
        return not any(
            fellow.vm < self.vm and fellow.failure_domain == self.domain
            for fellow in self._all.values()
        )

    def domain_peers(self):
        """Return the daemons of the own failure domain with an open stream."""
        return self._connected_in(self.domain)

    def hubs(self, domain):
        """Return the hubs of a failure domain with an open stream, best first."""
        connected = set(self._connected_in(domain))
        return rank(self.vm, [vm for vm in self._hubs(domain) if vm in connected])

    def _connected_in(self, domain):
        return [
            vm
            for vm in self._network.connected()
            if vm in self._all and self._all[vm].failure_domain == domain
        ]


def decode_fellow(name, spec):
    """Return the daemon of a registration, or None if it is malformed."""
    try:
        domain = spec["failure_domain"]
        address = Address.parse(spec["peer_address"])
    except (KeyError, TypeError, ValueError):
        logger.warning("malformed registration", extra={"peer": name})
        return None
    return Fellow(name, address, domain)
