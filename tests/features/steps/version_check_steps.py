"""Steps of a watcher's version check, with a store whose watches never answer."""

import random
from collections import Counter

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.config_sync import ConfigSync
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.config.settings import Timings
from hemlockspoke.members.membership import Membership
from hemlockspoke.messages import Digest
from hemlockspoke.ports import ListedVm, NullMetrics, VmList
from tests.documents import VALID_DOCUMENT
from tests.fakes.store import FakeStore

VM = "vm-0"
DOCUMENT_KEY = "services/depot"
SHARE_KEY = "shares/mtl-00"
STEP_MS = 100


class SilentStore(FakeStore):
    """Store that counts its lists and whose watches never answer."""

    def __init__(self):
        super().__init__(succeed)
        self.lists = Counter()

    def list(self, prefix, values=True):
        """List the objects under a prefix and count the call."""
        self.lists[prefix] += 1
        return super().watch(prefix, 0, 0)

    def watch(self, prefix, since_revision, wait_ms):
        """Return a deferred that never fires."""
        return Deferred()

    def change(self, key, value):
        """Write an object unconditionally."""
        assert self._apply(key, value, self.version(key)).is_ok()


class SilentPeers:
    """One connected peer that accepts all messages and sends none."""

    def connected(self):
        return ["vm-1"]

    def send(self, vm, message):
        return True


class Watcher:
    """The configuration and its synchronization in one daemon."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = SilentStore()
        registration = {
            "vm": VM,
            "region": "mtl",
            "failure_domain": "mtl-a",
            "peer_address": "10.0.0.1:1",
            "operator_address": "10.0.0.1:2",
        }
        self.store.change(f"vms/{VM}", registration)
        self.configuration = Configuration(self.clock)
        membership = Membership(self.clock, self.configuration, 2000)
        listed = ListedVm(VM, "10.0.0.1", "mtl", "mtl-a", "live")
        membership.record_vm_list(VmList(0, [listed]))
        self.sync = ConfigSync(
            clock=self.clock,
            configuration=self.configuration,
            membership=membership,
            store=self.store,
            peers=SilentPeers(),
            timings=Timings.defaults(),
            rng=random.Random(1),
            metrics=NullMetrics(),
            vm=VM,
            failure_domain="mtl-a",
        )
        self.sync.start()
        self.run(5000)

    def run(self, duration_ms):
        """Advance the clock while a peer answers digests."""
        for _ in range(int(duration_ms) // STEP_MS):
            self.clock.advance(STEP_MS)
            digest = self.configuration.digest()
            message = Digest(
                digest=digest,
                store_contact_age_ms=0.0,
                reply=True,
                sent_ms=self.clock.now_ms(),
            )
            self.sync.receive("vm-1", message)


@given("a watcher daemon whose watches are silent")
def silent_watcher(context):
    context.watcher = Watcher()
    assert context.watcher.sync.ready()


@when("a document changes in the store of the watcher daemon")
def document_changes(context):
    value = {"text": VALID_DOCUMENT, "audit": [], "writer": "w"}
    context.watcher.store.change(DOCUMENT_KEY, value)


@when("a share object changes in the store of the watcher daemon")
def share_changes(context):
    context.watcher.store.change(SHARE_KEY, {"writer": "w", "servers": {}})


@then("the watcher daemon has the document after {seconds:f} s")
def has_document(context, seconds):
    # Guards against relying on the watch, which may stay silent without an error.
    context.watcher.run(seconds * 1000)
    assert context.watcher.configuration.get(DOCUMENT_KEY) is not None


@then("the watcher daemon has the share object after {seconds:f} s")
def has_share(context, seconds):
    # Guards against a watcher that checks only the objects that operators change.
    context.watcher.run(seconds * 1000)
    assert context.watcher.configuration.get(SHARE_KEY) is not None


@when("the watcher daemon has run for 60 s")
def runs_for_a_minute(context):
    context.watcher.store.lists.clear()
    context.watcher.run(60_000)


@then(
    "it has listed the documents {low:d} to {high:d} times"
    " and the registrations {few:d} to {more:d} times"
)
def has_listed(context, low, high, few, more):
    # Guards against lists of all versions every 2 s, which grow with the fleet.
    lists = context.watcher.store.lists
    assert low <= lists["services/"] <= high, lists
    assert few <= lists["vms/"] <= more, lists
