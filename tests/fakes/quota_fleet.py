"""Daemons with quotas on one manual clock, and streams that lose, delay or repeat."""

import random
from collections import Counter
from types import SimpleNamespace

from hemlockspoke.clock import ManualClock
from hemlockspoke.messages import encode
from hemlockspoke.ports import Metrics
from hemlockspoke.tier.accounts.account import AccountTable
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.quotas.quota_manager import QuotaManager
from hemlockspoke.tier.state.own_registration import may_use_start_tokens

REGIONS = {f"{region}{index}": region for region in "abc" for index in "12"}
# One-way latencies within a failure domain, between domains, and between regions.
LOCAL_MS, DOMAIN_MS, REGION_MS = 0.2, 0.5, 20.0


class CountingMetrics(Metrics):
    """Keeps counters only."""

    def __init__(self):
        self.counters = Counter()

    def count(self, name, amount=1):
        self.counters[name] += amount

    def gauge(self, name, value):
        pass

    def timing(self, name, duration_ms):
        pass


class SkewedClock:
    """The clock of a fleet with a wall clock that is off by ``skew_ms``."""

    def __init__(self, clock, skew_ms):
        self._clock = clock
        self.skew_ms = skew_ms

    def __getattr__(self, name):
        return getattr(self._clock, name)

    def wall_ms(self):
        return self._clock.wall_ms() + self.skew_ms


class FleetDaemon:
    """One daemon: its ``QuotaManager``, and its side of the streams."""

    def __init__(self, fleet, vm, domain, first_start, skew_ms=0):
        self.fleet = fleet
        self.vm = vm
        self.domain = domain
        settings = SimpleNamespace(
            vm=vm,
            failure_domain=domain,
            failure_domains=REGIONS,
            first_start=first_start,
            bounds=fleet.bounds,
        )
        self.clock = SkewedClock(fleet.clock, skew_ms)
        self.manager = QuotaManager(
            settings, self.clock, self, fleet.metrics, fleet.rng
        )
        self.manager.claim_start = self.claim_start
        self.alive = True
        # What the first list had of this VM.
        self.first_spec = None

    def send(self, vm, message):
        return self.fleet.send(self, vm, message)

    def has_stream(self, vm):
        return self.fleet.connected(self.vm, vm)

    def read_list(self, was_registered=True):
        members, specs = self.fleet.members, self.fleet.specs
        registered = {
            domain: {vm: specs[vm].get("registered_ms") for vm in vms}
            for domain, vms in members.items()
        }
        own = registered.setdefault(self.domain, {})
        own.setdefault(self.vm, self.clock.wall_ms())
        if self.first_spec is None:
            self.first_spec = dict(specs.get(self.vm, {})) if was_registered else {}
        self.manager.set_members(registered, was_registered)

    def claim_start(self, hold_ms, on_claimed):
        """Do what ``Membership.claim_start`` does, with a store that may be slow."""
        clock, spec = self.clock, self.fleet.specs.get(self.vm)
        asked_ms = clock.now_ms()

        def written():
            if self.alive:
                on_claimed(asked_ms)

        may_use = may_use_start_tokens(self.first_spec, hold_ms, clock.wall_ms())
        if may_use and spec == self.first_spec:
            spec["started_ms"] = clock.wall_ms()
            clock.call_later(self.fleet.store_delay_ms, written)

    def request(self, account, on_end=None, target_ms=400.0):
        """Let a request pass the gate; ``on_end(request, admitted, waited_ms)``."""
        clock = self.fleet.clock
        request = Request(account, SimpleNamespace(target_ms=target_ms))
        arrived_ms = clock.now_ms()

        def end(admitted):
            if self.alive:
                if admitted:
                    self.fleet.sent.setdefault(account.name, []).append(clock.now_ms())
                if on_end is not None:
                    on_end(request, admitted, clock.now_ms() - arrived_ms)

        self.manager.gate.admit(request, lambda: end(True), lambda reply: end(False))
        return request


class Request:
    """What the gate uses of a ``TierRequest``."""

    __slots__ = ("account", "route")

    def __init__(self, account, route):
        self.account = account
        self.route = route


class QuotaFleet:
    """All daemons. ``sent`` has the times at which requests were sent by account."""

    def __init__(self, members, seed=0, bounds=None):
        self.clock = ManualClock()
        self.bounds = bounds or Bounds()
        self.rng = random.Random(seed)
        self.metrics = CountingMetrics()
        self.members = members
        self.sent = {}
        # The registrations by VM, as objects of the store.
        self.specs = {}
        self.store_delay_ms = 5.0
        self.messages = 0
        self.message_bytes = 0
        self.daemons = {}
        self.paused = {}
        # Pairs of regions or VMs between which nothing gets through.
        self.cut_regions = set()
        self.loss = self.repeat = 0.0
        self.delay_ms = 0.0
        self.table = None
        for domain, vms in members.items():
            for vm in vms:
                self.add(vm, domain, first_start=True)

    @classmethod
    def of_size(cls, count, seed=0, bounds=None):
        """Return a fleet of ``count`` daemons in six failure domains."""
        members = {domain: [] for domain in REGIONS}
        domains = list(REGIONS)
        for number in range(count):
            domain = domains[number % len(domains)]
            members[domain].append(f"{domain}-{number:03d}")
        return cls(members, seed, bounds)

    def add(self, vm, domain, first_start=False, skew_ms=0):
        """Start a daemon, which knows neither list nor configuration."""
        daemon = FleetDaemon(self, vm, domain, first_start, skew_ms)
        self.daemons[vm] = daemon
        self.specs.setdefault(vm, {"registered_ms": daemon.clock.wall_ms()})
        return daemon

    def restart(self, vm, was_registered=True):
        """End a daemon and start it again at once."""
        old = self.daemons[vm]
        self.stop(vm)
        daemon = self.add(vm, old.domain, skew_ms=old.clock.skew_ms)
        daemon.read_list(was_registered)
        if self.table is not None:
            daemon.manager.on_configuration(self.table)
        return daemon

    def stop(self, vm):
        """End a daemon; the others notice that their streams are lost."""
        old = self.daemons.pop(vm)
        old.alive = False
        old.manager.close()
        for daemon in self.daemons.values():
            daemon.manager.peer_lost(vm)

    def read_lists(self):
        """Let all daemons read the list of registered daemons."""
        for daemon in self.daemons.values():
            daemon.read_list()

    def configure(self, accounts, vms=None):
        """Let all daemons, or some, apply a configuration with these accounts."""
        table = AccountTable((account, [account.name]) for account in accounts)
        self.table = SimpleNamespace(accounts=table)
        for vm in list(self.daemons if vms is None else vms):
            self.daemons[vm].manager.on_configuration(self.table)

    def connected(self, vm, other):
        """Return whether two daemons have a stream."""
        if vm not in self.daemons or other not in self.daemons:
            return False
        regions = [REGIONS[self.daemons[name].domain] for name in (vm, other)]
        return regions[0] == regions[1] or not self.cut_regions & set(regions)

    def send(self, sender, vm, message):
        """Deliver a message after the latency between two daemons."""
        if not self.connected(sender.vm, vm) or not sender.alive:
            return False
        self.messages += 1
        self.message_bytes += len(encode(message)) + 4
        receiver = self.daemons[vm]
        delay_ms = LOCAL_MS
        if sender.domain != receiver.domain:
            same = REGIONS[sender.domain] == REGIONS[receiver.domain]
            delay_ms = DOMAIN_MS if same else REGION_MS
        if self.loss and self.rng.random() < self.loss:
            return True
        copies = 2 if self.repeat and self.rng.random() < self.repeat else 1
        for _ in range(copies):
            extra_ms = self.rng.uniform(0.0, self.delay_ms)
            self.clock.call_later(
                delay_ms + extra_ms, self._deliver, sender.vm, receiver, message
            )
        return True

    def _deliver(self, sender_vm, receiver, message):
        if not receiver.alive:
            return
        until_ms = self.paused.get(receiver.vm, 0.0)
        if until_ms > self.clock.now_ms():
            delay_ms = until_ms - self.clock.now_ms()
            self.clock.call_later(delay_ms, self._deliver, sender_vm, receiver, message)
        else:
            receiver.manager.receive(sender_vm, message)

    def excess(self, name, limit):
        """Return by how much the largest window of an account exceeds ``limit``.

        ``limit(start_ms)`` is the limit of the window that begins at a time.
        """
        window_ms = self.bounds.quota_window_ms
        times = self.sent.get(name, [])
        worst, end = float("-inf"), 0
        for start, start_ms in enumerate(times):
            while end < len(times) and times[end] < start_ms + window_ms:
                end += 1
            worst = max(worst, end - start - limit(start_ms))
        return worst


def quota_limit(account, bounds):
    """Return the greatest number of requests of an account in a window."""
    window_s = bounds.quota_window_ms / 1000.0
    quota = account.rate_per_s * window_s + account.burst
    return quota * (1.0 + bounds.quota_overshoot) + bounds.quota_slack
