"""Costs of configuration changes: check, adoption, digest and exchange."""

import itertools
import json
import random

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.config_exchange import ConfigExchange
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.config.document_check import check_document
from hemlockspoke.ports import NullMetrics
from tests.bench.slope_fit import (
    Figure,
    Measured,
    cpu_once_us,
    cpu_us,
    measurements,
    over,
)
from tests.bench.slope_world import (
    configuration_of,
    connected_pair,
    document_text,
    document_value,
    registration,
    share_value,
    vm_list,
)

DOCUMENT_SERVERS = (40, 160, 640)
GROUP_SERVERS = (10, 40, 130)
KEYS = (500, 1500, 3500)
# Digests that two daemons exchange while their versions differ, so that the cost
# of a repeated difference shows beside that of the first.
ROUNDS = 8


def check_cost(servers):
    """Return the processor time in us of a check of a document's data."""
    value = document_value(servers)
    text, data = value["text"], value["data"]
    assert check_document(text, data=data).is_ok()
    return cpu_us(lambda: check_document(text, data=data), repeats=2)


def document_adoption_cost(servers):
    """Return the processor time in us of one adoption without the check's share."""
    value = document_value(servers)
    configuration = Configuration(ManualClock())
    versions = itertools.count(1)

    def adopt():
        assert configuration.adopt("services/laurentide", next(versions), value)
        configuration.find_server("bins-00-a")

    return cpu_us(adopt, repeats=2)


def object_adoption_cost(key, value):
    """Return the processor time in us of adopting a small object."""
    configuration = Configuration(ManualClock())
    versions = itertools.count(1)
    return cpu_us(lambda: configuration.adopt(key, next(versions), value))


def digest_cost(keys):
    """Return the processor time in us of the digest after one change."""
    configuration = configuration_of(keys)
    key, value = registration(0)
    versions = itertools.count(1_000_000)

    def change():
        configuration.adopt(key, next(versions), value)
        configuration.digest()

    return cpu_us(change)


@measurements.register("configuration")
def configuration():
    """Measure adoption of documents, shares and registrations."""
    sizes = over(DOCUMENT_SERVERS, lambda n: len(document_text(n)))
    shares = over(GROUP_SERVERS, lambda n: len(json.dumps(share_value(n))))
    adoption = over(
        GROUP_SERVERS, lambda n: object_adoption_cost("shares/mtl-0a", share_value(n))
    )
    key, value = registration(1)
    return [
        Measured("document: check", "us", "server", over(DOCUMENT_SERVERS, check_cost)),
        Measured(
            "document: check, adoption and server index",
            "us",
            "server",
            over(DOCUMENT_SERVERS, document_adoption_cost),
        ),
        Measured("document: size of the text", "B", "server", sizes),
        Measured("share object: adoption", "us", "server", adoption),
        Measured("share object: size as JSON", "B", "server", shares),
        Figure("registration: adoption", "us", object_adoption_cost(key, value)),
        Measured("digest after a change", "us", "key", over(KEYS, digest_cost)),
    ]


class Exchange:
    """Two daemons with the same objects and one stream between them."""

    def __init__(self, keys):
        self.peers = connected_pair()
        self.sides = []
        for number, peer in enumerate(self.peers):
            side = configuration_of(keys)
            exchange = ConfigExchange(
                clock=side._clock,
                configuration=side,
                peers=peer,
                rng=random.Random(number),
                metrics=NullMetrics(),
                ready=lambda: True,
                on_state=lambda vm, versions: None,
            )
            peer.set_receiver(exchange.receive)
            side.subscribe(exchange.announce)
            self.sides.append((side, exchange))
        self.version = 1_000_000
        self.keys = keys

    def change(self):
        """Take one newer object in force at the first daemon only.

        Its announcement is lost, so that a digest has to find the difference.
        """
        self.version += 1
        key, value = registration(self.version % self.keys)
        sent_bytes = self.peers[0].bytes
        assert self.sides[0][0].adopt(key, self.version, value)
        self.peers[0].bytes = sent_bytes
        self.peers[1].inbox.clear()

    def deliver(self):
        """Deliver all frames until none is under way."""
        while any(peer.deliver() for peer in self.peers):
            pass

    def exchange_digests(self):
        """Let both daemons send their digests once."""
        for side, exchange in self.sides:
            side._clock.advance(500)
            exchange.send_digests(0.0)
        self.deliver()

    def settle(self):
        """Exchange digests until both sides agree."""
        for _ in range(ROUNDS):
            self.exchange_digests()
        assert self.sides[0][0].digest() == self.sides[1][0].digest()

    def round(self):
        """Change an object and let one digest find it."""
        self.change()
        _, exchange = self.sides[1]
        for side, _ in self.sides:
            side._clock.advance(500)
        exchange.send_digests(0.0)
        self.deliver()

    def old_difference(self):
        """Change an object long before the next digest, then agree on it."""
        self.change()
        for side, _ in self.sides:
            side._clock.advance(60_000)
        self.settle()

    def difference(self):
        """Change an object and bring both sides to agreement they know of."""
        self.round()
        self.exchange_digests()
        if self.sides[0][0].digest() != self.sides[1][0].digest():
            self.settle()


def exchange_bytes(keys, differ=Exchange.difference):
    """Return the bytes that one differing key costs, both directions together."""
    exchange = Exchange(keys)
    differ(exchange)
    before = sum(peer.bytes for peer in exchange.peers)
    for _ in range(ROUNDS):
        differ(exchange)
    return (sum(peer.bytes for peer in exchange.peers) - before) / ROUNDS


def exchange_cost(keys):
    """Return the processor time in us that one differing key costs at both ends."""
    exchange = Exchange(keys)
    return cpu_once_us(lambda: exchange, Exchange.difference)


@measurements.register("exchange")
def exchange():
    """Measure what a digest costs that finds one key to differ."""
    time_us = over(KEYS, exchange_cost)
    size = over(KEYS, exchange_bytes)
    old_size = over(KEYS, lambda n: exchange_bytes(n, Exchange.old_difference))
    return [
        Measured("exchange: one key differs, both ends", "us", "key", time_us),
        Measured("exchange: bytes for one key that differs", "B", "key", size),
        Measured("exchange: bytes for one old difference", "B", "key", old_size),
    ]


def versions_reply_bytes(keys):
    """Return the size of the store's list of versions."""
    side = configuration_of(keys)
    entries = [{"key": k, "version": v} for k, v in side.versions().items()]
    return len(json.dumps({"revision": 1, "objects": entries}))


def vm_list_bytes(count):
    """Return the size of the platform's list of VMs."""
    fields = ("vm", "address", "region", "failure_domain", "state")
    listed = [{f: getattr(vm, f) for f in fields} for vm in vm_list(count).vms]
    return len(json.dumps({"lag_ms": 0, "vms": listed}))


def list_parse_cost(count):
    """Return the processor time in us to parse a list of VMs."""
    fields = ("vm", "address", "region", "failure_domain", "state")
    listed = [{f: getattr(vm, f) for f in fields} for vm in vm_list(count).vms]
    text = json.dumps({"lag_ms": 0, "vms": listed})
    return cpu_us(lambda: json.loads(text))


@measurements.register("store replies")
def store_replies():
    """Measure the size of the store's lists."""
    vms = (650, 1300, 2600)
    return [
        Measured(
            "store: size of a list of versions",
            "B",
            "key",
            over(KEYS, versions_reply_bytes),
        ),
        Measured("store: size of the list of VMs", "B", "VM", over(vms, vm_list_bytes)),
        Measured(
            "store: parse the list of VMs", "us", "VM", over(vms, list_parse_cost)
        ),
    ]
