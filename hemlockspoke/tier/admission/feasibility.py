"""Whether a request can be served at all, from what is known of the servers.

Load: a group of shards that is down, and the seconds after a restart of all daemons. A
query that cannot reach its minimum coverage would load the other shards for nothing,
and its caller would learn of it late, with 502 instead of 503.
"""

from hemlockspoke.tier.admission.return_times import (
    UNKNOWN_RETURN_MS,
    retry_after_ms,
    returns_in_ms,
)
from hemlockspoke.tier.placement.eligibility import (
    reason_against,
    without_clear_server,
)
from hemlockspoke.tier.sending.replies import ErrorReply


class Feasibility:
    """Finds requests that no server known to this daemon can serve now.

    A service can be served if this daemon may send to one of its servers, or if a hub
    can be asked in the failure domain of a server that other daemons may send to.
    ``tier`` has the components that all requests share, ``bounds`` the platform's.
    """

    __slots__ = ("_bounds", "_tier")

    def __init__(self, tier, bounds):
        self._tier = tier
        self._bounds = bounds

    def refusal(self, request):
        """Return the ``ErrorReply`` to a request that cannot be served, else None."""
        route = request.route
        if route.shards:
            services, needed_count = route.shards, route.needed_count()
        else:
            # One of these is chosen later, so one that can be served is enough.
            services, needed_count = [service for service, _ in route.split], 1
        now_ms = self._tier.clock.now_ms()
        directory, regions = self._tier.directory, request.regions
        unclear = without_clear_server(directory, services, regions, now_ms)
        may_miss = len(services) - needed_count
        if len(unclear) <= may_miss:
            return None
        reachable_domains = {}
        unserved = [
            service
            for service in unclear
            if not self._can_serve(service, request, now_ms, reachable_domains)
        ]
        if len(unserved) <= may_miss:
            return None
        expected_ms, stated = self._returns_in_ms(
            unserved, regions, now_ms, len(unserved) - may_miss
        )
        remaining_ms = request.caller_deadline_ms - now_ms
        return ErrorReply.not_run(
            self._reason(route, unserved, may_miss, regions),
            retry_after_ms(
                expected_ms, stated, remaining_ms, directory.notices.spread_ms
            ),
        )

    def _servers(self, service, regions):
        servers = self._tier.directory.services.get(service, ())
        if not regions:
            return servers
        return [server for server in servers if server.region in regions]

    def _can_serve(self, service, request, now_ms, reachable_domains):
        """Return whether a server of a service can be reached, here or by a hub.

        ``reachable_domains`` keeps whether a hub of a failure domain can be asked.
        """
        directory, delegation = self._tier.directory, self._tier.delegation
        servers = self._servers(service, request.regions)
        for server in servers:
            if reason_against(directory, server, now_ms) is None:
                return True
        # Parts of a query with a body are not delegated.
        if delegation is None or (request.route.shards and request.http.body):
            return False
        for server in servers:
            if reason_against(directory, server, now_ms, own=False) is None:
                domain = server.entry.failure_domain
                if domain not in reachable_domains:
                    hubs = delegation.available_gatherers(domain, 1)
                    reachable_domains[domain] = bool(hubs)
                if reachable_domains[domain]:
                    return True
        return False

    def _returns_in_ms(self, services, regions, now_ms, count):
        """Return when ``count`` of the services should be served again, in ms.

        Return as well whether the server on which this depends has stated that time.
        """
        directory, drain_ms = self._tier.directory, self._bounds.drain_ms
        times_ms = []
        for service in services:
            known = [
                returns_in_ms(
                    server, reason_against(directory, server, now_ms), now_ms, drain_ms
                )
                for server in self._servers(service, regions)
            ]
            times_ms.append(
                min(filter(None, known), default=(UNKNOWN_RETURN_MS, False))
            )
        return sorted(times_ms)[count - 1]

    def _reason(self, route, unserved, may_miss, regions):
        if route.shards:
            return (
                f"{len(unserved)} of {len(route.shards)} shards have no usable server, "
                f"{may_miss} may be missing"
            )
        excluded = "; ".join(
            text
            for service in unserved
            if (text := self._tier.directory.describe_exclusions(service, regions))
        )
        return f"no server ({excluded})" if excluded else "no server"
