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
    FigureRow,
    SlopeRow,
    cpu_once_us,
    cpu_us,
    measurements,
    points_over,
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
# Rounds of digests after which two daemons must agree, and number of differences over
# which bytes are averaged, so that later differences count as well as the first.
DIGEST_ROUNDS = 8


def check_cost(servers):
    """Return the processor time in us of checking a document and its data."""
    value = document_value(servers)
    text, data = value["text"], value["data"]
    assert check_document(text, data=data).is_ok()
    return cpu_us(lambda: check_document(text, data=data), repeats=2)


def document_adoption_cost(servers):
    """Return the processor time in us of one adoption, without the check."""
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
    sizes = points_over(DOCUMENT_SERVERS, lambda n: len(document_text(n)))
    shares = points_over(GROUP_SERVERS, lambda n: len(json.dumps(share_value(n))))
    adoption = points_over(
        GROUP_SERVERS, lambda n: object_adoption_cost("shares/mtl-0a", share_value(n))
    )
    key, value = registration(1)
    return [
        SlopeRow(
            "document: check", "us", "server", points_over(DOCUMENT_SERVERS, check_cost)
        ),
        SlopeRow(
            "document: check, adoption and server index",
            "us",
            "server",
            points_over(DOCUMENT_SERVERS, document_adoption_cost),
        ),
        SlopeRow("document: size of the text", "B", "server", sizes),
        SlopeRow("share object: adoption", "us", "server", adoption),
        SlopeRow("share object: size as JSON", "B", "server", shares),
        FigureRow("registration: adoption", "us", object_adoption_cost(key, value)),
        SlopeRow("digest after a change", "us", "key", points_over(KEYS, digest_cost)),
    ]


class ExchangePair:
    """Two daemons with the same objects and one stream between them."""

    def __init__(self, keys):
        self.peers = connected_pair()
        self.daemons = []
        for number, peer in enumerate(self.peers):
            config = configuration_of(keys)
            exchange = ConfigExchange(
                clock=config._clock,
                configuration=config,
                peers=peer,
                rng=random.Random(number),
                metrics=NullMetrics(),
                ready=lambda: True,
                on_state=lambda vm, versions: None,
            )
            peer.set_receiver(exchange.receive)
            config.subscribe(exchange.announce)
            self.daemons.append((config, exchange))
        self.version = 1_000_000
        self.keys = keys

    def adopt_unannounced(self):
        """Adopt one newer object at the first daemon only.

        Its announcement is dropped, so that a digest has to find the difference.
        """
        self.version += 1
        key, value = registration(self.version % self.keys)
        sent_bytes = self.peers[0].bytes
        assert self.daemons[0][0].adopt(key, self.version, value)
        self.peers[0].bytes = sent_bytes
        self.peers[1].inbox.clear()

    def deliver(self):
        """Deliver frames until none is in transit."""
        while any(peer.deliver() for peer in self.peers):
            pass

    def exchange_digests(self):
        """Make both daemons send their digests once."""
        for config, exchange in self.daemons:
            config._clock.advance(500)
            exchange.send_digests(0.0)
        self.deliver()

    def converge(self):
        """Exchange digests for several rounds; both daemons then agree."""
        for _ in range(DIGEST_ROUNDS):
            self.exchange_digests()
        assert self.daemons[0][0].digest() == self.daemons[1][0].digest()

    def run_digest_round(self):
        """Change an object and send one digest that finds it."""
        self.adopt_unannounced()
        _, exchange = self.daemons[1]
        for config, _ in self.daemons:
            config._clock.advance(500)
        exchange.send_digests(0.0)
        self.deliver()

    def resolve_old_difference(self):
        """Change an object long before the next digest, then exchange digests."""
        self.adopt_unannounced()
        for config, _ in self.daemons:
            config._clock.advance(60_000)
        self.converge()

    def resolve_difference(self):
        """Change an object and exchange digests until both daemons agree."""
        self.run_digest_round()
        self.exchange_digests()
        if self.daemons[0][0].digest() != self.daemons[1][0].digest():
            self.converge()


def exchange_bytes(keys, make_difference=ExchangePair.resolve_difference):
    """Return the bytes that one differing key costs, both directions together."""
    exchange = ExchangePair(keys)
    make_difference(exchange)
    before = sum(peer.bytes for peer in exchange.peers)
    for _ in range(DIGEST_ROUNDS):
        make_difference(exchange)
    return (sum(peer.bytes for peer in exchange.peers) - before) / DIGEST_ROUNDS


def exchange_cost(keys):
    """Return the processor time in us that one differing key costs at both ends."""
    exchange = ExchangePair(keys)
    return cpu_once_us(lambda: exchange, ExchangePair.resolve_difference)


@measurements.register("exchange")
def exchange():
    """Measure the cost of a digest that finds one differing key."""
    time_us = points_over(KEYS, exchange_cost)
    size = points_over(KEYS, exchange_bytes)
    old_size = points_over(
        KEYS, lambda n: exchange_bytes(n, ExchangePair.resolve_old_difference)
    )
    return [
        SlopeRow("exchange: one key differs, both ends", "us", "key", time_us),
        SlopeRow("exchange: bytes for one key that differs", "B", "key", size),
        SlopeRow("exchange: bytes for one old difference", "B", "key", old_size),
    ]


def versions_reply_bytes(keys):
    """Return the size in bytes of the store's list of versions as JSON."""
    config = configuration_of(keys)
    entries = [{"key": k, "version": v} for k, v in config.versions().items()]
    return len(json.dumps({"revision": 1, "objects": entries}))


def vm_list_bytes(count):
    """Return the size in bytes of the platform's list of VMs as JSON."""
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
    """Measure the size of the store's lists and the time to parse one."""
    vms = (650, 1300, 2600)
    return [
        SlopeRow(
            "store: size of a list of versions",
            "B",
            "key",
            points_over(KEYS, versions_reply_bytes),
        ),
        SlopeRow(
            "store: size of the list of VMs", "B", "VM", points_over(vms, vm_list_bytes)
        ),
        SlopeRow(
            "store: parse the list of VMs",
            "us",
            "VM",
            points_over(vms, list_parse_cost),
        ),
    ]
