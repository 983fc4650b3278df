"""Steps on decisions of the query tier, with manual clocks and without sockets."""

import re
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.http1.messages import encode_response
from hemlockspoke.http1.response_parser import ResponseParser
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.limits.apportion import LimitShares
from hemlockspoke.tier.limits.extra_load import ExtraLoad
from hemlockspoke.tier.messages import StoreChanges
from hemlockspoke.tier.placement.servers import ServerEntry, TrackedServer
from hemlockspoke.tier.sending.merge import greatest_records, split_records
from hemlockspoke.tier.state.directory import Directory
from hemlockspoke.tier.state.followed_kind import FollowedKind
from hemlockspoke.tier.state.relay import Relay
from hemlockspoke.tier.state.routes import RoutingTable, ServiceLimits
from hemlockspoke.tier.state.store_era import Position

RATIO = 0.2
SLACK = 58
WINDOW_S = 10
BOUNDS = Bounds(
    extra_load_ratio=RATIO,
    extra_load_slack=SLACK,
    extra_load_window_ms=1000.0 * WINDOW_S,
)
PLATFORM_NAMES = re.compile(
    r"x-hemlockspoke|shard_services|warmup_left_ms|listen_addrs|/api/objects"
    r"|evacuations|HEMLOCKSPOKE_SETTINGS|tenant|x-api-key",
    re.IGNORECASE,
)


@then("whatever the daemons send, no window holds more extra arrivals than allowed")
def step_extra_load(context):
    sends = st.lists(
        st.tuples(st.integers(0, 8), st.booleans(), st.floats(0, 0.4)), max_size=400
    )

    @for_all(sends)
    def check(events):
        clock = ManualClock()
        loads = [
            ExtraLoad(clock, BOUNDS, lambda service, total: total / 9, starts_full=True)
            for _ in range(9)
        ]
        now_s, first_sends_s, extra_sends_s = 0.0, [], []
        for daemon, is_extra, pause_s in events:
            now_s += pause_s
            clock.advance(1000.0 * pause_s)
            if not is_extra:
                loads[daemon].earn("shard")
                first_sends_s.append(now_s)
            elif loads[daemon].try_spend("shard"):
                extra_sends_s.append(now_s)
        for start_s in extra_sends_s:
            end_s = start_s + WINDOW_S
            count = sum(1 for sent_s in extra_sends_s if start_s <= sent_s < end_s)
            # The limit counts the requests of the busier of this window and the
            # previous one.
            request_count = sum(
                1 for sent_s in first_sends_s if start_s <= sent_s < end_s
            )
            previous_count = sum(
                1 for sent_s in first_sends_s if start_s - WINDOW_S <= sent_s < start_s
            )
            assert count <= RATIO * max(request_count, previous_count) + SLACK

    check()


@given("the extra load of a restarted daemon")
def step_restarted(context):
    context.load = ExtraLoad(
        ManualClock(), BOUNDS, lambda service, total: total / 9, starts_full=False
    )


@then("it may send no extra arrival before its requests have earned one")
def step_no_unearned_extra(context):
    assert not context.load.try_spend("shard")
    # RATIO allows 0.2 extra arrivals for each request.
    for _ in range(4):
        context.load.earn("shard")
        assert not context.load.try_spend("shard")


@then("any parts merge to their greatest records, also in two steps")
def step_merge(context):
    bodies = st.lists(st.binary(max_size=200), max_size=6)

    @for_all(bodies, st.integers(0, 20))
    def check(parts, count):
        expected = sorted(
            (record for part in parts for record in split_records(part)), reverse=True
        )
        expected = b"".join(expected[:count])
        assert greatest_records(parts, count) == expected
        merged_first = greatest_records(parts[:3], count)
        assert greatest_records([merged_first, *parts[3:]], count) == expected

    check()


# Triples of a status, a body and the bytes of a response with them.
RESPONSES = st.builds(
    lambda status, body, chunked: (
        status,
        body,
        b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        % (status, len(body), body)
        if chunked and body
        else encode_response(status, [(b"X-A", b"1")], body, close=False),
    ),
    st.sampled_from([200, 404, 500, 503]),
    st.binary(min_size=1, max_size=60),
    st.booleans(),
)


@then("any split of a response gives the same response")
def step_split_response(context):
    @for_all(RESPONSES, st.lists(st.integers(1, 30), max_size=20))
    def check(response, sizes):
        status, body, data = response
        parser = ResponseParser()
        position = 0
        for size in [*sizes, len(data)]:
            parser.feed(data[position : position + size])
            position += size
        assert parser.response.status == status
        assert parser.response.body == body
        assert not parser.has_trailing_data and not parser.malformed

    check()


@then("no truncated framed response gives a response")
def step_truncated(context):
    @for_all(RESPONSES, st.integers(0, 200))
    def check(response, length):
        _, _, data = response
        parser = ResponseParser()
        parser.feed(data[: min(length, len(data) - 1)])
        parser.end()
        assert parser.response is None

    check()


class FakePool:
    """A connection pool that always has an idle connection."""

    connect_ms = None

    def has_idle(self):
        return True

    def has_capacity(self):
        return True


@given("a server that has answered in its usual time")
def step_usual(context):
    entry = ServerEntry("s1", "shard", Address("127.0.0.1", 1), "a1")
    context.server = TrackedServer(entry, FakePool(), "a", same_region=True)
    context.now_ms = 0.0
    for _ in range(5):
        context.now_ms += 400.0
        context.server.record_latency(context.now_ms, 11.0, 10.0)


@when("three requests are delayed by one pause of the server")
def step_pause(context):
    for latency_ms in (200.0, 150.0, 90.0):
        context.now_ms += 50.0
        context.server.record_latency(context.now_ms, latency_ms, 10.0)


@when("requests take ten times the usual time for a second")
def step_turns_slow(context):
    for _ in range(10):
        context.now_ms += 100.0
        context.server.record_latency(context.now_ms, 101.0, 10.0)


@when("{seconds:d} s pass without a request")
def step_idle(context, seconds):
    context.now_ms += 1000.0 * seconds


@then("the server does not count as slow")
def step_not_slow(context):
    assert context.server.slowness(context.now_ms) < 1.5


@then("the server counts as slow")
def step_slow(context):
    assert context.server.slowness(context.now_ms) > 3.0


FLEETS = st.dictionaries(
    st.sampled_from(["a", "b", "c"]), st.integers(1, 40), min_size=1
)


def fleet_shares(fleet):
    """Return the limit shares of each daemon of a fleet."""
    members = {
        region: [f"{region}{number}" for number in range(fleet[region])]
        for region in fleet
    }
    regions = {region: region for region in fleet}
    shares = [
        LimitShares(vm, region, regions)
        for region, names in members.items()
        for vm in names
    ]
    for share in shares:
        share.set_members(members)
    return shares


@then("for any fleet the connections to a server do not exceed its limit")
def step_connections(context):
    @for_all(FLEETS, st.integers(10, 200), st.sampled_from(["a", "b", "c"]))
    def check(fleet, limit, region):
        total = sum(
            share.connection_limit("s1", region, limit) for share in fleet_shares(fleet)
        )
        assert total <= limit, (total, limit, fleet)

    check()


@then("for any fleet the cold requests in a second do not exceed the bound")
def step_cold(context):
    @for_all(FLEETS, st.floats(0, 200))
    def check(fleet, bound):
        total = sum(
            share.cold_request_limit("s1", bound) for share in fleet_shares(fleet)
        )
        assert total <= bound, (total, bound, fleet)

    check()


@given("a cold server that can handle 10 requests a second, and 2 daemons")
def step_cold_server(context):
    bounds = Bounds(cold_overshoot=1.5, cold_slack=5.0)
    context.clock = ManualClock()
    directory = Directory(None, context.clock, "e1", "a1", {"a1": "a"}, bounds)
    directory.set_members({"a1": ["e1", "e2"]})
    limits = ServiceLimits("shard", 50, cold_per_s=10.0)
    directory.adopt_routing(RoutingTable(1, [], [limits]))
    address = Address("127.0.0.1", 1)
    directory.set_server(ServerEntry("s1", "shard", address, "a1", cold_ms=3000))
    context.directory = directory


@when("50 requests a second are offered to it for 3 seconds")
def step_offer_requests(context):
    context.sends_ms = []
    for _ in range(149):
        context.clock.advance(20.0)
        for server in context.directory.candidates("shard"):
            now_ms = context.clock.now_ms()
            server.record_send(now_ms)
            context.sends_ms.append(now_ms)


@then("at most {limit:d} of them are sent in any second")
def step_in_second(context, limit):
    # The bound is 10 x 1.5 + 5 = 20, of which a fifth is reserved. Each of the two
    # daemons gets half of the remainder.
    sends = context.sends_ms
    assert sends
    for start_ms in sends:
        assert (
            sum(1 for sent_ms in sends if start_ms <= sent_ms < start_ms + 1000)
            <= limit
        )


@then("all of them are sent once it is warm")
def step_warm(context):
    context.clock.advance(100.0)
    for _ in range(50):
        (server,) = context.directory.candidates("shard")
        server.record_send(context.clock.now_ms())


@then("9 daemons that know of no other stay within what a server accepts")
def step_without_daemon_list(context):
    assert 9 * LimitShares("e1", "a", {}).connection_limit("s1", "a", 26) <= 26


@then("the extra arrivals of 9 such daemons stay within the slack")
def step_extra_without_daemon_list(context):
    share = LimitShares("e1", "a", {}).extra_arrivals
    load = ExtraLoad(ManualClock(), BOUNDS, share, starts_full=False)
    assert 9 * load.window_limit("shard") <= SLACK


@then("each of {count:d} daemons may hedge a request to a service at once")
def step_large_fleet(context, count):
    # 212 is the slack of the largest known deployment.
    bounds = Bounds(extra_load_ratio=RATIO, extra_load_slack=212)
    clock = ManualClock()
    load = ExtraLoad(clock, bounds, lambda _, total: total / count, starts_full=True)
    assert load.try_spend("shard", load.hedge_reserve("shard"))


@then("a daemon that has spent its share has another token after {windows:d} window")
def step_refilled(context, windows):
    clock = ManualClock()
    load = ExtraLoad(clock, BOUNDS, lambda service, total: total / 9, starts_full=True)
    while load.try_spend("shard"):
        pass
    clock.advance(1000.0 * WINDOW_S * windows)
    assert load.try_spend("shard")


class NullSink:
    """A sink that ignores all objects."""

    def replace(self, changes):
        pass

    def apply(self, change):
        pass


class IdleFeed:
    """A feed that makes no calls."""

    active = False
    reading = False

    def resume(self, revision=None):
        self.active = True

    def pause(self):
        self.active = False


@given("a kind that is known up to revision {revision:d}")
def step_kind(context, revision):
    clock = ManualClock()
    context.followed = FollowedKind("servers", clock, NullSink())
    context.followed.replace([], Position(0, revision))
    context.relay = Relay(clock, "e1", lambda vm, message: True, lambda: ["e0"], 5000)
    context.relay.follow(context.followed, IdleFeed())


@when("a peer reports changes from {since:d} to {revision:d}")
def step_reported_changes(context, since, revision):
    step_reported_parts(context, since, revision, 1)


@when("a peer reports changes from {since:d} to {revision:d} in {parts:d} parts")
def step_reported_parts(context, since, revision, parts):
    for number in range(1, parts + 1):
        message = StoreChanges(
            kind="servers",
            era=0,
            since=since,
            revision=revision,
            changes=[[f"s{number}", False, {}]],
            complete=False,
            age_ms=0,
            more=number < parts,
        )
        context.relay.receive("e0", message)


@then("the kind is known up to revision {revision:d}")
def step_known(context, revision):
    assert context.followed.revision == revision


@then("no module outside the platform's folder contains one of its wire names")
def step_wire_names(context):
    violations = []
    for path in sorted(Path("hemlockspoke").rglob("*.py")):
        if path.parts[1] == "platform":
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if PLATFORM_NAMES.search(line):
                violations.append(f"{path}:{number}: {line.strip()}")
    assert not violations, "\n".join(violations)
