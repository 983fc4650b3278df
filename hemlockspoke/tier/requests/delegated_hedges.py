"""Hedges missing parts of a query through daemons near other servers.

Those have connections to these servers, while this daemon would first have to open
some.
"""

# If a larger fraction of the parts is missing, the servers are overloaded rather than
# paused, and hedges would make that worse.
MAX_HEDGED_FRACTION = 0.25
# Interval at which hedges are reconsidered, as other daemons report meanwhile.
HEDGE_RECHECK_MS = 10.0


def parts_to_hedge(pending, unreported, shard_count):
    """Return the parts of a query that are worth a hedge.

    ``pending`` has the parts that have not arrived, ``unreported`` those of them whose
    gathering daemon has not yet reported what it has: they may have been answered, and
    daemons of other regions report late.

    >>> sorted(parts_to_hedge({"s1", "s8", "s9"}, {"s8", "s9"}, 10))
    ['s1']
    >>> parts_to_hedge({"s1", "s2", "s3"}, set(), 10)
    set()
    """
    missing = pending - unreported
    known_count = shard_count - len(unreported)
    return missing if len(missing) <= MAX_HEDGED_FRACTION * known_count else set()


class DelegatedHedges:
    """Decides when and where the hedges of one query are delegated.

    ``gather`` is the ``Gather`` of the query, ``plan`` its ``GatherPlan``. ``due_ms``
    is the clock time of the first hedges, None if there will be none. Those are sent
    even if the timer is late. Others follow as daemons report, as long as they can
    arrive by the aim of the request. Each part is hedged once.
    """

    __slots__ = (
        "_gather",
        "_hedged",
        "_is_first_round",
        "_plan",
        "_request",
        "_tier",
        "_timer",
        "due_ms",
    )

    def __init__(self, tier, request, plan, gather):
        self._tier = tier
        self._request = request
        self._plan = plan
        self._gather = gather
        self._hedged = set()
        self._is_first_round = True
        self._timer = None
        now_ms = tier.clock.now_ms()
        delay_ms = plan.hedge_delay_ms(now_ms)
        self.due_ms = None
        if delay_ms is not None:
            self.due_ms = now_ms + delay_ms
            self._timer = tier.clock.call_later(delay_ms, self._send)

    def stop(self):
        """Delegate no further hedges."""
        if self._timer is not None:
            self._timer.cancel()

    def _send(self):
        clock, gather = self._tier.clock, self._gather
        missing = parts_to_hedge(
            gather.pending(), self._unreported(), len(self._request.route.shards)
        )
        groups = self._plan.hedge_servers(
            missing - self._hedged, self._used_server_ids()
        )
        for domain, group in groups.items():
            group = {
                service: server
                for service, server in group.items()
                if self._is_first_round or self._is_useful(server)
            }
            # Without a daemon there, the deliveries of this one keep all servers.
            for gatherer in self._tier.delegation.available_gatherers(domain, 1):
                self._hedged |= gather.delegate_hedges(gatherer, domain, group)
        self._is_first_round = False
        if clock.now_ms() + HEDGE_RECHECK_MS < self._request.aim_ms:
            self._timer = clock.call_later(HEDGE_RECHECK_MS, self._send)

    def _unreported(self):
        """Return the pending services whose gatherer has not reported any results."""
        return {
            service
            for parts in self._gather.delegations()
            if not parts.has_reported and not parts.silent
            for service in parts.pending
        }

    def _used_server_ids(self):
        """Return the ids of the servers that work on the query for a gatherer.

        If one of two servers is dark, its gatherer has turned to the other one. A hedge
        would only add to the load of that one.
        """
        return {
            server_id
            for parts in self._gather.delegations()
            for server_id in parts.waiting_server_ids
        }

    def _is_useful(self, server):
        """Return whether the answer of a server can still arrive by the aim.

        Without the minimum coverage a later one is useful as well.
        """
        work_ms = self._request.timing.usual_work_ms
        arrival_ms = self._tier.clock.now_ms() + server.rtt_ms + work_ms
        return arrival_ms <= self._request.aim_ms or not self._gather.has_coverage()
