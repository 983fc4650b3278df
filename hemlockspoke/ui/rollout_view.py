"""Sums the metrics on rollouts of several daemons."""

from collections import Counter

PREFIX = "hemlockspoke_rollout_"
UNLISTED = "hemlockspoke_rollouts_unlisted"
DECIDED = "decided_"
# Label values of the two sides of an order, and the name of the sum of further routes.
SIDES = ("target", "old")
OTHER = "other"
_SENT = ("sent", "sent_target")
_BY_ROUTE = ("answers", "failures")


class Evidence:
    """Requests that were sent, and answers and failures by route and side."""

    __slots__ = ("by_route", "sent")

    def __init__(self):
        self.sent = Counter()
        self.by_route = {}

    def count(self, metric, sample):
        """Add a sample of a metric."""
        if metric in _SENT:
            self.sent[metric] += sample.count()
            return
        side = sample.label("side")
        if side not in SIDES:
            raise ValueError(f"{sample.name} has an unknown side")
        route = self.by_route.setdefault(sample.label("route"), Counter())
        route[side, metric] += sample.count()

    def add(self, other):
        """Add the evidence of another daemon."""
        self.sent.update(other.sent)
        for name, counts in other.by_route.items():
            self.by_route.setdefault(name, Counter()).update(counts)

    def to_json(self):
        """Return the members of a JSON object."""
        names = sorted(self.by_route, key=lambda name: (name == OTHER, name))
        return {
            **{metric: int(self.sent[metric]) for metric in _SENT},
            "routes": [
                {"route": name, **_route_json(self.by_route[name])} for name in names
            ],
        }


def _route_json(counts):
    return {
        side: {metric: int(counts[side, metric]) for metric in _BY_ROUTE}
        for side in SIDES
    }


class OrderRow:
    """One order: what daemons know of it and have counted.

    ``verdicts`` holds a JSON object of each daemon that decides or has decided.
    """

    __slots__ = ("evidence", "old_versions", "shares", "states", "verdicts")

    def __init__(self):
        self.evidence = Evidence()
        self.old_versions = set()
        self.shares = []
        self.states = Counter()
        self.verdicts = []

    def add(self, row):
        """Add the row of another daemon."""
        self.evidence.add(row.evidence)
        self.old_versions |= row.old_versions
        self.shares += row.shares
        self.states.update(row.states)
        self.verdicts += row.verdicts

    def to_json(self, service, target_version):
        """Return the row as a JSON object."""
        return {
            "service": service,
            "target_version": target_version,
            "old_versions": sorted(self.old_versions),
            "states": dict(self.states.most_common()),
            "share": {
                "min": min(self.shares, default=None),
                "max": max(self.shares, default=None),
            },
            **self.evidence.to_json(),
            # Two daemons may have decided, one after the other: the one that knows
            # more is the later one.
            "verdicts": sorted(self.verdicts, key=lambda item: -item["sent"]),
        }


def read_rollouts(samples):
    """Return the ``OrderRow`` objects of one daemon, and how many it does not list.

    Keys are pairs of a service and a target version. Metrics that are not known are
    left out. Raises ``ValueError`` for a known one that is malformed.
    """
    rows, decided, verdicts = {}, {}, {}
    unlisted = 0
    for sample in samples:
        if sample.name == UNLISTED:
            unlisted = int(sample.count())
        if not sample.name.startswith(PREFIX):
            continue
        key = (sample.label("service"), sample.label("target_version"))
        metric = sample.name.removeprefix(PREFIX)
        row = rows.setdefault(key, OrderRow())
        if metric.startswith(DECIDED):
            metric = metric.removeprefix(DECIDED)
            if metric in _SENT or metric in _BY_ROUTE:
                decided.setdefault(key, Evidence()).count(metric, sample)
        elif metric == "verdict":
            verdicts[key] = sample.label("state"), sample.label("reason")
        elif metric in _SENT or metric in _BY_ROUTE:
            row.evidence.count(metric, sample)
        elif metric == "state":
            row.states[sample.label("state")] = 1
        elif metric == "share":
            row.shares = [sample.count()]
        elif metric == "old_version":
            row.old_versions.add(sample.label("old_version"))
    for key, row in rows.items():
        if key in decided or key in verdicts:
            state, reason = verdicts.get(key, ("", ""))
            evidence = decided.get(key, Evidence())
            row.verdicts = [{"state": state, "reason": reason, **evidence.to_json()}]
    return rows, unlisted


def sum_rollouts(values_by_address):
    """Return the view of all orders; the values are those of ``read_rollouts``."""
    rows, unlisted = {}, 0
    for address, (rows_of_daemon, unlisted_there) in values_by_address.items():
        unlisted = max(unlisted, unlisted_there)
        for key, row in rows_of_daemon.items():
            row.verdicts = [{"address": address, **item} for item in row.verdicts]
            rows.setdefault(key, OrderRow()).add(row)
    orders = [rows[key].to_json(*key) for key in sorted(rows)]
    return {"rollouts": orders, "unlisted": unlisted}
