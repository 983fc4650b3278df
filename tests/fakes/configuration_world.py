"""Fakes for the configuration: a store, a peer network and a document check.

Everything runs on one ``ManualClock``, so that tests control all delays.
"""

import random
from types import SimpleNamespace

from expression import Error, Ok
from twisted.internet.defer import CancelledError, Deferred

from hemlockspoke.config import document_check
from hemlockspoke.config.config_sync import ConfigSync
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.findings import Finding, Findings
from hemlockspoke.ports import (
    NullMetrics,
    ObjectList,
    PeerNetwork,
    Store,
    StoredObject,
)
from tests.standins.platform_state import ObjectTable

STORE_DELAY_MS = 5
# Replies of a slow store arrive late and contain an earlier state.
SLOW_STORE_DELAY_MS = 1500
STORE_TIMEOUT_MS = 2000
BAD_TEXT = "bad"
TIMINGS = SimpleNamespace(
    watcher_check_ms=2000,
    version_check_ms=10000,
    watch_wait_ms=20000,
    digest_exchange_ms=500,
    isolation_limit_ms=3000,
)


def fake_check_document(text, file="", data=None):
    """Accept any text but ``BAD_TEXT``; the service is the last part of ``file``."""
    if text == BAD_TEXT:
        return Error(Findings([Finding("service", text, "another text", file=file)]))
    return Ok(SimpleNamespace(service=file.split("/")[-1], servers={}, text=text))


def use_fake_document_check():
    """Make the validators use the fake check; return a function that restores it."""
    original = document_check.check_document
    document_check.check_document = fake_check_document
    return lambda: setattr(document_check, "check_document", original)


class SharedStore:
    """The store's objects and the faults between it and each daemon.

    ``cut_off_vms`` holds the VMs that do not reach the store and ``slow_vms`` those
    that get late, outdated replies. While ``silent_watches`` is set, watches report no
    changes.
    """

    def __init__(self, clock):
        self.clock = clock
        self.table = ObjectTable()
        self.down = False
        self.silent_watches = False
        self.cut_off_vms = set()
        self.slow_vms = set()
        self.watches = []

    def write(self, key, value):
        """Write as an operator does; return the new version."""
        current = self.table.get(key)
        _, version = self.table.put(key, value, current[0] if current else 0)
        self.answer_watches()
        return version

    def answer_watches(self):
        """Answer the watches with pending changes."""
        for watch in list(self.watches):
            watch.answer_if_changed()

    def reaches(self, vm):
        """Return whether a daemon reaches the store."""
        return not self.down and vm not in self.cut_off_vms

    def listing(self, prefix, since=0, values=True):
        """Return an ``ObjectList`` of the current state."""
        found = self.table.list(prefix, since, values)
        objects = [
            StoredObject(item["key"], item["version"], item.get("value"))
            for item in found["objects"]
        ]
        return ObjectList(found["revision"], objects)


class FakeWatch:
    """A pending watch of one daemon."""

    def __init__(self, client, prefix, since):
        self.client = client
        self.prefix = prefix
        self.since = since
        self.deferred = Deferred(self._cancelled)

    def _cancelled(self, deferred):
        self._remove()
        deferred.errback(CancelledError())

    def _remove(self):
        watches = self.client.shared_store.watches
        if self in watches:
            watches.remove(self)

    def answer_if_changed(self):
        """Answer after ``STORE_DELAY_MS`` if there are changes."""
        shared_store = self.client.shared_store
        if shared_store.silent_watches or not shared_store.reaches(self.client.vm):
            return
        if shared_store.listing(self.prefix, self.since, values=False).objects:
            self._remove()
            shared_store.clock.call_later(STORE_DELAY_MS, self.end)

    def end(self):
        """Answer with the changes, or fail if no answer may reach the daemon."""
        self._remove()
        shared_store = self.client.shared_store
        result = Ok(shared_store.listing(self.prefix, self.since))
        self.client.answer(
            self.deferred, unavailable() if shared_store.silent_watches else result
        )


def unavailable():
    """Return the result of a call that did not reach the store."""
    return Error(StoreError(StoreErrorKind.UNAVAILABLE, "not reached"))


class FakeStoreClient(Store):
    """The store as one daemon sees it."""

    def __init__(self, shared_store, vm, clock):
        self.shared_store = shared_store
        self.vm = vm
        self._clock = clock

    def answer(self, deferred, result):
        """Deliver the result, after a pause of the daemon if there is one."""
        reached = self.shared_store.reaches(self.vm)
        self._clock.run(self._complete, deferred, result if reached else unavailable())

    def _complete(self, deferred, result):
        if not deferred.called:
            deferred.callback(result)

    def _delayed(self, result):
        delay_ms = STORE_TIMEOUT_MS
        if self.shared_store.reaches(self.vm):
            slow = self.vm in self.shared_store.slow_vms
            delay_ms = SLOW_STORE_DELAY_MS if slow else STORE_DELAY_MS
        else:
            result = unavailable()
        deferred = Deferred()
        self.shared_store.clock.call_later(delay_ms, self.answer, deferred, result)
        return deferred

    def get(self, key):
        found = self.shared_store.table.get(key)
        if found is None:
            return self._delayed(Error(StoreError(StoreErrorKind.NOT_FOUND, key)))
        return self._delayed(Ok(StoredObject(key, *found)))

    def put(self, key, value, if_version):
        raise NotImplementedError("the configuration writes nothing")

    def list(self, prefix, values=True):
        return self._delayed(Ok(self.shared_store.listing(prefix, values=values)))

    def watch(self, prefix, since_revision, wait_ms):
        watch = FakeWatch(self, prefix, since_revision)
        self.shared_store.watches.append(watch)
        self.shared_store.clock.call_later(wait_ms, watch.end)
        watch.answer_if_changed()
        return watch.deferred

    def list_vms(self):
        raise NotImplementedError("the configuration reads no VM list")


class FakeNetwork:
    """Network between daemons that can lose, duplicate and delay messages.

    ``disconnected_pairs`` holds the pairs of VMs without a stream, each as a
    ``frozenset``.
    """

    def __init__(self, clock, seed=0):
        self.clock = clock
        self.random = random.Random(seed)
        self.daemons = {}
        self.disconnected_pairs = set()
        self.unreliable = False

    def has_stream(self, one, other):
        """Return whether two daemons have a stream."""
        both_known = one in self.daemons and other in self.daemons
        return (
            both_known
            and one != other
            and frozenset((one, other)) not in self.disconnected_pairs
        )

    def send(self, sender, vm, message):
        """Send a message; if ``unreliable``, it may be lost, duplicated or delayed."""
        if not self.has_stream(sender, vm):
            return False
        copies = self.random.choice((0, 1, 1, 2)) if self.unreliable else 1
        for _ in range(copies):
            delay_ms = self.random.uniform(1, 900 if self.unreliable else 5)
            self.clock.call_later(delay_ms, self._deliver, sender, vm, message)
        return True

    def _deliver(self, sender, vm, message):
        if self.has_stream(sender, vm):
            self.daemons[vm].deliver(sender, message)


class FakePeers(PeerNetwork):
    """The network as one daemon sees it."""

    def __init__(self, network, vm):
        self._network = network
        self._vm = vm
        self.closed = False

    def set_receiver(self, receiver):
        """Do nothing: messages go to ``FakeDaemon.deliver``."""

    def set_loss_listener(self, listener):
        """Do nothing: the configuration ignores lost streams."""

    def set_connect_listener(self, listener):
        """Do nothing: the configuration ignores new streams."""

    def set_addresses(self, addresses):
        """Do nothing: peers are addressed by name."""

    def send(self, vm, message):
        return not self.closed and self._network.send(self._vm, vm, message)

    def connected(self):
        if self.closed:
            return []
        names = self._network.daemons
        return [vm for vm in names if self._network.has_stream(self._vm, vm)]


class PausableClock:
    """Clock of one daemon; calls that become due in a pause run after it."""

    def __init__(self, clock):
        self._clock = clock
        self._held = []
        self.paused = False

    def now_ms(self):
        return self._clock.now_ms()

    def call_later(self, delay_ms, function, *args):
        return self._clock.call_later(delay_ms, self.run, function, *args)

    def run(self, function, *args):
        """Run the call now, or after the pause."""
        if self.paused:
            self._held.append((function, args))
        else:
            function(*args)

    def resume(self):
        """End the pause and run the held calls."""
        self.paused = False
        held, self._held = self._held, []
        for function, args in held:
            function(*args)


class FakeDaemon:
    """One daemon's configuration on the fakes, and the objects it has adopted."""

    def __init__(self, vm, shared_store, network, domain_vms, seed=0):
        self.vm = vm
        self.clock = PausableClock(shared_store.clock)
        self.configuration = Configuration(self.clock)
        self.adopted = []
        self.configuration.subscribe(self._record_adoption)
        self._peers = FakePeers(network, vm)
        live = [SimpleNamespace(vm=name, failure_domain="d") for name in domain_vms]
        self.sync = ConfigSync(
            clock=self.clock,
            configuration=self.configuration,
            membership=SimpleNamespace(live=lambda: live, members=lambda: live),
            store=FakeStoreClient(shared_store, vm, self.clock),
            peers=self._peers,
            timings=TIMINGS,
            rng=random.Random(f"{vm}/{seed}"),
            metrics=NullMetrics(),
            vm=vm,
            failure_domain="d",
        )
        network.daemons[vm] = self
        self.sync.start()

    def _record_adoption(self, key):
        self.adopted.append((key, self.configuration.get(key)))

    def accepts_work(self):
        """Return whether the configuration permits new work, as in a daemon."""
        return self.sync.ready() and not self.sync.isolated()

    def deliver(self, sender, message):
        """Deliver a message, after a pause of the daemon if there is one."""
        self.clock.run(self.sync.receive, sender, message)

    def crash(self):
        """Stop the daemon without a shutdown."""
        self.clock.paused = True
        self._peers.closed = True
