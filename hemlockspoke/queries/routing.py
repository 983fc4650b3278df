"""Selects the version, replica and holder for the parts of a query.

Everything that depends only on the catalog and the configuration is computed once per
change and cached in a ``Plan``, so a query only selects among precomputed servers.
"""

import itertools

from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX

SHARE_PREFIX = "shares/"


class ServerLoad:
    """Number of unanswered sub-queries of this daemon at one server."""

    __slots__ = ("outstanding",)

    def __init__(self):
        self.outstanding = 0


class Route:
    """Route to a server through one of its holders.

    ``outstanding`` counts this daemon's unanswered sub-queries on the route and is an
    estimate of the wait at the holder. ``server_load`` counts those at the server
    over all its routes.
    """

    __slots__ = ("holder", "outstanding", "server", "server_load")

    def __init__(self, server, holder, server_load):
        self.server = server
        self.holder = holder
        self.server_load = server_load
        self.outstanding = 0

    def count_sent(self):
        """Count a sub-query that is sent on the route."""
        self.outstanding += 1
        self.server_load.outstanding += 1

    def count_ended(self):
        """Count a sub-query on the route that has ended."""
        self.outstanding -= 1
        self.server_load.outstanding -= 1

    def busier_than(self, other):
        """Return whether the expected wait is longer than on another route."""
        if self.outstanding != other.outstanding:
            return self.outstanding > other.outstanding
        return self.server_load.outstanding > other.server_load.outstanding


class PartGroup:
    """Parts served by the same servers.

    ``tiers`` are groups of servers of equal distance, nearest first.
    """

    __slots__ = ("parts", "tiers")

    def __init__(self, parts, tiers):
        self.parts = parts
        self.tiers = tiers

    def servers(self):
        """Return all servers of the group, nearest first."""
        return itertools.chain.from_iterable(self.tiers)


class Plan:
    """The parts of one index version and the usable servers of each part."""

    __slots__ = (
        "generation",
        "groups",
        "index",
        "parts_total",
        "routable_parts",
        "version",
    )

    def __init__(self, index, version, generation, parts_total, groups):
        self.index = index
        self.version = version
        self.generation = generation
        self.parts_total = parts_total
        self.groups = groups
        self.routable_parts = sum(len(group.parts) for group in groups)

    def complete(self):
        """Return whether every part has a usable server."""
        return self.routable_parts == self.parts_total

    def coverage(self):
        """Return the fraction of the parts that have a usable server."""
        return self.routable_parts / self.parts_total

    def group_of(self, part):
        """Return the group of a part, or None."""
        return next((group for group in self.groups if part in group.parts), None)


class Router:
    """Routing of one daemon, from its configuration and its catalog."""

    __slots__ = (
        "_catalog",
        "_configuration",
        "_holders_of",
        "_loads",
        "_plans",
        "_region",
        "_rotation",
        "_routes",
        "_routes_by_server",
        "vm",
    )

    def __init__(self, configuration, catalog, holders_of, vm, region):
        self._configuration = configuration
        self._catalog = catalog
        self._holders_of = holders_of
        self.vm = vm
        self._region = region
        self._plans = {}
        self._loads = {}
        self._routes = {}
        self._routes_by_server = {}
        self._rotation = itertools.count()
        configuration.subscribe(self._on_configuration)

    def pin(self, service, index):
        """Return the ``Plan`` of the version that a new query has to use.

        This is the newest version of which every part has a usable server, else the
        one with the highest coverage; None if no version is known.
        """
        best = None
        for version in self._catalog.versions(index):
            plan = self.plan(service, index, version)
            if plan is None:
                continue
            if plan.complete():
                return plan
            if best is None or plan.coverage() > best.coverage():
                best = plan
        return best

    def plan(self, service, index, version):
        """Return the ``Plan`` of a version, or None if the service lacks it."""
        entry = self._catalog.entry(index, version)
        if entry is None:
            return None
        plans = self._plans.setdefault(service, {})
        plan = plans.get((index, version))
        if plan is None or plan.generation != entry.generation:
            plan = self._build_plan(service, index, version, entry)
            plans[(index, version)] = plan
            self._drop_old_plans(plans, index)
        return plan if plan.groups else None

    def replicas(self, service, index, version, part):
        """Return candidates ``(server, holder_vm)`` for a part, best first."""
        plan = self.plan(service, index, version)
        group = plan and plan.group_of(part)
        if not group:
            return []
        return self._choices(group.servers())

    def order_servers(self, service, order_name):
        """Return candidates ``(server, holder_vm)`` for an order, best first.

        Servers of one region are rotated round robin, because there are too few
        orders to balance them by outstanding work.
        """
        document = self._configuration.document(service)
        names = document.orders[order_name].servers
        offset = next(self._rotation) % len(names)
        names = names[offset:] + names[:offset]
        usable = [name for name in names if self._takes_orders(document, name)]
        usable.sort(key=lambda name: self._distance(document.servers[name]))
        return self._choices(usable)

    def usable(self, service, server):
        """Return whether a server may get new work now.

        The plan of a query may be outdated by the time of a retry, so retries check
        each server again.
        """
        document = self._configuration.document(service)
        server_entry = document.servers.get(server) if document else None
        if server_entry is None or not self._catalog.available(server):
            return False
        return self._permits(document, self._configuration.fleet(), server_entry)

    def routes(self, server):
        """Return the ``Route`` of each holder of a server."""
        routes = self._routes_by_server.get(server)
        if routes is None:
            ranked = self._ranked_holders(server)
            routes = tuple(self._route(server, holder) for holder in ranked)
            self._routes_by_server[server] = routes
        return routes

    def _route(self, server, holder):
        # Routes are kept when holders change, because they may have pending
        # sub-queries.
        route = self._routes.get((server, holder))
        if route is None:
            server_load = self._loads.setdefault(server, ServerLoad())
            route = self._routes[(server, holder)] = Route(server, holder, server_load)
        return route

    def _choices(self, servers):
        return [
            (route.server, route.holder)
            for server in servers
            for route in self.routes(server)
        ]

    def _ranked_holders(self, server):
        # A holder on a VM that is being taken out serves until it has handed over
        # its share, but is only used if there is no other holder.
        fleet = self._configuration.fleet()
        holders = self._holders_of(server)
        return sorted(holders, key=lambda holder: fleet.vm_out(holder))

    def _on_configuration(self, key):
        if key == FLEET_KEY:
            self._plans.clear()
            self._routes_by_server.clear()
        elif key.startswith(SERVICE_PREFIX):
            self._plans.pop(key[len(SERVICE_PREFIX) :], None)
        elif key.startswith(SHARE_PREFIX):
            self._routes_by_server.clear()

    def _drop_old_plans(self, plans, index):
        known = self._catalog.versions(index)
        for key in [k for k in plans if k[0] == index and k[1] not in known]:
            del plans[key]

    def _build_plan(self, service, index, version, entry):
        document = self._configuration.document(service)
        names_by_part, total = self._usable_servers(document, entry)
        parts_by_names = {}
        for part in sorted(names_by_part):
            names = tuple(names_by_part[part])
            parts_by_names.setdefault(names, []).append(part)
        groups = [
            PartGroup(tuple(parts), self._tiers(document, names))
            for names, parts in parts_by_names.items()
        ]
        return Plan(index, version, entry.generation, total, groups)

    def _usable_servers(self, document, entry):
        fleet = self._configuration.fleet()
        names_by_part = {}
        total = 0
        for name in sorted(entry.servers):
            server = document.servers.get(name) if document else None
            if server is None:
                # The server belongs to another service with an index of the same name.
                continue
            served = entry.servers[name]
            total = max(total, served.parts_total)
            if not self._permits(document, fleet, server):
                continue
            for part in served.parts:
                names_by_part.setdefault(part, []).append(name)
        return names_by_part, total

    def _tiers(self, document, names):
        tiers = {}
        for name in names:
            distance = self._distance(document.servers[name])
            tiers.setdefault(distance, []).append(name)
        return tuple(tuple(tiers[distance]) for distance in sorted(tiers))

    def _distance(self, server):
        return 0 if server.region == self._region else 1

    def _takes_orders(self, document, name):
        fleet = self._configuration.fleet()
        server = document.servers.get(name)
        if server is None or not self._permits(document, fleet, server):
            return False
        return self._catalog.available(name) or not self._catalog.reported(name)

    @staticmethod
    def _permits(document, fleet, server):
        allowed = server.failure_domain in document.failure_domains
        return allowed and fleet.permits(server)
