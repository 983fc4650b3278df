"""Steps on decisions of daemons in large fleets, with manual clocks."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.limits.apportion import LimitShares
from hemlockspoke.tier.limits.extra_load import ExtraLoad
from hemlockspoke.tier.state.feed import Change, Feed, FeedError, Page
from hemlockspoke.tier.state.followed_kind import FollowedKind, RelayingSink
from hemlockspoke.tier.state.peer_directory import READER_CANDIDATES
from hemlockspoke.tier.state.relay import Relay, reading_age_ms
from hemlockspoke.tier.state.store_era import StoreEras

REGIONS = {f"{region}{index}": region for region in "abc" for index in "12"}
SLACK = 430
SHARD, ITEMS = "shard", "items"
STEP_MS = 10.0


def fleet_members(counts):
    return {
        domain: [f"vm-{domain}-{number:04d}" for number in range(count)]
        for domain, count in zip(REGIONS, counts, strict=True)
    }


def shares_of(members):
    """Return the limit shares of each daemon by VM."""
    result = {}
    for domain, vms in members.items():
        for vm in vms:
            shares = result[vm] = LimitShares(vm, domain, REGIONS)
            shares.set_gathered_services([SHARD])
            shares.set_members(members)
    return result


def window_limit(shares, service, slack):
    bounds = Bounds(extra_load_ratio=0.2, extra_load_slack=slack)
    load = ExtraLoad(ManualClock(), bounds, shares.extra_arrivals)
    return load.window_limit(service)


@then("for any fleet the extra arrivals of a window do not exceed the slack")
def step_any_fleet(context):
    counts = st.lists(st.integers(1, 60), min_size=6, max_size=6)

    @hypothesis_settings(max_examples=15, deadline=None)
    @for_all(counts, st.integers(10, 600), st.sampled_from([SHARD, ITEMS]))
    def check(counts, slack, service):
        shares = shares_of(fleet_members(counts)).values()
        total = sum(window_limit(share, service, slack) for share in shares)
        assert total <= slack + 1e-6, total

    check()


@given("a fleet of {count:d} daemons in 6 failure domains")
def step_fleet(context, count):
    context.shares = shares_of(fleet_members([count // 6] * 6))


@then("each hub may send at least {count:d} extra arrivals to a shard in a window")
def step_hubs(context, count):
    # The slack that the platform states for a fleet of this size.
    slack = 212 if len(context.shares) < 100 else SLACK
    context.slack = slack
    hubs = [shares for shares in context.shares.values() if shares.is_hub()]
    assert hubs
    for shares in hubs:
        assert window_limit(shares, SHARD, slack) >= count


@then("each daemon may send one extra arrival to a service that is no shard")
def step_items(context):
    for shares in context.shares.values():
        assert window_limit(shares, ITEMS, context.slack) >= 1.0


def connections(context, limit):
    """Return the connections of each daemon to some servers, by server and VM."""
    return {
        (server_id, domain): {
            vm: shares.connection_limit(server_id, domain, limit)
            for vm, shares in context.shares.items()
        }
        for domain in list(REGIONS)[:2]
        for server_id in ("s1", "s2", "s3", "s4", "s5", "s6")
    }


@then("of {limit:d} connections of any server a third of the hubs near it have one")
def step_hub_connections(context, limit):
    for (_, domain), by_vm in connections(context, limit).items():
        hubs = next(iter(context.shares.values())).hubs(domain)
        assert 3 * sum(by_vm[vm] for vm in hubs) >= len(hubs), domain


@then("the daemons have at most {limit:d} connections to any server")
def step_connections(context, limit):
    for by_vm in connections(context, limit).values():
        assert 0 < sum(by_vm.values()) <= limit


class FleetStore:
    """A store that fails the calls of the daemons in ``turned_away``.

    The daemons in ``cut_off`` get no answer and fail when their time is over.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.listers = set()
        self.turned_away = set()
        self.cut_off = set()
        self.callers = set()
        self.watchers = set()
        self.refused_calls = Counter()


class DaemonSource:
    """The store as one daemon reads it."""

    def __init__(self, clock, store, vm, eras):
        self._clock = clock
        self._store = store
        self._vm = vm
        self._eras = eras

    def list_page(self, after, on_page, stale=False):
        self._store.listers.add(self._vm)
        self._answer(on_page, 1200.0)

    def watch(self, revision, wait_ms, grace_ms, on_page):
        self._store.watchers.add(self._vm)
        if self._vm in self._store.turned_away:
            self._answer(on_page, wait_ms)
        else:
            answer_ms = min(200.0, wait_ms)
            timeout_ms = wait_ms + grace_ms - answer_ms
            self._clock.call_later(answer_ms, self._answer, on_page, timeout_ms)

    def _answer(self, on_page, timeout_ms):
        store = self._store
        if self._vm in store.cut_off:
            error = FeedError("no answer in time")
            self._clock.call_later(timeout_ms, on_page, error)
            return
        store.callers.add(self._vm)
        self._eras.observe(store.era)
        if self._vm in store.turned_away:
            store.refused_calls[self._vm] += 1
            on_page(FeedError("status 503"))
        else:
            on_page(Page([Change("o", {})], store.revision, era=store.era))


class KindSink:
    """Ignores the objects of a kind."""

    def replace(self, changes):
        pass

    restore = apply = replace


class RelayFleet:
    """Relays of one failure domain, connected with each other.

    ``hub_count`` limits the streams: each daemon then has some to the daemons with the
    lowest names and to the hubs, which are those with the highest names.
    """

    def __init__(self, count, watch_ms=2000.0, hub_count=None):
        self.clock = ManualClock()
        self.watch_ms = watch_ms
        self.store = FleetStore()
        self.vms = [f"vm-{number:02d}" for number in range(count)]
        self.stream_vms = set(self.vms)
        if hub_count is not None:
            hubs = self.vms[count - hub_count :]
            self.stream_vms = {*self.vms[:READER_CANDIDATES], *hubs}
        self.relays = {}
        self.followed = {}
        self.connected = True
        self._start(read_delay_ms=1000.0)

    def _start(self, read_delay_ms):
        for vm in self.vms:
            self._add(vm)
        for relay in self.relays.values():
            relay.start(read_delay_ms)
        for position, vm in enumerate(self.vms):
            streams_before = len(self.stream_vms.intersection(self.vms[:position]))
            self.relays[vm].set_position(position, streams_before)

    def _peers(self, vm):
        """Return the daemons to which one has an open stream."""
        return [
            peer
            for peer in self.relays
            if self.connected
            and peer != vm
            and not self.stream_vms.isdisjoint((vm, peer))
        ]

    def _add(self, vm):
        clock = self.clock

        def send(peer, message):
            if peer in self.relays:
                clock.call_later(1.0, self._deliver, vm, peer, message)
            return True

        relay = Relay(
            clock,
            vm,
            send,
            lambda: self._peers(vm),
            max_age_ms=reading_age_ms(self.watch_ms),
        )
        followed = self.followed[vm] = FollowedKind("config", clock, KindSink())
        source = DaemonSource(clock, self.store, vm, eras := StoreEras())
        sink = RelayingSink(followed, relay)
        rng = random.Random(vm)
        feed = Feed("config", clock, source, sink, self.watch_ms, rng, eras=eras)
        feed.on_lost = relay.send_heartbeat
        relay.follow(followed, feed)
        self.relays[vm] = relay

    def _deliver(self, vm, peer, message):
        if vm in self.relays and peer in self.relays:
            self.relays[peer].receive(vm, message)

    def run(self, duration_ms):
        """Advance the time; the store changes all the while."""
        for _ in range(int(duration_ms / STEP_MS)):
            self.store.revision += 1
            self.clock.advance(STEP_MS)

    def restart(self, connect_ms):
        """Start all daemons anew; they are connected with each other later."""
        for relay in self.relays.values():
            relay.stop()
        self.connected = False
        self.store.watchers.clear()
        self._start(read_delay_ms=0.0)
        self.run(connect_ms)
        self.connected = True

    def readers(self):
        """Return the daemons whose feed calls the store."""
        return [vm for vm in self.relays if self.followed[vm].feed.active]

    def kill(self, vm):
        """End a daemon without notice."""
        self.relays.pop(vm).stop()
        for relay in self.relays.values():
            relay.peer_lost(vm)


@given("{count:d} daemons of a failure domain, of which one reads the store")
def step_relays(context, count):
    context.fleet = RelayFleet(count)
    context.fleet.run(3000)
    assert context.fleet.readers() == ["vm-00"], context.fleet.readers()
    context.fleet.store.callers.clear()


@given(
    "{count:d} daemons of a failure domain, of which one reads the store, "
    "with watches of {watch_ms:d} ms"
)
def step_relays_with_watches(context, count, watch_ms):
    context.fleet = RelayFleet(count, float(watch_ms))
    context.fleet.run(3000)


@given(
    "{count:d} daemons of a failure domain with {hub_count:d} hubs, of which one reads "
    "the store, with watches of {watch_ms:d} ms"
)
def step_relays_with_hubs(context, count, hub_count, watch_ms):
    context.fleet = RelayFleet(count, float(watch_ms), hub_count)
    context.fleet.run(3000)


@when("the daemon that takes over is killed {delay_ms:d} ms after the cut")
def step_second_failure(context, delay_ms):
    fleet = context.fleet
    fleet.run(delay_ms)
    successors = sorted(set(fleet.relays) - fleet.store.cut_off)
    fleet.kill(successors[0])


@when("the {count:d} daemons with the lowest names are cut off from the store")
def step_cut_off(context, count):
    fleet = context.fleet
    fleet.store.cut_off = set(sorted(fleet.relays)[:count])


@then("the other daemons follow the next change within {limit_ms:d} ms")
def step_follow_change(context, limit_ms):
    fleet = context.fleet
    revision = fleet.store.revision + 1
    fleet.run(limit_ms)
    for vm in set(fleet.relays) - fleet.store.cut_off:
        assert fleet.followed[vm].revision >= revision, vm


@when("the store fails all calls for {duration_ms:d} ms")
def step_down(context, duration_ms):
    context.fleet.store.turned_away = set(context.fleet.vms)
    context.fleet.run(duration_ms)


@when("the store is up for {duration_ms:d} ms")
def step_up(context, duration_ms):
    context.fleet.store.turned_away = set()
    context.fleet.run(duration_ms)


@when(
    "the store turns away the {count:d} daemons with the lowest names "
    "for {duration_ms:d} ms"
)
def step_turned_away(context, count, duration_ms):
    context.fleet.store.turned_away = set(context.fleet.vms[:count])
    context.fleet.run(duration_ms)


@when("the {count:d} daemons with the lowest names are killed")
def step_many_killed(context, count):
    for vm in context.fleet.vms[:count]:
        context.fleet.kill(vm)


@when("the daemon with the lowest name is killed, and {duration_ms:d} ms pass")
def step_killed(context, duration_ms):
    context.fleet.kill("vm-00")
    context.fleet.run(duration_ms)


@when(
    "all daemons lose power and are connected again {delay_ms:d} ms after their start"
)
def step_power(context, delay_ms):
    context.fleet.restart(delay_ms)
    context.fleet.run(3000)


@then(
    "it refuses at most {count:d} calls of each of them in another {duration_ms:d} ms"
)
def step_refused(context, count, duration_ms):
    refused = context.fleet.store.refused_calls
    refused.clear()
    context.fleet.run(duration_ms)
    assert refused and max(refused.values()) <= count, refused


@then("the daemons have called it at most {rate:d} times a second")
def step_call_rate(context, rate):
    refused = sum(context.fleet.store.refused_calls.values())
    assert refused <= rate * 15, refused / 15


@then("at most {count:d} of the daemons have watched it")
def step_watchers(context, count):
    watchers = context.fleet.store.watchers
    assert 0 < len(watchers) <= count, sorted(watchers)


@then("at most {count:d} of the daemons have called it")
def step_callers(context, count):
    callers = context.fleet.store.callers
    assert len(callers) <= count, sorted(callers)


@then("only the daemon with the lowest name reads it")
def step_lowest(context):
    assert context.fleet.readers() == ["vm-00"], context.fleet.readers()


@then("all daemons follow the store again")
def step_follow(context):
    fleet = context.fleet
    for vm in fleet.relays:
        followed = fleet.followed[vm]
        # One watch, and a heartbeat of the daemon that reads.
        assert followed.age_ms() <= 1000.0, (vm, followed.age_ms())
        assert fleet.store.revision - followed.revision <= 60, vm
