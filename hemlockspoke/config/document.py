"""The data model of a checked service document."""


class QueryPolicy:
    """Deadlines and limits for the queries of a service.

    ``extra_load_ratio`` is the permitted number of hedges and retries per sub-query.
    One daemon runs at most ``max_concurrent_queries`` and queues at most
    ``max_queued_queries`` more.
    """

    __slots__ = (
        "default_deadline_ms",
        "extra_load_ratio",
        "hedge_policy",
        "max_concurrent_queries",
        "max_deadline_ms",
        "max_queued_queries",
        "min_coverage_ratio",
    )

    def __init__(
        self,
        default_deadline_ms=800,
        max_deadline_ms=5000,
        min_coverage_ratio=0.0,
        extra_load_ratio=0.05,
        hedge_policy="relative",
        max_concurrent_queries=200,
        max_queued_queries=400,
    ):
        self.default_deadline_ms = default_deadline_ms
        self.max_deadline_ms = max_deadline_ms
        self.min_coverage_ratio = min_coverage_ratio
        self.extra_load_ratio = extra_load_ratio
        self.hedge_policy = hedge_policy
        self.max_concurrent_queries = max_concurrent_queries
        self.max_queued_queries = max_queued_queries


class UpstreamClass:
    """Capacity limits of each server of a class.

    ``slots`` limits the requests at a time; a cold server starts with
    ``cold_start_slots``, which are doubled after each ``ramp_successes`` successful
    replies in a row. ``connect_cost_ms`` is what a new connection costs the server.
    """

    __slots__ = (
        "cold_start_slots",
        "connect_cost_ms",
        "connections",
        "name",
        "ramp_successes",
        "slots",
    )

    def __init__(
        self,
        name,
        slots,
        connections,
        cold_start_slots=1,
        ramp_successes=8,
        connect_cost_ms=0,
    ):
        self.name = name
        self.slots = slots
        self.connections = connections
        self.cold_start_slots = cold_start_slots
        self.ramp_successes = ramp_successes
        self.connect_cost_ms = connect_cost_ms


class Server:
    """One upstream server."""

    __slots__ = ("address", "failure_domain", "name", "region", "upstream_class")

    def __init__(self, name, upstream_class, address, failure_domain, region):
        self.name = name
        self.upstream_class = upstream_class
        self.address = address
        self.failure_domain = failure_domain
        self.region = region


class Shard:
    """One shard of an index; ``replicas`` are the names of its servers."""

    __slots__ = ("replicas",)

    def __init__(self, replicas):
        self.replicas = list(replicas)


class Index:
    """An index and its shards."""

    __slots__ = ("name", "shards")

    def __init__(self, name, shards):
        self.name = name
        self.shards = list(shards)

    def servers(self):
        """Return the names of all servers of the index, each once, in order."""
        names = {}
        for shard in self.shards:
            for replica in shard.replicas:
                names[replica] = True
        return list(names)


class OrderEndpoint:
    """A kind of order and the servers that run it."""

    __slots__ = ("deadline_ms", "name", "servers")

    def __init__(self, name, servers, deadline_ms=3000):
        self.name = name
        self.servers = list(servers)
        self.deadline_ms = deadline_ms


class ServiceDocument:
    """A checked service document.

    ``servers``, ``indexes`` and ``orders`` map names to their objects.
    """

    __slots__ = (
        "failure_domains",
        "indexes",
        "orders",
        "owner",
        "queries",
        "servers",
        "service",
    )

    def __init__(
        self, service, owner, failure_domains, queries, indexes, orders, servers
    ):
        self.service = service
        self.owner = owner
        self.failure_domains = list(failure_domains)
        self.queries = queries
        self.indexes = dict(indexes)
        self.orders = dict(orders)
        self.servers = dict(servers)
