"""Routes and service limits of one version of the configuration."""

from hemlockspoke.tier.accounts.account import AccountTable


class Route:
    """How the requests of one host and path prefix are served.

    Exactly one of ``split`` and ``shards`` is set: ``split`` lists pairs of a service
    and its weight, ``shards`` the services that each hold a part of an index. A split
    of one service sends all requests to it. ``regions`` is empty if servers of any
    region may serve the route. ``timeout_ms`` limits the time of each request,
    ``target_ms`` is its target latency. At most ``max_servers`` servers of a service
    get a request. ``priority`` is the rank of its requests, 0 being the most urgent.
    Requests of a ``public`` route need no key. An answer of a route with shards
    contains the ``top_k`` greatest records, and the parts of at least the fraction
    ``min_coverage`` of the shards.
    """

    __slots__ = (
        "host",
        "idempotent",
        "max_servers",
        "min_coverage",
        "name",
        "path_prefix",
        "priority",
        "public",
        "regions",
        "shards",
        "split",
        "target_ms",
        "timeout_ms",
        "top_k",
    )

    def __init__(
        self,
        *,
        name,
        host,
        path_prefix,
        idempotent,
        timeout_ms,
        target_ms,
        max_servers=1,
        split=(),
        shards=(),
        top_k=0,
        min_coverage=0.0,
        regions=(),
        priority=0,
        public=False,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.idempotent = idempotent
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.max_servers = max_servers
        self.split = tuple(split)
        self.shards = tuple(shards)
        self.top_k = top_k
        self.min_coverage = min_coverage
        self.regions = frozenset(regions)
        self.priority = priority
        self.public = public

    def key(self):
        """Return the key that identifies the route across versions."""
        return (self.host, self.path_prefix)

    def __repr__(self):
        return f"Route({self.host!r}, {self.path_prefix!r})"


class ServiceLimits:
    """Limits of each server of a service.

    ``cold_per_s`` is the request rate that a cold server can handle; 0 if none is
    stated.
    """

    __slots__ = ("cold_per_s", "max_connections", "name")

    def __init__(self, name, max_connections, cold_per_s=0.0):
        self.name = name
        self.max_connections = max_connections
        self.cold_per_s = cold_per_s


class RoutingTable:
    """Routes and service limits of one version of the configuration.

    ``caller_limits`` limits callers' requests; None leaves the limits as they are.
    ``accounts`` is the ``AccountTable``, by default one without accounts.
    """

    __slots__ = (
        "_by_host",
        "accounts",
        "caller_limits",
        "routes",
        "services",
        "version",
    )

    def __init__(self, version, routes, services, caller_limits=None, accounts=None):
        self.version = version
        self.routes = list(routes)
        self.services = {service.name: service for service in services}
        self.caller_limits = caller_limits
        self.accounts = AccountTable() if accounts is None else accounts
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host, path_prefix):
        """Return the route with exactly this host and path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if route.path_prefix == path_prefix:
                return route
        return None

    def match(self, host, path):
        """Return the route with the longest matching path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def common_regions(regions, other_regions):
    """Return the regions that two sets allow, where an empty set allows any.

    Return None if they have none in common, which an empty set cannot express.

    >>> common_regions(frozenset({"a"}), frozenset())
    frozenset({'a'})
    >>> common_regions(frozenset({"a"}), frozenset({"b"})) is None
    True
    """
    if not regions or not other_regions:
        return regions or other_regions
    return regions & other_regions or None
