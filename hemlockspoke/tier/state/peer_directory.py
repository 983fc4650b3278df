"""The other daemons, and those that this daemon keeps streams to."""

import logging

from hemlockspoke.address import Address
from hemlockspoke.rendezvous import rank

logger = logging.getLogger(__name__)

# Number of streams to daemons of each other failure domain, over which parts of queries
# are delegated.
REMOTE_PEERS_PER_DOMAIN = 3
# Number of daemons of the failure domain, those with the lowest names, to which all of
# the domain keep streams beside its hubs: one of them reads the store for all, and the
# others can take over.
READER_CANDIDATES = 8
# Greatest wall-clock time of a registration that is taken; a float holds it exactly.
MAX_WALL_MS = 2**53


class Peer:
    """A registered daemon.

    ``registered_ms`` is the wall-clock time at which it was first registered, or None
    if an earlier version has written the registration.
    """

    __slots__ = ("address", "failure_domain", "registered_ms", "vm")

    def __init__(self, vm, address, failure_domain, registered_ms=None):
        self.vm = vm
        self.address = address
        self.failure_domain = failure_domain
        self.registered_ms = registered_ms


class PeerDirectory:
    """Selects the daemons to keep streams to, and finds daemons by failure domain.

    ``hubs(domain)`` returns the VMs of the daemons of a failure domain that gather
    parts for others, and ``further_streams()`` other VMs that need a stream.
    """

    __slots__ = (
        "_collectors",
        "_hubs",
        "_network",
        "_peers_by_vm",
        "_streams_before",
        "domain",
        "further_streams",
        "vm",
    )

    def __init__(self, vm, failure_domain, network, hubs):
        self.vm = vm
        self.domain = failure_domain
        self._network = network
        self._hubs = hubs
        self._peers_by_vm = {}
        self._streams_before = 0
        self.further_streams = set
        self._collectors = frozenset()

    def set_peers(self, peers):
        """Set the list of registered daemons, and update the streams."""
        self._peers_by_vm = {peer.vm: peer for peer in peers if peer.vm != self.vm}
        self.update_streams()

    def set_collectors(self, vms):
        """Set daemons to keep streams to as well, as they collect for a rollout."""
        if vms != self._collectors:
            self._collectors = frozenset(vms)
            self.update_streams()

    def update_streams(self):
        """Open the streams that are needed now, and close the others."""
        addresses = {}
        selected = self._select_peers()
        self._streams_before = sum(vm < self.vm for vm in selected.get(self.domain, ()))
        for vms in selected.values():
            for vm in vms:
                addresses[vm] = self._peers_by_vm[vm].address
        further_vms = {*self.further_streams(), *self._collectors}
        for vm in further_vms & self._peers_by_vm.keys():
            addresses[vm] = self._peers_by_vm[vm].address
        # Between domains the selection may be one-sided: the other daemon may have
        # selected other peers.
        self._network.set_addresses(addresses, one_sided=True)

    def _select_peers(self):
        """Return the VMs of the selected daemons by failure domain."""
        vms_by_domain = {}
        for peer in self._peers_by_vm.values():
            vms_by_domain.setdefault(peer.failure_domain, []).append(peer.vm)
        for domain, vms in vms_by_domain.items():
            if domain == self.domain:
                hubs = [vm for vm in self._hubs(domain) if vm != self.vm]
                vms_by_domain[domain] = {*sorted(vms)[:READER_CANDIDATES], *hubs}
            else:
                hubs = rank(self.vm, self._hubs(domain))
                vms_by_domain[domain] = hubs[:REMOTE_PEERS_PER_DOMAIN]
        return vms_by_domain

    def knows(self, vm):
        """Return whether a daemon is in the list of registered daemons."""
        return vm in self._peers_by_vm

    def position_in_domain(self):
        """Return how many daemons of the failure domain have a lower name."""
        return sum(
            peer.vm < self.vm and peer.failure_domain == self.domain
            for peer in self._peers_by_vm.values()
        )

    def streams_before(self):
        """Return to how many of those this daemon keeps streams.

        They include daemons whose stream is not open, as their VMs may be gone.
        """
        return self._streams_before

    def domain_peers(self):
        """Return the VMs of the daemons of this failure domain with an open stream."""
        return self._connected_in(self.domain)

    def hubs(self, domain):
        """Return the VMs of a failure domain's hubs with an open stream, by rank."""
        connected = set(self._connected_in(domain))
        return rank(self.vm, [vm for vm in self._hubs(domain) if vm in connected])

    def _connected_in(self, domain):
        return [
            vm
            for vm in self._network.connected()
            if vm in self._peers_by_vm
            and self._peers_by_vm[vm].failure_domain == domain
        ]


def decode_peer(name, spec):
    """Return the ``Peer`` of a registration, or None if it is malformed."""
    try:
        domain = spec["failure_domain"]
        if not isinstance(domain, str):
            raise ValueError("the failure domain is no text")
        address = Address.parse(spec["peer_address"])
    except (KeyError, TypeError, ValueError):
        logger.warning("malformed registration", extra={"peer": name})
        return None
    return Peer(name, address, domain, wall_time_ms(spec.get("registered_ms")))


def wall_time_ms(value):
    """Return a wall-clock time of a registration, or None if it is none.

    >>> wall_time_ms(1_700_000_000_000), wall_time_ms("1"), wall_time_ms(10**400)
    (1700000000000, None, None)
    """
    is_time = type(value) is int and 0 <= value <= MAX_WALL_MS
    return value if is_time else None
