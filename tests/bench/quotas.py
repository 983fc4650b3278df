"""Measures quotas of client accounts over whole fleets, on a manual clock.

Run as ``python -m tests.bench.quotas``, or with numbers of daemons. Each row is one
fleet in one situation. Request shares fall with the rank of the account, clients of an
account connect unevenly, and one account sends five times its usual rate for a while.
A request is within the quota if one token bucket for all daemons together has a token
for it. "All restarted" counts the first seconds after all have ended at once. The
baseline divides each quota evenly among the daemons. Windows are fractions
of the limit. The last column leaves out the account with the surge.
"""

import random
import sys

from hemlockspoke.tier.accounts.account import Account
from hemlockspoke.tier.quotas.bucket import TokenBucket
from tests.fakes.quota_fleet import REGIONS, QuotaFleet, quota_limit

SIZES = (10, 87, 300)
SITUATIONS = ("calm", "region cut off", "restarts", "all restarted")
ACCOUNTS = 86
REQUESTS_PER_DAEMON_PER_S = 4.0
HEADROOM = 1.6
SURGE = 5.0
SURGE_RANK = 3
# Lists are read and the tokens of the first start created before the load begins.
SETTLE_MS = 16_000.0
DOWN_MS = 2000.0
# After a restart of all daemons, these are the first and last to start, and requests
# count for this time after the last one.
START_SPREAD_MS = 500.0
COUNTED_MS = 4000.0
HEADER = (
    f"{'daemons':>7} {'situation':>15} {'served':>7} {'even':>7} {'window':>7}"
    f" {'even w.':>7} {'msg/s':>7} {'B/s/dmn':>8} {'wait p99':>8} {'no surge':>8}"
)


class AccountLoad:
    """Requests of one account, and what an ideal and an evenly divided quota do."""

    def __init__(self, account, usual_per_s, daemon_weights, count, now_ms):
        self.account = account
        self.usual_per_s = usual_per_s
        self.daemon_weights = daemon_weights
        self.ideal = TokenBucket(
            account.burst, account.rate_per_s, account.burst, now_ms
        )
        self.even = {
            vm: TokenBucket(
                max(1.0, account.burst / count), account.rate_per_s / count, 1.0, now_ms
            )
            for vm in daemon_weights
        }
        self.even_sent = []
        # Requests within the quota, those of them that are served, and all served.
        self.within = self.served_within = self.served = 0
        self.even_within = 0

    def shares(self, is_surging):
        """Return how many requests are within the quota, and are served by each.

        Of an account over its quota any requests may be served, so these are counted.
        """
        if is_surging:
            served = min(self.within, self.served)
            return self.within, served, min(self.within, len(self.even_sent))
        return self.within, self.served_within, self.even_within


class QuotaLoad:
    """One run of a fleet."""

    def __init__(self, count, situation, seed=1, duration_ms=20_000.0):
        self.fleet = QuotaFleet.of_size(count, seed)
        self.rng = random.Random(seed)
        self.situation = situation
        self.duration_ms = duration_ms
        # Waits of requests within the quota, and those of accounts without a surge.
        self.waits_ms = []
        self.calm_waits_ms = []
        self.surge_from_ms = SETTLE_MS + 0.25 * duration_ms
        self.surge_until_ms = SETTLE_MS + 0.6 * duration_ms
        # The requests that count.
        self.from_ms, self.until_ms = SETTLE_MS, float("inf")
        total_per_s = REQUESTS_PER_DAEMON_PER_S * count
        shares = [rank**-1.2 for rank in range(1, ACCOUNTS + 1)]
        self.loads = []
        for number, share in enumerate(shares):
            usual_per_s = total_per_s * share / sum(shares)
            quota = HEADROOM * usual_per_s
            account = Account(
                f"account-{number}", rate_per_s=quota, burst=max(1.0, round(quota))
            )
            weights = {
                vm: self.rng.paretovariate(1.2) for vm in sorted(self.fleet.daemons)
            }
            self.loads.append(
                AccountLoad(account, usual_per_s, weights, count, SETTLE_MS)
            )

    def run(self):
        """Run the fleet, and return the row of the table."""
        fleet = self.fleet
        fleet.read_lists()
        fleet.configure([load.account for load in self.loads])
        fleet.clock.advance(SETTLE_MS)
        fleet.read_lists()
        fleet.messages = fleet.message_bytes = 0
        if self.situation == "region cut off":
            fleet.clock.call_later(0.2 * self.duration_ms, self._cut)
        if self.situation == "restarts":
            self._plan_restarts()
        if self.situation == "all restarted":
            fleet.clock.call_later(0.7 * self.duration_ms, self._restart_all)
        end_ms = SETTLE_MS + self.duration_ms
        for index, load in enumerate(self.loads):
            self._request_later(index, load, end_ms)
        fleet.clock.advance(self.duration_ms + 200.0)
        return self._row()

    def _cut(self):
        self.fleet.cut_regions = {"c"}
        for daemon in list(self.fleet.daemons.values()):
            for vm, other in list(self.fleet.daemons.items()):
                is_cut = REGIONS[daemon.domain] == "c"
                if is_cut != (REGIONS[other.domain] == "c"):
                    daemon.manager.peer_lost(vm)

    def _plan_restarts(self):
        vms = sorted(self.fleet.daemons)
        for vm in self.rng.sample(vms, max(1, len(vms) // 10)):
            at_ms = self.rng.uniform(0.1, 0.8) * self.duration_ms
            self.fleet.clock.call_later(at_ms, self._stop, vm)

    def _restart_all(self):
        self.from_ms = self.fleet.clock.now_ms() + DOWN_MS + START_SPREAD_MS
        self.until_ms = self.from_ms + COUNTED_MS
        for vm in list(self.fleet.daemons):
            self._stop(vm, self.rng.uniform(0.0, START_SPREAD_MS))
        for load in self.loads:
            load.within = load.served_within = load.served = load.even_within = 0

    def _stop(self, vm, delay_ms=0.0):
        domain = self.fleet.daemons[vm].domain
        self.fleet.stop(vm)
        self.fleet.clock.call_later(DOWN_MS + delay_ms, self._start, vm, domain)

    def _start(self, vm, domain):
        daemon = self.fleet.add(vm, domain)
        daemon.read_list()
        daemon.manager.on_configuration(self.fleet.table)

    def _request_later(self, index, load, end_ms):
        now_ms = self.fleet.clock.now_ms()
        rate_per_s = load.usual_per_s
        is_surge = self.surge_from_ms <= now_ms < self.surge_until_ms
        if index == SURGE_RANK and is_surge:
            rate_per_s *= SURGE
        delay_ms = self.rng.expovariate(rate_per_s / 1000.0)
        if now_ms + delay_ms < end_ms:
            self.fleet.clock.call_later(delay_ms, self._request, index, load, end_ms)

    def _request(self, index, load, end_ms):
        now_ms = self.fleet.clock.now_ms()
        is_within = load.ideal.take(1, now_ms) == 1
        if not self.fleet.daemons:
            self._request_later(index, load, end_ms)
            return
        is_within = is_within and self.from_ms <= now_ms < self.until_ms
        load.within += is_within
        vms = [vm for vm in load.daemon_weights if vm in self.fleet.daemons]
        weights = [load.daemon_weights[vm] for vm in vms]
        vm = self.rng.choices(vms, weights)[0]
        if load.even[vm].take(1, now_ms):
            load.even_sent.append(now_ms)
            load.even_within += is_within

        def ended(request, admitted, waited_ms):
            load.served += admitted
            load.served_within += admitted and is_within
            if is_within:
                self.waits_ms.append(waited_ms)
                if index != SURGE_RANK:
                    self.calm_waits_ms.append(waited_ms)

        self.fleet.daemons[vm].request(load.account, ended)
        self._request_later(index, load, end_ms)

    def _row(self):
        fleet = self.fleet
        within = served = even = 0
        window = even_window = 0.0
        for index, load in enumerate(self.loads):
            counts = load.shares(index == SURGE_RANK)
            within, served, even = (
                total + count
                for total, count in zip((within, served, even), counts, strict=True)
            )
            limit = quota_limit(load.account, fleet.bounds)
            name = load.account.name
            window = max(window, 1 + fleet.excess(name, lambda _, n=limit: n) / limit)
            fleet.sent[name] = load.even_sent
            even_window = max(
                even_window, 1 + fleet.excess(name, lambda _, n=limit: n) / limit
            )
        seconds = self.duration_ms / 1000.0
        daemon_count = len(self.loads[0].daemon_weights)
        return {
            "daemons": daemon_count,
            "situation": self.situation,
            "served": served / within,
            "even": even / within,
            "window": window,
            "even_window": even_window,
            "messages_per_s": fleet.messages / seconds,
            "bytes_per_s": fleet.message_bytes / seconds / daemon_count,
            "wait_p99_ms": percentile_99(self.waits_ms),
            "calm_wait_p99_ms": percentile_99(self.calm_waits_ms),
        }


def percentile_99(values):
    """Return the 99th percentile."""
    return sorted(values)[int(0.99 * len(values))]


def describe(row):
    """Return a row of the table as text."""
    return (
        f"{row['daemons']:7} {row['situation']:>15} {row['served']:7.4f}"
        f" {row['even']:7.4f} {row['window']:7.3f} {row['even_window']:7.3f}"
        f" {row['messages_per_s']:7.0f} {row['bytes_per_s']:8.0f}"
        f" {row['wait_p99_ms']:8.1f} {row['calm_wait_p99_ms']:8.1f}"
    )


def main(sizes):
    """Measure fleets of these sizes, or of all, and print the table."""
    print(HEADER)
    for size in map(int, sizes or SIZES):
        for situation in SITUATIONS:
            print(describe(QuotaLoad(size, situation).run()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
