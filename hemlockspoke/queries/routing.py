"""Chooses version, replica and holder for the parts of a query.

The work that depends only on the catalog and the configuration is done once per
change and kept in a ``Plan``, so a query only picks among ready-made choices.
"""

import itertools

from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX

SHARE_PREFIX = "shares/"


class ServerLoad:
    """Unanswered sub-queries of this daemon at one server."""

    __slots__ = ("outstanding",)

    def __init__(self):
        self.outstanding = 0


class Route:
    """One way to a server: through one of its holders.

    ``outstanding`` counts this daemon's unanswered sub-queries on the route, which
    stands for the expected wait at the holder; ``load`` counts those at the server
    over all its routes.
    """

    __slots__ = ("holder", "load", "outstanding", "server")

    def __init__(self, server, holder, load):
        self.server = server
        self.holder = holder
        self.load = load
        self.outstanding = 0

    def begin(self):
        """Count a sub-query that is sent."""
        self.outstanding += 1
        self.load.outstanding += 1

    def end(self):
        """Count a sub-query that has ended."""
        self.outstanding -= 1
        self.load.outstanding -= 1

    def busier_than(self, other):
        """Tell whether the expected wait is longer than on another route."""
        if self.outstanding != other.outstanding:
            return self.outstanding > other.outstanding
        return self.load.outstanding > other.load.outstanding


class PartGroup:
    """Parts that the same servers have; ``tiers`` are servers, nearest first."""

    __slots__ = ("parts", "tiers")

    def __init__(self, parts, tiers):
        self.parts = parts
        self.tiers = tiers

    def servers(self):
        """Return all servers of the group, nearest first."""
        return itertools.chain.from_iterable(self.tiers)


class Plan:
    """The parts of one index version and the usable servers of each part."""

    __slots__ = ("generation", "groups", "index", "parts_total", "planned", "version")

    def __init__(self, index, version, generation, parts_total, groups):
        self.index = index
        self.version = version
        self.generation = generation
        self.parts_total = parts_total
        self.groups = groups
        self.planned = sum(len(group.parts) for group in groups)

    def complete(self):
        """Tell whether every part has a usable server."""
        return self.planned == self.parts_total

    def share(self):
        """Return the share of the parts that have a usable server."""
        return self.planned / self.parts_total

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
        "_routes",
        "_routes_by_server",
        "_turn",
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
        self._turn = itertools.count()
        configuration.subscribe(self._on_configuration)

    def pin(self, service, index):
        """Return the ``Plan`` of the version that a new query shall use.

        That is the newest version whose every part has a usable server, else the
        one with the largest share of its parts; None if no version is known.
        """
        best = None
        for version in self._catalog.versions(index):
            plan = self.plan(service, index, version)
            if plan is None:
                continue
            if plan.complete():
                return plan
            if best is None or plan.share() > best.share():
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
            plan = self._build(service, index, version, entry)
            plans[(index, version)] = plan
            self._drop_old_plans(plans, index)
        return plan if plan.groups else None

    def replicas(self, service, index, version, part):
        """Return the choices ``(server, holder_vm)`` for a part, best first."""
        plan = self.plan(service, index, version)
        group = plan and plan.group_of(part)
        if not group:
            return []
        return self._choices(group.servers())

    def order_servers(self, service, order_name):
        """Return the choices ``(server, holder_vm)`` for an order, best first.

        Servers of one region take turns as the first, since orders are too few to
        balance themselves by outstanding work.
        """
        document = self._configuration.document(service)
        names = document.orders[order_name].servers
        turn = next(self._turn) % len(names)
        names = names[turn:] + names[:turn]
        usable = [name for name in names if self._takes_orders(document, name)]
        usable.sort(key=lambda name: self._distance(document.servers[name]))
        return self._choices(usable)

    def usable(self, service, server):
        """Tell whether a server may get new work now.

        A plan is as old as its query, so a retry asks again.
        """
        document = self._configuration.document(service)
        known = document.servers.get(server) if document else None
        if known is None or not self._catalog.available(server):
            return False
        return self._permits(document, self._configuration.fleet(), known)

    def routes(self, server):
        """Return the ``Route`` of each holder of a server."""
        routes = self._routes_by_server.get(server)
        if routes is None:
            ranked = self._ranked_holders(server)
            routes = tuple(self._route(server, holder) for holder in ranked)
            self._routes_by_server[server] = routes
        return routes

    def _route(self, server, holder):
        # Kept when holders change, because sub-queries may still be under way.
        route = self._routes.get((server, holder))
        if route is None:
            load = self._loads.setdefault(server, ServerLoad())
            route = self._routes[(server, holder)] = Route(server, holder, load)
        return route

    def _choices(self, servers):
        return [
            (route.server, route.holder)
            for server in servers
            for route in self.routes(server)
        ]

    def _ranked_holders(self, server):
        # A holder on a VM that is being taken out serves until it has handed over
        # its share, but only as the last choice.
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

    def _build(self, service, index, version, entry):
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
                # Another service has an index of the same name.
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
