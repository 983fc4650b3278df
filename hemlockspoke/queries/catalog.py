"""Catalog of the index versions and parts that each server provides.

The entries come from reports of the holders of each server, the daemons that have a
share of it, and may be outdated: a server can refuse a version that is listed here, and
the query then tries another replica.
"""

import itertools


class ServedParts:
    """Parts of one index version on one server."""

    __slots__ = ("parts", "parts_total")

    def __init__(self, parts_total, parts):
        self.parts_total = parts_total
        self.parts = parts

    def __eq__(self, other):
        if not isinstance(other, ServedParts):
            return NotImplemented
        return (self.parts_total, self.parts) == (other.parts_total, other.parts)

    __hash__ = None

    @classmethod
    def from_value(cls, value):
        """Return the parts listed by a report entry, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        total, parts = value.get("parts_total"), value.get("parts")
        if type(total) is not int or not isinstance(parts, list):
            return None
        valid = {part for part in parts if type(part) is int and 0 <= part < total}
        return cls(total, tuple(sorted(valid))) if valid else None


class Report:
    """Latest report of one holder about one server.

    ``arrival`` numbers the reports of all holders in the order of their receipt.
    """

    __slots__ = ("arrival", "available", "sequence", "served")

    def __init__(self, arrival, sequence, available, served):
        self.arrival = arrival
        self.sequence = sequence
        self.available = available
        self.served = served


class VersionEntry:
    """Servers of one index version.

    ``servers`` maps server name to ``ServedParts``. ``generation`` changes whenever a
    server is added, changed or removed.
    """

    __slots__ = ("generation", "servers")

    def __init__(self):
        self.servers = {}
        self.generation = 0


def parse_indexes(indexes):
    """Return ``{(index, version): ServedParts}`` of a report.

    Upstreams are third-party programs, so a malformed entry is skipped without
    rejecting the valid ones.
    """
    served = {}
    if not isinstance(indexes, dict):
        return served
    for index, versions in indexes.items():
        if not isinstance(versions, dict):
            continue
        for version_key, value in versions.items():
            version = parse_version(version_key)
            parts = ServedParts.from_value(value)
            if version is not None and parts is not None:
                served[(index, version)] = parts
    return served


def parse_version(text):
    """Return a version as an integer, or None.

    >>> parse_version("7")
    7
    """
    if type(text) is int:
        return text
    if isinstance(text, str) and text.isascii() and text.isdigit() and len(text) < 20:
        return int(text)
    return None


class Catalog:
    """Index versions and their parts, by server.

    If several holders report on a server, the latest received report that found
    the server available is used. A holder that has lost its connection to a server
    therefore does not make the server unavailable to queries.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_entries",
        "_generations",
        "_reports",
        "_served_by_server",
    )

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}
        self._served_by_server = {}
        self._entries = {}
        self._arrivals = itertools.count()
        self._generations = itertools.count(1)

    def update(self, holder_vm, message):
        """Apply a ``CatalogUpdate`` of a holder; an outdated one is ignored."""
        if type(message.server) is not str or type(message.sequence) is not int:
            return
        reports = self._reports.setdefault(message.server, {})
        previous = reports.get(holder_vm)
        if previous is not None and message.sequence <= previous.sequence:
            return
        served = parse_indexes(message.indexes)
        reports[holder_vm] = Report(
            next(self._arrivals), message.sequence, bool(message.available), served
        )
        self._refresh_server(message.server)

    def peer_lost(self, holder_vm):
        """Remove all reports of a holder whose stream was lost."""
        for server in list(self._reports):
            reports = self._reports[server]
            if reports.pop(holder_vm, None) is None:
                continue
            if not reports:
                del self._reports[server]
            self._refresh_server(server)

    def versions(self, index):
        """Return the versions on available servers, newest first."""
        return sorted(self._entries.get(index, ()), reverse=True)

    def entry(self, index, version):
        """Return the ``VersionEntry`` of a version, or None."""
        return self._entries.get(index, {}).get(version)

    def parts_total(self, index, version):
        """Return the number of parts of a version, or 0 if it is unknown."""
        entry = self.entry(index, version)
        if entry is None:
            return 0
        return max(served.parts_total for served in entry.servers.values())

    def servers_of(self, index, version, part):
        """Return the available servers that have a part, sorted by name."""
        entry = self.entry(index, version)
        if entry is None:
            return []
        servers = entry.servers.items()
        return sorted(server for server, served in servers if part in served.parts)

    def available(self, server):
        """Return whether any holder reports the server as available."""
        return server in self._served_by_server

    def reported(self, server):
        """Return whether any holder has reported on the server."""
        return server in self._reports

    def _refresh_server(self, server):
        report = self._latest_available(server)
        old = self._served_by_server.get(server, {})
        new = {} if report is None else report.served
        if report is None:
            self._served_by_server.pop(server, None)
        else:
            self._served_by_server[server] = new
        for key in old.keys() | new.keys():
            if old.get(key) != new.get(key):
                self._update_entry(key, server, new.get(key))

    def _latest_available(self, server):
        reports = self._reports.get(server, {}).values()
        usable = [report for report in reports if report.available]
        return max(usable, key=lambda report: report.arrival, default=None)

    def _update_entry(self, key, server, served):
        index, version = key
        versions = self._entries.setdefault(index, {})
        entry = versions.setdefault(version, VersionEntry())
        # Generations are never reused, so a version that is removed and added again
        # invalidates the plans made for it before.
        entry.generation = next(self._generations)
        if served is not None:
            entry.servers[server] = served
            return
        entry.servers.pop(server, None)
        if not entry.servers:
            del versions[version]
        if not versions:
            del self._entries[index]
