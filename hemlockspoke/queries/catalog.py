"""Which server serves which parts of which index versions.

The catalog holds what the holders of each server have reported. It may lag: a
server can refuse a version that is listed here, and the query then tries another
replica.
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
        """Return the parts that a report lists, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        total, parts = value.get("parts_total"), value.get("parts")
        if type(total) is not int or not isinstance(parts, list):
            return None
        valid = {part for part in parts if type(part) is int and 0 <= part < total}
        return cls(total, tuple(sorted(valid))) if valid else None


class Report:
    """What one holder has last said of one server."""

    __slots__ = ("available", "order", "sequence", "served")

    def __init__(self, order, sequence, available, served):
        self.order = order
        self.sequence = sequence
        self.available = available
        self.served = served


class VersionEntry:
    """Servers of one index version; ``generation`` changes with any of them."""

    __slots__ = ("generation", "servers")

    def __init__(self):
        self.servers = {}
        self.generation = 0


def parse_indexes(indexes):
    """Return ``{(index, version): ServedParts}`` of a report, without bad entries.

    Upstreams are another party's programs, so a malformed entry is left out and
    does not hide the others.
    """
    served = {}
    if not isinstance(indexes, dict):
        return served
    for index, versions in indexes.items():
        if not isinstance(versions, dict):
            continue
        for text, value in versions.items():
            version = parse_version(text)
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

    Of several holders' reports on a server the one received last counts among
    those that found the server available, so a holder that is cut off from a
    server does not hide it from the others.
    """

    __slots__ = (
        "_clock",
        "_effective",
        "_entries",
        "_generations",
        "_order",
        "_reports",
    )

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}
        self._effective = {}
        self._entries = {}
        self._order = itertools.count()
        self._generations = itertools.count(1)

    def update(self, holder_vm, message):
        """Take a ``CatalogUpdate`` of a holder; an outdated one is dropped."""
        if type(message.server) is not str or type(message.sequence) is not int:
            return
        reports = self._reports.setdefault(message.server, {})
        known = reports.get(holder_vm)
        if known is not None and message.sequence <= known.sequence:
            return
        served = parse_indexes(message.indexes)
        reports[holder_vm] = Report(
            next(self._order), message.sequence, bool(message.available), served
        )
        self._apply(message.server)

    def forget(self, holder_vm):
        """Drop all reports of a holder whose stream is lost."""
        for server in list(self._reports):
            reports = self._reports[server]
            if reports.pop(holder_vm, None) is None:
                continue
            if not reports:
                del self._reports[server]
            self._apply(server)

    def versions(self, index):
        """Return the versions that available servers have, newest first."""
        return sorted(self._entries.get(index, ()), reverse=True)

    def entry(self, index, version):
        """Return the ``VersionEntry`` of a version, or None."""
        return self._entries.get(index, {}).get(version)

    def parts_total(self, index, version):
        """Return the number of parts of a version, 0 if it is unknown."""
        entry = self.entry(index, version)
        if entry is None:
            return 0
        return max(served.parts_total for served in entry.servers.values())

    def servers_of(self, index, version, part):
        """Return the available servers that have a part, in order of name."""
        entry = self.entry(index, version)
        if entry is None:
            return []
        servers = entry.servers.items()
        return sorted(server for server, served in servers if part in served.parts)

    def available(self, server):
        """Tell whether a holder reports the server as available."""
        return server in self._effective

    def reported(self, server):
        """Tell whether any holder has reported on the server."""
        return server in self._reports

    def _apply(self, server):
        report = self._latest(server)
        old = self._effective.get(server, {})
        new = {} if report is None else report.served
        if report is None:
            self._effective.pop(server, None)
        else:
            self._effective[server] = new
        for key in old.keys() | new.keys():
            if old.get(key) != new.get(key):
                self._place(key, server, new.get(key))

    def _latest(self, server):
        reports = self._reports.get(server, {}).values()
        usable = [report for report in reports if report.available]
        return max(usable, key=lambda report: report.order, default=None)

    def _place(self, key, server, served):
        index, version = key
        versions = self._entries.setdefault(index, {})
        entry = versions.setdefault(version, VersionEntry())
        # Never reused, so that a version that vanishes and returns is seen as new.
        entry.generation = next(self._generations)
        if served is not None:
            entry.servers[server] = served
            return
        entry.servers.pop(server, None)
        if not entry.servers:
            del versions[version]
        if not versions:
            del self._entries[index]
