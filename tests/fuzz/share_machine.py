"""Stateful fuzzing of shares: never over a limit, and whole again afterwards."""

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
# Long enough for a gone VM to be noticed, its share to be taken, the wait to pass
# and an even split to be restored, with back-off in between.
RECOVERY_MS = 40_000
RECOVERY_STEP_MS = 200
SETTLING_MS = 2000
# Within this time an accepted change is in force even at a daemon that is cut off.
BEHIND_LIMIT_MS = 12_000

picks = st.integers(0, 7)
limit_choices = st.sampled_from([(1, 2, 1), (2, 5, 1), (3, 7, 2), (4, 4, 1)])
load_choices = st.sampled_from([MAX_DEADLINE_MS, 2000, 300, 0])
pause_lengths = st.sampled_from([500, 900, 1500, 3000, 6000, 12_000])
pauses = st.sampled_from([0, 0, 50, 200, 700, 1500, 3000, 6000])


def event(**arguments):
    """Return a ``rule`` after whose step some time passes, often none.

    Without it most steps would be separated by no time at all, and no share
    would move between two faults.
    """

    def decorate(step):
        @functools.wraps(step)
        def timed(self, then_ms, **values):
            step(self, **values)
            self.world.run(then_ms)

        del timed.__wrapped__
        return rule(then_ms=pauses, **arguments)(timed)

    return decorate


class ShareMachine(RuleBasedStateMachine):
    """Rules are the faults and changes that may occur, in any order."""

    def __init__(self):
        super().__init__()
        self.world = FuzzWorld()
        self.limits = dict.fromkeys(SERVER_NAMES, (2, 5, 1))
        self.next_vm = 0

    @initialize(duration_ms=load_choices)
    def begin(self, duration_ms):
        self.world.work_duration_ms = duration_ms
        self.world.set_limits(self.limits)
        self.world.set_out()
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
            self.world.list_changed()
        self.world.start(vm)

    def pick(self, number):
        """Return one process that is not paused, or None."""
        running = [p for p in self.world.processes() if p.paused_at_ms is None]
        return running[number % len(running)] if running else None

    def pick_own(self, number):
        """Return one process whose VM exists, or None."""
        daemons = list(self.world.daemons.values())
        return daemons[number % len(daemons)] if daemons else None

    def pick_spare(self, number):
        """Return one process that may die while others remain, or None."""
        return self.pick_own(number) if len(self.world.daemons) > 2 else None

    @event(duration_ms=load_choices)
    def load_changes(self, duration_ms):
        self.world.work_duration_ms = duration_ms

    @event(listed=st.booleans())
    def vm_joins(self, listed):
        if len(self.world.processes()) < MAX_PROCESSES:
            self.add_vm(listed)

    @event(number=picks)
    def vm_is_listed(self, number):
        daemon = self.pick_own(number)
        if daemon and daemon.vm not in self.world.platform.vms:
            domain = self.world.platform.placed[daemon.vm].failure_domain
            self.world.platform.list_vm(daemon.vm, REGION, domain)
            self.world.list_changed()

    @event(number=picks)
    def process_crashes(self, number):
        daemon = self.pick_spare(number)
        if daemon:
            self.world.crash(daemon.vm)

    @event(number=picks)
    def process_restarts(self, number):
        daemon = self.pick_own(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.world.crash(daemon.vm)
            self.world.start(daemon.vm)

    @event(number=picks)
    def process_starts_again(self, number):
        stopped = [v for v in self.world.platform.vms if v not in self.world.daemons]
        if stopped:
            self.world.start(stopped[number % len(stopped)])

    @event(number=picks)
    def vm_vanishes(self, number):
        daemon = self.pick_spare(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.vanish(daemon)

    @event(
        number=picks,
        length_ms=pause_lengths,
        replaced=st.booleans(),
        behind=st.booleans(),
    )
    def vm_vanishes_while_paused(self, number, length_ms, replaced, behind):
        """Let a paused process wake up after its VM was taken away.

        The VM that replaces it may have the same name.
        """
        daemon = self.pick_spare(number)
        if daemon and daemon.vm in self.world.platform.vms:
            self.pause(daemon, length_ms)
            if behind:
                daemon.behind_until_ms = self.world.now_ms + BEHIND_LIMIT_MS
            self.world.run(PAUSE_LIMIT_MS + 2 * STEP_MS)
            if self.world.daemons.get(daemon.vm) is not daemon:
                return
            self.vanish(daemon)
            if replaced and daemon.paused_at_ms is not None:
                domain = self.world.platform.placed[daemon.vm].failure_domain
                self.world.platform.list_vm(daemon.vm, REGION, domain)
                self.world.list_changed()
                self.world.start(daemon.vm)

    def vanish(self, daemon):
        """Remove a VM from the list; only a paused process on it lives on."""
        if daemon.paused_at_ms is None:
            self.world.crash(daemon.vm)
        else:
            self.world.zombies.append(self.world.daemons.pop(daemon.vm))
        del self.world.platform.vms[daemon.vm]
        self.world.list_changed()

    def pause(self, daemon, length_ms):
        """Pause a process unless it is paused already."""
        if daemon.paused_at_ms is None:
            daemon.paused_at_ms = self.world.now_ms
            daemon.resume_at_ms = self.world.now_ms + length_ms

    @event(number=picks)
    def vm_leaves(self, number):
        daemon = self.pick_own(number)
        if daemon and daemon.vm in self.world.platform.vms:
            domain = self.world.platform.placed[daemon.vm].failure_domain
            self.world.platform.list_vm(daemon.vm, REGION, domain, "leaving")
            self.world.list_changed()

    @event(number=picks, length_ms=pause_lengths)
    def process_pauses(self, number, length_ms):
        daemon = self.pick_own(number)
        if daemon:
            self.pause(daemon, length_ms)

    @event(number=picks, store=st.booleans(), peers=st.booleans())
    def reach_changes(self, number, store, peers):
        daemon = self.pick(number)
        if daemon:
            daemon.store.cut = store
            daemon.peers_cut = peers

    @event(
        fate=st.sampled_from(["lost_reply", "not_applied", "delayed", "held"]),
        count=st.integers(1, 4),
        late_ms=st.sampled_from([500, 2000, 6000]),
        lost_reads=st.integers(0, 6),
    )
    def next_writes_fail(self, fate, count, late_ms, lost_reads):
        self.world.late_until_ms = self.world.now_ms + late_ms
        for daemon in self.world.processes():
            daemon.store.fates = [fate] * count
            daemon.store.lost_reads = lost_reads

    @event(number=picks, duration_ms=st.sampled_from([1000, 4000, BEHIND_LIMIT_MS]))
    def view_falls_behind(self, number, duration_ms):
        daemon = self.pick(number)
        if daemon:
            daemon.behind_until_ms = self.world.now_ms + duration_ms

    @event(number=picks, age_ms=st.sampled_from([0, 500]))
    def list_lags(self, number, age_ms):
        daemon = self.pick(number)
        if daemon:
            daemon.list_age_ms = age_ms

    @event(number=picks, behind=st.booleans())
    def list_omits_a_vm_once(self, number, behind):
        omitted = self.pick_own(number)
        if omitted is None:
            return
        for daemon in self.world.processes():
            daemon.omitted = omitted.vm
        if behind:
            omitted.behind_until_ms = self.world.now_ms + BEHIND_LIMIT_MS

    @event(server=st.sampled_from(SERVER_NAMES), limit=limit_choices)
    def limit_changes(self, server, limit):
        self.limits[server] = limit
        self.world.set_limits(self.limits)

    @event(out=st.sampled_from([(), DOMAINS[:1], DOMAINS[1:], DOMAINS]))
    def domains_go_out(self, out):
        self.world.domains_out = out
        self.world.set_out()

    @event(number=picks, out=st.booleans())
    def vm_goes_out(self, number, out):
        daemon = self.pick_own(number)
        if daemon:
            self.world.vms_out = (daemon.vm,) if out else ()
            self.world.set_out()

    @event(number=picks)
    def process_stops_gracefully(self, number):
        daemon = self.pick_own(number)
        if daemon and daemon.paused_at_ms is None:
            daemon.release()

    def teardown(self):
        if not self.world.limits:
            return
        self.world.heal()
        self.world.run(RECOVERY_MS, step_ms=RECOVERY_STEP_MS)
        self.world.check_recovered()
