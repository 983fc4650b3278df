"""The platform's forwarding of callers' connections to daemons that are in rotation."""

import threading

READY_INTERVAL_S = 1.0
# Failed ready checks in a row after which a daemon gets no new connections.
MISSES = 2


class Ingress:
    """Chooses the daemon for each new connection of a caller.

    ``vms_by_domain`` maps each failure domain to its VMs. A domain with fewer than half
    of its daemons in rotation uses all of them, so a daemon that is not ready may still
    get connections. A domain with none in rotation uses those of the others.
    """

    def __init__(self, world, vms_by_domain):
        self._world = world
        self._vms_by_domain = vms_by_domain
        self._misses = {vm: 0 for vms in vms_by_domain.values() for vm in vms}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def start(self):
        """Start the ready checks."""
        self._thread.start()

    def stop(self):
        """Stop the ready checks."""
        self._stopped.set()
        self._thread.join(timeout=30)

    def _poll(self):
        while not self._stopped.wait(READY_INTERVAL_S):
            for vm in self._misses:
                is_ready = self._world.ready_status(vm) == 200
                self._misses[vm] = 0 if is_ready else self._misses[vm] + 1

    def _in_rotation(self, domain):
        vms = self._vms_by_domain[domain]
        return [vm for vm in vms if self._misses[vm] < MISSES]

    def choose(self, domain, caller_index):
        """Return the VM that gets a new connection of a caller in ``domain``."""
        vms = self._in_rotation(domain)
        if vms and 2 * len(vms) < len(self._vms_by_domain[domain]):
            vms = self._vms_by_domain[domain]
        if not vms:
            others = [other for other in self._vms_by_domain if other != domain]
            vms = [vm for other in others for vm in self._in_rotation(other)]
        vms = vms or self._vms_by_domain[domain]
        return vms[caller_index % len(vms)]
