"""``ShareWorld`` with faults, and the oracle for shares and load."""

from hemlockspoke.limits.shares import add, fits, subtract, total
from hemlockspoke.ports import VmList
from hemlockspoke.rendezvous import group_of, rank
from hemlockspoke.requests import Share
from tests.fuzz.share_fakes import MAX_DEADLINE_MS, service_value
from tests.fuzz.share_world import PAUSE_LIMIT_MS, ShareDaemon, ShareWorld

STEP_MS = 100
SYNC_INTERVAL_MS = 500
LIST_INTERVAL_MS = 1000
# A daemon that reaches neither the store nor peers accepts no new work after this.
ISOLATION_LIMIT_MS = 3000
REGION = "mtl"
DOMAINS = ("mtl-a", "mtl-b")


def other_name_in_group(name):
    """Return another server name of the same group."""
    numbers = range(1, 10_000)
    names = (f"rp-{number}" for number in numbers)
    group = group_of(name, REGION)
    return next(n for n in names if n != name and group_of(n, REGION) == group)


# Two of the servers are in the same group, so that one write changes both.
SERVER_NAMES = ("rp-0", other_name_in_group("rp-0"), "rp-1")


class FuzzDaemon(ShareDaemon):
    """A daemon process with faults that the state machine sets.

    It reads the VM list as it was ``list_age_ms`` ago; ``omitted`` names a VM that the
    next read leaves out. Objects are not read before ``stale_until_ms``.
    """

    def __init__(self, platform, vm, now_ms, seed):
        self.paused_at_ms = None
        self.resume_at_ms = None
        self.stale_until_ms = 0
        self.peers_disconnected = False
        self.last_contact_ms = now_ms
        self.list_age_ms = 0
        self.omitted = None
        self.last_omitted = None
        self.next_list_ms = now_ms
        self.next_sync_ms = now_ms
        self.leaving = False
        self.released = False
        super().__init__(platform, vm, now_ms, seed)

    def release(self):
        """Begin a graceful shutdown."""
        self.leaving = True
        self.shares.release_all().addCallback(self._was_released)

    def _was_released(self, _):
        self.released = True

    def idle(self):
        """Return whether the process has no work running at any server."""
        return not any(any(self.holder.in_use(s).amounts()) for s in SERVER_NAMES)


class FuzzWorld(ShareWorld):
    """Daemon processes, of which some have ended, are paused or are disconnected.

    ``dead`` lists ended processes, whose work at servers may still run, and
    ``orphaned`` those whose VM was removed while they were paused.
    """

    def __init__(self):
        super().__init__()
        self.dead = []
        self.orphaned = []
        self.list_history = [(float("-inf"), {})]
        self.limits = {}
        self.limit_last_used_ms = {}
        self.domains_out = ()
        self.vms_out = ()
        self.work_duration_ms = 0
        self.delayed_until_ms = 0

    # Faults and changes.

    def start(self, vm):
        self.seed += 1
        daemon = FuzzDaemon(self.platform, vm, self.now_ms, self.seed)
        self.daemons[vm] = daemon
        return daemon

    def crash(self, vm):
        daemon = self.daemons.pop(vm)
        self.end_process(daemon)

    def end_process(self, daemon):
        """End a process; its work at servers continues."""
        daemon.shares.stop()
        daemon.pause_detector.stop()
        self.dead.append(daemon)

    def set_limits(self, limits):
        """Store a document; ``limits`` maps each server to its three amounts."""
        servers = {
            name: (REGION, DOMAINS[number % 2], *limits[name])
            for number, name in enumerate(SERVER_NAMES)
        }
        version = self.set_document("lau", service_value(servers))
        self.limits[version] = {name: Share(*limits[name]) for name in limits}

    def store_fleet(self):
        """Store the failure domains and VMs that are out."""
        self.set_fleet(self.domains_out, self.vms_out)

    def record_list_change(self):
        """Record the current VM list for reads that lag."""
        self.list_history.append((self.now_ms, dict(self.platform.vms)))

    def resume(self, daemon):
        """Resume a paused process, which checks for a pause before any send."""
        daemon.paused_at_ms = None
        daemon.clock.jump(self.now_ms - daemon.clock.now_ms())
        daemon.pause_detector.check()
        self.work(daemon)
        daemon.clock.advance(0)

    # Time.

    def processes(self):
        """Return all processes that have not ended."""
        return [*self.daemons.values(), *self.orphaned]

    def run(self, duration_ms, step_ms=STEP_MS):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._deliver_delayed()
            for daemon in self.processes():
                if daemon.paused_at_ms is not None:
                    if self.now_ms >= daemon.resume_at_ms:
                        self.resume(daemon)
                else:
                    daemon.clock.advance(step_ms)
                    self.sync(daemon)
                    self.work(daemon)
                    if daemon.released and daemon.idle():
                        self._exit(daemon)
            self.check()

    def _exit(self, daemon):
        """End a process whose graceful shutdown is complete."""
        if self.daemons.get(daemon.vm) is daemon:
            self.crash(daemon.vm)
        else:
            self.orphaned.remove(daemon)
            self.end_process(daemon)

    def _deliver_delayed(self):
        """Deliver delayed writes and replies when they are due."""
        if self.now_ms < self.delayed_until_ms:
            return
        for daemon in [*self.processes(), *self.dead]:
            daemon.store.deliver_delayed()
            if daemon.paused_at_ms is None:
                daemon.store.answer_held()

    def work(self, daemon):
        """Start work on all that a daemon may use, if a load is set."""
        if not self.work_duration_ms:
            return
        daemon.pause_detector.check()
        for server in SERVER_NAMES:
            if any(self.usable_share(daemon, server).amounts()):
                daemon.holder.start_work(server, self.work_duration_ms)

    def sync(self, daemon):
        """Let a daemon make its due reads, as far as it is connected."""
        if not (daemon.store.disconnected and daemon.peers_disconnected):
            daemon.last_contact_ms = self.now_ms
        if self.now_ms >= daemon.next_sync_ms:
            daemon.next_sync_ms = self.now_ms + SYNC_INTERVAL_MS
            reached = daemon.last_contact_ms == self.now_ms
            if reached and self.now_ms >= daemon.stale_until_ms:
                daemon.read_objects()
        if self.now_ms >= daemon.next_list_ms and not daemon.store.disconnected:
            daemon.next_list_ms = self.now_ms + LIST_INTERVAL_MS
            self.read_list(daemon)

    def read_list(self, daemon):
        """Let a daemon read the VM list, which may be old or lack one VM.

        A VM is not left out of two successive reads.
        """
        seen_ms = self.now_ms - daemon.list_age_ms
        vms = [vms for time_ms, vms in self.list_history if time_ms <= seen_ms][-1]
        omitted, daemon.omitted = daemon.omitted, None
        if omitted == daemon.last_omitted:
            omitted = None
        daemon.last_omitted = omitted
        listed = [item for vm, item in vms.items() if vm != omitted]
        daemon.membership.record_vm_list(VmList(self.platform.lag_ms, listed))

    # The oracle.

    def usable_share(self, daemon, server):
        """Return the ``Share`` of a server that a process may use for new work.

        Right before a send the process checks for a pause and for isolation. Short
        pauses are not detected, so the share of a briefly paused process counts.
        """
        paused_at_ms = daemon.paused_at_ms
        if paused_at_ms is not None and self.now_ms - paused_at_ms > PAUSE_LIMIT_MS:
            return Share()
        if self.now_ms - daemon.last_contact_ms > ISOLATION_LIMIT_MS:
            return Share()
        return daemon.holder.shares.get(server, Share())

    def check(self):
        """Assert that no server can get more work than its limit."""
        for daemon in self.processes():
            # Violations raised in a Deferred don't reach the state machine.
            assert not daemon.invariants.violations, daemon.invariants.violations
        for server in SERVER_NAMES:
            self._check_shares(server)
            self._check_load(server)

    def _check_shares(self, server):
        """Check the sum of usable shares against the largest limit in force.

        Only the limits in force at processes with a usable share count.
        """
        shares_by_process = {
            (item.vm, item.incarnation): self.usable_share(item, server)
            for item in self.processes()
        }
        limit = Share()
        for item in self.processes():
            if any(self.usable_share(item, server).amounts()):
                limit = maximum(limit, self._limit_at(item, server))
        held = total(shares_by_process.values())
        assert fits(held, limit), (
            f"{server}: usable shares {shares_by_process} exceed the limit {limit}"
        )

    def _check_load(self, server):
        """Check usable shares and all work that may still run against the limit.

        Work that began before a limit was lowered may finish, so a limit counts
        until the longest deadline has passed since any process had it in force.
        """
        load = Share()
        for item in self.processes():
            work = item.holder.running(server, self.now_ms)
            self._record_limit(item)
            load = add(load, maximum(work, self.usable_share(item, server)))
        for item in self.dead:
            load = add(load, item.holder.running(server, self.now_ms))
        limit = Share()
        for version, seen_ms in self.limit_last_used_ms.items():
            if self.now_ms - seen_ms <= MAX_DEADLINE_MS:
                limit = maximum(limit, self.limits[version][server])
        assert fits(load, limit), f"{server}: load {load} exceeds the limit {limit}"

    def _limit_at(self, daemon, server):
        version = daemon.configuration.document_version("lau")
        return self.limits[version][server]

    def _record_limit(self, daemon):
        version = daemon.configuration.document_version("lau")
        self.limit_last_used_ms[version] = self.now_ms

    # Recovery.

    def end_faults(self):
        """End all faults, remove VMs without a process and list new VMs."""
        for daemon in self.processes():
            daemon.store.disconnected = False
            daemon.peers_disconnected = False
            daemon.stale_until_ms = 0
            daemon.list_age_ms = 0
            daemon.omitted = None
        for daemon in [*self.processes(), *self.dead]:
            daemon.store.write_faults = []
            daemon.store.failing_reads = 0
            daemon.store.deliver_delayed()
            daemon.store.answer_held()
        for vm in list(self.platform.vms):
            if vm not in self.daemons:
                del self.platform.vms[vm]
        for daemon in self.processes():
            if daemon.paused_at_ms is not None:
                self.resume(daemon)
        for vm, daemon in self.daemons.items():
            if not daemon.leaving:
                place = self.platform.placed[vm]
                self.platform.list_vm(vm, REGION, place.failure_domain)
        self.record_list_change()

    def check_recovered(self):
        """Assert that the desired holders, and no others, hold each full limit."""
        for number, server in enumerate(SERVER_NAMES):
            if DOMAINS[number % 2] in self.domains_out:
                continue
            desired = self._desired(server)
            if not desired:
                continue
            shares_by_vm = self.holders(server)
            held = total(shares_by_vm.values())
            limit = self.limits[max(self.limits)][server]
            assert held == limit, f"{server}: {shares_by_vm} held, not all of {limit}"
            assert set(shares_by_vm) == set(desired), (
                f"{server}: held by {shares_by_vm}, not by {desired}"
            )

    def _desired(self, server):
        vms = [
            vm
            for vm, daemon in self.daemons.items()
            if not daemon.leaving
            and vm not in self.vms_out
            and self.platform.placed[vm].failure_domain not in self.domains_out
        ]
        slots = self.limits[max(self.limits)][server].slots
        return rank(group_of(server, REGION), vms)[: min(2, slots)]


def maximum(left, right):
    """Return a share with the larger of each amount."""
    return add(left, subtract(right, left))
