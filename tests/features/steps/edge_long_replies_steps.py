"""Steps on replies of the store that exceed the limit of a daemon."""

import logging
import random
import time
from collections import Counter

from behave import given, then, when
from twisted.internet import reactor

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock, ReactorClock
from hemlockspoke.platform.feeds import KindSource
from hemlockspoke.platform.registrations import Registrations
from hemlockspoke.platform.store import StoreCalls, StoreReply
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.state.feed import FIRST_RETRY_MS, Feed, FeedError
from hemlockspoke.tier.state.store_era import StoreEras
from tests.features.steps.edge_feed_steps import (
    EMPTY_LIST,
    FakeSink,
    FakeStoreCalls,
    follow,
)
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor, wait_until
from tests.standins.long_replies_store import LongRepliesStore

WAIT_MS = 1600.0
# The store is away for longer than a watch waits, so that each daemon has noticed it.
AWAY_S = 2.0
# Time in which 8 MB arrive over a link of 1 Gbit/s.
LONG_REPLY_MS = 64.0


class Records(logging.Handler):
    """Keeps the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


def start_store(context):
    context.store = LongRepliesStore()
    context.add_cleanup(context.store.stop)
    context.metrics = MetricsRegistry()
    context.eras = StoreEras()
    context.store_calls = StoreCalls(
        reactor,
        ReactorClock(reactor),
        Address(STAND_IN_HOST, context.store.port),
        context.metrics,
        context.eras,
    )
    context.sinks = {}
    context.log = Records()
    logger = logging.getLogger("hemlockspoke")
    logger.addHandler(context.log)
    context.add_cleanup(logger.removeHandler, context.log)


def start_feed(context, kind):
    """Follow a kind until its objects are known and a watch waits."""
    sink = context.sinks[kind] = FakeSink()
    feed = Feed(
        kind,
        ReactorClock(reactor),
        KindSource(context.store_calls, kind),
        sink,
        WAIT_MS,
        random.Random(1),
        context.metrics,
        context.eras,
    )
    run_in_reactor(feed.resume)
    context.add_cleanup(run_in_reactor, feed.pause)
    wait_until(lambda: "old" in sink.names and context.store.calls["watch", kind])


@given('a store with an object of "servers", and a feed that follows it')
def step_store(context):
    start_store(context)
    context.store.put("servers", "old")
    start_feed(context, "servers")


@given('a feed that follows "config" with calls of the same daemon')
def step_second_feed(context):
    context.store.put("config", "old")
    start_feed(context, "config")


@when("the store sends {count:d} bytes a second")
def step_slow(context, count):
    context.store.bytes_per_s = count


@when("the store is away while an object of {size:d} bytes is written {count:d} times")
def step_away(context, size, count):
    context.store.away = True
    for _ in range(count):
        context.store.put("servers", "blob", size)
    time.sleep(AWAY_S)


@when('it is back, and "{name}" of "{kind}" is written')
def step_back(context, name, kind):
    context.store.put(kind, name)
    context.store.away = False


@when('"{name}" of "{kind}" is written')
def step_write(context, name, kind):
    context.store.put(kind, name)


@when('{seconds:d} s pass, and "{name}" of "{kind}" is written')
def step_write_later(context, seconds, name, kind):
    time.sleep(seconds)
    context.store.put(kind, name)


@when('each watch of "{kind}" gets a reply of 9 MB')
def step_endless_watches(context, kind):
    context.store.endless_watches.add(kind)


@when('each list of "{kind}" gets a reply of 9 MB')
def step_endless_lists(context, kind):
    context.store.endless_lists.add(kind)


@when('each watch or list of "{kind}" gets a reply of 9 MB')
def step_endless(context, kind):
    step_endless_watches(context, kind)
    step_endless_lists(context, kind)


@when("the store is sound again")
def step_sound(context):
    context.store.endless_watches.clear()
    context.store.endless_lists.clear()


@then('within {seconds:d} s the feed of "{kind}" knows "{name}"')
def step_knows(context, seconds, kind, name):
    wait_until(lambda: name in context.sinks[kind].names, seconds)


@then("one reply was counted as too long, and the log names the call and the feed")
def step_reported(context):
    assert "hemlockspoke_store_too_long_total 1\n" in context.metrics.to_text()
    records = {record.getMessage(): record for record in context.log.records}
    reply = records["reply of the store is too long"]
    assert reply.path.startswith("/api/objects/servers?watch="), reply.path
    assert reply.levelno == logging.WARNING, reply.levelname
    assert records["listing instead of watching"].feed == "servers"


@given('a store with an object of "hemlockspoke-daemons", and its registrations')
def step_registrations(context):
    start_store(context)
    context.store.put("hemlockspoke-daemons", "vm-1")
    context.registrations = Registrations(context.store_calls)


def read_registrations(context):
    results = []
    run_in_reactor(context.registrations.read, False, results.append)
    wait_until(lambda: results)
    return results[0]


@then("a read of the registrations fails")
def step_read_fails(context):
    assert read_registrations(context) is None
    assert "hemlockspoke_store_too_long_total 1\n" in context.metrics.to_text()


@then("a read of the registrations gives {count:d}")
def step_read_gives(context, count):
    assert len(read_registrations(context)) == count


def too_long():
    return StoreReply(None, detail="the body is too long", too_long=True)


class TooLongWatches(FakeStoreCalls):
    """Answers each watch with a reply that is too long, and counts watches.

    Without ``is_too_long`` a watch is answered, without a change, after its wait.
    """

    def __init__(self, clock, reply):
        super().__init__(clock, reply)
        self.is_too_long = True
        self.watches_by_second = Counter()
        self.last_wait_ms = None

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Answer a watch."""
        self.last_wait_ms = wait_ms
        self.watches_by_second[int(self.clock.now_ms() // 1000)] += 1
        if self.is_too_long:
            on_reply(too_long())
            return
        page = {"events": [], "current_rev": revision}
        self.clock.call_later(wait_ms, on_reply, StoreReply(200, page))


@given("a feed whose every watch gets a reply that is too long")
def step_every_watch(context):
    context.clock = ManualClock()
    follow(context, TooLongWatches(context.clock, EMPTY_LIST))


@given("a feed whose every list gets a reply that is too long")
def step_every_list(context):
    context.clock = ManualClock()
    follow(context, FakeStoreCalls(context.clock, too_long()))


def rates(calls_by_second, first, context):
    """Return the numbers of calls in the whole seconds from ``first`` on."""
    return [
        calls_by_second[s] for s in range(first, int(context.clock.now_ms()) // 1000)
    ]


@then("from second {first:d} on it has watched at most {count:d} times in each second")
def step_watch_rate(context, first, count):
    watches = rates(context.calls.watches_by_second, first, context)
    assert 0 < max(watches) <= count, watches


@then("from second {first:d} on it has listed the objects in each second")
def step_lists(context, first):
    lists = rates(context.calls.calls_by_second, first, context)
    assert min(lists) >= 1 and max(lists) <= 2, lists


@then("from second {first:d} on it has listed at most {count:d} times in each second")
def step_list_rate(context, first, count):
    lists = rates(context.calls.calls_by_second, first, context)
    assert min(lists) >= 1 and max(lists) <= count, lists


@when("its watches are answered, and {seconds:d} s pass")
def step_watches_answered(context, seconds):
    context.calls.is_too_long = False
    context.clock.advance(1000.0 * seconds)


@then("it waits for changes as before")
def step_waits(context):
    assert not context.feed.lost
    assert context.calls.last_wait_ms == 1000, context.calls.last_wait_ms


@when("its next watch is too long again")
def step_next_watch(context):
    context.calls.is_too_long = True
    watches = sum(context.calls.watches_by_second.values())
    while sum(context.calls.watches_by_second.values()) == watches:
        context.clock.advance(1.0)
    assert context.feed.lost


@then("it lists within the shortest delay")
def step_lists_soon(context):
    lists = sum(context.calls.calls_by_second.values())
    context.clock.advance(FIRST_RETRY_MS)
    assert sum(context.calls.calls_by_second.values()) == lists + 1


class LongWatchSource:
    """The store as one daemon reads it, with each watch too long; counts the calls."""

    def __init__(self, source, clock, counter):
        self._source = source
        self._clock = clock
        self._counter = counter

    def list_page(self, after, on_page, stale=False):
        """Read a page of a list."""
        self._counter["list"] += 1
        self._source.list_page(after, on_page, stale)

    def watch(self, revision, wait_ms, grace_ms, on_page):
        """Answer a watch."""
        self._counter["watch"] += 1
        error = FeedError("the body is too long", too_long=True)
        self._clock.call_later(LONG_REPLY_MS, on_page, error)


@when("each watch of the daemons gets a reply that is too long")
def step_fleet_watches(context):
    fleet, context.calls = context.fleet, Counter()
    for vm in fleet.vms:
        feed = fleet.followed[vm].feed
        feed._source = LongWatchSource(feed._source, fleet.clock, context.calls)
    # A watch that waits when this begins is still answered with its changes.
    fleet.run(fleet.watch_ms)
    context.calls.clear()


@then("in {duration_ms:d} ms no daemon's knowledge is older than {limit_ms:d} ms")
def step_knowledge_age(context, duration_ms, limit_ms):
    fleet, context.duration_ms = context.fleet, duration_ms
    for _ in range(duration_ms // 100):
        fleet.run(100)
        ages = {vm: fleet.followed[vm].age_ms() for vm in fleet.relays}
        assert max(ages.values()) <= limit_ms, ages


@then("the store has got at most {rate:d} calls a second")
def step_all_calls(context, rate):
    per_s = sum(context.calls.values()) * 1000 / context.duration_ms
    assert context.calls["watch"] and per_s <= rate, context.calls
