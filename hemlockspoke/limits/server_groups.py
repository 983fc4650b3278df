"""Index, by group, of the servers in the service documents in force."""

from hemlockspoke.limits.shares import ServerLimit
from hemlockspoke.rendezvous import group_of
from hemlockspoke.requests import Share


class ServerGroups:
    """Maps each group to the names of its servers.

    ``update`` must be called for each service whose document changes.
    """

    __slots__ = ("_by_group", "_by_service", "_configuration")

    def __init__(self, configuration):
        self._configuration = configuration
        self._by_group = {}
        self._by_service = {}
        for service in configuration.documents():
            self.update(service)

    def groups(self):
        """Return all groups that have a server."""
        return list(self._by_group)

    def servers(self, group):
        """Return the names of the servers of ``group``."""
        return self._by_group.get(group, set())

    def groups_of(self, service):
        """Return the groups that have a server of ``service``."""
        return set(self._by_service.get(service, {}).values())

    def update(self, service):
        """Apply a new version of a document; return the groups it affects."""
        affected = self.groups_of(service)
        for name, group in self._by_service.pop(service, {}).items():
            self._by_group[group].discard(name)
        document = self._configuration.document(service)
        servers = {} if document is None else document.servers
        groups = {
            name: group_of(name, server.region) for name, server in servers.items()
        }
        for name, group in groups.items():
            self._by_group.setdefault(group, set()).add(name)
        self._by_service[service] = groups
        affected.update(groups.values())
        for group in affected:
            if not self._by_group[group]:
                del self._by_group[group]
        return affected

    def limit(self, group, name):
        """Return the ``ServerLimit`` of a server, None if it is not in the group.

        A server whose region has changed, or that two documents list with
        different regions, has limits in one group only. Otherwise both groups
        would grant its full limits.
        """
        server = self._configuration.find_server(name)
        if server is None or group_of(name, server.region) != group:
            return None
        service = self._configuration.service_of(name)
        upstream_class = server.upstream_class
        share = Share(
            upstream_class.slots,
            upstream_class.connections,
            upstream_class.cold_start_slots,
        )
        version = self._configuration.document_version(service)
        return ServerLimit(version, share, self._longest_deadline_ms(service))

    def _longest_deadline_ms(self, service):
        document = self._configuration.document(service)
        deadlines = [order.deadline_ms for order in document.orders.values()]
        return max([document.queries.max_deadline_ms, *deadlines])
