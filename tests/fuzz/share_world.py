"""A fleet of share managers around one fake platform."""

import random

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.fleet import FLEET_KEY
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.share_manager import ShareManager
from hemlockspoke.members.membership import Membership
from hemlockspoke.pause import Pause
from hemlockspoke.ports import NullMetrics
from tests.fuzz.share_fakes import (
    FakeConfiguration,
    FakePlatform,
    FakeStore,
    FakeUse,
)

GONE_MARGIN_MS = 2000
PAUSE_LIMIT_MS = 1000


class ShareDaemon:
    """One daemon process: the real decision code and its fakes.

    Each has its own clock, which stands still while the process is paused.
    """

    def __init__(self, platform, vm, now_ms, seed):
        self.vm = vm
        self.platform = platform
        self.clock = ManualClock(now_ms)
        self.configuration = FakeConfiguration()
        self.store = FakeStore(platform)
        self.use = FakeUse(self.clock)
        self.incarnation = self._register()
        self.read_objects()
        self.membership = Membership(self.clock, self.configuration, GONE_MARGIN_MS)
        self.pause = Pause(self.clock, PAUSE_LIMIT_MS)
        self.invariants = Invariants()
        self.shares = ShareManager(
            clock=self.clock,
            store=self.store,
            configuration=self.configuration,
            membership=self.membership,
            vm=vm,
            incarnation=lambda: self.incarnation,
            pause=self.pause,
            rng=random.Random(seed),
            metrics=NullMetrics(),
            invariants=self.invariants,
            set_share=self.use.set_share,
            in_use=self.use.in_use,
        )
        self.pause.start()
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
        """Adopt the store's objects, or some of them."""
        for key in sorted(self.platform.objects if keys is None else keys):
            stored = self.platform.objects[key]
            self.configuration.adopt(key, stored.version, stored.value)

    def read_list(self, without=()):
        """Take a reading of the VM list."""
        self.membership.note_list(self.platform.vm_list(without))


class ShareWorld:
    """The platform, the daemons and a common time."""

    def __init__(self):
        self.platform = FakePlatform()
        self.daemons = {}
        self.now_ms = 0.0
        self.seed = 0

    def set_document(self, service, value):
        """Accept a new version of a document."""
        return self.platform.put(f"services/{service}", value)

    def set_fleet(self, failure_domains=(), vms=()):
        """Take failure domains and VMs out."""
        value = {"failure_domains_out": list(failure_domains), "vms_out": list(vms)}
        self.platform.put(FLEET_KEY, value)

    def start(self, vm):
        """Start a daemon process on a listed VM."""
        self.seed += 1
        daemon = ShareDaemon(self.platform, vm, self.now_ms, self.seed)
        self.daemons[vm] = daemon
        return daemon

    def crash(self, vm):
        """End a process without warning."""
        daemon = self.daemons.pop(vm)
        daemon.shares.stop()
        daemon.pause.stop()
        return daemon

    def run(self, duration_ms, step_ms=100):
        """Let time pass; every daemon reads the store regularly."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for daemon in list(self.daemons.values()):
                daemon.clock.advance(step_ms)
                self.sync(daemon)

    def sync(self, daemon):
        """Bring a daemon up to date; peers reach one that is cut from the store."""
        daemon.read_objects()
        if not daemon.store.cut:
            daemon.read_list()

    def holders(self, server):
        """Return what each daemon believes that it may use of a server."""
        beliefs = {}
        for vm, daemon in self.daemons.items():
            if server in daemon.use.shares:
                beliefs[vm] = daemon.use.shares[server]
        return beliefs
