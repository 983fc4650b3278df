"""Which servers of a service may get requests, by their versions.

Answers the load of a few orders at a time, and of queries over 90 services without an
order: for these a version that is in use costs two look-ups.
"""

from hemlockspoke.tier.rollouts.order import Phase

# The order for a new version may become known later than its first server, since the
# kinds of objects are read by separate calls.
NEW_VERSION_HOLD_MS = 500.0
# Time after the end of an order for which servers of the earlier version get nothing,
# even if they are still listed. Later ones may belong to a replacement without order.
COMPLETED_HOLD_MS = 10_000.0


class VersionRules:
    """Reasons against servers because of their version.

    ``rollouts`` maps services to the ``Rollout`` of their order. ``confirmed_ms()``
    returns the clock time at which the store last confirmed the list of orders, or None
    before the first list.
    """

    __slots__ = ("_accepted", "_clock", "_directory", "confirmed_ms", "rollouts")

    def __init__(self, clock, directory, confirmed_ms=None):
        self._clock = clock
        self._directory = directory
        self.confirmed_ms = confirmed_ms or clock.now_ms
        self.rollouts = {}
        # Versions that are used without an order, by service.
        self._accepted = {}

    def withholds(self, server, now_ms):
        """Return whether requests that this daemon plans may not go to a server."""
        rollout = self.rollouts.get(server.entry.service)
        if rollout is None:
            return self._may_have_order(server)
        is_target = rollout.is_target(server)
        phase = rollout.phase(now_ms)
        if phase is Phase.ROLLED_BACK:
            return is_target
        if phase is Phase.COMPLETED:
            return not is_target and self._is_replaced(rollout, server, now_ms)
        if rollout.prefers_target(now_ms):
            return not is_target
        self.note_old(rollout)
        return is_target and rollout.saw_old

    def forbids(self, server, now_ms):
        """Return whether not even a request that is planned elsewhere may go there.

        Daemons learn of a phase at slightly different times, and of two daemons the
        planning one decides unless the order has ended.
        """
        rollout = self.rollouts.get(server.entry.service)
        if rollout is not None and rollout.final_ms is None:
            return False
        return self.withholds(server, now_ms)

    def server_removed(self, service):
        """Forget versions without servers: they may return with an order."""
        servers = self._directory.services.get(service)
        if servers is None:
            self._accepted.pop(service, None)
        elif service in self._accepted:
            self._accepted[service] &= {server.entry.version for server in servers}

    def note_old(self, rollout):
        """Note whether the service has a server of another version."""
        if not rollout.saw_old:
            servers = self._directory.services.get(rollout.order.service, ())
            rollout.saw_old = any(not rollout.is_target(server) for server in servers)

    def _is_replaced(self, rollout, server, now_ms):
        servers = self._directory.services.get(rollout.order.service, ())
        return (
            now_ms < rollout.final_ms + COMPLETED_HOLD_MS
            and server.added_ms <= rollout.final_ms
            and any(map(rollout.is_target, servers))
        )

    def _may_have_order(self, server):
        """Return whether a new version may have an order that is not yet known.

        Servers of a version that stands beside another one are used only once the store
        has confirmed the list of orders after they were seen. Until there is a first
        list, only the version whose servers started first is used.
        """
        service, version = server.entry.service, server.entry.version
        accepted = self._accepted.setdefault(service, set())
        if version in accepted:
            return False
        servers = self._directory.services.get(service, ())
        versions = {other.entry.version for other in servers}
        if len(versions) > 1 and not self._is_known(servers, version, accepted):
            return True
        accepted.add(version)
        return False

    def _is_known(self, servers, version, accepted):
        confirmed_ms = self.confirmed_ms()
        seen_ms = min(
            other.added_ms for other in servers if other.entry.version == version
        )
        if confirmed_ms is not None and confirmed_ms >= seen_ms + NEW_VERSION_HOLD_MS:
            return True
        if accepted:
            return False
        first = min(servers, key=lambda other: other.entry.started_ms or 0)
        return first.entry.version == version
