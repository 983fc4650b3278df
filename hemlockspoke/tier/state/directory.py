"""The platform's state as known to this daemon: configuration and servers."""

import logging
from bisect import insort

from hemlockspoke.http1.pool import ConnectionPool
from hemlockspoke.rendezvous import weight
from hemlockspoke.tier.limits.apportion import LimitShares
from hemlockspoke.tier.placement.eligibility import (
    describe_exclusions,
    has_left,
    reason_against,
)
from hemlockspoke.tier.placement.server_notices import ServerNotices
from hemlockspoke.tier.placement.servers import ServerState, TrackedServer
from hemlockspoke.tier.state.server_log import log_server

logger = logging.getLogger(__name__)

# Time for which a server without an entry may be used. Entries that expired during an
# outage are back within about 2 s of its end; the rest is for the notification.
RETURN_GRACE_MS = 2500
# Fraction of the drain time for which a leaving server is still used if its service has
# no other server. The remainder allows for the delay of the notification and for
# requests in flight.
LEAVING_FRACTION = 0.25
SERVER_LEAVING = "the server is leaving"


class Directory:
    """Holds the configuration, the servers, and the failure domains out of service.

    Objects of the store arrive decoded. A configuration is adopted only if its version
    is higher than the one in force. A server that is no longer listed is still used for
    a short time if no other is available, since its entry may have expired while the
    server is running.

    ``servers`` maps ids to ``TrackedServer``, ``services`` each service to its servers.
    ``routing`` is the ``RoutingTable`` in force, or None. ``failure_domains`` maps each
    failure domain to its region, and ``domain`` is the one of this daemon.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_failure_domains",
        "_reactor",
        "_region",
        "_vm",
        "age_ms",
        "domains_out",
        "limit_shares",
        "notices",
        "on_configuration",
        "routing",
        "servers",
        "servers_known",
        "services",
        "versions",
    )

    def __init__(self, reactor, clock, vm, domain, failure_domains, bounds):
        self._vm = vm
        self._reactor = reactor
        self._clock = clock
        self._region = failure_domains.get(domain, "")
        self._failure_domains = failure_domains
        self._bounds = bounds
        self.limit_shares = LimitShares(vm, domain, failure_domains)
        self.notices = ServerNotices(clock)
        self.routing = None
        self.servers_known = False
        self.servers = {}
        self.services = {}
        self.domains_out = frozenset()
        self.on_configuration = None
        # The VersionRules while the settings have bounds for rollouts.
        self.versions = None
        # Returns how long ago the store confirmed this state; the relay sets it.
        self.age_ms = lambda: 0.0

    def ready(self):
        """Return whether requests can be routed."""
        return self.routing is not None and self.servers_known

    def adopt_routing(self, table, lower=False):
        """Adopt a configuration if it is newer; return whether it was adopted.

        One with a lower version is adopted too if ``lower`` is set.
        """
        is_newer = self.routing is None or table.version > self.routing.version
        if not is_newer and not lower:
            return False
        previous_version = self.routing.version if self.routing else None
        self.routing = table
        self.limit_shares.set_gathered_services(
            service for route in table.routes for service in route.shards
        )
        self._set_connection_limits()
        logger.info(
            "configuration adopted",
            extra={"version": table.version, "previous_version": previous_version},
        )
        if self.on_configuration is not None:
            self.on_configuration(table)
        return True

    def set_domains_out(self, names):
        """Set the failure domains whose servers must not get requests."""
        names = frozenset(names)
        if names != self.domains_out:
            logger.info("failure domains out", extra={"domains": sorted(names)})
            self.domains_out = names
            for server in self.servers.values():
                if server.entry.failure_domain in names:
                    server.pool.recall_waiting("the failure domain is out of service")

    def set_members(self, vms_by_domain):
        """Set the VMs of the daemons by domain, which share the servers' limits."""
        if self.limit_shares.set_members(vms_by_domain):
            counts = {domain: len(vms) for domain, vms in vms_by_domain.items()}
            logger.info("members", extra={"by_domain": counts})
            self._set_connection_limits()

    def _set_connection_limits(self):
        for server in self.servers.values():
            server.pool.limit = self._connection_limit(server.entry)
            if server.pool.limit < 1:
                server.pool.recall_waiting("no share of the server's connections")

    def _connection_limit(self, entry):
        limits = self.routing.services.get(entry.service) if self.routing else None
        if limits is None:
            return 0
        return self.limit_shares.connection_limit(
            entry.server_id, entry.failure_domain, limits.max_connections
        )

    def may_send(self, server, now_ms=None):
        """Return whether this daemon may send a request to a server."""
        now_ms = self._clock.now_ms() if now_ms is None else now_ms
        return reason_against(self, server, now_ms) is None

    def is_at_cold_limit(self, server, now_ms):
        """Return whether a cold server has got this daemon's share of its rate."""
        services = {} if self.routing is None else self.routing.services
        limits = services.get(server.entry.service)
        if limits is None or not limits.cold_per_s or not server.cold(now_ms):
            return False
        bounds = self._bounds
        rate_limit = limits.cold_per_s * bounds.cold_overshoot + bounds.cold_slack
        own_limit = self.limit_shares.cold_request_limit(server.server_id, rate_limit)
        return server.sent_in_cold_window(now_ms) >= own_limit

    def set_servers(self, entries, kept=()):
        """Apply a complete list of servers.

        Servers that are not listed are leaving, but are kept for the time in which
        expired entries may return. Those with an id in ``kept`` stay as they are.
        """
        listed = {entry.server_id for entry in entries}.union(kept)
        for entry in entries:
            self.set_server(entry)
        for server_id in list(self.servers):
            if server_id not in listed:
                self.remove_server(server_id, "not listed", RETURN_GRACE_MS)
        self.servers_known = True

    def set_server(self, entry):
        """Add or update a server from its entry."""
        now_ms = self._clock.now_ms()
        server = self.servers.get(entry.server_id)
        if server is not None and not server.entry.same_process(entry):
            self._remove(server, "started again")
            server = None
        if server is None:
            server = self._add(entry)
        elif server.entry.state is not entry.state:
            log_server(entry, "state changed")
        server.entry = entry
        server.listed = True
        server.cold_until_ms = now_ms + entry.cold_ms if entry.cold_ms else 0.0
        if entry.state is ServerState.DRAINING:
            self._start_leaving(server, self._bounds.drain_ms * LEAVING_FRACTION)
        elif server.leaving_until_ms is not None and not server.says_leaving:
            log_server(entry, "returned")
            server.leaving_until_ms = None

    def remove_server(self, server_id, reason="removed", grace_ms=None):
        """Mark a server without an entry as leaving; ``grace_ms`` limits its use."""
        server = self.servers.get(server_id)
        if server is None or not server.listed:
            return
        server.listed = False
        log_server(server.entry, reason)
        if server.leaving_until_ms is not None:
            self._remove_later(server, self._bounds.drain_ms)
        limit_ms = self._bounds.drain_ms * LEAVING_FRACTION
        self._start_leaving(server, limit_ms if grace_ms is None else grace_ms)

    def mark_misdirected(self, server, other_server_id):
        """Stop using a server because another one answers at its address."""
        if not server.misdirected:
            server.misdirected = True
            log_server(server.entry, f"address has another server: {other_server_id}")
            server.pool.close_idle()
            server.pool.recall_waiting("the address has another server")

    def note_leaving(self, server):
        """Record that a server's own response says that it leaves.

        Only its process is meant: one that starts later is not concerned.
        """
        if server.says_leaving:
            return
        until_ms = self.notices.leave(server.entry.process_key(), self._bounds.drain_ms)
        log_server(server.entry, "says that it leaves")
        self._apply_leaving_notice(server, until_ms)

    def note_leaving_at_peer(self, servers):
        """Record servers that have told another daemon that they leave.

        ``servers`` lists pairs of an id and the start time, which tells a process from
        a later one that this daemon may know already.
        """
        for server_id, started_ms in servers:
            server = self.servers.get(server_id)
            if server is not None and server.entry.started_ms == started_ms:
                self.note_leaving(server)

    def _apply_leaving_notice(self, server, until_ms):
        server.says_leaving = True
        self._start_leaving(server, until_ms - self._clock.now_ms())

    def note_hold(self, server, hold_ms):
        """Record that a server has refused a request and wants none for a time.

        Requests that wait for it go to other servers.
        """
        until_ms = self.notices.hold(server.entry.process_key(), hold_ms)
        if not server.held(self._clock.now_ms()):
            log_server(server.entry, f"wants no requests for {hold_ms:.0f} ms")
        server.held_until_ms = max(server.held_until_ms, until_ms)
        server.pool.recall_waiting("the server wants no requests")

    def retry_after_ms(self, services, regions=()):
        """Return when a caller may come back for servers that want no requests, in ms.

        That is when the first of them takes requests again, and a random time later, so
        that callers do not come back together. It is None if none is on hold.
        """
        now_ms = self._clock.now_ms()
        remaining_ms = [
            server.held_until_ms - now_ms
            for service in services
            for server in self._in_regions(service, regions)
            if server.held(now_ms)
        ]
        if not remaining_ms:
            return None
        return min(remaining_ms) + self.notices.spread_ms(min(remaining_ms))

    def count_notices(self):
        """Return how many servers say that they leave, and how many are on hold."""
        now_ms = self._clock.now_ms()
        servers = self.servers.values()
        return (
            sum(server.says_leaving for server in servers),
            sum(server.held(now_ms) for server in servers),
        )

    def describe_exclusions(self, service, regions=(), request_servers=None):
        """Return why servers of a service may get no request, as a text for the log.

        With the ``RequestServers`` of a request its own reasons are stated as well.
        """
        servers = self._in_regions(service, regions)
        return describe_exclusions(self, servers, request_servers, self._clock)

    def candidates(self, service, regions=(), planned=False):
        """Return the servers of a service that this daemon may send to now.

        ``planned`` is as for ``reason_against``.
        """
        now_ms = self._clock.now_ms()
        return [
            server
            for server in self._in_regions(service, regions)
            if reason_against(self, server, now_ms, planned=planned) is None
        ]

    def _in_regions(self, service, regions):
        servers = self.services.get(service, ())
        if not regions:
            return servers
        return [server for server in servers if server.region in regions]

    def _usable_servers(self, service, regions, now_ms):
        """Return the servers of a service that at least one daemon may send to."""
        return [
            server
            for server in self._in_regions(service, regions)
            if reason_against(self, server, now_ms, own=False) is None
        ]

    def fastest_servers(self, service, regions, work_ms, count=1):
        """Return the ``count`` servers with the shortest expected times, fastest first.

        They include servers that only other daemons, near them, may send to.
        """
        now_ms = self._clock.now_ms()
        candidates = self._usable_servers(service, regions, now_ms)
        candidates.sort(key=lambda server: server.expected_ms(now_ms, work_ms))
        return candidates[:count]

    def record_remote_latencies(self, services, domain, took_ms, work_ms):
        """Record the latency of each service that a daemon of a domain reports."""
        now_ms = self._clock.now_ms()
        for service, service_ms in zip(services, took_ms, strict=True):
            for server in self.services.get(service, ()):
                if server.entry.failure_domain == domain:
                    latency_ms = server.rtt_ms + service_ms
                    server.record_latency(now_ms, latency_ms, work_ms)

    def _add(self, entry):
        region = self._failure_domains.get(entry.failure_domain, "")
        pool = ConnectionPool(
            self._reactor, self._clock, entry.address, self._connection_limit(entry)
        )
        server = TrackedServer(
            entry, pool, region, region == self._region, self._clock.now_ms()
        )
        self.servers[entry.server_id] = server
        # Of servers that look equal the first one is used, so their order differs by
        # daemon. Otherwise the first requests of all daemons go to the same server.
        servers = self.services.setdefault(entry.service, [])
        insort(servers, server, key=lambda other: weight(self._vm, other.server_id))
        log_server(entry, "added")
        # The entry of a process may return after it has lapsed, or come from a list
        # that is older than what the process has said.
        process = entry.process_key()
        server.held_until_ms = self.notices.hold_until_ms(process) or 0.0
        usable_until_ms = self.notices.usable_until_ms(process)
        if usable_until_ms is not None:
            self._apply_leaving_notice(server, usable_until_ms)
        # The drain time of a server that drained before it was known may be over.
        if entry.state is ServerState.DRAINING:
            self._start_leaving(server, 0.0)
        return server

    def _start_leaving(self, server, grace_ms):
        """Use a server for ``grace_ms`` more, and only if there is no other.

        Requests that wait for a connection to it go to other servers at once, or are
        given up when that time is over.
        """
        until_ms = self._clock.now_ms() + grace_ms
        if server.leaving_until_ms is not None and server.leaving_until_ms <= until_ms:
            return
        if server.leaving_until_ms is None:
            server.leaving_since_ms = self._clock.now_ms()
        server.leaving_until_ms = until_ms
        server.pool.recall_waiting(SERVER_LEAVING)
        self._clock.call_later(grace_ms, self._recall_if_left, server)
        self._remove_later(server, max(grace_ms, self._bounds.drain_ms))

    def _recall_if_left(self, server):
        if has_left(self, server, self._clock.now_ms()):
            server.pool.recall_waiting(SERVER_LEAVING)

    def _remove_later(self, server, delay_ms):
        """Remove a server after the requests sent to it have ended."""
        self._clock.call_later(delay_ms, self._remove_if_unlisted, server)

    def _remove_if_unlisted(self, server):
        if not server.listed:
            self._remove(server, "forgotten")
        elif server.leaving_until_ms is not None:
            server.pool.close_idle()

    def _remove(self, server, reason):
        if self.servers.get(server.server_id) is not server:
            return
        log_server(server.entry, reason)
        del self.servers[server.server_id]
        service_servers = self.services[server.entry.service]
        service_servers.remove(server)
        if not service_servers:
            del self.services[server.entry.service]
        if self.versions is not None:
            self.versions.server_removed(server.entry.service)
        server.pool.close_gracefully()

    def close(self):
        """Close the connections to all servers."""
        for server in self.servers.values():
            server.pool.close_gracefully()
