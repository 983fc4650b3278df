"""Client accounts of a soak: their keys and quotas, and the changes of both.

Keys are removed while daemons are cut off from the store, and a quota is lowered. The
changes are drawn from the seed before the run, apart from its other faults.
"""

import random
import time

from tests.edge_soak.account_checks import (
    Quota,
    QuotaBounds,
    check_accepted,
    check_answered,
    check_headers,
    check_limits,
    check_logs,
    check_removed_keys,
)
from tests.edge_soak.callers import Callers
from tests.platform_world import ITEM_PATH
from tests.reactor_thread import run_in_reactor

# Part of each key, by which keys are found in headers and logs.
KEY_MARK = "soakkey"
# Without a quota, for the callers of all other checks.
OPEN = "open"
# Sends several times its quota, which is lowered.
BUSY = "busy"
BUSY_QUOTA = Quota(10.0, 10.0)
LOWERED_QUOTA = Quota(4.0, 4.0)
BUSY_CALLERS = 2
# Sends a quarter of its quota, less than the half that is left without the keepers of
# one of two failure domains.
MODEST = "modest"
MODEST_QUOTA = Quota(40.0, 10.0)
MODEST_INTERVAL_S = 0.1
# Has keys that are removed, and goes on to send requests with them.
CHANGING = "changing"
CHANGING_KEYS = 2
CHANGING_INTERVAL_S = 0.05
# A key is removed this long before the end of the run or earlier, so that requests with
# it are sent after all daemons have to know.
LAST_REMOVAL_S = 7.0
# Requests of the account below its quota after all faults, at half of its quota.
CALM_REQUESTS = 40
CALM_INTERVAL_S = 0.05
BOUNDS = QuotaBounds(
    window_s=5.0, overshoot=0.1, slack=20.0, config_apply_ms=3000, stable_window_ms=2000
)


def draw_schedule(seed, duration_s, domains):
    """Return pairs of a time in seconds and a change, as drawn from the seed.

    A change is the name of a method of ``SoakAccounts`` and its arguments. ``domains``
    maps VMs to failure domains.
    """
    rng = random.Random(f"accounts {seed}")
    lowered_s = duration_s * rng.uniform(0.2, 0.35)
    schedule = [(lowered_s, "lower_quota", ())]
    at_s = rng.uniform(1.0, 3.0)
    while at_s < duration_s - LAST_REMOVAL_S:
        domain = rng.choice(sorted(set(domains.values())))
        vms = sorted(vm for vm in domains if domains[vm] == domain)
        # A single daemon is told by its neighbours, a whole failure domain is not.
        if rng.random() < 0.5:
            vms = [rng.choice(vms)]
        cut_s = rng.uniform(1.5, 4.0)
        schedule.append((at_s, "cut_off", (vms, cut_s)))
        schedule.append((at_s + rng.uniform(0.2, 1.0), "replace_key", ()))
        at_s += rng.uniform(6.0, 9.0)
    return sorted(schedule)


class SoakAccounts:
    """The accounts of one soak, their callers and what has changed when."""

    bounds = BOUNDS.settings()

    def __init__(self, world, seed, duration_s):
        self._world = world
        self._seed = seed
        self._duration_s = duration_s
        self._soak = None
        self._quotas = {
            OPEN: [],
            BUSY: [(0.0, BUSY_QUOTA)],
            MODEST: [(0.0, MODEST_QUOTA)],
            CHANGING: [],
        }
        self._key_count = 0
        # Account of each key, and times in seconds at which the store had its addition
        # or removal; a key of the start has none, and neither has one that stays.
        self._account_by_key = {}
        self._added_s = {}
        self._removed_s = {}
        # When the removal of a key was begun. It may take effect before it returns.
        self._removing_s = {}
        for name in self._quotas:
            for _ in range(CHANGING_KEYS if name == CHANGING else 1):
                self._add_key(name)
        self._callers = []
        world.key = self._key_of(OPEN)
        self._configure()

    def _add_key(self, name):
        self._key_count += 1
        key = f"{KEY_MARK}{self._key_count}{name}"
        self._account_by_key[key] = name
        return key

    def _keys(self, name):
        return [key for key, owner in self._account_by_key.items() if owner == name]

    def _key_of(self, name):
        return self._keys(name)[0]

    def _configure(self):
        accounts = []
        for name, changes in self._quotas.items():
            keys = [key for key in self._keys(name) if key not in self._removing_s]
            quota = changes[-1][1] if changes else Quota(0.0, 0.0)
            accounts.append(
                {
                    "name": name,
                    "api_keys": keys,
                    "rate_per_s": quota.rate_per_s,
                    "burst": quota.burst,
                }
            )
        self._world.accounts = accounts
        self._world.configure()

    def start(self, soak):
        """Start the callers and plan the changes."""
        self._soak = soak
        # A restarted daemon belongs to a system that has been started before.
        for daemon in self._world.daemons.values():
            text = daemon.settings.read_text()
            daemon.settings.write_text(
                text.replace("bootstrap=true", "bootstrap=false")
            )
        self._callers = [
            Callers(self._world, BUSY_CALLERS, BUSY, [self._key_of(BUSY)]),
            Callers(self._world, 1, MODEST, [self._key_of(MODEST)], MODEST_INTERVAL_S),
            Callers(
                self._world, 1, CHANGING, self._keys(CHANGING), CHANGING_INTERVAL_S
            ),
        ]
        domains = self._world.domains
        for at_s, name, arguments in draw_schedule(
            self._seed, self._duration_s, domains
        ):
            change = getattr(self, name)
            soak.schedule_end(at_s, lambda c=change, a=arguments: c(*a))
        for callers in self._callers:
            callers.start()

    def stop(self):
        """Stop the callers; return their outcomes and findings."""
        outcomes, findings = [], []
        for callers in self._callers:
            callers.stop()
            outcomes += callers.outcomes
            findings += callers.findings
        return outcomes, findings

    # Changes of the schedule.

    def cut_off(self, vms, duration_s):
        """Cut daemons off from the store for a while."""
        soak = self._soak
        proxies = [self._world.store_proxies[vm] for vm in vms]
        ends = [soak.record_fault(vm, "store silence") for vm in vms]
        for proxy in proxies:
            run_in_reactor(proxy.set_mode, "silence", None)

        def reconnect():
            for proxy in proxies:
                run_in_reactor(proxy.set_mode, "pass", None)
            for end in ends:
                end()

        soak.schedule_end(duration_s, reconnect)

    def replace_key(self):
        """Remove the oldest key of an account and add another one."""
        oldest = next(k for k in self._keys(CHANGING) if k not in self._removing_s)
        self._removing_s[oldest] = time.monotonic()
        added = self._add_key(CHANGING)
        self._configure()
        self._removed_s[oldest] = self._added_s[added] = time.monotonic()
        self._callers[-1].add_key(added)

    def lower_quota(self):
        """Lower the quota of the account that sends more than it."""
        changes = self._quotas[BUSY]
        changes.append((0.0, LOWERED_QUOTA))
        self._configure()
        changes[-1] = (time.monotonic(), LOWERED_QUOTA)

    # Checks.

    def check(self, outcomes):
        """Return findings on keys and quotas in the given outcomes of all callers."""
        soak, servers = self._soak, self._world.servers.values()
        account_by_attempt = {
            outcome.attempt: self._account_by_key[outcome.key] for outcome in outcomes
        }
        modest = [outcome for outcome in outcomes if outcome.attempt.startswith(MODEST)]
        return [
            *check_headers(servers, account_by_attempt, KEY_MARK),
            *check_logs(self._world.daemons.values(), KEY_MARK),
            *check_removed_keys(outcomes, servers, self._removed_s, soak, BOUNDS),
            *check_accepted(outcomes, self._added_s, self._removing_s, soak, BOUNDS),
            *check_limits(account_by_attempt, servers, self._quotas, soak, BOUNDS),
            *check_answered(modest, self._world.domains, soak, BOUNDS),
        ]

    def check_calm(self):
        """Return findings on keys and quotas after all faults have ended."""
        time.sleep(BOUNDS.stable_window_ms / 1000)
        callers = Callers(self._world, 0, "calm", [self._key_of(MODEST)])
        vms = sorted(self._world.daemons)
        for number in range(CALM_REQUESTS):
            callers.send(vms[number % len(vms)], ITEM_PATH)
            time.sleep(CALM_INTERVAL_S)
        findings = [*callers.findings, *self._check_calm_removal(vms)]
        statuses = [outcome.status for outcome in callers.outcomes]
        refused = statuses.count(429)
        if refused:
            findings.append(
                f"{MODEST}: {refused} of {CALM_REQUESTS} requests at half of its quota"
                " refused without a fault"
            )
        return findings

    def _check_calm_removal(self, vms):
        """Remove a key while one daemon is cut off; the others must refuse it in time.

        The keys that were removed before are refused as well, and the others known.
        """
        cut_off_vm = random.Random(f"calm {self._seed}").choice(vms)
        self.cut_off([cut_off_vm], 0.0)
        self.replace_key()
        time.sleep(BOUNDS.config_apply_ms / 1000)
        findings = []
        for number, key in enumerate(self._keys(CHANGING)):
            callers = Callers(self._world, 0, f"calm{number}-", [key])
            is_removed = key in self._removed_s
            for vm in vms:
                if vm == cut_off_vm:
                    continue
                status = callers.send(vm, ITEM_PATH).status
                if (status == 401) is not is_removed:
                    text = "removed" if is_removed else "known"
                    findings.append(f"{vm}: answers {status} to a {text} key in calm")
        self._soak.end_due_faults(include_pending=True)
        return findings
