"""Stateful fuzzing of who creates tokens while lists of daemons differ."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hemlockspoke.tier.accounts.account import Account
from hemlockspoke.tier.quotas.tenure import NEW_KEEPER_WAIT_MS
from tests.fakes.quota_fleet import QuotaFleet

ACCOUNTS = [Account(f"account-{n}", rate_per_s=6.0, burst=6.0) for n in range(6)]
DOMAINS = ("a1", "b1")
SKEW_MS = 5000.0
STEP_MS = 10_000.0


class GrowthMachine(RuleBasedStateMachine):
    """Daemons that are added, removed and restarted, and read lists at any time."""

    @initialize(count=st.integers(1, 7), seed=st.integers(0, 1000))
    def start(self, count, seed):
        members = {name: [f"{name}-{n}" for n in range(count)] for name in DOMAINS}
        self.fleet = QuotaFleet(members, seed)
        for daemon in self.fleet.daemons.values():
            self.register(daemon)
        self.added = 0
        self.removed_ms = None
        self.fleet.read_lists()
        self.fleet.configure(ACCOUNTS)
        # Those that register within 15 s belong to the first start.
        self.fleet.clock.advance(30_000.0)
        self.fleet.read_lists()

    def register(self, daemon):
        skew_ms = daemon.clock.skew_ms = self.fleet.rng.uniform(-SKEW_MS, SKEW_MS)
        wall_ms = self.fleet.clock.wall_ms() + skew_ms
        self.fleet.specs[daemon.vm] = {"registered_ms": wall_ms}

    def listed(self):
        return {vm for vms in self.fleet.members.values() for vm in vms}

    def some(self, fraction):
        rng = self.fleet.rng
        return [vm for vm in self.fleet.daemons if rng.random() <= fraction]

    def read(self, vms):
        listed = self.listed()
        for vm in vms:
            if vm in self.fleet.daemons:
                self.fleet.daemons[vm].read_list(was_registered=vm in listed)

    @rule(domain=st.sampled_from([*DOMAINS, "c1"]), count=st.sampled_from([1, 1, 4]))
    def add(self, domain, count):
        fleet = self.fleet
        for _ in range(count):
            self.added += 1
            vm = f"{domain}-new-{self.added}"
            daemon = fleet.add(vm, domain)
            daemon.read_list(was_registered=False)
            fleet.configure(ACCOUNTS, [vm])
            self.register(daemon)
            vms = [*fleet.members.get(domain, ()), vm]
            fleet.members = {**fleet.members, domain: vms}

    # Of two daemons that are removed at nearly the same time, others may have read a
    # list with either of them.
    @precondition(lambda self: self.removal_is_old())
    @rule(choice=st.integers(0, 100))
    def remove(self, choice):
        fleet = self.fleet
        vms = sorted(self.listed())
        if len(vms) == 1:
            return
        vm = vms[choice % len(vms)]
        members = {
            domain: [other for other in vms if other != vm]
            for domain, vms in fleet.members.items()
        }
        fleet.members = {domain: vms for domain, vms in members.items() if vms}
        self.removed_ms = fleet.clock.now_ms()

    def removal_is_old(self):
        now_ms, removed_ms = self.fleet.clock.now_ms(), self.removed_ms
        return removed_ms is None or now_ms - removed_ms > 2.0 * NEW_KEEPER_WAIT_MS

    @precondition(lambda self: self.removal_is_old())
    @rule(fraction=st.sampled_from([0.1, 0.5, 1.0]))
    def restart(self, fraction):
        for vm in self.some(fraction):
            self.fleet.restart(vm, was_registered=vm in self.listed())

    @rule(fraction=st.floats(0.0, 1.0))
    def read_some(self, fraction):
        self.read(self.some(fraction))

    @rule(
        fraction=st.sampled_from([0.0, 0.3, 0.8, 1.0]),
        duration_ms=st.sampled_from([1000.0, 12e3, 30e3, 300e3, 560e3, 605e3]),
    )
    def wait(self, fraction, duration_ms):
        """Wait while some read the list every 10 s."""
        in_touch = self.some(fraction)
        end_ms = self.fleet.clock.now_ms() + duration_ms
        while self.fleet.clock.now_ms() < end_ms:
            left_ms = end_ms - self.fleet.clock.now_ms()
            self.fleet.clock.advance(min(STEP_MS, left_ms))
            self.read(in_touch)
            self.each_part_has_one_creator()

    @invariant()
    def each_part_has_one_creator(self):
        if not hasattr(self, "fleet"):
            return
        now_ms = self.fleet.clock.now_ms()
        for account in ACCOUNTS:
            creators, total_per_s = Counter(), 0.0
            for daemon in self.fleet.daemons.values():
                part = daemon.manager._table.part(account.name, now_ms)
                creators[daemon.domain] += part[0] > 0.0
                total_per_s += part[0]
            assert max(creators.values()) <= 1, (account.name, creators)
            assert total_per_s <= account.rate_per_s + 1e-9, total_per_s


def run_growth_machine(examples, steps):
    """Run the machine; raises if two daemons create the same part of a quota."""
    run_settings = settings(
        max_examples=examples, stateful_step_count=steps, deadline=None
    )
    run_state_machine_as_test(GrowthMachine, settings=run_settings)
