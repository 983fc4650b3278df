"""Sums the metrics on client accounts of several daemons."""

from collections import Counter

PREFIX = "hemlockspoke_account_"
# Name under which daemons sum the accounts that they do not name.
OTHER = "other"
_SUMMED = {
    "admitted_total": "admitted",
    "waited_total": "waited",
    "wait_ms_total": "wait_ms",
}
_QUOTA = {"quota_rate_per_s": "rate_per_s", "quota_burst": "burst"}


class AccountRow:
    """One account: its sums, and the number of daemons by quota.

    Daemons have different quotas while a configuration spreads, or if some are cut off
    from the store.
    """

    __slots__ = ("quotas", "refused", "sums")

    def __init__(self):
        self.sums = Counter()
        self.refused = Counter()
        self.quotas = Counter()

    def add(self, row):
        """Add the row of another daemon."""
        self.sums.update(row.sums)
        self.refused.update(row.refused)
        self.quotas.update(row.quotas)

    def to_json(self, name):
        """Return the row as a JSON object."""
        return {
            "account": name,
            "quotas": [
                {"rate_per_s": rate_per_s, "burst": burst, "daemons": count}
                for (rate_per_s, burst), count in self.quotas.most_common()
            ],
            "admitted": int(self.sums["admitted"]),
            "refused": {
                reason: int(count) for reason, count in sorted(self.refused.items())
            },
            "waited": int(self.sums["waited"]),
            "wait_ms": round(float(self.sums["wait_ms"]), 1),
        }


def read_accounts(samples):
    """Return the ``AccountRow`` objects of one daemon by name.

    Metrics that are not known are left out. Raises ``ValueError`` for a known one
    without its labels or with a value that cannot be summed.
    """
    rows, quotas = {}, {}
    for sample in samples:
        if not sample.name.startswith(PREFIX):
            continue
        metric = sample.name.removeprefix(PREFIX)
        if metric not in _SUMMED and metric not in _QUOTA and metric != "refused_total":
            continue
        name, count = sample.label("account"), sample.count()
        row = rows.setdefault(name, AccountRow())
        if metric in _SUMMED:
            row.sums[_SUMMED[metric]] += count
        elif metric in _QUOTA:
            quotas.setdefault(name, {})[_QUOTA[metric]] = count
        else:
            row.refused[sample.label("reason")] += count
    for name, quota in quotas.items():
        rows[name].quotas[quota.get("rate_per_s"), quota.get("burst")] = 1
    return rows


def sum_accounts(rows_of_daemons):
    """Return the JSON objects of all accounts, by name, that of the others last."""
    rows = {}
    for rows_of_daemon in rows_of_daemons:
        for name, row in rows_of_daemon.items():
            rows.setdefault(name, AccountRow()).add(row)
    names = sorted(rows, key=lambda name: (name == OTHER, name))
    return [rows[name].to_json(name) for name in names]
