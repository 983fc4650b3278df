"""Steps on what a stopping daemon takes, and on the reasons against a server."""

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.directory import Directory
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.eligibility import reason_against
from hemlockspoke.tier.routes import RoutingTable, ServiceLimits
from hemlockspoke.tier.servers import ServerEntry
from hemlockspoke.tier.shutdown import ShutdownPlan

SHUTDOWN_MS = st.floats(0.0, 60_000.0)


@then("in a stop of any length each request that is taken ends before the last answers")
def step_taken(context):
    @for_all(SHUTDOWN_MS, st.floats(0.0, 60_000.0), st.floats(0.0, 30_000.0))
    def check(shutdown_ms, after_ms, duration_ms):
        plan = ShutdownPlan(1000.0, shutdown_ms)
        now_ms = 1000.0 + after_ms
        if plan.may_start(now_ms, duration_ms):
            assert now_ms + duration_ms <= plan.answer_ms <= plan.exit_ms

    check()


@then("a port is closed and a process ends in time in a stop of any length")
def step_in_time(context):
    @for_all(SHUTDOWN_MS)
    def check(shutdown_ms):
        plan = ShutdownPlan(1000.0, shutdown_ms)
        assert 1000.0 <= plan.close_idle_ms <= plan.accept_until_ms
        assert plan.accept_until_ms <= plan.answer_ms <= plan.exit_ms
        assert plan.exit_ms <= 1000.0 + shutdown_ms

    check()


def directory_with_server():
    """Return a directory with the server "s1", which may get requests."""
    clock = ManualClock()
    bounds = Bounds(cold_overshoot=1.0)
    directory = Directory(None, clock, "e1", "a1", {"a1": "a"}, bounds)
    limits = ServiceLimits("items", 50, cold_per_s=1.0)
    directory.adopt_routing(RoutingTable(1, [], [limits]))
    directory.set_members({"a1": ["e1"]})
    address = Address.parse("10.0.0.1:80")
    directory.set_server(ServerEntry("s1", "items", address, "a1"))
    return directory, directory.servers["s1"]


def set_state(directory, server, state):
    """Bring a server into a state that excludes it."""
    if state == "misdirected":
        directory.mark_misdirected(server, "s2")
    elif state == "gone":
        server.leaving_until_ms = 0.0
    elif state == "held":
        directory.note_hold(server, 1000.0)
    elif state == "evacuated":
        directory.set_domains_out(["a1"])
    elif state == "unreachable":
        server.pool.limit = 0
    elif state == "cold":
        server.cold_until_ms = 5000.0
        for _ in range(10):
            server.record_send(0.0)


@then('a server that is <state> is excluded, as "<reason>"')
def step_excluded(context):
    for row in context.table:
        directory, server = directory_with_server()
        set_state(directory, server, row["state"])
        reason = reason_against(directory, server, 0.0)
        assert reason == row["reason"], (row["state"], reason)
        assert not directory.candidates("items")


@then("a server in no such state may get a request")
def step_not_excluded(context):
    directory, server = directory_with_server()
    assert reason_against(directory, server, 0.0) is None
    assert directory.candidates("items") == [server]
