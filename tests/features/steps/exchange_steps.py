"""Steps of the exchange of configuration."""

import random

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.config_exchange import ConfigExchange
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.messages import ObjectPush, decode, encode
from hemlockspoke.ports import NullMetrics

EXCHANGE_MS = 500
TRANSIT_MS = 2


class Network:
    """Network that can be partitioned and lose messages; counts what is sent."""

    def __init__(self, count, objects):
        self.clock = ManualClock()
        self.rng = random.Random(7)
        self.loss_ratio = 0.0
        self.partition_of = {}
        self.bytes = 0
        self.copies = 0
        self.version = objects
        self.daemons = {
            f"vm-{number:02d}": Daemon(self, f"vm-{number:02d}")
            for number in range(count)
        }
        for number in range(objects):
            for daemon in self.daemons.values():
                daemon.adopt(number, number + 1)
        for daemon in self.daemons.values():
            daemon.start()

    def reaches(self, source, target):
        """Return whether both daemons are in the same partition."""
        return self.partition_of.get(source) == self.partition_of.get(target)

    def send(self, source, target, message):
        """Encode a message and schedule its delivery."""
        frame = encode(message)
        self.bytes += len(frame)
        self.copies += isinstance(message, ObjectPush)
        if self.reaches(source, target) and self.rng.random() >= self.loss_ratio:
            receive = self.daemons[target].exchange.receive
            self.clock.call_later(TRANSIT_MS, receive, source, decode(frame))
        return True

    def change(self, vm, number):
        """Adopt a newer object at one daemon."""
        self.version += 1
        self.daemons[vm].adopt(number, self.version)

    def run(self, duration_ms):
        """Let every daemon send digests at each interval for ``duration_ms``."""
        for _ in range(duration_ms // EXCHANGE_MS):
            for daemon in self.daemons.values():
                daemon.exchange.send_digests(0.0)
            self.clock.advance(EXCHANGE_MS)


class Daemon:
    """Configuration and exchange of one daemon, and its fake peer network."""

    def __init__(self, network, vm):
        self.network = network
        self.vm = vm
        self.configuration = Configuration(network.clock)
        self.exchange = ConfigExchange(
            clock=network.clock,
            configuration=self.configuration,
            peers=self,
            rng=random.Random(vm),
            metrics=NullMetrics(),
            ready=lambda: True,
            on_state=lambda vm, versions: None,
        )

    def start(self):
        """Announce every object that is adopted from now on."""
        self.configuration.subscribe(self.exchange.announce)

    def adopt(self, number, version):
        """Adopt a registration."""
        value = {
            "vm": f"vm-{number}",
            "region": "mtl",
            "failure_domain": "mtl-a",
            "peer_address": "10.0.0.1:1",
            "operator_address": "10.0.0.1:2",
        }
        assert self.configuration.adopt(f"vms/vm-{number}", version, value)

    def connected(self):
        """Return the names of the reachable daemons."""
        vms = self.network.daemons
        return [v for v in vms if v != self.vm and self.network.reaches(self.vm, v)]

    def send(self, vm, message):
        """Send to a peer."""
        return self.network.send(self.vm, vm, message)


@given("{count:d} exchanging daemons with {objects:d} objects each")
def exchanging_daemons(context, count, objects):
    context.network = Network(count, objects)


@when("an object changes at one of them and its announcement is lost")
def change_unannounced(context):
    network = context.network
    network.loss_ratio = 1.0
    network.change("vm-00", 3)
    network.loss_ratio = 0.0
    network.bytes = 0


@when("{seconds:d} s pass without any exchange")
def time_passes(context, seconds):
    context.network.clock.advance(seconds * 1000)


@when("the exchange runs for {seconds:d} s")
def run_exchange(context, seconds):
    context.network.run(seconds * 1000)


@when(
    "the daemons are partitioned into halves for 60 s while objects change in each half"
)
def partition_daemons(context):
    network = context.network
    vms = list(network.daemons)
    network.partition_of = {vm: number % 2 for number, vm in enumerate(vms)}
    for number in range(20):
        # Each object changes in one half only: operators write to a single store.
        network.change(vms[number % 2], number)
        network.run(3000)


@when("the partition ends")
def partition_ends(context):
    context.network.partition_of = {}


@when("objects change for 30 s while one message in three is lost")
def change_with_losses(context):
    network = context.network
    network.loss_ratio = 1 / 3
    vms = list(network.daemons)
    for number in range(30):
        network.change(vms[number % len(vms)], number)
        network.run(1000)
    network.loss_ratio = 0.0


@then("the exchanging daemons have equal versions")
def equal_versions(context):
    # Guards against a comparison of recent changes that hides an older difference.
    daemons = context.network.daemons.values()
    versions = [daemon.configuration.versions() for daemon in daemons]
    assert all(item == versions[0] for item in versions)


@then("fewer than {limit:d} bytes were exchanged")
def few_bytes(context, limit):
    # Guards against sending all versions if one of them differs.
    assert context.network.bytes < limit, context.network.bytes


@when("{changes:d} objects change one after the other at different daemons")
def change_in_turn(context, changes):
    network = context.network
    network.copies = 0
    vms = list(network.daemons)
    for number in range(changes):
        network.change(vms[number % len(vms)], number % 10)
        network.run(2000)
    context.expected = changes * (len(vms) - 1)


@then("fewer than {limit:f} copies of each change were sent to each daemon")
def few_copies(context, limit):
    # Guards against asking every peer that announces an object for its value.
    copies = context.network.copies / context.expected
    assert copies < limit, copies
