"""Oracle for queries: the state of a small tier, kept independently of the engine."""

from hemlockspoke.messages import SubQueryStatus

UNREACHED_STATUSES = {SubQueryStatus.REFUSED, SubQueryStatus.UNREACHABLE}


class SentSubQuery:
    """Sub-query sent by the engine."""

    def __init__(self, vm, batch, item):
        self.vm = vm
        self.request_id = batch.request_id
        self.tag = batch.query["tag"]
        self.version = batch.version
        self.sub_id, self.server, self.parts = item
        # Final status of the sub-query, or None while it is pending.
        self.end_status = None
        self.cancelled = False


class CallerQuery:
    """Query of a caller and its results."""

    def __init__(self, tag, started_ms, deadline_ms):
        self.tag = tag
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.results = []
        self.deferred = None
        self.abandoned = False
        self.answered_ms = None
        # Parts delivered by valid answers, by version.
        self.delivered = {}

    def is_open(self):
        return not self.results and not self.abandoned


class OracleState:
    """Parts that each server serves, and the reports of holders about them."""

    def __init__(self, servers):
        self.served_parts = {server: {} for server in servers}
        self.parts_totals = {}
        self.draining = set()
        self.servers_out = set()
        self.reports = {}

    def add_version(self, version, total, servers):
        """Add a version; two consecutive servers of the list serve each part."""
        self.parts_totals[version] = total
        for part in range(total):
            for step in (0, 1):
                server = servers[(part + step) % len(servers)]
                self.served_parts[server].setdefault(version, set()).add(part)

    def report(self, sequence, holder, server):
        """Record a report of a holder; return ``(served, available)``."""
        served = {
            v: (self.parts_totals[v], set(p))
            for v, p in self.served_parts[server].items()
        }
        available = server not in self.draining
        self.reports.setdefault(server, {})[holder] = (sequence, available, served)
        return served, available

    def reported(self, server):
        """Return the parts by version of the latest usable report, or None."""
        usable = [entry for entry in self.reports.get(server, {}).values() if entry[1]]
        return max(usable, key=lambda entry: entry[0])[2] if usable else None

    def usable(self, server):
        return server not in self.servers_out and self.reported(server) is not None

    def expected_version(self):
        """Return the version that a query started now must use, or None."""
        best = None
        for version in sorted(self.parts_totals, reverse=True):
            known, parts = False, set()
            for server in self.served_parts:
                served = (self.reported(server) or {}).get(version)
                known = known or served is not None
                if served is not None and self.usable(server):
                    parts |= served[1]
            coverage = len(parts) / self.parts_totals[version]
            if known and coverage and (best is None or coverage > best[0]):
                best = (coverage, version)
        return best and best[1]


def count_extra(sent):
    """Return the numbers of extra and primary sub-queries that reached an upstream.

    An extra sub-query requests a part that an earlier sub-query of the same query and
    version has already requested from an upstream.
    """
    extras = primaries = 0
    asked_parts, first_versions = set(), {}
    for sub in sent:
        if sub.end_status in UNREACHED_STATUSES:
            continue
        first = first_versions.setdefault(sub.request_id, sub.version)
        keys = {(sub.request_id, sub.version, part) for part in sub.parts}
        if keys & asked_parts:
            extras += 1
        elif sub.version == first:
            primaries += 1
        asked_parts |= keys
    return extras, primaries
