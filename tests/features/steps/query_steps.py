"""Steps for queries of one snapshot."""

import random

from behave import given, then, when

from hemlockspoke.config.fleet import Fleet
from hemlockspoke.messages import SubQueryCancel
from hemlockspoke.queries.hedging import hedge_policies
from tests.fuzz.query_fakes import INDEX, SERVICE, FakeQueryTier, make_document


def report_all_servers(tier, shards, parts, version):
    for server in tier.configuration.document(SERVICE).servers:
        shard = int(server[1:3])
        served_parts = [part for part in range(parts) if part % shards == shard]
        tier.report(server, {version: (parts, served_parts)} if served_parts else {})


@given("a query tier of {shards:d} shards with {parts:d} parts of version {version:d}")
def step_tier(context, shards, parts, version):
    context.tier = FakeQueryTier(make_document(shards))
    report_all_servers(context.tier, shards, parts, version)


@given("a query tier that admits 1 query and queues 1")
def step_small_tier(context):
    document = make_document(1, max_concurrent_queries=1, max_queued_queries=1)
    context.tier = FakeQueryTier(document)
    report_all_servers(context.tier, 1, 1, 7)


@when("a fan-out query is started")
def step_start(context):
    context.results = context.tier.run()
    context.batches = len(context.tier.sent)
    context.sub_queries = context.tier.take_sub_queries()
    context.newest = context.sub_queries[-1] if context.sub_queries else None


@when("{count:d} fan-out queries are started")
def step_start_many(context, count):
    context.query_results = [context.tier.run() for _ in range(count)]


@then(
    "at most {holders:d} query batches carry {count:d} items with {parts:d} parts each"
)
def step_batches(context, holders, count, parts):
    assert context.batches <= holders, context.batches
    assert len(context.sub_queries) == count, context.sub_queries
    assert all(len(item[2]) == parts for _, _, item in context.sub_queries)


@when("all sub-queries are answered")
def step_answer_all(context):
    for sent in context.sub_queries:
        context.tier.answer(sent)


@when('the newest sub-query is answered "{status}"')
def step_answer_status(context, status):
    context.tier.answer(context.newest, status)
    context.previous, context.sub_queries = (
        context.newest,
        context.tier.take_sub_queries(),
    )
    context.newest = context.sub_queries[-1]


@when("the newest sub-query is answered with version {version:d}")
def step_answer_version(context, version):
    context.tier.answer(context.newest, version=version)
    context.previous, context.sub_queries = (
        context.newest,
        context.tier.take_sub_queries(),
    )
    context.newest = context.sub_queries[-1]


@then("the next sub-query goes to the same server through its other holder")
def step_other_holder(context):
    assert context.newest[2][1] == context.previous[2][1]
    assert context.newest[0] != context.previous[0]


@then("the next sub-query goes to another server")
def step_other_server(context):
    assert context.newest[2][1] != context.previous[2][1]


@then("no token of extra load is spent")
def step_no_token(context):
    assert context.tier.engine.budget(SERVICE).tokens == 20


@then("the fan-out result is complete with version {version:d}")
def step_complete(context, version):
    (result,) = context.results
    answer = result.ok
    assert (answer.version, answer.missing_parts) == (version, [])
    assert answer.rows == [[version, part] for part in range(answer.parts_total)]
    assert context.tier.engine.in_flight() == 0


@when("one sub-query is answered and {time_ms:d} ms pass")
def step_answer_one(context, time_ms):
    context.tier.answer(context.sub_queries[0])
    context.tier.clock.advance(time_ms)


@then("one sub-query is hedged to another server")
def step_hedged(context):
    (context.hedge,) = context.tier.take_sub_queries()
    original = context.sub_queries[1]
    assert context.hedge[2][2] == original[2][2]
    assert context.hedge[2][1] != original[2][1]


@when("{time_ms:d} ms pass and a hedge is sent")
def step_hedge_sent(context, time_ms):
    context.tier.clock.advance(time_ms)
    (context.hedge,) = context.tier.take_sub_queries()


@when("the slow sub-query answers only part 0")
def step_partial_answer(context):
    context.tier.answer(context.sub_queries[0], parts=[0])


@when("the hedge is refused and {time_ms:d} ms pass")
def step_hedge_refused(context, time_ms):
    context.tier.answer(context.hedge, "refused")
    context.tier.clock.advance(time_ms)


@then("the hedge is sent again to its server through the other holder")
def step_hedge_resent(context):
    (resent,) = context.tier.take_sub_queries()
    assert resent[2][1] == context.hedge[2][1]
    assert resent[0] != context.hedge[0]


@when("the hedge is answered")
def step_answer_hedge(context):
    context.tier.answer(context.hedge)


@then("the original sub-query is cancelled")
def step_cancelled(context):
    vm, _, item = context.sub_queries[1]
    ((target, cancel),) = context.tier.sent
    assert isinstance(cancel, SubQueryCancel)
    assert (target, cancel.sub_ids) == (vm, [item[0]])


@then("the fan-out result misses {missing:d} of {total:d} parts")
def step_partial(context, missing, total):
    (result,) = context.results
    answer = result.ok
    assert len(answer.missing_parts) == missing
    assert answer.parts_total == total
    assert len(answer.rows) == total - missing


@when("version {new:d} replaces version {old:d} on all servers")
def step_replace(context, new, old):
    report_all_servers(context.tier, 1, 1, new)


@when('every sub-query is answered "{status}" until the query restarts')
def step_answer_until_restart(context, status):
    while context.sub_queries[0][1].version == 7:
        context.tier.answer(context.sub_queries[0], status)
        context.sub_queries = context.tier.take_sub_queries()


@then('the fan-out result is the problem "{name}" with outcome "{outcome}"')
def step_problem(context, name, outcome):
    (result,) = context.results
    assert result.error.name == name
    assert result.error.outcome.value == outcome


@then('the third is refused as "{name}" and the second waits')
def step_refused(context, name):
    assert context.query_results[2][0].error.name == name
    assert context.query_results[:2] == [[], []]
    assert len(context.tier.sent) == 1
    assert context.tier.engine.in_flight() == 2


@when("the first query is answered")
def step_answer_first(context):
    context.tier.answer(context.tier.take_sub_queries()[0])


@then("the second query runs")
def step_second_runs(context):
    assert len(context.query_results[0]) == 1
    assert len(context.tier.take_sub_queries()) == 1


@when("the failure domain of all its servers is taken out")
def step_domain_out(context):
    context.tier.configuration.set_fleet(Fleet(["mtl-a"], []))


@when('server "{server}" is reported as draining by its only reporter')
def step_draining(context, server):
    context.tier.report(server, {7: (1, [0])}, available=False)


@then('the replicas of part 0 name only server "{server}"')
def step_replicas(context, server):
    choices = context.tier.router.replicas(SERVICE, INDEX, 7, 0)
    assert choices == [(server, "vm-1"), (server, "vm-2")], choices


@when('the reports of holder "{holder}" are removed')
def step_remove_reports(context, holder):
    context.tier.catalog.peer_lost(holder)


@then("part 0 has no replica")
def step_no_replica(context):
    assert context.tier.router.replicas(SERVICE, INDEX, 7, 0) == []


@when(
    "the quantile policy gets {count:d} latencies of which {slow_percent:d} % are "
    "cancelled as overdue"
)
def step_latencies(context, count, slow_percent):
    context.policy = hedge_policies.get("quantile")()
    rng = random.Random(1)
    context.latencies = []
    for _ in range(count):
        latency_ms = (
            1000.0 if rng.random() < slow_percent / 100 else rng.uniform(10, 30)
        )
        context.latencies.append(latency_ms)
        if latency_ms >= context.policy.delay_ms(None):
            context.policy.observe_overdue()
        else:
            context.policy.observe(latency_ms)


@then("its hedge delay is within {margin_percent:d} % of the 95th percentile")
def step_delay(context, margin_percent):
    expected_ms = sorted(context.latencies)[int(0.95 * len(context.latencies))]
    actual_ms = context.policy.delay_ms(None)
    assert abs(actual_ms - expected_ms) <= expected_ms * margin_percent / 100, (
        actual_ms,
        expected_ms,
    )


@when("no holder reports the servers of part 1 any more")
def step_withdraw_reports(context):
    for server in ("s01-a", "s01-b"):
        context.tier.report(server, {}, available=False)


@when("another holder reports the servers of part 1")
def step_other_reports(context):
    for server in ("s01-a", "s01-b"):
        context.tier.report(server, {7: (2, [1])}, holder="vm-2")


@then("no sub-query is sent within {time_ms:d} ms")
def step_nothing_sent(context, time_ms):
    context.tier.clock.advance(time_ms)
    assert not context.tier.take_sub_queries()


@when("all sub-queries are answered after {time_ms:d} ms")
def step_answer_all_later(context, time_ms):
    context.tier.clock.advance(time_ms)
    context.sub_queries = context.tier.take_sub_queries()
    step_answer_all(context)


@given('a query tier with the policy "{policy}" of {shards:d} shards')
def step_policy_tier(context, policy, shards):
    context.tier = FakeQueryTier(make_document(shards, hedge_policy=policy))
    report_all_servers(context.tier, shards, shards, 7)


@when("all but one sub-query are answered after {time_ms:d} ms")
def step_all_but_one(context, time_ms):
    context.tier.clock.advance(time_ms)
    for sent in context.sub_queries[:-1]:
        context.tier.answer(sent)


@then("one sub-query is sent to another server within {time_ms:d} ms")
def step_one_sent(context, time_ms):
    context.tier.clock.advance(time_ms)
    (hedge,) = context.tier.take_sub_queries()
    original = context.sub_queries[-1]
    assert hedge[2][1] != original[2][1] and hedge[2][2] == original[2][2]
