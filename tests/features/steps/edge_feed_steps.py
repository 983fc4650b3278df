"""Steps on feeds of the store through outages, with a manual clock."""

import random
from collections import Counter

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.platform.feeds import KindSource
from hemlockspoke.platform.store import StoreReply
from hemlockspoke.tier.state.feed import Feed

DOWN = StoreReply(503)
WITHOUT_FIELDS = StoreReply(200, {})
EMPTY_LIST = StoreReply(200, {"items": [], "current_rev": 7})


class FakeStoreCalls:
    """Answers each list with ``reply`` at once, and counts lists by the second.

    Without a reply the call stays unanswered.
    """

    def __init__(self, clock, reply):
        self.clock = clock
        self.reply = reply
        self.calls_by_second = Counter()

    def list(self, kind, after, on_reply, stale=False):
        """Answer a list."""
        self.calls_by_second[int(self.clock.now_ms() // 1000)] += 1
        if self.reply is not None:
            on_reply(self.reply)

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Leave a watch waiting."""


def item(name, revision):
    """Return an object as the store lists it."""
    return {"meta": {"name": name, "revision": revision}, "spec": {}}


class PagedStoreCalls:
    """Lists one object a page, and removes the first one after its page was read."""

    FIRST_PAGE = {"items": [item("s1", 3)], "more": True, "current_rev": 7}
    LAST_PAGE = {"items": [item("s2", 4)], "more": False, "current_rev": 9}
    REMOVAL_REVISION = 8
    REMOVAL = {"object": item("s1", REMOVAL_REVISION), "removed": True}

    def list(self, kind, after, on_reply, stale=False):
        """Answer with the page after a name."""
        on_reply(StoreReply(200, self.LAST_PAGE if after else self.FIRST_PAGE))

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Answer with the removal if it is newer than ``revision``."""
        if revision < self.REMOVAL_REVISION:
            on_reply(StoreReply(200, {"events": [self.REMOVAL], "current_rev": 9}))


class FakeSink:
    """Records the revisions of complete lists, and the names of the objects known."""

    def __init__(self):
        self.revisions = []
        self.names = set()

    def replace(self, changes, position):
        """Record a list."""
        self.revisions.append(position.revision)
        self.names = {change.name for change in changes}

    def apply(self, changes, since, position):
        """Record the changes that a watch reports."""
        for change in changes:
            if change.removed:
                self.names.discard(change.name)
            else:
                self.names.add(change.name)


def start_feed(context, reply):
    context.clock = ManualClock()
    follow(context, FakeStoreCalls(context.clock, reply))


def follow(context, calls):
    context.calls = calls
    context.sink = FakeSink()
    source = KindSource(context.calls, "config")
    context.feed = Feed(
        "config", context.clock, source, context.sink, 1000, random.Random(1)
    )
    context.feed.resume()


@given("a feed whose store fails every call")
def step_down(context):
    start_feed(context, DOWN)


@given("a feed whose store answers without any field")
def step_without_fields(context):
    start_feed(context, WITHOUT_FIELDS)


@given("a feed whose store takes a call and never replies")
def step_never_replies(context):
    start_feed(context, None)


@given('a feed whose store lists "s1", then removes it, and then lists "s2"')
def step_two_pages(context):
    context.clock = ManualClock()
    follow(context, PagedStoreCalls())


@when("{seconds:d} s pass on its clock")
def step_pass(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1000.0)


@then("it has called the store at most {count:d} times in each second")
def step_rate(context, count):
    # The first second has the short delays of the first retries.
    later = {s: n for s, n in context.calls.calls_by_second.items() if s > 0}
    assert len(later) > 3590 and max(later.values()) <= count, later


@then("it counts the store as lost")
def step_lost(context):
    assert context.feed.lost and not context.sink.revisions


@when("the store is back and {seconds:d} s passes")
def step_back(context, seconds):
    context.calls.reply = EMPTY_LIST
    context.clock.advance(1000.0 * seconds)


@then("the feed has read it")
def step_read(context):
    assert context.sink.revisions == [7] and not context.feed.lost


@then('the feed knows only "s2"')
def step_only_second(context):
    assert context.sink.names == {"s2"}, context.sink.names
