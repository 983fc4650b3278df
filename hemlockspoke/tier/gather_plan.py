"""Chooses which daemon gathers which parts of a query, and from which servers."""

import math

from hemlockspoke.tier.delegation import MIN_PARTS, PARTS_PER_DAEMON

# The second daemon's work on the parts that the first one has not brought, and that
# of this one on its answer.
SECOND_ALLOWANCE_MS = 15.0
# No second daemon is asked before this part of the time to the aim: until then most
# parts are on their way.
SECOND_EARLIEST_PART = 0.3
# Reports of the first daemons that are as late as this are still waited for.
SECOND_RETRY_MS = 10.0


class GatherPlan:
    """The servers of each shard that a query may be sent to, best first."""

    __slots__ = ("_desk", "_directory", "_request", "servers")

    def __init__(self, tier, request):
        self._desk = tier.desk
        self._directory = tier.directory
        self._request = request
        route = request.route
        work_ms = request.timing.usual_work_ms
        self.servers = {
            service: tier.directory.best(
                service, route.regions, work_ms, route.max_attempts
            )
            for service in route.shards
        }

    def by_domain(self):
        """Return the services by the failure domain of their best servers."""
        groups = {}
        for service, servers in self.servers.items():
            domain = self._desk.domain
            if servers:
                domain = servers[0].entry.failure_domain
            groups.setdefault(domain, []).append(service)
        return groups

    def divide(self, domain, services):
        """Return parts of the services, each with the daemon that gathers it.

        No daemon stands for this one. Sending many sub-queries at once takes a
        daemon longer than its servers need, so several share them.
        """
        desk = self._desk
        wanted = math.ceil(len(services) / PARTS_PER_DAEMON)
        if domain == desk.domain and self._directory.parts.is_hub():
            gatherers = [None, *desk.helpers(domain, wanted - 1)]
        elif len(services) >= MIN_PARTS:
            gatherers = desk.helpers(domain, wanted) or [None]
        else:
            gatherers = [None]
        size = math.ceil(len(services) / len(gatherers))
        return [
            (gatherer, services[number * size : (number + 1) * size])
            for number, gatherer in enumerate(gatherers)
        ]

    def allowed(self, services):
        """Return the ids of the servers of services, for the daemon that asks them."""
        return {
            service: [server.server_id for server in self.servers[service]]
            for service in services
        }

    def rtt_ms(self, services):
        """Return the longest way to the best servers of services."""
        return max(
            (s[0].rtt_ms for s in map(self.servers.get, services) if s), default=0.0
        )

    def _second(self, service):
        """Return the best server of another failure domain than the first, or None."""
        servers = self.servers[service]
        for server in servers[1:]:
            elsewhere = server.entry.failure_domain != servers[0].entry.failure_domain
            if elsewhere and server.leaving_until_ms is None:
                return server
        return None

    def second_choices(self, services):
        """Return the second servers of services, by failure domain and service."""
        groups = {}
        for service in services:
            server = self._second(service)
            if server is not None:
                domain = server.entry.failure_domain
                groups.setdefault(domain, {})[service] = server
        return groups

    def second_in_ms(self, now_ms):
        """Return when second servers have to be asked to answer by the aim, or None.

        None stands for no time, or no second server in another region: a daemon
        reaches those of its own region without another's help.
        """
        seconds = [self._second(service) for service in self.servers]
        far = [server.rtt_ms for server in seconds if server and not server.near]
        left_ms = self._request.aim_ms - now_ms
        if not far or left_ms <= 0:
            return None
        work_ms = self._request.timing.usual_work_ms
        latest_ms = left_ms - max(far) - work_ms - SECOND_ALLOWANCE_MS
        return max(latest_ms, SECOND_EARLIEST_PART * left_ms)
