"""Several daemons with share managers that use one fake platform."""

import random

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.fleet import FLEET_KEY
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.share_manager import ShareManager
from hemlockspoke.members.membership import Membership
from hemlockspoke.pause import PauseDetector
from hemlockspoke.ports import NullMetrics
from tests.fuzz.share_fakes import (
    FakeConfiguration,
    FakeHolder,
    FakePlatform,
    FakeStore,
)

GONE_MARGIN_MS = 2000
PAUSE_LIMIT_MS = 1000


class ShareDaemon:
    """One daemon process: the real ``ShareManager`` with fakes at its ports.

    Each process has its own clock, which stops while the process is paused.
    """

    def __init__(self, platform, vm, now_ms, seed, reply_lost=False):
        self.vm = vm
        self.platform = platform
        self.clock = ManualClock(now_ms)
        self.configuration = FakeConfiguration()
        self.store = FakeStore(platform)
        self.holder = FakeHolder(self.clock)
        registered = self._register()
        self.incarnation = None if reply_lost else registered
        self.read_objects()
        self.membership = Membership(self.clock, self.configuration, GONE_MARGIN_MS)
        self.pause_detector = PauseDetector(self.clock, PAUSE_LIMIT_MS)
        self.invariants = Invariants()
        self.shares = ShareManager(
            clock=self.clock,
            store=self.store,
            configuration=self.configuration,
            membership=self.membership,
            vm=vm,
            incarnation=lambda: self.incarnation,
            pause_detector=self.pause_detector,
            rng=random.Random(seed),
            metrics=NullMetrics(),
            invariants=self.invariants,
            set_share=self.holder.set_share,
            in_use=self.holder.in_use,
        )
        self.pause_detector.start()
        self.shares.start()

    def _register(self):
        listed = self.platform.placed[self.vm]
        value = {
            "vm": self.vm,
            "writer": f"{self.vm}-{self.platform.revision}",
            "region": listed.region,
            "failure_domain": listed.failure_domain,
            "peer_address": "127.0.0.1:1",
            "operator_address": "127.0.0.1:2",
        }
        return self.platform.put(f"vms/{self.vm}", value)

    def read_objects(self, keys=None):
        """Adopt the objects in the store, or only those in ``keys``."""
        for key in sorted(self.platform.objects if keys is None else keys):
            stored = self.platform.objects[key]
            self.configuration.adopt(key, stored.version, stored.value)

    def read_list(self, without=()):
        """Read the VM list, as if the VMs in ``without`` were missing from it."""
        self.membership.record_vm_list(self.platform.vm_list(without))


class ShareWorld:
    """A fake platform, the daemons and the time that they share."""

    def __init__(self):
        self.platform = FakePlatform()
        self.daemons = {}
        self.now_ms = 0.0
        self.seed = 0

    def set_document(self, service, value):
        """Store a new version of a document."""
        return self.platform.put(f"services/{service}", value)

    def set_fleet(self, failure_domains=(), vms=()):
        """Set the failure domains and VMs that are out."""
        value = {"failure_domains_out": list(failure_domains), "vms_out": list(vms)}
        self.platform.put(FLEET_KEY, value)

    def start(self, vm, reply_lost=False):
        """Start a daemon process on a listed VM.

        With ``reply_lost`` it does not know its incarnation, though its registration
        is stored.
        """
        self.seed += 1
        daemon = ShareDaemon(self.platform, vm, self.now_ms, self.seed, reply_lost)
        self.daemons[vm] = daemon
        return daemon

    def crash(self, vm):
        """End a process abruptly."""
        daemon = self.daemons.pop(vm)
        daemon.shares.stop()
        daemon.pause_detector.stop()
        return daemon

    def run(self, duration_ms, step_ms=100):
        """Advance the time; every daemon reads the store at each step."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for daemon in list(self.daemons.values()):
                daemon.clock.advance(step_ms)
                self.sync(daemon)

    def sync(self, daemon):
        """Update a daemon from the store, or from peers if it is disconnected."""
        daemon.read_objects()
        if not daemon.store.disconnected:
            daemon.read_list()

    def holders(self, server):
        """Return a map of VM to its effective ``Share`` of a server."""
        shares_by_vm = {}
        for vm, daemon in self.daemons.items():
            if server in daemon.holder.shares:
                shares_by_vm[vm] = daemon.holder.shares[server]
        return shares_by_vm
