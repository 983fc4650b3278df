"""Stateful fuzzing of the configuration against a small oracle.

Four daemons of one failure domain run the production code on a ``ManualClock`` with a
fake store and a fake network. The oracle records every version that the store has
accepted. Steps that do not advance the clock let two faults coincide.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hemlockspoke.clock import ManualClock
from tests.fakes.configuration_world import (
    BAD_TEXT,
    TIMINGS,
    FakeDaemon,
    FakeNetwork,
    SharedStore,
    use_fake_document_check,
)

VMS = ("e0", "e1", "e2", "e3")
KEYS = ("services/bins", "services/stock", "fleet")
# The specified bound (section 10) for one change to reach every daemon after faults.
CONVERGENCE_MS = 12_000
STEP_MS = 100
vms = st.sampled_from(VMS)
keys = st.sampled_from(KEYS)


def make_value(key, number, valid):
    """Return a value that contains its number."""
    if key == "fleet":
        return {"failure_domains_out": [f"d{number}"] if valid else number}
    return {"text": f"document {number}" if valid else BAD_TEXT}


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators' writes, faults and advances of the clock in any order."""

    def __init__(self):
        super().__init__()
        self.restore_check = use_fake_document_check()
        self.clock = ManualClock()
        self.shared_store = SharedStore(self.clock)
        self.network = FakeNetwork(self.clock)
        self.accepted = {}
        self.invalid = set()
        self.highest_adopted = {}
        self.without_contact_since_ms = {}
        self.writes = 0
        self.starts = 0
        for vm in VMS:
            self.start(vm)

    def start(self, vm):
        """Start a daemon with an empty configuration."""
        self.starts += 1
        FakeDaemon(vm, self.shared_store, self.network, VMS, seed=self.starts)
        self.highest_adopted[vm] = {}
        self.without_contact_since_ms.pop(vm, None)

    def daemons(self):
        """Return all running daemons."""
        return list(self.network.daemons.values())

    def write(self, key, valid, base=None):
        """Write as an operator that has read ``base``; return the version before."""
        self.writes += 1
        value = make_value(key, self.writes, valid)
        stored = self.shared_store.table.get(key)
        present = stored[0] if stored else 0
        applied, version = self.shared_store.table.put(
            key, value, present if base is None else base
        )
        if applied:
            self.accepted[key, version] = value
            if not valid:
                self.invalid.add((key, version))
        self.shared_store.answer_watches()
        return present

    @precondition(lambda self: not self.shared_store.down)
    @rule(key=keys, valid=st.sampled_from((True, True, True, False)))
    def change(self, key, valid):
        self.write(key, valid)

    @precondition(lambda self: not self.shared_store.down)
    @rule(key=keys)
    def racing_change(self, key):
        base = self.write(key, valid=True)
        accepted = len(self.accepted)
        self.write(key, valid=False, base=base)
        assert len(self.accepted) == accepted, (
            "the store accepted a write to an outdated version"
        )

    @precondition(lambda self: not self.shared_store.down)
    @rule(key=keys)
    def change_with_lost_reply(self, key):
        # The operator gets no reply to the first write and repeats it.
        base = self.write(key, valid=True)
        self.write(key, valid=True, base=base)

    @rule(vm=vms)
    def crash_and_restart(self, vm):
        self.network.daemons[vm].crash()
        self.start(vm)

    @rule(vm=vms)
    def pause_or_resume(self, vm):
        daemon = self.network.daemons[vm]
        if daemon.clock.paused:
            daemon.clock.resume()
        else:
            daemon.clock.paused = True

    @rule(one=vms, other=vms)
    def cut_or_restore_stream(self, one, other):
        self.network.disconnected_pairs ^= {frozenset((one, other))}

    @rule(vm=vms)
    def cut_off_from_peers(self, vm):
        self.network.disconnected_pairs |= {frozenset((vm, other)) for other in VMS}

    @rule(vm=vms)
    def cut_off_entirely(self, vm):
        self.cut_off_from_peers(vm)
        self.shared_store.cut_off_vms.add(vm)

    @precondition(lambda self: not self.shared_store.down)
    @rule(vm=vms, key=keys, then_invalid=st.booleans())
    def miss_a_change(self, vm, key, then_invalid):
        """Change an object while one daemon reaches neither the store nor a peer."""
        self.cut_off_entirely(vm)
        self.write(key, valid=True)
        self.pass_time(steps=10)
        if then_invalid:
            self.write(key, valid=False)

    @rule(vm=vms)
    def cut_or_restore_store(self, vm):
        self.shared_store.cut_off_vms ^= {vm}

    @rule(vm=vms)
    def slow_or_normal_store(self, vm):
        self.shared_store.slow_vms ^= {vm}

    @rule()
    def silent_or_normal_watches(self):
        self.shared_store.silent_watches = not self.shared_store.silent_watches

    @rule()
    def store_down_or_up(self):
        self.shared_store.down = not self.shared_store.down

    @rule()
    def unreliable_or_normal_network(self):
        self.network.unreliable = not self.network.unreliable

    @rule(vm=vms)
    def announce(self, vm):
        if not self.network.daemons[vm].clock.paused:
            self.network.daemons[vm].sync.check_store()

    @rule(steps=st.sampled_from((1, 5, 25, 60)))
    def pass_time(self, steps):
        for _ in range(steps):
            self.record_contact()
            self.clock.advance(STEP_MS)
            self.check_isolation()

    @rule(cut_off=st.sampled_from((set(), {"e0"}, {"e1"}, {"e2"}, {"e3"})))
    def end_faults_and_converge(self, cut_off=frozenset()):
        """End all faults; at most one daemon stays cut off from the store."""
        before = self.highest_in_force()
        self.shared_store.down = self.shared_store.silent_watches = False
        self.network.unreliable = False
        self.shared_store.cut_off_vms, self.shared_store.slow_vms = set(cut_off), set()
        self.network.disconnected_pairs = set()
        for daemon in self.daemons():
            if daemon.clock.paused:
                daemon.clock.resume()
        self.without_contact_since_ms.clear()
        self.clock.advance(CONVERGENCE_MS)
        for key in KEYS:
            self.check_converged(key, before.get(key, 0))
        waiting = [daemon.vm for daemon in self.daemons() if not daemon.accepts_work()]
        assert not waiting, f"not ready after the faults: {waiting}"

    def highest_in_force(self):
        highest = {}
        for daemon in self.daemons():
            for key, version in daemon.configuration.versions().items():
                highest[key] = max(highest.get(key, 0), version)
        return highest

    def check_converged(self, key, before):
        found = self.shared_store.table.get(key)
        newest = found[0] if found else 0
        in_force = {
            daemon.vm: daemon.configuration.versions().get(key, 0)
            for daemon in self.daemons()
        }
        assert len(set(in_force.values())) == 1, f"{key}: {in_force}"
        version = in_force[VMS[0]]
        assert version >= before, f"{key}: {version} after {before}"
        if (key, newest) in self.invalid:
            for daemon in self.daemons():
                if daemon.vm not in self.shared_store.cut_off_vms:
                    assert key in daemon.configuration.rejected(), (daemon.vm, key)
        else:
            assert version == newest, f"{key}: {version}, the store has {newest}"

    def is_without_contact(self, vm):
        has_stream = any(self.network.has_stream(vm, other) for other in VMS)
        return not has_stream and not self.shared_store.reaches(vm)

    def record_contact(self):
        for vm in VMS:
            if self.is_without_contact(vm):
                self.without_contact_since_ms.setdefault(vm, self.clock.now_ms())
            else:
                self.without_contact_since_ms.pop(vm, None)

    def check_isolation(self):
        limit_ms = TIMINGS.isolation_limit_ms
        for vm, since_ms in self.without_contact_since_ms.items():
            daemon = self.network.daemons[vm]
            overdue = self.clock.now_ms() - since_ms > limit_ms
            assert not (overdue and daemon.accepts_work()), (
                f"{vm} accepts work without contact"
            )

    @invariant()
    def adopts_only_accepted_valid_rising_versions(self):
        for daemon in self.daemons():
            highest = self.highest_adopted[daemon.vm]
            for key, stored in daemon.adopted:
                found = (key, stored.version)
                assert self.accepted.get(found) == stored.value, found
                assert found not in self.invalid, f"invalid version in force: {found}"
                assert stored.version > highest.get(key, 0), f"not higher: {found}"
                highest[key] = stored.version
            daemon.adopted.clear()
            for key, version in daemon.configuration.versions().items():
                assert version == highest.get(key), f"{key}: {version}, {highest}"

    def teardown(self):
        try:
            self.end_faults_and_converge()
            self.adopts_only_accepted_valid_rising_versions()
        finally:
            self.restore_check()
