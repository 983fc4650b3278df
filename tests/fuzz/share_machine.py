"""Stateful fuzzing of shares: always within limits, complete after recovery."""

import functools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fuzz.share_fakes import MAX_DEADLINE_MS
from tests.fuzz.share_fuzz_world import (
    DOMAINS,
    REGION,
    SERVER_NAMES,
    STEP_MS,
    FuzzWorld,
)
from tests.fuzz.share_world import PAUSE_LIMIT_MS

VM_COUNT = 3
MAX_PROCESSES = 6
# Enough to detect a gone VM, take over its share, wait until the share may be used and
# restore an even split, including retry delays.
RECOVERY_MS = 40_000
RECOVERY_STEP_MS = 200
SETTLING_MS = 2000
# Within this time an accepted change is in force even at a disconnected daemon.
STALE_LIMIT_MS = 12_000

process_numbers = st.integers(0, 7)
server_limits = st.sampled_from([(1, 2, 1), (2, 5, 1), (3, 7, 2), (4, 4, 1)])
work_durations_ms = st.sampled_from([MAX_DEADLINE_MS, 2000, 300, 0])
pause_lengths_ms = st.sampled_from([500, 900, 1500, 3000, 6000, 12_000])
step_delays = st.sampled_from([0, 0, 50, 200, 700, 1500, 3000, 6000])


def event(**arguments):
    """Return a ``rule`` that is followed by a random delay, often 0.

    Without delays most steps would happen at the same time, and no share would
    move between two faults.
    """

    def decorate(step):
        @functools.wraps(step)
        def timed(self, delay_ms, **values):
            step(self, **values)
            self.world.run(delay_ms)

        del timed.__wrapped__
        return rule(delay_ms=step_delays, **arguments)(timed)

    return decorate


class ShareMachine(RuleBasedStateMachine):
    """Faults and changes in any order, one rule each."""

    def __init__(self):
        super().__init__()
        self.world = FuzzWorld()
        self.limits = dict.fromkeys(SERVER_NAMES, (2, 5, 1))
        self.next_vm = 0

    @initialize(duration_ms=work_durations_ms)
    def set_up(self, duration_ms):
        self.world.work_duration_ms = duration_ms
        self.world.set_limits(self.limits)
        self.world.store_fleet()
        for _ in range(VM_COUNT):
            self.add_vm(listed=True)
        self.world.run(SETTLING_MS)

    def add_vm(self, listed):
        vm = f"vm-{self.next_vm}"
        domain = DOMAINS[self.next_vm % 2]
        self.next_vm += 1
        self.world.platform.place_vm(vm, REGION, domain)
        if listed:
            self.world.platform.list_vm(vm, REGION, domain)
            self.world.record_list_change()
        self.world.start(vm)

    def pick_running(self, number):
        """Return a process that is not paused, or None."""
        running = [p for p in self.world.processes() if p.paused_at_ms is None]
        return running[number % len(running)] if running else None

    def pick_with_vm(self, number):
        """Return a process whose VM still exists, or None."""
        daemons = list(self.world.daemons.values())
        return daemons[number % len(daemons)] if daemons else None

    def pick_removable(self, number):
        """Return a process that may end while two others remain, or None."""
        return self.pick_with_vm(number) if len(self.world.daemons) > 2 else None

    @event(duration_ms=work_durations_ms)
    def load_changes(self, duration_ms):
        self.world.work_duration_ms = duration_ms

    @event(listed=st.booleans())
    def vm_joins(self, listed):
        if len(self.world.processes()) < MAX_PROCESSES:
            self.add_vm(listed)

    @event(number=process_numbers)
    def vm_is_listed(self, number):
        daemon = self.pick_with_vm(number)
        if daemon and daemon.vm not in self.world.platform.vms:
            domain = self.world.platform.placed[daemon.vm].failure_domain
            self.world.platform.list_vm(daemon.vm, REGION, domain)
            self.world.record_list_change()

    @event(number=process_numbers)
    def process_crashes(self, number):
        daemon = self.pick_removable(number)
        if daemon:
            self.world.crash(daemon.vm)

    @event(number=process_numbers)
    def process_restarts(self, number):
        daemon = self.pick_with_vm(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.world.crash(daemon.vm)
            self.world.start(daemon.vm)

    @event(number=process_numbers)
    def process_starts_again(self, number):
        stopped = [v for v in self.world.platform.vms if v not in self.world.daemons]
        if stopped:
            self.world.start(stopped[number % len(stopped)])

    @event(number=process_numbers)
    def vm_vanishes(self, number):
        daemon = self.pick_removable(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.vanish(daemon)

    @event(
        number=process_numbers,
        length_ms=pause_lengths_ms,
        replaced=st.booleans(),
        stale=st.booleans(),
    )
    def vm_vanishes_while_paused(self, number, length_ms, replaced, stale):
        """Resume a paused process after its VM was removed from the list.

        A new VM may have the same name.
        """
        daemon = self.pick_removable(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.pause(daemon, length_ms)
            if stale:
                daemon.stale_until_ms = self.world.now_ms + STALE_LIMIT_MS
            self.world.run(PAUSE_LIMIT_MS + 2 * STEP_MS)
            if self.world.daemons.get(daemon.vm) is not daemon:
                return
            self.vanish(daemon)
            if replaced and daemon.paused_at_ms is not None:
                domain = self.world.platform.placed[daemon.vm].failure_domain
                self.world.platform.list_vm(daemon.vm, REGION, domain)
                self.world.record_list_change()
                self.world.start(daemon.vm)

    def vanish(self, daemon):
        """Remove a VM from the list and end its process unless it is paused."""
        if daemon.paused_at_ms is None:
            self.world.crash(daemon.vm)
        else:
            self.world.orphaned.append(self.world.daemons.pop(daemon.vm))
        del self.world.platform.vms[daemon.vm]
        self.world.record_list_change()

    def pause(self, daemon, length_ms):
        """Pause a process unless it is paused already."""
        if daemon.paused_at_ms is None:
            daemon.paused_at_ms = self.world.now_ms
            daemon.resume_at_ms = self.world.now_ms + length_ms

    @event(number=process_numbers)
    def vm_leaves(self, number):
        daemon = self.pick_with_vm(number)
        if daemon and daemon.vm in self.world.platform.vms:
            domain = self.world.platform.placed[daemon.vm].failure_domain
            self.world.platform.list_vm(daemon.vm, REGION, domain, "leaving")
            self.world.record_list_change()

    @event(number=process_numbers, length_ms=pause_lengths_ms)
    def process_pauses(self, number, length_ms):
        daemon = self.pick_with_vm(number)
        if daemon:
            self.pause(daemon, length_ms)

    @event(number=process_numbers, store=st.booleans(), peers=st.booleans())
    def connectivity_changes(self, number, store, peers):
        daemon = self.pick_running(number)
        if daemon:
            daemon.store.disconnected = store
            daemon.peers_disconnected = peers

    @event(
        fault=st.sampled_from(["lost_reply", "not_applied", "delayed", "held"]),
        count=st.integers(1, 4),
        write_delay_ms=st.sampled_from([500, 2000, 6000]),
        failing_reads=st.integers(0, 6),
    )
    def next_writes_fail(self, fault, count, write_delay_ms, failing_reads):
        self.world.delayed_until_ms = self.world.now_ms + write_delay_ms
        for daemon in self.world.processes():
            daemon.store.write_faults = [fault] * count
            daemon.store.failing_reads = failing_reads

    @event(
        number=process_numbers,
        duration_ms=st.sampled_from([1000, 4000, STALE_LIMIT_MS]),
    )
    def view_becomes_stale(self, number, duration_ms):
        daemon = self.pick_running(number)
        if daemon:
            daemon.stale_until_ms = self.world.now_ms + duration_ms

    @event(number=process_numbers, age_ms=st.sampled_from([0, 500]))
    def list_lags(self, number, age_ms):
        daemon = self.pick_running(number)
        if daemon:
            daemon.list_age_ms = age_ms

    @event(number=process_numbers, stale=st.booleans())
    def list_omits_a_vm_once(self, number, stale):
        omitted = self.pick_with_vm(number)
        if omitted is None:
            return
        for daemon in self.world.processes():
            daemon.omitted = omitted.vm
        if stale:
            omitted.stale_until_ms = self.world.now_ms + STALE_LIMIT_MS

    @event(server=st.sampled_from(SERVER_NAMES), limit=server_limits)
    def limit_changes(self, server, limit):
        self.limits[server] = limit
        self.world.set_limits(self.limits)

    @event(out=st.sampled_from([(), DOMAINS[:1], DOMAINS[1:], DOMAINS]))
    def domains_go_out(self, out):
        self.world.domains_out = out
        self.world.store_fleet()

    @event(number=process_numbers, out=st.booleans())
    def vm_goes_out(self, number, out):
        daemon = self.pick_with_vm(number)
        if daemon:
            self.world.vms_out = (daemon.vm,) if out else ()
            self.world.store_fleet()

    @event(number=process_numbers)
    def process_stops_gracefully(self, number):
        daemon = self.pick_with_vm(number)
        if daemon and daemon.paused_at_ms is None:
            daemon.release()

    def teardown(self):
        if not self.world.limits:
            return
        self.world.end_faults()
        self.world.run(RECOVERY_MS, step_ms=RECOVERY_STEP_MS)
        self.world.check_recovered()
