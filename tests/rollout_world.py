"""Rollouts of a fleet without a network: real managers, simulated servers and store.

Requests of one service arrive at random daemons. Each daemon has its own directory and
manager on a common manual clock; messages between daemons take some ms.
"""

import random
from collections import Counter, deque

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.placement.servers import ServerEntry
from hemlockspoke.tier.rollouts.manager import RolloutManager
from hemlockspoke.tier.rollouts.order import FINAL_PHASES, RUNNING_STATE, Order
from hemlockspoke.tier.rollouts.settling import WriteOutcome
from hemlockspoke.tier.state.directory import Directory
from tests.rollout_doubles import Attempt, Network, Peers, Route

REGIONS = {f"{region}{index}": region for region in "abc" for index in "12"}
SERVICE = "shard"
DURATION_MS = 12_000.0
SHARE, SLACK = 0.1, 50.0
WORK_MS = {f"route-{number}": 20.0 + 10.0 * number for number in range(6)}
# A server pauses for 300 ms every 7.5 s, and is slow for 3 s after its start.
# A call to the store times out after the first; a slow store needs the second.
CALL_TIMEOUT_MS, SLOW_CALL_MS = 1200.0, 5000.0
PAUSE_MS, PAUSE_INTERVAL_MS, COLD_MS, COLD_FACTOR = 300.0, 7500.0, 3000.0, 4.0
NOISE_FAILURES = 0.003
# A version that fails under load does from this part of the usual rate of a server on.
LOAD_FRACTION = 0.6
LOAD_WINDOW_MS = 600.0


class Fault:
    """What is wrong with the target version; the defaults are a good one.

    A part ``failing`` of the answers fails, and ``slow_part`` of them, by default all,
    take ``slow`` times as long, from ``from_fraction`` of the time budget on, only
    under load or only on one ``route``.
    """

    def __init__(
        self,
        failing=0.0,
        slow=1.0,
        from_fraction=0.0,
        load=False,
        route=None,
        slow_part=1.0,
    ):
        self.failing = failing
        self.slow = slow
        self.slow_part = slow_part
        self.from_fraction = from_fraction
        self.load = load
        self.route = route

    @property
    def is_bad(self):
        """Return whether the version is bad."""
        return self.failing > 0 or self.slow > 1


class RolloutWorld:
    """Daemons, one service with servers of two versions, and a store for its order."""

    def __init__(
        self,
        daemons,
        rate,
        servers,
        fault=None,
        seed=1,
        trouble=False,
        pause_ms=PAUSE_MS,
    ):
        self.pause_ms = pause_ms
        self.rng = random.Random(seed)
        self.clock = ManualClock(now_ms=60_000.0)
        self.fault = fault or Fault()
        self.rate = rate
        self.server_count = servers
        self.recent_by_server = {}
        self.trouble = trouble
        self.managers = {}
        self.directories = {}
        self.vms = [f"vm-{number:03d}" for number in range(daemons)]
        self.cut_off = set()
        # Daemons that do not learn of the order, as the store turns them away.
        self.without_order = set()
        self.messages = 0
        # "up", "away", "slow" or "replies lost".
        self.store_mode = "up"
        # Time until a write of the state "running" takes effect; an endless one does
        # with the first write of the end.
        self.running_write_ms = 15.0
        self.running_order = None
        # States of the order's status, one after the other.
        self.states = []
        # What happens to the daemon that writes first: "kill before" or "kill after".
        self.on_first_write = None
        self.writes = []
        self.bad_times_ms = []
        self.sent = Counter()
        self.target_times_ms = []
        self.old_times_ms = []
        self.old_in_progress = 0
        self.old_in_progress_at_end = None
        self.ended_ms = None
        self.started_ms = self.clock.now_ms()
        self.order = Order(SERVICE, SERVICE, "v2", DURATION_MS, 100)
        domains = list(REGIONS)
        self.members = {}
        for number, vm in enumerate(self.vms):
            self.members.setdefault(domains[number % len(domains)], []).append(vm)
        self.entries = [
            self.entry(f"{version}-{number}", version, domains[2 * number % 6])
            for version in ("v1", "v2")
            for number in range(servers)
        ]
        self.phase_offsets_ms = {
            entry.server_id: self.rng.uniform(0, PAUSE_INTERVAL_MS)
            for entry in self.entries
        }
        for vm in self.vms:
            self.start_daemon(vm)

    def entry(self, server_id, version, domain):
        """Return the entry of a server; new ones are cold."""
        return ServerEntry(
            server_id,
            SERVICE,
            Address("127.0.0.1", 1),
            domain,
            slots=2,
            cold_ms=COLD_MS if version == "v2" else 0,
            started_ms=1 if version == "v1" else 2,
            version=version,
        )

    def start_daemon(self, vm):
        """Start a daemon, or a new process of one."""
        domain = next(name for name, vms in self.members.items() if vm in vms)
        bounds = Bounds(exposure_share=SHARE, exposure_slack=SLACK)
        directory = Directory(None, self.clock, vm, domain, REGIONS, bounds)
        directory.set_members(self.members)
        manager = RolloutManager(
            self.clock,
            vm,
            int(self.clock.now_ms()),
            bounds,
            directory,
            Peers(self),
            Network(self, vm),
            MetricsRegistry(),
            self.write_status_of(vm),
            self.rng,
        )
        directory.versions = manager.versions
        self.managers[vm], self.directories[vm] = manager, directory
        delay_ms = self.rng.uniform(20.0, 400.0)
        self.clock.call_later(delay_ms, self._learn, vm, manager)
        self._set_servers(vm, [e for e in self.entries if e.version == "v1"])
        return manager

    def _set_servers(self, vm, entries):
        directory = self.directories[vm]
        directory.set_servers(entries)
        for server in directory.servers.values():
            # Limits need a configuration, which this world does not have.
            server.pool.limit = 1

    def _learn(self, vm, manager):
        if self.managers.get(vm) is manager:
            self._set_servers(vm, self.entries)
            if self.order is not None:
                manager.set_order(self.order)

    def linked(self, one, other):
        """Return whether two daemons reach each other."""
        return (one in self.cut_off) == (other in self.cut_off)

    def deliver(self, sender, vm, message):
        """Deliver a message unless the receiver has ended."""
        if vm in self.managers and self.linked(sender, vm):
            self.managers[vm].receive(sender, message)

    def kill(self, vm):
        """End the process of a daemon."""
        manager = self.managers.pop(vm)
        del self.directories[vm]
        manager.versions.rollouts.clear()

    def decider(self):
        """Return the VM of the daemon that decides."""
        any_manager = next(iter(self.managers.values()))
        return next(vm for vm in any_manager.collectors(SERVICE) if vm in self.managers)

    # The store.

    def write_status_of(self, vm):
        """Return the function by which a daemon writes the status."""

        def write(order, state, on_written):
            delay_ms = SLOW_CALL_MS if self.store_mode == "slow" else 15.0
            if state == RUNNING_STATE:
                delay_ms = max(delay_ms, self.running_write_ms)
                self.running_order = order
                self._send_write(delay_ms, order, state, on_written)
                return
            if self.running_write_ms == float("inf"):
                self._write(self.running_order, RUNNING_STATE, None)
            self.writes.append((self.clock.now_ms() - self.started_ms, vm, state))
            failure, self.on_first_write = self.on_first_write, None
            if failure == "kill before":
                self.kill(vm)
                return
            self._send_write(delay_ms, order, state, on_written)
            if failure == "kill after":
                self.clock.call_later(16.0, self.kill, vm)

        return write

    def _send_write(self, delay_ms, order, state, on_written):
        if delay_ms > CALL_TIMEOUT_MS or self.store_mode == "away":
            self.clock.call_later(CALL_TIMEOUT_MS, on_written, WriteOutcome(False))
            on_written = None
        if delay_ms < float("inf") and self.store_mode != "away":
            self.clock.call_later(delay_ms, self._write, order, state, on_written)

    def _write(self, order, state, on_written):
        current = self.order
        if current is None or order.position != current.position:
            outcome = WriteOutcome(False, current)
        else:
            self.states.append(state)
            self.set_order(
                Order(
                    SERVICE,
                    SERVICE,
                    current.target_version,
                    DURATION_MS,
                    current.revision + 1,
                    FINAL_PHASES.get(state),
                    is_running=state == RUNNING_STATE,
                    era=current.era,
                )
            )
            outcome = WriteOutcome(True, self.order)
        if self.store_mode == "replies lost":
            outcome = WriteOutcome(False)
        if on_written is not None:
            self.clock.call_later(15.0, on_written, outcome)

    def set_order(self, order):
        """Change the order in the store; daemons learn of it a little later."""
        self.order = order
        if order is not None and order.final_phase is not None:
            self.old_in_progress_at_end = self.old_in_progress
            self.ended_ms = self.clock.now_ms() - self.started_ms
        for vm, manager in self.managers.items():
            delay_ms = self.rng.uniform(20.0, 400.0)
            delay_ms += SLOW_CALL_MS if self.store_mode == "slow" else 0.0
            self.clock.call_later(delay_ms, self._tell_order, vm, manager, order)

    def _tell_order(self, vm, manager, order):
        if self.managers.get(vm) is not manager or vm in self.without_order:
            return
        if order is None:
            manager.remove_order(SERVICE)
        else:
            manager.set_order(order)

    # Requests.

    def run(self, duration_ms=DURATION_MS):
        """Send requests for a time."""
        end_ms = self.clock.now_ms() + duration_ms
        while True:
            gap_ms = self.rng.expovariate(self.rate / 1000.0)
            if self.clock.now_ms() + gap_ms > end_ms:
                self.clock.advance(end_ms - self.clock.now_ms())
                return
            self.clock.advance(gap_ms)
            self._request()

    def _request(self):
        vm = self.rng.choice(list(self.managers))
        manager, directory = self.managers[vm], self.directories[vm]
        route_name = self.rng.choice(list(WORK_MS))
        now_ms = self.clock.now_ms()
        sample_ids = manager.sample(SERVICE, Route, ())
        if sample_ids:
            servers = [directory.servers[name] for name in sorted(sample_ids)]
        else:
            servers = [
                server
                for server in directory.services[SERVICE]
                if not manager.versions.withholds(server, now_ms)
            ]
        if not servers:
            self.sent["refused"] += 1
            return
        server = self.rng.choice(servers)
        version = server.entry.version
        self.sent[version] += 1
        attempt = Attempt(server, route_name, now_ms)
        rollout = manager.attempt_started(attempt)
        failed, work_ms = self._answer(server, route_name, now_ms)
        since_ms = now_ms - self.started_ms
        if version == "v1":
            self.old_in_progress += 1
            self.old_times_ms.append(since_ms)
        else:
            self.target_times_ms.append(since_ms)
        self.clock.call_later(
            work_ms, self._end, manager, rollout, attempt, failed, work_ms
        )

    def _end(self, manager, rollout, attempt, failed, work_ms):
        is_target = attempt.server.entry.version == "v2"
        if not is_target:
            self.old_in_progress -= 1
        elif failed:
            self.bad_times_ms.append(self.clock.now_ms() - self.started_ms)
        if rollout is not None:
            manager.attempt_ended(rollout, attempt, True, failed, work_ms)

    def _answer(self, server, route_name, now_ms):
        """Return whether a server fails a request, and its processing time."""
        work_ms = WORK_MS[route_name] * self.rng.lognormvariate(0.0, 0.3)
        failing = NOISE_FAILURES
        since_ms = now_ms - self.started_ms
        if self.trouble and server.region == "a" and 3000.0 < since_ms < 7000.0:
            failing, work_ms = 0.3, 3.0 * work_ms
        if server.entry.version == "v2":
            if since_ms < COLD_MS:
                work_ms *= COLD_FACTOR
            if self._is_faulty(server.server_id, route_name, since_ms):
                failing = max(failing, self.fault.failing)
                slow_part = self.fault.slow_part
                if slow_part == 1.0 or self.rng.random() < slow_part:
                    work_ms *= self.fault.slow
        phase_ms = (
            now_ms + self.phase_offsets_ms[server.server_id]
        ) % PAUSE_INTERVAL_MS
        if phase_ms < self.pause_ms:
            work_ms += self.pause_ms - phase_ms
        return self.rng.random() < failing, work_ms

    def _is_faulty(self, server_id, route_name, since_ms):
        fault = self.fault
        if fault.load:
            recent = self.recent_by_server.setdefault(server_id, deque())
            recent.append(since_ms)
            while recent[0] < since_ms - LOAD_WINDOW_MS:
                recent.popleft()
            usual = self.rate / self.server_count * LOAD_WINDOW_MS / 1000.0
            if len(recent) < max(2.0, LOAD_FRACTION * usual):
                return False
        on_route = fault.route is None or fault.route == route_name
        return on_route and since_ms >= fault.from_fraction * DURATION_MS

    # Results.

    def limit(self):
        """Return how many requests a bad version may get."""
        total = sum(time <= DURATION_MS for time in self.target_times_ms)
        total += sum(time <= DURATION_MS for time in self.old_times_ms)
        return SHARE * total + SLACK

    def verdict(self):
        """Return the phase that the store states, or None."""
        return self.order and self.order.final_phase and self.order.final_phase.value
