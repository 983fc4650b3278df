"""Fuzzing of the configuration against a small oracle.

Four daemons of one failure domain run the real decision code on a ``ManualClock``
with a fake store and a fake network. The oracle knows every version that the store
has accepted. Steps that move no time let two faults act together.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hemlockspoke.clock import ManualClock
from tests.fakes.configuration_world import (
    BAD_TEXT,
    TIMINGS,
    FakeNetwork,
    Node,
    SharedStore,
    use_fake_checker,
)

VMS = ("e0", "e1", "e2", "e3")
KEYS = ("services/bins", "services/stock", "fleet")
# The bound of section 10 for any single change after the faults.
CONVERGENCE_MS = 12_000
STEP_MS = 100
vms = st.sampled_from(VMS)
keys = st.sampled_from(KEYS)


def make_value(key, number, good):
    """Return a value whose content tells its number."""
    if key == "fleet":
        return {"failure_domains_out": [f"d{number}"] if good else number}
    return {"text": f"document {number}" if good else BAD_TEXT}


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, faults and time in any order."""

    def __init__(self):
        super().__init__()
        self.undo_checker = use_fake_checker()
        self.clock = ManualClock()
        self.world = SharedStore(self.clock)
        self.network = FakeNetwork(self.clock)
        self.accepted = {}
        self.bad = set()
        self.checked = {}
        self.unreached_ms = {}
        self.writes = 0
        self.starts = 0
        for vm in VMS:
            self.start(vm)

    def start(self, vm):
        """Start a daemon with nothing in memory."""
        self.starts += 1
        Node(vm, self.world, self.network, VMS, seed=self.starts)
        self.checked[vm] = {}
        self.unreached_ms.pop(vm, None)

    def nodes(self):
        """Return the daemons that run."""
        return list(self.network.nodes.values())

    def write(self, key, good, base=None):
        """Write as an operator that has read version ``base``."""
        self.writes += 1
        value = make_value(key, self.writes, good)
        found = self.world.table.get(key)
        present = found[0] if found else 0
        held, version = self.world.table.put(
            key, value, present if base is None else base
        )
        if held:
            self.accepted[key, version] = value
            if not good:
                self.bad.add((key, version))
        self.world.answer_watches()
        return present

    @precondition(lambda self: not self.world.down)
    @rule(key=keys, good=st.sampled_from((True, True, True, False)))
    def change(self, key, good):
        self.write(key, good)

    @precondition(lambda self: not self.world.down)
    @rule(key=keys)
    def racing_change(self, key):
        base = self.write(key, good=True)
        accepted = len(self.accepted)
        self.write(key, good=False, base=base)
        assert len(self.accepted) == accepted, "the store accepted a lost race"

    @precondition(lambda self: not self.world.down)
    @rule(key=keys)
    def change_with_lost_reply(self, key):
        # The operator does not know of the first write and tries once more.
        base = self.write(key, good=True)
        self.write(key, good=True, base=base)

    @rule(vm=vms)
    def crash_and_restart(self, vm):
        self.network.nodes[vm].crash()
        self.start(vm)

    @rule(vm=vms)
    def pause_or_resume(self, vm):
        node = self.network.nodes[vm]
        if node.clock.paused:
            node.clock.resume()
        else:
            node.clock.paused = True

    @rule(one=vms, other=vms)
    def cut_or_join(self, one, other):
        self.network.cuts ^= {frozenset((one, other))}

    @rule(vm=vms)
    def cut_off_from_peers(self, vm):
        self.network.cuts |= {frozenset((vm, other)) for other in VMS}

    @rule(vm=vms)
    def cut_off_entirely(self, vm):
        self.cut_off_from_peers(vm)
        self.world.cut.add(vm)

    @precondition(lambda self: not self.world.down)
    @rule(vm=vms, key=keys, then_bad=st.booleans())
    def miss_a_change(self, vm, key, then_bad):
        """Change an object while one daemon reaches nobody."""
        self.cut_off_entirely(vm)
        self.write(key, good=True)
        self.pass_time(steps=10)
        if then_bad:
            self.write(key, good=False)

    @rule(vm=vms)
    def cut_or_join_store(self, vm):
        self.world.cut ^= {vm}

    @rule(vm=vms)
    def slow_or_normal_store(self, vm):
        self.world.slow ^= {vm}

    @rule()
    def silent_or_normal_watches(self):
        self.world.silent_watches = not self.world.silent_watches

    @rule()
    def store_down_or_up(self):
        self.world.down = not self.world.down

    @rule()
    def unreliable_or_normal_network(self):
        self.network.unreliable = not self.network.unreliable

    @rule(vm=vms)
    def announce(self, vm):
        if not self.network.nodes[vm].clock.paused:
            self.network.nodes[vm].sync.announce()

    @rule(steps=st.sampled_from((1, 5, 25, 60)))
    def pass_time(self, steps):
        for _ in range(steps):
            self.note_unreached()
            self.clock.advance(STEP_MS)
            self.check_isolation()

    @rule(left_cut=st.sampled_from((set(), {"e0"}, {"e1"}, {"e2"}, {"e3"})))
    def end_faults_and_converge(self, left_cut=frozenset()):
        """End all faults, but for one daemon that stays cut off from the store."""
        before = self.highest_in_force()
        self.world.down = self.world.silent_watches = False
        self.network.unreliable = False
        self.world.cut, self.world.slow = set(left_cut), set()
        self.network.cuts = set()
        for node in self.nodes():
            if node.clock.paused:
                node.clock.resume()
        self.unreached_ms.clear()
        self.clock.advance(CONVERGENCE_MS)
        for key in KEYS:
            self.check_converged(key, before.get(key, 0))
        waiting = [node.vm for node in self.nodes() if not node.accepts_work()]
        assert not waiting, f"not ready after the faults: {waiting}"

    def highest_in_force(self):
        highest = {}
        for node in self.nodes():
            for key, version in node.configuration.versions().items():
                highest[key] = max(highest.get(key, 0), version)
        return highest

    def check_converged(self, key, before):
        found = self.world.table.get(key)
        newest = found[0] if found else 0
        in_force = {
            node.vm: node.configuration.versions().get(key, 0) for node in self.nodes()
        }
        assert len(set(in_force.values())) == 1, f"{key}: {in_force}"
        version = in_force[VMS[0]]
        assert version >= before, f"{key}: {version} after {before}"
        if (key, newest) in self.bad:
            for node in self.nodes():
                if node.vm not in self.world.cut:
                    assert key in node.configuration.rejected(), (node.vm, key)
        else:
            assert version == newest, f"{key}: {version}, the store has {newest}"

    def reaches_nobody(self, vm):
        linked = any(self.network.linked(vm, other) for other in VMS)
        return not linked and not self.world.reaches(vm)

    def note_unreached(self):
        for vm in VMS:
            if self.reaches_nobody(vm):
                self.unreached_ms.setdefault(vm, self.clock.now_ms())
            else:
                self.unreached_ms.pop(vm, None)

    def check_isolation(self):
        limit_ms = TIMINGS.isolation_limit_ms
        for vm, since_ms in self.unreached_ms.items():
            node = self.network.nodes[vm]
            late = self.clock.now_ms() - since_ms > limit_ms
            assert not (late and node.accepts_work()), f"{vm} takes work unreached"

    @invariant()
    def only_accepted_good_versions_that_rise(self):
        for node in self.nodes():
            highest = self.checked[node.vm]
            for key, stored in node.adopted:
                found = (key, stored.version)
                assert self.accepted.get(found) == stored.value, found
                assert found not in self.bad, f"bad version in force: {found}"
                assert stored.version > highest.get(key, 0), f"not higher: {found}"
                highest[key] = stored.version
            node.adopted.clear()
            for key, version in node.configuration.versions().items():
                assert version == highest.get(key), f"{key}: {version}, {highest}"

    def teardown(self):
        try:
            self.end_faults_and_converge()
            self.only_accepted_good_versions_that_rise()
        finally:
            self.undo_checker()
