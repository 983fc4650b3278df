"""Steps on a holder with HTTP connections to the upstream stand-in."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from hemlockspoke.adapters.http_upstream import HttpUpstreamClients
from hemlockspoke.clock import ReactorClock
from hemlockspoke.config.document import Server
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.holder import Holder
from hemlockspoke.messages import SubQueryBatch, SubQueryCancel
from hemlockspoke.ports import NullMetrics
from hemlockspoke.requests import Share
from tests.fakes.holder_side import FakeConfiguration, FakePauseDetector
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor
from tests.standins.running_time import RunningTimeReactor
from tests.standins.upstream import StandIn

TIMINGS = SimpleNamespace(status_poll_ms=100, proof_ttl_ms=5000)
STALL_MS = 100
RAMP_LIMIT_S = 10
FULL_SHARE = Share(3, 4, 1)
SERVER = {
    "name": "up",
    "slots": 3,
    "connections": 4,
    "connect_cost_ms": 1,
    "service_ms": 4,
    # Requests that the holder sent before it could notice a change of the server arrive
    # within this time. With both ends in one reactor they took up to 6 ms.
    "cold_notice_grace_ms": 30,
    "cold": True,
}


@given("a holder over HTTP with all 3 slots of a server with a service time of 4 ms")
def step_holder(context):
    # A pause of this process delays what the holder has sent, and is not its fault.
    running_time = run_in_reactor(RunningTimeReactor, reactor)
    context.add_cleanup(run_in_reactor, running_time.stop_clock)
    context.stand_in = StandIn(running_time, STAND_IN_HOST, {"servers": [SERVER]})
    ports = run_in_reactor(context.stand_in.start)
    context.add_cleanup(run_in_reactor, context.stand_in.stop)
    context.server = context.stand_in.servers["up"]
    context.port = ports["servers"]["up"]
    run_in_reactor(make_holder, context, context.port)
    context.add_cleanup(run_in_reactor, context.holder.stop)
    context.holders = [context.holder]


@given("another holder over HTTP takes 1 of the slots and no cold-start slot")
def step_other_holder(context):
    first = context.holder
    run_in_reactor(first.set_share, "up", Share(2, 2, 1))
    run_in_reactor(make_holder, context, context.port, Share(1, 2, 0))
    second, context.holder = context.holder, first
    context.add_cleanup(run_in_reactor, second.stop)
    context.holders = [first, second]
    first.set_listeners(
        ignore, lambda message: second.note_server_state("first", message)
    )
    second.set_listeners(
        ignore, lambda message: first.note_server_state("second", message)
    )


def ignore(_message):
    pass


def make_holder(context, port, share=FULL_SHARE):
    clock = ReactorClock(reactor)
    configuration = FakeConfiguration(["up"], ramp_successes=8)
    server_class = configuration.shop.servers["up"].upstream_class
    server = Server("up", server_class, f"{STAND_IN_HOST}:{port}", "fd", "region")
    configuration.shop.servers["up"] = server
    context.holder = Holder(
        clock,
        HttpUpstreamClients(reactor, clock, STALL_MS),
        configuration,
        NullMetrics(),
        Invariants(strict=False),
        FakePauseDetector(),
        TIMINGS,
    )
    context.holder.set_share("up", share)


async def send_query(holder, number, cancel_ms=None):
    answered = Deferred()
    batch = SubQueryBatch(
        request_id=f"q{number}",
        service="shop",
        index="bins",
        version=1,
        remaining_ms=300,
        traceparent=None,
        query={},
        items=[[0, "up", [0]]],
    )
    holder.execute("entry", batch, answered.callback)
    if cancel_ms is None:
        await answered
        return
    await deferLater(reactor, cancel_ms / 1000.0, lambda: None)
    holder.cancel("entry", SubQueryCancel(request_id=f"q{number}", sub_ids=[0]))


async def generate_load(holder, should_continue, name, cancels=False):
    number = 0
    while should_continue():
        number += 1
        await send_query(
            holder, f"{name}-{number}", 3 if cancels and number % 3 else None
        )
        # Without a pause, immediate refusals would starve the reactor's socket I/O.
        await deferLater(reactor, 0.001, lambda: None)


def start_load(holders, should_continue, cancels=False):
    names = [f"{id(should_continue)}-{number}" for number in range(5)]
    return [
        ensureDeferred(generate_load(holder, should_continue, name, cancels))
        for holder in holders
        for name in names
    ]


@when("the server over HTTP is under load during a fault: {fault}")
def step_load(context, fault):
    cancels = fault == "cancel"
    end_s = run_in_reactor(reactor.seconds) + 2.5

    def should_continue():
        return reactor.seconds() < end_s

    async def run():
        workers = start_load(context.holders, should_continue, cancels)
        await deferLater(reactor, 0.5, lambda: None)
        if fault == "drain":
            context.server.admin("config", {"draining": True, "drain_grace_ms": 200})
            await deferLater(reactor, 0.6, lambda: None)
            context.server.admin("config", {"draining": False})
        elif fault != "cancel":
            context.server.admin(fault, {"down_ms": 100})
        for worker in workers:
            await worker

    run_in_reactor(lambda: ensureDeferred(run()))


@then("the server over HTTP counts no violation")
def step_no_violation(context):
    counters = run_in_reactor(context.server.counters)
    assert counters["violations"] == 0, counters


@then("the server over HTTP has its full share again")
def step_full_share(context):
    """Keep up the load until all slots are permitted; a busy VM may slow that."""
    gates = [holder.gates()["up"] for holder in context.holders]
    end_s = run_in_reactor(reactor.seconds) + RAMP_LIMIT_S

    def should_continue():
        return permitted() < 3 and reactor.seconds() < end_s

    def permitted():
        return sum(gate.permitted() for gate in gates)

    async def run():
        for worker in start_load(context.holders, should_continue):
            await worker

    run_in_reactor(lambda: ensureDeferred(run()))
    assert run_in_reactor(permitted) == 3, [gate.cold_start.state for gate in gates]
    counters = run_in_reactor(context.server.counters)
    assert counters["max_running"] == 3, counters
