"""Layouts of test deployments: failure domains, servers and their document."""

from hemlockspoke.config.document import Server, UpstreamClass

DEMO_DOMAINS = {"mtl-a": "mtl", "qc-a": "qc", "sag-a": "sag"}


class IndexLayout:
    """Dimensions of one index, whose servers are of one upstream class."""

    __slots__ = ("name", "replicas", "shards", "upstream_class")

    def __init__(self, name, shards, upstream_class, replicas=2):
        self.name = name
        self.shards = shards
        self.upstream_class = upstream_class
        self.replicas = replicas


class OrderLayout:
    """Dimensions of one order endpoint."""

    __slots__ = ("name", "servers", "upstream_class")

    def __init__(self, name, servers, upstream_class):
        self.name = name
        self.servers = servers
        self.upstream_class = upstream_class


class Layout:
    """A service with its document and its servers, run by stand-in processes.

    Each process listens on a separate address.
    """

    __slots__ = ("domains", "hosts", "indexes", "orders", "servers", "service")

    FIRST_PORT = 9001

    def __init__(self, service, hosts, indexes, orders, domains=None):
        self.service = service
        self.hosts = list(hosts)
        self.indexes = list(indexes)
        self.orders = list(orders)
        self.domains = dict(domains or DEMO_DOMAINS)
        self.servers = {}
        for index in self.indexes:
            for shard in range(index.shards):
                for replica in range(index.replicas):
                    self._add_server(index.name, shard, replica, index.upstream_class)
        for order in self.orders:
            for number in range(order.servers):
                self._add_server(order.name, number, 0, order.upstream_class)

    def _add_server(self, prefix, number, replica, upstream_class):
        sorted_domains = sorted(self.domains)
        domain = sorted_domains[(number + replica) % len(sorted_domains)]
        name = server_name(prefix, number, replica)
        offset = len(self.servers)
        host = self.hosts[offset % len(self.hosts)]
        address = f"{host}:{self.FIRST_PORT + offset}"
        self.servers[name] = Server(
            name, upstream_class, address, domain, self.domains[domain]
        )

    def stand_in_config(self, host, **settings):
        """Return the configuration of the stand-in process on one address."""
        items = []
        for number, server in enumerate(self.servers.values()):
            upstream_class = server.upstream_class
            items.append(
                {
                    "name": server.name,
                    "port": self.FIRST_PORT + number,
                    "slots": upstream_class.slots,
                    "connections": upstream_class.connections,
                    "connect_cost_ms": upstream_class.connect_cost_ms,
                    "seed": number + 1,
                    "indexes": {},
                    **settings,
                }
            )
        by_name = {item["name"]: item for item in items}
        for index in self.indexes:
            for shard in range(index.shards):
                version = {"parts_total": index.shards, "parts": [shard]}
                for replica in range(index.replicas):
                    item = by_name[server_name(index.name, shard, replica)]
                    item["indexes"] = {index.name: {"1": version}}
        local_items = [item for item in items if self.host_of(item["name"]) == host]
        return {"servers": local_items}

    def host_of(self, server):
        """Return the host address of the process that runs a server."""
        return self.servers[server].address.partition(":")[0]

    def document(self, **query_policy):
        """Return the text of the service document."""
        lines = [f"service: {self.service}", "owner: tests"]
        lines.append(f"failure_domains: [{', '.join(sorted(self.domains))}]")
        lines.append("queries:" if query_policy else "queries: {}")
        lines += [f"  {name}: {value}" for name, value in query_policy.items()]
        lines.append("indexes:" if self.indexes else "indexes: {}")
        for index in self.indexes:
            lines += [f"  {index.name}:", "    shards:"]
            for shard in range(index.shards):
                names = [
                    server_name(index.name, shard, replica)
                    for replica in range(index.replicas)
                ]
                lines.append(f"      - replicas: [{', '.join(names)}]")
        lines.append("orders:" if self.orders else "orders: {}")
        for order in self.orders:
            names = [server_name(order.name, n, 0) for n in range(order.servers)]
            lines += [f"  {order.name}:", f"    servers: [{', '.join(names)}]"]
        return "\n".join(lines + self._class_lines() + self._server_lines()) + "\n"

    def _class_lines(self):
        classes = {s.upstream_class.name: s.upstream_class for s in self.all_servers()}
        lines = ["upstream_classes:"]
        for name, upstream_class in classes.items():
            lines.append(f"  {name}:")
            for field in UpstreamClass.__slots__:
                if field != "name":
                    lines.append(f"    {field}: {getattr(upstream_class, field)}")
        return lines

    def _server_lines(self):
        lines = ["servers:"]
        for server in self.all_servers():
            lines += [
                f"  {server.name}:",
                f"    class: {server.upstream_class.name}",
                f"    address: {server.address}",
                f"    failure_domain: {server.failure_domain}",
                f"    region: {server.region}",
            ]
        return lines

    def all_servers(self):
        """Return all servers."""
        return list(self.servers.values())


def server_name(prefix, number, replica):
    """Return the name of a server from its shard or number and its replica."""
    return f"{prefix}-{number:02d}-{'abc'[replica]}"


def demo_layout(hosts):
    """Return a small layout with one index and one order endpoint."""
    planner = UpstreamClass("planner", slots=2, connections=25, connect_cost_ms=6)
    ordering = UpstreamClass("ordering", slots=2, connections=110, connect_cost_ms=1)
    return Layout(
        "demo",
        hosts,
        [IndexLayout("bins", 6, planner)],
        [OrderLayout("refill", 3, ordering)],
    )


def laurentide_layout(hosts, shards=20):
    """Return Laurentide's layout: a route planner and refill orders."""
    planner = UpstreamClass("route-planner", 2, 25, connect_cost_ms=6)
    refill = UpstreamClass("refill-orders", 2, 110, connect_cost_ms=1)
    return Layout(
        "laurentide",
        hosts,
        [IndexLayout("bins", shards, planner)],
        [OrderLayout("refill", 4, refill)],
    )


def vestkyst_layout(hosts, shards=20):
    """Return Vestkyst's layout: an order desk search and a stock ledger."""
    search = UpstreamClass("order-desk-search", 3, 30, connect_cost_ms=6)
    ledger = UpstreamClass("stock-ledger", 3, 40, connect_cost_ms=1)
    domains = {"kolding": "jutland", "koege": "zealand", "klaipeda": "lithuania"}
    return Layout(
        "vestkyst",
        hosts,
        [IndexLayout("catalogue", shards, search)],
        [OrderLayout("reservation", 10, ledger)],
        domains,
    )
