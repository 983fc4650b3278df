"""Truth about a small tier, kept apart from the engine that is tested."""

from hemlockspoke.messages import SubStatus

NOT_REACHED = {SubStatus.REFUSED, SubStatus.UNREACHABLE}


class Sent:
    """A sub-query as the oracle saw it leave."""

    def __init__(self, vm, batch, item):
        self.vm = vm
        self.request_id = batch.request_id
        self.tag = batch.query["tag"]
        self.version = batch.version
        self.sub_id, self.server, self.parts = item
        # None until the sub-query has ended; then its status.
        self.ended = None
        self.cancelled = False


class Asked:
    """A caller's query and what came back."""

    def __init__(self, tag, started_ms, deadline_ms):
        self.tag = tag
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.results = []
        self.deferred = None
        self.abandoned = False
        self.answered_ms = None
        # Parts that valid answers have delivered, by version.
        self.delivered = {}

    def open(self):
        return not self.results and not self.abandoned


class World:
    """Which server truly serves which parts, and what holders have reported."""

    def __init__(self, servers):
        self.serves = {server: {} for server in servers}
        self.totals = {}
        self.draining = set()
        self.out = set()
        self.reports = {}

    def publish(self, version, total, servers):
        """Give each part of a new version two neighbouring servers."""
        self.totals[version] = total
        for part in range(total):
            for step in (0, 1):
                server = servers[(part + step) % len(servers)]
                self.serves[server].setdefault(version, set()).add(part)

    def report(self, order, holder, server):
        """Return what a holder sees and note that it has been reported."""
        served = {v: (self.totals[v], set(p)) for v, p in self.serves[server].items()}
        available = server not in self.draining
        self.reports.setdefault(server, {})[holder] = (order, available, served)
        return served, available

    def reported(self, server):
        """Return the parts by version of the last usable report, or None."""
        usable = [entry for entry in self.reports.get(server, {}).values() if entry[1]]
        return max(usable, key=lambda entry: entry[0])[2] if usable else None

    def usable(self, server):
        return server not in self.out and self.reported(server) is not None

    def expected_pin(self):
        """Return the version that a query started now has to use."""
        best = None
        for version in sorted(self.totals, reverse=True):
            known, parts = False, set()
            for server in self.serves:
                served = (self.reported(server) or {}).get(version)
                known = known or served is not None
                if served is not None and self.usable(server):
                    parts |= served[1]
            share = len(parts) / self.totals[version]
            if known and share and (best is None or share > best[0]):
                best = (share, version)
        return best and best[1]


def count_extra(sent):
    """Return how many sub-queries reached an upstream as extras and as primaries.

    An extra asks for a part that an earlier sub-query of the same query and version
    has asked an upstream for.
    """
    extras = primaries = 0
    seen, versions = set(), {}
    for sub in sent:
        if sub.ended in NOT_REACHED:
            continue
        first = versions.setdefault(sub.request_id, sub.version)
        keys = {(sub.request_id, sub.version, part) for part in sub.parts}
        if keys & seen:
            extras += 1
        elif sub.version == first:
            primaries += 1
        seen |= keys
    return extras, primaries
