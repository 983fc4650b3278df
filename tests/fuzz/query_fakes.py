"""Query tier for tests, with a fake configuration, fake holders and upstreams."""

import random
from types import SimpleNamespace

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.document import (
    Index,
    QueryPolicy,
    Server,
    ServiceDocument,
    Shard,
)
from hemlockspoke.config.fleet import Fleet
from hemlockspoke.invariants import Invariants
from hemlockspoke.messages import CatalogUpdate, SubAnswerBatch, SubQueryBatch
from hemlockspoke.ports import NullMetrics
from hemlockspoke.queries.catalog import Catalog
from hemlockspoke.queries.query import QueryEngine
from hemlockspoke.queries.routing import Router
from hemlockspoke.requests import QueryRequest

SERVICE = "laurentide"
INDEX = "bins"


def make_document(shards, replicas=2, **policy):
    """Return a document of one index; server names are ``s<shard>-<replica>``."""
    servers, shard_layouts = {}, []
    for shard in range(shards):
        names = [f"s{shard:02d}-{'abc'[replica]}" for replica in range(replicas)]
        for name in names:
            servers[name] = Server(name, None, "", "mtl-a", "mtl")
        shard_layouts.append(Shard(names))
    indexes = {INDEX: Index(INDEX, shard_layouts)}
    policy = QueryPolicy(**{"hedge_policy": "quantile", **policy})
    return ServiceDocument(SERVICE, "o", ["mtl-a"], policy, indexes, {}, servers)


class FakeConfiguration:
    """Subset of ``Configuration`` that queries use."""

    def __init__(self, document):
        self.documents_by_name = {SERVICE: document}
        self.current_fleet = Fleet()
        self.listeners = []

    def document(self, service):
        return self.documents_by_name.get(service)

    def fleet(self):
        return self.current_fleet

    def subscribe(self, listener):
        self.listeners.append(listener)

    def set_fleet(self, fleet):
        self.current_fleet = fleet
        for listener in self.listeners:
            listener("fleet")


class FakeQueryTier:
    """Query engine with its collaborators; sent messages are recorded.

    ``sent`` is a list of ``(vm, message)``. ``holders`` maps servers to the VMs of
    their holders; the default for each server is ``vm-1`` and ``vm-2``.
    """

    def __init__(self, document, holders=None, seed=1):
        self.clock = ManualClock()
        self.configuration = FakeConfiguration(document)
        self.holders = holders or {}
        self.catalog = Catalog(clock=self.clock)
        self.router = Router(
            configuration=self.configuration,
            catalog=self.catalog,
            holders_of=lambda server: self.holders.get(server, ["vm-1", "vm-2"]),
            vm="vm-1",
            region="mtl",
        )
        self.sent = []
        self.unreachable_vms = set()
        self.sequence = 0
        self.engine = QueryEngine(
            clock=self.clock,
            configuration=self.configuration,
            catalog=self.catalog,
            router=self.router,
            send=self.send,
            rng=random.Random(seed),
            metrics=NullMetrics(),
            invariants=Invariants(),
            timings=SimpleNamespace(answer_margin_ms=5),
        )

    def send(self, vm, message):
        if vm in self.unreachable_vms:
            return False
        self.sent.append((vm, message))
        return True

    def report(self, server, versions, holder="vm-1", available=True):
        """Report ``{version: (parts_total, parts)}`` of a server to the catalog."""
        self.sequence += 1
        indexes = {
            str(version): {"parts_total": total, "parts": list(parts)}
            for version, (total, parts) in versions.items()
        }
        self.catalog.update(
            holder,
            CatalogUpdate(
                server=server,
                incarnation=1,
                sequence=self.sequence,
                available=available,
                indexes={INDEX: indexes},
            ),
        )

    def run(self, **fields):
        """Start a query; return a list to which its result is appended."""
        results = []
        request = QueryRequest(SERVICE, INDEX, {"q": 1}, **fields)
        self.engine.run(request).addCallback(results.append)
        return results

    def take_sub_queries(self):
        """Return the sent sub-queries as ``(vm, batch, item)`` and clear ``sent``."""
        batches = [pair for pair in self.sent if isinstance(pair[1], SubQueryBatch)]
        self.sent.clear()
        return [(vm, batch, item) for vm, batch in batches for item in batch.items]

    def answer(self, sent, status="ok", version=None, parts=None):
        """Answer a sub-query returned by ``take_sub_queries``."""
        vm, batch, (sub_id, _, requested) = sent
        version = batch.version if version is None else version
        if parts is None:
            parts = requested if status == "ok" else []
        rows = {str(part): [[version, part]] for part in parts}
        self.engine.receive(
            vm,
            SubAnswerBatch(
                request_id=batch.request_id, items=[[sub_id, status, version, rows]]
            ),
        )
