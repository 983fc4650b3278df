"""Processor time of queries and sub-queries, at the entry and at the holder."""

from hemlockspoke.messages import SubAnswerBatch, SubQueryBatch
from hemlockspoke.requests import Share
from tests.bench.slope_fit import SlopeRow, cpu_us, measurements, points_over
from tests.fakes.holder_side import HolderFixture
from tests.fuzz.query_fakes import FakeQueryTier, make_document

SHARDS = (20, 100, 400, 1700)
BATCH_SIZES = (1, 8, 32, 128)
HOLDERS = 8


def entry_tier(shards):
    """Return a tier whose servers are spread over some holders, one each."""
    document = make_document(shards)
    names = sorted(document.servers)
    holders = {name: [f"vm-{i % HOLDERS}"] for i, name in enumerate(names)}
    tier = FakeQueryTier(document, holders=holders)
    for shard, layout in enumerate(document.indexes["bins"].shards):
        for name in layout.replicas:
            tier.report(name, {1: (shards, [shard])})
    return tier


def run_query(tier, items_per_answer):
    """Run one query to its end; answers carry up to ``items_per_answer`` items."""
    results = tier.run(deadline_ms=800)
    sent, tier.sent[:] = list(tier.sent), []
    for vm, batch in sent:
        items = [
            [sub_id, "ok", 1, {str(part): [[1, part]] for part in parts}]
            for sub_id, _, parts in batch.items
        ]
        chunk_size = items_per_answer or len(items)
        for start in range(0, len(items), chunk_size):
            answer = SubAnswerBatch(
                request_id=batch.request_id, items=items[start : start + chunk_size]
            )
            tier.engine.receive(vm, answer)
    assert not results[0].ok.missing_parts, "a measured query is not complete"
    # Cancelled timers are dropped from the manual clock when they are due.
    tier.clock.advance(1000)


def entry_cost(shards, items_per_answer):
    """Return the processor time in us of one query at its entry VM."""
    tier = entry_tier(shards)
    return cpu_us(lambda: run_query(tier, items_per_answer))


@measurements.register("entry")
def entry():
    """Measure the entry side of a query."""
    batched = points_over(SHARDS, lambda n: entry_cost(n, None))
    single = points_over(SHARDS, lambda n: entry_cost(n, 1))
    plan = points_over(SHARDS, plan_cost)
    return [
        SlopeRow("entry: query, one answer per holder", "us", "sub-query", batched),
        SlopeRow("entry: query, one answer per server", "us", "sub-query", single),
        SlopeRow("entry: plan after a catalog change", "us", "sub-query", plan),
    ]


def plan_cost(shards):
    """Return the processor time in us of rebuilding a plan."""
    tier = entry_tier(shards)
    key = ("bins", 1)

    def build():
        tier.router._plans.clear()
        assert tier.router.plan("laurentide", *key).complete()

    return cpu_us(build)


def holder_fixture(servers):
    """Return a holder with warm gates and shares of some servers, and their names."""
    names = [f"s{number}" for number in range(servers)]
    fixture = HolderFixture(names, ramp_successes=1)
    for name in names:
        fixture.holder.set_share(name, Share(4, 8, 1))
    for number in range(4):
        run_batch(fixture, names, number)
    return fixture, names


def run_batch(fixture, names, number):
    """Run one batch with a sub-query for each server; all calls succeed."""
    answers = []
    batch = SubQueryBatch(
        request_id=f"r-{number}",
        service="shop",
        index="bins",
        version=1,
        remaining_ms=800,
        traceparent=None,
        query={"q": 1},
        items=[[i, name, [0]] for i, name in enumerate(names)],
    )
    fixture.holder.execute("vm-0", batch, answers.append)
    for name in names:
        client = fixture.clients[name]
        for call in client.open_calls():
            call.succeed("a")
        client.calls.clear()
        client.sent_calls.clear()
    fixture.clock.advance(0)
    assert sum(len(answer.items) for answer in answers) == len(names)
    assert all(item[1] == "ok" for answer in answers for item in answer.items)


def holder_cost(servers):
    """Return the processor time in us of one batch at its holder VM."""
    fixture, names = holder_fixture(servers)
    numbers = iter(range(10, 1 << 30))

    def once():
        run_batch(fixture, names, next(numbers))
        fixture.clock._pending.clear()

    return cpu_us(once)


@measurements.register("holder")
def holder():
    """Measure the holder side of a batch, without the call to the upstream."""
    batched = points_over(BATCH_SIZES, holder_cost)
    return [SlopeRow("holder: batch, fake upstream", "us", "sub-query", batched)]
