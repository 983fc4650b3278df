"""Chooses which daemon gathers which parts of a query, and from which servers.

A part of a query is the answer of one shard; each shard is a service of its own.
"""

import math

from hemlockspoke.tier.peers.delegation import MAX_PARTS_PER_DAEMON, MIN_DELEGATED_PARTS

# Time for the other daemon to gather the missing parts, and for this daemon to merge
# them into its answer.
DELEGATED_HEDGE_ALLOWANCE_MS = 15.0
# No delegated hedge is sent before this fraction of the time to the aim has passed:
# until then most parts are still in progress.
EARLIEST_HEDGE_FRACTION = 0.3
# Number of hubs of each failure domain that are considered as gatherers.
MAX_GATHERERS = 8


class GatherPlan:
    """The servers that a query may be sent to, and the daemons that may gather parts.

    ``servers`` maps each shard of the request's route to its fastest servers, fastest
    first, at most ``max_servers`` of the route.
    """

    __slots__ = (
        "_delegation",
        "_directory",
        "_gathered_near",
        "_gatherers_by_domain",
        "_request",
        "servers",
    )

    def __init__(self, tier, request):
        self._delegation = tier.delegation
        self._directory = tier.directory
        self._request = request
        # The server near which each service is gathered.
        self._gathered_near = {}
        self._gatherers_by_domain = {}
        route = request.route
        work_ms = request.timing.usual_work_ms
        self.servers = {
            service: tier.directory.fastest_servers(
                service, request.regions, work_ms, route.max_servers
            )
            for service in route.shards
        }

    def by_domain(self, services):
        """Return services by the failure domain in which they are gathered.

        Those without a server that may get the request have None: nothing can be sent
        for them, so no other daemon may get the request either.
        """
        groups = {}
        for service in services:
            servers = self.servers[service]
            server = self._reachable_server(servers)
            self._gathered_near[service] = server
            domain = None if server is None else server.entry.failure_domain
            groups.setdefault(domain, []).append(service)
        return groups

    def _reachable_server(self, servers):
        """Return the fastest of the servers that a daemon can reach.

        If there is none, return the fastest one, or None without servers.
        """
        for server in servers:
            domain = server.entry.failure_domain
            if self._gatherers(domain) or self._directory.may_send(server):
                return server
        return servers[0] if servers else None

    def _gatherers(self, domain):
        """Return the hubs of a failure domain that can gather, by rank."""
        gatherers = self._gatherers_by_domain.get(domain)
        if gatherers is None:
            gatherers = self._gatherers_by_domain[domain] = (
                self._delegation.available_gatherers(domain, MAX_GATHERERS)
            )
        return gatherers

    def fall_back(self, services, used_gatherers):
        """Return who sends what a gatherer has not sent, or may not have sent.

        Return the services to which this daemon sends the request itself, and the
        others by the pair of a failure domain and the gatherer there that takes them.
        """
        self._gatherers_by_domain.clear()
        direct_services, groups = [], {}
        for service in services:
            servers = self.servers[service]
            gatherer = None
            if not any(map(self._directory.may_send, servers)):
                gatherer = self._other_gatherer(servers, used_gatherers)
            if gatherer is None:
                direct_services.append(service)
            else:
                groups.setdefault(gatherer, []).append(service)
        return direct_services, groups

    def _other_gatherer(self, servers, used_gatherers):
        """Return the failure domain and the VM of another gatherer, or None."""
        for server in servers:
            domain = server.entry.failure_domain
            for vm in self._gatherers(domain):
                if vm not in used_gatherers:
                    return domain, vm
        return None

    def divide(self, domain, services):
        """Return pairs of a gathering daemon and the services assigned to it.

        None stands for this daemon. Sending many sub-queries takes a daemon longer
        than the servers need to answer, so several daemons share them.
        """
        if domain is None:
            return [(None, services)]
        if domain == self._delegation.domain and self._directory.limit_shares.is_hub():
            own = [service for service in services if self._gathers_itself(service)]
            others = [service for service in services if service not in own]
            return self._share(domain, [None], own) + self._share(domain, [], others)
        if len(services) >= MIN_DELEGATED_PARTS:
            return self._share(domain, [], services)
        return [(None, services)]

    def _gathers_itself(self, service):
        """Return whether this daemon, a hub, sends to the server of a service itself.

        It leaves those that it may not connect to, to other hubs.
        """
        server = self._gathered_near[service]
        if self._directory.may_send(server):
            return True
        return not self._gatherers(self._delegation.domain)

    def _share(self, domain, gatherers, services):
        """Share services evenly between ``gatherers`` and as many others as needed."""
        if not services:
            return []
        count = math.ceil(len(services) / MAX_PARTS_PER_DAEMON)
        gatherers = gatherers + self._gatherers(domain)[: count - len(gatherers)]
        gatherers = gatherers or [None]
        group_size = math.ceil(len(services) / len(gatherers))
        return [
            (gatherer, services[index * group_size : (index + 1) * group_size])
            for index, gatherer in enumerate(gatherers)
        ]

    def allowed_server_ids(self, services):
        """Return the ids of the servers that may get the request, by service."""
        return {
            service: [server.server_id for server in self.servers[service]]
            for service in services
        }

    def max_rtt_ms(self, services):
        """Return the longest round trip time to where services are gathered."""
        near_servers = [self._gathered_near.get(service) for service in services]
        return max((server.rtt_ms for server in near_servers if server), default=0.0)

    def _hedge_server(self, service, used_server_ids=()):
        """Return the server of a service that gets a hedge, or None.

        It is the fastest one that is not leaving, does not have the request, and is in
        another failure domain than the one near which the service is gathered.
        """
        servers = self.servers[service]
        near_server = self._gathered_near.get(service) or (servers and servers[0])
        for server in servers:
            in_other_domain = (
                server.entry.failure_domain != near_server.entry.failure_domain
            )
            is_free = server.server_id not in used_server_ids
            if in_other_domain and is_free and server.leaving_until_ms is None:
                return server
        return None

    def hedge_servers(self, services, used_server_ids):
        """Return the servers for hedges, by failure domain and service.

        ``used_server_ids`` has the servers that work on the request for a gatherer.
        """
        groups = {}
        for service in services:
            server = self._hedge_server(service, used_server_ids)
            if server is not None:
                domain = server.entry.failure_domain
                groups.setdefault(domain, {})[service] = server
        return groups

    def hedge_delay_ms(self, now_ms):
        """Return how long to wait before hedges are delegated, or None if none are.

        They are delegated as late as the aim allows. None are if no time is left, or if
        all servers for hedges are in the region of this daemon, which can reach those
        itself.
        """
        hedge_servers = [self._hedge_server(service) for service in self.servers]
        remote_rtts_ms = [
            server.rtt_ms
            for server in hedge_servers
            if server and not server.same_region
        ]
        remaining_ms = self._request.aim_ms - now_ms
        if not remote_rtts_ms or remaining_ms <= 0:
            return None
        work_ms = self._request.timing.usual_work_ms
        latest_ms = (
            remaining_ms - max(remote_rtts_ms) - work_ms - DELEGATED_HEDGE_ALLOWANCE_MS
        )
        return max(latest_ms, EARLIEST_HEDGE_FRACTION * remaining_ms)
