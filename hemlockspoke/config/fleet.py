"""The ``fleet`` object: failure domains and VMs that operators have taken out."""

FLEET_KEY = "fleet"
SERVICE_PREFIX = "services/"


class Fleet:
    """Failure domains, VMs and servers that get no new work.

    >>> Fleet(["mtl-a"], []).domain_out("mtl-a")
    True
    """

    __slots__ = ("failure_domains_out", "vms_out")

    def __init__(self, failure_domains_out=(), vms_out=()):
        self.failure_domains_out = frozenset(failure_domains_out)
        self.vms_out = frozenset(vms_out)

    @classmethod
    def from_value(cls, value):
        """Build from the value of the stored object; raises ``ValueError``."""
        if not isinstance(value, dict):
            raise ValueError("the fleet object is not a map")
        lists = [value.get("failure_domains_out", []), value.get("vms_out", [])]
        for names in lists:
            if not isinstance(names, list):
                raise ValueError("a field of the fleet object is not a list")
            if not all(isinstance(name, str) for name in names):
                raise ValueError("the fleet object holds a name that is not text")
        return cls(*lists)

    def domain_out(self, failure_domain):
        """Return whether a failure domain has been taken out."""
        return failure_domain in self.failure_domains_out

    def vm_out(self, vm):
        """Return whether a VM or server has been taken out."""
        return vm in self.vms_out

    def permits(self, server):
        """Return whether a ``document.Server`` may get new work."""
        return not (self.domain_out(server.failure_domain) or self.vm_out(server.name))
