"""Steps on the holder, with fakes at its ports."""

from behave import given, step, then, when

from hemlockspoke.config.document import Server
from hemlockspoke.errors import UpstreamErrorKind
from hemlockspoke.messages import OrderSend, ServerState, SubQueryBatch
from hemlockspoke.requests import Share
from tests.fakes.holder_side import HolderFixture

PARTS_0_1 = {"bins": {"1": {"parts_total": 2, "parts": [0, 1]}}}


def start_holder(context, names, share, ramp_successes=3):
    context.fixture = HolderFixture(names, ramp_successes)
    context.holder = context.fixture.holder
    context.incarnation = "first"
    context.answers, context.messages, context.order_answers = [], [], []
    context.next_id = 0
    for name in names:
        context.holder.set_share(name, share)


def receive(context, message):
    context.messages.append(message)
    context.answers.extend(message.items)


def send_batch(context, items, service="shop", remaining_ms=10_000):
    context.next_id += 1
    batch = SubQueryBatch(
        request_id=f"q{context.next_id}",
        service=service,
        index="bins",
        version=1,
        remaining_ms=remaining_ms,
        traceparent=None,
        query={},
        items=items,
    )
    context.holder.execute("entry", batch, lambda message: receive(context, message))
    context.fixture.clock.advance(0)


def open_calls(context, name):
    return context.fixture.clients[name].open_calls()


def answer(context, name, count):
    for _ in range(count):
        open_calls(context, name)[0].succeed(context.incarnation)


def run_status_polls(context, name, state="live", duration_ms=1000):
    indexes = getattr(context, "indexes", {})
    status = (context.incarnation, state, 0, indexes)
    context.fixture.clients[name].next_status = status
    context.fixture.clock.advance(duration_ms)


@given("a holder of servers s and t, each warm with 4 slots")
def step_warm(context):
    start_holder(context, ["s", "t"], Share(4, 8, 1), ramp_successes=1)
    for name in ("s", "t"):
        for _ in range(3):
            send_batch(context, [[0, name, [0]]])
            answer(context, name, 1)
    context.fixture.clock.advance(0)
    context.answers.clear()
    context.messages.clear()


@given("a holder of cold server s with {slots:d} slots and {cold:d} for cold starts")
def step_cold(context, slots, cold):
    start_holder(context, ["s"], Share(slots, 8, cold))


@when("the holder gets a batch with parts 0 and 1 of s and part 2 of t")
def step_batch(context):
    send_batch(context, [[0, "s", [0, 1]], [1, "t", [2]]])


@when("{count:d} sub-queries for s reach the holder")
@when("{count:d} sub-query for s reaches the holder")
def step_sub_queries(context, count):
    for _ in range(count):
        send_batch(context, [[0, "s", [0]]])


@when("{count:d} sub-queries of {service} for s reach the holder")
def step_of_service(context, count, service):
    for _ in range(count):
        send_batch(context, [[0, "s", [0]]], service)


@when("{count:d} sub-queries for s with {remaining:d} ms left reach the holder")
def step_short(context, count, remaining):
    for _ in range(count):
        send_batch(context, [[0, "s", [0]]], remaining_ms=remaining)


@when("all held servers answer in the same reactor iteration")
def step_all_answer(context):
    for name in ("s", "t"):
        answer(context, name, 1)
    context.fixture.clock.advance(0)


@when("s answers {count:d} times")
@when("s answers {count:d} time")
def step_answers(context, count):
    answer(context, "s", count)
    context.fixture.clock.advance(0)


@when("s answers {count:d} sub-queries after {latency:d} ms")
@when("s answers {count:d} sub-query after {latency:d} ms")
def step_answers_after(context, count, latency):
    for _ in range(count):
        send_batch(context, [[0, "s", [0]]])
        context.fixture.clock.advance(latency)
        answer(context, "s", 1)


@when("{count:d} sub-queries for s are all answered after a pause of {latency:d} ms")
def step_pause_of_answers(context, count, latency):
    step_sub_queries(context, count)
    context.fixture.clock.advance(latency)
    answer(context, "s", count)


@when("s answers as a new incarnation")
def step_new_incarnation(context):
    context.incarnation = "second"
    answer(context, "s", 1)


@when("the status of s has a new incarnation")
def step_status_incarnation(context):
    answer(context, "s", 1)
    context.incarnation = "second"
    run_status_polls(context, "s")


def fail_first_call(context, kind):
    open_calls(context, "s")[0].fail(UpstreamErrorKind(kind), context.incarnation)
    context.fixture.clock.advance(0)


@when("s sheds a request")
def step_shed(context):
    fail_first_call(context, "shed")


@when("s breaks a connection")
def step_break(context):
    fail_first_call(context, "broken")


@when("s refuses it as draining")
def step_refuse_draining(context):
    fail_first_call(context, "draining")


@when("the connection to s stalls")
def step_stall(context):
    fail_first_call(context, "stalled")


@when("the status of s is {state} for {duration:d} ms")
def step_status(context, state, duration):
    run_status_polls(context, "s", state, duration)


@when("the status of s lists parts 0 and 1")
def step_lists(context):
    context.indexes = PARTS_0_1
    run_status_polls(context, "s")


@when("s refuses part 0 as gone")
def step_gone(context):
    send_batch(context, [[0, "s", [0]]])
    remaining_indexes = {"bins": {"1": {"parts_total": 2, "parts": [1]}}}
    open_calls(context, "s")[0].fail(
        UpstreamErrorKind.VERSION_GONE, context.incarnation, remaining_indexes
    )


@when("the holder's clock advances by {duration:d} ms")
def step_advance_clock(context, duration):
    context.fixture.clock.advance(duration)


@when("s closes an idle connection")
def step_idle_connection_lost(context):
    context.fixture.clients["s"].loss_listener()


@when("the other holder of s reports {state} with sequence {sequence:d}")
def step_peer_state(context, state, sequence):
    message = ServerState(
        server="s", incarnation="first", state=state, sequence=sequence
    )
    context.holder.note_server_state("other", message)


@step("the failure domain of s goes out")
def step_out(context):
    context.fixture.configuration.set_fleet(domains=["fd"])
    context.fixture.clock.advance(0)


@when("the failure domain of s returns")
def step_domain_returns(context):
    context.fixture.configuration.set_fleet()


@given("connections to s take time")
def step_slow_connections(context):
    context.fixture.clients["s"].delay_sends = True


@when("the connections to s are made")
def step_flush(context):
    context.fixture.clients["s"].flush()
    context.fixture.clock.advance(0)


@given("the process of the holder was paused")
def step_paused(context):
    context.fixture.pause_detector.pause_ms = 2000


@given("connections to s are refused")
def step_unreachable(context):
    context.fixture.clients["s"].unreachable = True


@when("s moves to another address")
def step_moves(context):
    servers = context.fixture.configuration.shop.servers
    old = servers["s"]
    servers["s"] = Server("s", old.upstream_class, "new:1", "fd", "region")
    context.fixture.configuration.set_fleet()


@when("the peer that sent the work is lost")
def step_peer_lost(context):
    context.holder.peer_lost("entry")


@when("order o1 for s reaches the holder")
def step_order(context):
    message = OrderSend(
        request_id="o1",
        service="shop",
        server="s",
        idempotency_key="key",
        remaining_ms=1000,
        traceparent=None,
        body={},
    )
    context.holder.send_order("entry", message, context.order_answers.append)


@when("the obstacle is removed and order o1 for s reaches the holder again")
def step_order_again(context):
    context.fixture.configuration.set_fleet()
    context.fixture.clients["s"].unreachable = False
    context.order_answers.clear()
    step_order(context)


@when("the upstream ends it with {end}")
def step_end(context, end):
    if end == "success":
        answer(context, "s", 1)
    else:
        fail_first_call(context, end)


@then("the holder has {count:d} requests at {name}")
@then("the holder has {count:d} request at {name}")
def step_has(context, count, name):
    assert len(open_calls(context, name)) == count, len(open_calls(context, name))
    assert not context.fixture.invariants.violations


@then("held server {name} is asked once for parts 0 and 1")
def step_has_parts(context, name):
    (call,) = open_calls(context, name)
    assert call.request.body["parts"] == [0, 1]


@then("held server {name} is asked once for part 2")
def step_has_part(context, name):
    (call,) = open_calls(context, name)
    assert call.request.body["parts"] == [2]


@then("the holder replies with 1 message of 2 answers")
def step_one_message(context):
    (message,) = context.messages
    assert len(message.items) == 2


@then("the holder answers {status} {count:d} times")
@then("the holder answers {status} {count:d} time")
def step_answered(context, status, count):
    found = [item for item in context.answers if item[1] == status]
    assert len(found) == count, context.answers


@then("the holder has announced s as cold")
def step_announced(context):
    assert [s.state for s in context.fixture.states if s.server == "s"][-1] == "cold"


@then("the gate of s is {state}")
def step_gate(context, state):
    step_sub_queries(context, 4)
    expected = {"cold": 1, "warm": 4}[state]
    assert len(open_calls(context, "s")) == expected, len(open_calls(context, "s"))
    answer(context, "s", expected)


@then("the requests at s came from {services}")
def step_order_of_services(context, services):
    seen = context.fixture.clients["s"].sent_calls
    ids = [int(call.request.request_id[1:].split("/")[0]) for call in seen]
    names = ["shop" if number <= 4 else "depot" for number in ids]
    assert names == services.split(", "), names


@then("the last catalog update of s lists part 1")
def step_catalog(context):
    update = [u for u in context.fixture.updates if u.server == "s"][-1]
    assert update.indexes["bins"]["1"]["parts"] == [1], update


@when("the status of the new holder's server s arrives")
def step_first_status(context):
    context.indexes = {}
    run_status_polls(context, "s")


@when("the holder loses its share of s")
def step_share_lost(context):
    context.holder.set_share("s", None)


@when("the holder of s gets its share back")
def step_share_back(context):
    context.holder.set_share("s", Share(1, 8, 1))


@then("the last catalog update of s says that it is {text}")
def step_availability(context, text):
    updates = [u for u in context.fixture.updates if u.server == "s"]
    assert updates, "no update"
    assert updates[-1].available == (text == "available"), updates[-1]


@then("the holder is idle")
def step_idle(context):
    assert context.holder.idle()


@then("the holder answers the order {status}")
def step_order_answer(context, status):
    assert [answer.status for answer in context.order_answers][-1] == status
    assert len({answer.status for answer in context.order_answers}) == 1


@then("the last order answer of the holder is {status}")
def step_last_order_answer(context, status):
    assert context.order_answers[-1].status == status


@then("s has seen {count:d} order")
def step_seen_orders(context, count):
    seen = [
        call for call in context.fixture.clients["s"].sent_calls if call.kind == "order"
    ]
    assert len(seen) == count
