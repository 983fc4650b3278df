"""A large deployment in memory, for measurements of one daemon's control plane."""

import random

from twisted.internet.defer import succeed

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.config.document import UpstreamClass
from hemlockspoke.config.document_data import stored_data
from hemlockspoke.config.yaml_reader import read_yaml
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.share_manager import ShareManager
from hemlockspoke.members.membership import Membership
from hemlockspoke.messages import decode, encode
from hemlockspoke.pause import PauseDetector
from hemlockspoke.ports import ListedVm, NullMetrics, PeerNetwork, VmList
from hemlockspoke.requests import Share
from tests.bench.slope_wire import FRAME_HEADER_BYTES
from tests.fakes.store import FakeStore
from tests.layout import IndexLayout, Layout

REGIONS = ("mtl", "qc", "sag")
DOMAINS = {f"{region}-{part}": region for region in REGIONS for part in "abc"}
GONE_MARGIN_MS = 2000
PAUSE_LIMIT_MS = 1000
UPSTREAM_CLASS = UpstreamClass("route-planner", 2, 25, connect_cost_ms=6)


def vm_name(number):
    """Return the name of a VM."""
    return f"{domain_of(number)}-{number:04d}"


def domain_of(number):
    """Return the failure domain of a VM."""
    names = sorted(DOMAINS)
    return names[number % len(names)]


def registration(number):
    """Return the key and the value of a VM's registration."""
    vm, domain = vm_name(number), domain_of(number)
    address = f"10.1.{number // 250}.{number % 250 + 1}"
    value = {
        "vm": vm,
        "writer": f"{number:032x}",
        "region": DOMAINS[domain],
        "failure_domain": domain,
        "peer_address": f"{address}:7000",
        "operator_address": f"{address}:7001",
    }
    return f"vms/{vm}", value


def vm_list(count):
    """Return the platform's list of ``count`` VMs."""
    listed = []
    for number in range(count):
        domain = domain_of(number)
        address = f"10.1.{number // 250}.{number % 250 + 1}"
        listed.append(
            ListedVm(vm_name(number), address, DOMAINS[domain], domain, "live")
        )
    return VmList(0, listed)


def share_value(servers, first=0):
    """Return the value of a share object with two holders for each server."""
    holders = [
        {
            "vm": vm_name(number),
            "incarnation": 1000 + number,
            "slots": 1,
            "connections": 13 - number % 2,
            "cold_start_slots": 1 - number % 2,
        }
        for number in (first, first + 1)
    ]
    entries = {
        f"rp-{first:03d}-{number:03d}-a": {"document_version": 7, "holders": holders}
        for number in range(servers)
    }
    return {"writer": f"{vm_name(first)}.1000.1", "servers": entries}


def document_text(servers, service="laurentide"):
    """Return a document with that many servers, two for each shard."""
    index = IndexLayout("bins", servers // 2, UPSTREAM_CLASS)
    return Layout(service, ["10.0.0.1"], [index], [], DOMAINS).document()


def document_value(servers, service="laurentide"):
    """Return the stored object of a document without audit entries."""
    text = document_text(servers, service)
    data = stored_data(text, read_yaml(text).root)
    return {"text": text, "data": data, "audit": [], "writer": "w"}


def configuration_of(keys):
    """Return a configuration with that many registrations in force."""
    configuration = Configuration(ManualClock())
    for number in range(keys):
        key, value = registration(number)
        configuration.adopt(key, number + 1, value)
    return configuration


class ControlPlane:
    """Configuration, membership and shares of one daemon among ``vms``."""

    def __init__(self, vms, servers=0):
        self.clock = ManualClock()
        self.configuration = configuration_of(vms)
        self.membership = Membership(self.clock, self.configuration, GONE_MARGIN_MS)
        self.version = 1_000_000
        if servers:
            value = document_value(servers)
            assert self.configuration.adopt("services/laurentide", 500_000, value)
        self.membership.record_vm_list(vm_list(vms))
        self.shares = ShareManager(
            clock=self.clock,
            store=FakeStore(succeed),
            configuration=self.configuration,
            membership=self.membership,
            vm=vm_name(0),
            incarnation=lambda: 1,
            pause_detector=PauseDetector(self.clock, PAUSE_LIMIT_MS),
            rng=random.Random(1),
            metrics=NullMetrics(),
            invariants=Invariants(strict=False),
            set_share=lambda name, share: None,
            in_use=lambda name: Share(),
        )
        self.shares.start()
        self.clock.advance(1000)

    def restart(self, number):
        """Adopt the registration of a VM's next incarnation."""
        self.version += 1
        key, value = registration(number)
        assert self.configuration.adopt(key, self.version, value)


class CountingPeer(PeerNetwork):
    """Stream to one other daemon that counts frames and bytes."""

    def __init__(self, vm, other_vm):
        self.vm = vm
        self.other_vm = other_vm
        self.other = None
        self.frames = 0
        self.bytes = 0
        self.inbox = []

    def set_receiver(self, receiver):
        """Set the callback for received messages."""
        self.receiver = receiver

    def set_loss_listener(self, listener):
        """Do nothing: the stream is never lost."""

    def set_connect_listener(self, listener):
        """Do nothing: the stream is always open."""

    def set_addresses(self, addresses, one_sided=False):
        """Do nothing: there is one stream."""

    def connected(self):
        """Return the name of the other daemon."""
        return [self.other_vm]

    def send(self, vm, message):
        """Queue a frame for the other daemon."""
        frame = encode(message)
        self.frames += 1
        self.bytes += len(frame) + FRAME_HEADER_BYTES
        self.other.inbox.append(frame)
        return True

    def deliver(self):
        """Deliver the queued frames; return whether there were any."""
        frames, self.inbox = self.inbox, []
        for frame in frames:
            self.receiver(self.other_vm, decode(frame))
        return bool(frames)


def connected_pair():
    """Return the two ends of a stream."""
    left, right = CountingPeer("vm-a", "vm-b"), CountingPeer("vm-b", "vm-a")
    left.other, right.other = right, left
    return left, right
