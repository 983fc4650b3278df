"""The fleet of ``ShareWorld`` with faults, and the oracle of what must hold."""

from hemlockspoke.limits.shares import add, fits, subtract, total
from hemlockspoke.ports import VmList
from hemlockspoke.rendezvous import group_of, rank
from hemlockspoke.requests import Share
from tests.fuzz.share_fakes import MAX_DEADLINE_MS, service_value
from tests.fuzz.share_world import PAUSE_LIMIT_MS, ShareDaemon, ShareWorld

STEP_MS = 100
SYNC_MS = 500
LIST_MS = 1000
# A daemon that reaches neither store nor peers takes no new work after this.
ISOLATION_LIMIT_MS = 3000
REGION = "mtl"
DOMAINS = ("mtl-a", "mtl-b")


def twin_of(name):
    """Return another server name of the same group."""
    numbers = range(1, 10_000)
    names = (f"rp-{number}" for number in numbers)
    group = group_of(name, REGION)
    return next(n for n in names if n != name and group_of(n, REGION) == group)


# Two servers share a group, so that batched changes of a group occur.
SERVER_NAMES = ("rp-0", twin_of("rp-0"), "rp-1")


class FuzzDaemon(ShareDaemon):
    """A daemon process with faults that the machine sets."""

    def __init__(self, platform, vm, now_ms, seed):
        self.paused_at_ms = None
        self.resume_at_ms = None
        self.behind_until_ms = 0
        self.peers_cut = False
        self.contact_ms = now_ms
        self.list_age_ms = 0
        self.omitted = None
        self.omitted_before = None
        self.next_list_ms = now_ms
        self.next_sync_ms = now_ms
        self.leaving = False
        self.released = False
        super().__init__(platform, vm, now_ms, seed)

    def release(self):
        """Begin a graceful stop."""
        self.leaving = True
        self.shares.release_all().addCallback(self._was_released)

    def _was_released(self, _):
        self.released = True

    def idle(self):
        """Tell whether no work is in progress."""
        return not any(any(self.use.in_use(s).amounts()) for s in SERVER_NAMES)


class FuzzWorld(ShareWorld):
    """Processes of which some are dead, paused or cut off."""

    def __init__(self):
        super().__init__()
        self.dead = []
        self.zombies = []
        self.list_history = [(float("-inf"), {})]
        self.limits = {}
        self.limit_seen_ms = {}
        self.domains_out = ()
        self.vms_out = ()
        self.work_duration_ms = 0
        self.late_until_ms = 0

    # Faults and changes.

    def start(self, vm):
        self.seed += 1
        daemon = FuzzDaemon(self.platform, vm, self.now_ms, self.seed)
        self.daemons[vm] = daemon
        return daemon

    def crash(self, vm):
        daemon = self.daemons.pop(vm)
        self.bury(daemon)

    def bury(self, daemon):
        """End a process; its work at upstreams goes on."""
        daemon.shares.stop()
        daemon.pause.stop()
        self.dead.append(daemon)

    def set_limits(self, limits):
        """Accept a document; ``limits`` maps server to its three amounts."""
        servers = {
            name: (REGION, DOMAINS[number % 2], *limits[name])
            for number, name in enumerate(SERVER_NAMES)
        }
        version = self.set_document("lau", service_value(servers))
        self.limits[version] = {name: Share(*limits[name]) for name in limits}

    def set_out(self):
        """Write what is taken out."""
        self.set_fleet(self.domains_out, self.vms_out)

    def list_changed(self):
        """Remember the list as it is now, for readings that lag."""
        self.list_history.append((self.now_ms, dict(self.platform.vms)))

    def resume(self, daemon):
        """Let a paused process go on; it looks for a pause before any send."""
        daemon.paused_at_ms = None
        daemon.clock.jump(self.now_ms - daemon.clock.now_ms())
        daemon.pause.check()
        self.work(daemon)
        daemon.clock.advance(0)

    # Time.

    def processes(self):
        """Return all processes that are not dead."""
        return [*self.daemons.values(), *self.zombies]

    def run(self, duration_ms, step_ms=STEP_MS):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._deliver_late()
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
        """End a process whose graceful stop is complete."""
        if self.daemons.get(daemon.vm) is daemon:
            self.crash(daemon.vm)
        else:
            self.zombies.remove(daemon)
            self.bury(daemon)

    def _deliver_late(self):
        """Let late writes and late replies arrive when they are due."""
        if self.now_ms < self.late_until_ms:
            return
        for daemon in [*self.processes(), *self.dead]:
            daemon.store.deliver_delayed()
            if daemon.paused_at_ms is None:
                daemon.store.answer_held()

    def work(self, daemon):
        """Use all that a daemon may use, if the machine has set a load."""
        if not self.work_duration_ms:
            return
        daemon.pause.check()
        for server in SERVER_NAMES:
            if any(self.belief(daemon, server).amounts()):
                daemon.use.begin(server, self.work_duration_ms)

    def sync(self, daemon):
        """Let a daemon read what is due, as far as it reaches others."""
        if not (daemon.store.cut and daemon.peers_cut):
            daemon.contact_ms = self.now_ms
        if self.now_ms >= daemon.next_sync_ms:
            daemon.next_sync_ms = self.now_ms + SYNC_MS
            reached = daemon.contact_ms == self.now_ms
            if reached and self.now_ms >= daemon.behind_until_ms:
                daemon.read_objects()
        if self.now_ms >= daemon.next_list_ms and not daemon.store.cut:
            daemon.next_list_ms = self.now_ms + LIST_MS
            self.read_list(daemon)

    def read_list(self, daemon):
        """Let a daemon read the list, which may lag or omit a VM once."""
        seen_ms = self.now_ms - daemon.list_age_ms
        vms = [vms for time_ms, vms in self.list_history if time_ms <= seen_ms][-1]
        omitted, daemon.omitted = daemon.omitted, None
        if omitted == daemon.omitted_before:
            omitted = None
        daemon.omitted_before = omitted
        listed = [item for vm, item in vms.items() if vm != omitted]
        daemon.membership.note_list(VmList(self.platform.lag_ms, listed))

    # The oracle.

    def belief(self, daemon, server):
        """Return what a process may still send work for.

        Right before a send it looks for a pause and for its isolation. A short
        pause goes unnoticed, so the share of a briefly paused process counts.
        """
        paused_at_ms = daemon.paused_at_ms
        if paused_at_ms is not None and self.now_ms - paused_at_ms > PAUSE_LIMIT_MS:
            return Share()
        if self.now_ms - daemon.contact_ms > ISOLATION_LIMIT_MS:
            return Share()
        return daemon.use.shares.get(server, Share())

    def check(self):
        """Assert that no server can get more than it handles."""
        for daemon in self.processes():
            # Those raised inside a deferred do not reach the machine otherwise.
            assert not daemon.invariants.violations, daemon.invariants.violations
        for server in SERVER_NAMES:
            self._check_beliefs(server)
            self._check_load(server)

    def _check_beliefs(self, server):
        """Compare shares with the largest limit that any of them rests on."""
        beliefs = {
            (item.vm, item.incarnation): self.belief(item, server)
            for item in self.processes()
        }
        limit = Share()
        for item in self.processes():
            if any(self.belief(item, server).amounts()):
                limit = largest(limit, self._limit_at(item, server))
        held = total(beliefs.values())
        assert fits(held, limit), f"{server}: {beliefs} over {limit}"

    def _check_load(self, server):
        """Compare shares and all work that may still run with the limit.

        Work that began before a limit was lowered may end, so limits count for
        the longest deadline after the last process had them in force.
        """
        load = Share()
        for item in self.processes():
            work = item.use.running(server, self.now_ms)
            self._see_limit(item)
            load = add(load, largest(work, self.belief(item, server)))
        for item in self.dead:
            load = add(load, item.use.running(server, self.now_ms))
        limit = Share()
        for version, seen_ms in self.limit_seen_ms.items():
            if self.now_ms - seen_ms <= MAX_DEADLINE_MS:
                limit = largest(limit, self.limits[version][server])
        assert fits(load, limit), f"{server}: a load of {load} over {limit}"

    def _limit_at(self, daemon, server):
        version = daemon.configuration.document_version("lau")
        return self.limits[version][server]

    def _see_limit(self, daemon):
        version = daemon.configuration.document_version("lau")
        self.limit_seen_ms[version] = self.now_ms

    # The end of all faults.

    def heal(self):
        """End every fault; dead VMs vanish and new VMs are listed."""
        for daemon in self.processes():
            daemon.store.cut = False
            daemon.peers_cut = False
            daemon.behind_until_ms = 0
            daemon.list_age_ms = 0
            daemon.omitted = None
        for daemon in [*self.processes(), *self.dead]:
            daemon.store.fates = []
            daemon.store.lost_reads = 0
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
        self.list_changed()

    def check_recovered(self):
        """Assert that desired holders alone hold the full limit of each server."""
        for number, server in enumerate(SERVER_NAMES):
            if DOMAINS[number % 2] in self.domains_out:
                continue
            desired = self._desired(server)
            if not desired:
                continue
            beliefs = self.holders(server)
            held = total(beliefs.values())
            limit = self.limits[max(self.limits)][server]
            assert held == limit, f"{server}: {beliefs} instead of {limit}"
            assert set(beliefs) == set(desired), f"{server}: {beliefs}, not {desired}"

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


def largest(left, right):
    """Return the larger of each amount."""
    return add(left, subtract(right, left))
