"""Finds the keepers that can be reached, and those that need a stream.

The load that it answers: keepers that end, are cut off or do not answer.
"""

# A keeper that has not answered is not asked for this time if another one can be.
SILENT_KEEPER_MS = 1000.0


class KeeperRoutes:
    """The keepers of the list in force, as one daemon reaches them.

    ``network`` has ``has_stream(vm)``.
    """

    __slots__ = (
        "_domain",
        "_network",
        "_regions",
        "_silent_until_ms",
        "_tenure",
        "_vm",
    )

    def __init__(self, settings, tenure, network):
        self._vm = settings.vm
        self._domain = settings.failure_domain
        self._regions = settings.failure_domains
        self._tenure = tenure
        self._network = network
        self._silent_until_ms = {}

    def keeper_to_ask(self, name, now_ms):
        """Return the first keeper by rank that can be reached, or None."""
        keeper_map = self._tenure.current
        if keeper_map is None:
            return None
        reachable = [
            vm
            for vm in keeper_map.ranked(name, self._domain)
            if vm == self._vm or self._network.has_stream(vm)
        ]
        for vm in reachable:
            if self._silent_until_ms.get(vm, 0.0) <= now_ms:
                return vm
        return reachable[0] if reachable else None

    def set_silent(self, vm, now_ms):
        """Prefer other keepers to one that has not answered."""
        self._silent_until_ms = {
            other: until_ms
            for other, until_ms in self._silent_until_ms.items()
            if until_ms > now_ms
        }
        self._silent_until_ms[vm] = now_ms + SILENT_KEEPER_MS

    def forget(self, vm):
        """Forget a keeper whose stream is lost."""
        self._silent_until_ms.pop(vm, None)

    def lender_groups(self, name):
        """Return the reachable keepers of other domains, those of this region first."""
        keeper_map = self._tenure.current
        near, far = [], []
        if keeper_map is None:
            return [near, far]
        region = self._regions.get(self._domain)
        for domain in keeper_map.domains():
            if domain == self._domain:
                continue
            for vm in keeper_map.ranked(name, domain):
                if self._network.has_stream(vm):
                    is_near = self._regions.get(domain) == region
                    (near if is_near else far).append(vm)
                    break
        return [near, far]

    def stream_vms(self):
        """Return the VMs that this daemon needs streams to.

        They are the keepers of its failure domain, which need not be hubs, and for a
        keeper also those of the others. Those that become keepers soon are included.
        """
        vms = set()
        for keeper_map in self._tenure.maps_around():
            vms.update(keeper_map.keepers(self._domain))
            if self._vm in keeper_map.keepers(self._domain):
                for domain in keeper_map.domains():
                    vms.update(keeper_map.keepers(domain))
        return vms - {self._vm}

    def is_keeper(self):
        """Return whether this daemon is a keeper of its failure domain."""
        keeper_map = self._tenure.current
        return keeper_map is not None and self._vm in keeper_map.keepers(self._domain)
