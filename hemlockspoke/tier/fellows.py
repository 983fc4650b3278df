"""The other daemons: where they are, and which of them this one talks to."""

import logging

from hemlockspoke.address import Address
from hemlockspoke.rendezvous import rank

logger = logging.getLogger(__name__)

# Streams to each other region, by which parts of queries are gathered there.
DELEGATES_PER_REGION = 2
# Streams within the failure domain. In a larger one some daemons read the store
# that could take the news of another.
DOMAIN_PEERS = 24


class Fellow:
    """A registered daemon."""

    __slots__ = ("address", "failure_domain", "region", "vm")

    def __init__(self, vm, address, failure_domain, region):
        self.vm = vm
        self.address = address
        self.failure_domain = failure_domain
        self.region = region


class Fellows:
    """Chooses the daemons to keep streams to, and finds one by place."""

    __slots__ = ("_all", "_network", "_region", "domain", "vm")

    def __init__(self, vm, failure_domain, region, network):
        self.vm = vm
        self.domain = failure_domain
        self._region = region
        self._network = network
        self._all = {}

    def set_all(self, fellows):
        """Take the list of registered daemons."""
        self._all = {fellow.vm: fellow for fellow in fellows if fellow.vm != self.vm}
        chosen = {}
        for names in self._groups().values():
            for vm in names:
                chosen[vm] = self._all[vm].address
        # The choice is one-sided between regions: the other daemon may prefer others.
        self._network.set_addresses(chosen, one_sided=True)

    def _groups(self):
        """Return the chosen daemons: of the own domain, and of each other region."""
        groups = {}
        for fellow in self._all.values():
            near = fellow.failure_domain == self.domain
            if near or fellow.region != self._region:
                place = self.domain if near else f"region {fellow.region}"
                groups.setdefault(place, []).append(fellow.vm)
        for place, names in groups.items():
            if place == self.domain:
                groups[place] = sorted(names)[:DOMAIN_PEERS]
            else:
                groups[place] = rank(self.vm, names)[:DELEGATES_PER_REGION]
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
        return [
            vm
            for vm in self._network.connected()
            if vm in self._all and self._all[vm].failure_domain == self.domain
        ]

    def in_region(self, region):
        """Return the daemons of a region with an open stream, best first."""
        names = [
            vm
            for vm in self._network.connected()
            if vm in self._all and self._all[vm].region == region
        ]
        return rank(self.vm, names)


def decode_fellow(name, spec, failure_domains):
    """Return the daemon of a registration, or None if it is malformed."""
    try:
        domain = spec["failure_domain"]
        address = Address.parse(spec["peer_address"])
    except (KeyError, TypeError, ValueError):
        logger.warning("malformed registration", extra={"peer": name})
        return None
    return Fellow(name, address, domain, failure_domains.get(domain, ""))
