"""Steps on entries of other writers that cannot be read."""

import random

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from hemlockspoke.clock import ManualClock
from hemlockspoke.http1.json_calls import decode_body
from hemlockspoke.http1.lenient_json import UNREADABLE
from hemlockspoke.messages import decode, encode
from hemlockspoke.platform.feeds import KindSource, sinks_by_kind
from hemlockspoke.platform.objects import DAEMON_KIND
from hemlockspoke.platform.registrations import Registrations
from hemlockspoke.platform.store import StoreReply
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.placement.servers import ServerState
from hemlockspoke.tier.state.directory import Directory
from hemlockspoke.tier.state.feed import Feed, Page
from hemlockspoke.tier.state.followed_kind import FollowedKind, RelayingSink
from hemlockspoke.tier.state.members import Membership
from hemlockspoke.tier.state.relay import Relay
from tests.standins.object_store import RawJson, encode_json

ODD_VALUES = {
    "raw bytes": b'"\xff\xfe"',
    "escaped surrogates": b'"\\udcff\\udcfe"',
    "lists 100000 deep": b"[" * 100_000 + b"]" * 100_000,
    "lists 600 deep": b"[" * 600 + b"]" * 600,
    "a number of 60 bits more than fit": b"%d" % 2**124,
    "9000 digits": b"9" * 9000,
}
# Around the limits of recursion of decoders, and far beyond them.
DEPTHS = [
    10,
    100,
    500,
    511,
    512,
    513,
    900,
    990,
    1000,
    1010,
    1024,
    3000,
    30_000,
    100_000,
]


def nested(depth, in_objects=False):
    """Return the bytes of lists, or of objects, that are nested."""
    if in_objects:
        return b'{"a":' * depth + b"1" + b"}" * depth
    return b"[" * depth + b"]" * depth


fragments = st.one_of(
    st.builds(nested, st.integers(10, 100_000), st.booleans()),
    st.builds(nested, st.sampled_from(DEPTHS), st.booleans()),
    st.sampled_from(
        [
            *ODD_VALUES.values(),
            b"[" * 10 + b"]" * 10,
            b"1e999",
            b"-1e999",
            b"NaN",
            b"null",
            b"true",
            b"[]",
            b"{}",
            b'""',
            b"0",
            b"-1",
            b"65536",
            b'"80"',
            b'"10.0.0.1:0"',
            b'"10.0.0.1:65536"',
            b'"10.0.0.1:-1"',
            b'"ready"',
            b'"elsewhere"',
            b'{"a":1,"a":2}',
            b"{[1]:2}",
            b"{1:2}",
            b"{%s:2}" % nested(2000),
            b'"' + b"x" * 1_000_000 + b'"',
        ]
    ),
    st.integers(-(2**70), 2**70).map(lambda value: b"%d" % value),
    st.binary(max_size=4).map(lambda data: b'"%s"' % data.hex().encode()),
)
FIELDS = {
    "servers": ["service", "address", "zone", "slots", "state", "warmup_left_ms"],
    "config": ["version", "routes", "services", "limits"],
    "evacuations": ["reason"],
    DAEMON_KIND: ["failure_domain", "peer_address", "renewed_ms", "registered_ms"],
}


@st.composite
def odd_specs(draw, kind):
    """Return the bytes of a specification with some odd fields, or of no object."""
    names = FIELDS[kind]
    fields = draw(st.dictionaries(st.sampled_from(names), fragments, max_size=3))
    if draw(st.booleans()):
        return draw(fragments)
    good = GOOD_SPECS[kind]
    parts = {name: encode_json(good.get(name)) for name in names if name in good}
    parts.update(fields)
    return b"{%s}" % b",".join(b'"%s":%s' % (n.encode(), v) for n, v in parts.items())


def server_spec(number, **changes):
    return {
        "service": "items",
        "address": f"10.0.0.{number}:80",
        "zone": "a1",
        "slots": 2,
        "state": "ready",
        "warmup_left_ms": 0,
        **changes,
    }


GOOD_SPECS = {
    "servers": server_spec(9),
    "config": {"version": 3, "routes": [], "services": [], "limits": {}},
    "evacuations": {},
    DAEMON_KIND: {
        "failure_domain": "a1",
        "peer_address": "10.0.0.9:90",
        "renewed_ms": 1,
    },
}


def item(name, spec):
    return {"meta": {"name": name, "revision": 5}, "spec": spec}


class FakeCalls:
    """Replies to each call of a daemon with the bytes of a page."""

    def __init__(self):
        self.items = []
        self.events = []
        self.malformed_count = 0
        self.waiting = None

    def count_malformed(self):
        """Count an object that cannot be used."""
        self.malformed_count += 1

    def list(self, kind, after, on_reply, stale=False):
        """Reply with all items."""
        self._reply(on_reply, {"items": self.items, "current_rev": 5})

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Keep the watch until there are events."""
        self.waiting = on_reply

    def report(self, revision):
        """Answer the watch with the events."""
        self._reply(self.waiting, {"events": self.events, "current_rev": revision})

    @staticmethod
    def _reply(on_reply, body):
        on_reply(StoreReply(200, decode_body(encode_json(body))))


class Pair:
    """Two daemons without sockets; ``e1`` reads a kind and relays it to ``e2``."""

    def __init__(self, kind):
        self.clock = ManualClock()
        self.calls = FakeCalls()
        self.directories = {}
        self.relays = {}
        self.followed = {}
        for vm in ("e1", "e2"):
            self._add(vm, kind)
        self.feed = Feed(
            kind,
            self.clock,
            KindSource(self.calls, kind),
            RelayingSink(self.followed["e1"], self.relays["e1"]),
            1000.0,
        )

    def _add(self, vm, kind):
        directory = Directory(None, self.clock, vm, "a1", {"a1": "a"}, Bounds())
        other = "e2" if vm == "e1" else "e1"

        def send(peer, message):
            self.relays[peer].receive(vm, decode(encode(message)))
            return True

        relay = Relay(self.clock, vm, send, lambda: [other], 4000.0)
        sink = sinks_by_kind(directory, self.clock)[kind]
        self.followed[vm] = FollowedKind(kind, self.clock, sink)
        relay.follow(self.followed[vm], None)
        self.directories[vm], self.relays[vm] = directory, relay


def state_of(directory):
    """Return what two daemons must agree on."""
    servers = {name: server.entry.state for name, server in directory.servers.items()}
    version = directory.routing.version if directory.routing else None
    return servers, version, directory.domains_out


@then("whatever object another writer leaves, the others are followed and relayed")
def step_any_object(context):
    @settings(max_examples=150, deadline=None)
    @for_all(st.data())
    def check(data):
        kind = data.draw(st.sampled_from(["servers", "config", "evacuations"]))
        odd = RawJson(data.draw(odd_specs(kind)))
        names = st.sampled_from(["odd", "main", "s1", b'"\xff"', b"7", b"null"])
        name = data.draw(names)
        odd_name = RawJson(name) if isinstance(name, bytes) else name
        pair = Pair(kind)
        good = {
            "servers": [item(f"s{n}", server_spec(n)) for n in (1, 2, 3)],
            "config": [item("main", GOOD_SPECS["config"])],
            "evacuations": [item("a1", {})],
        }[kind]
        good_names = {entry["meta"]["name"] for entry in good} - {name}
        position = data.draw(st.integers(0, len(good)))
        others = [entry for entry in good if entry["meta"]["name"] in good_names]
        others.insert(position, item(odd_name, odd))
        pair.calls.items = others
        pair.feed.resume()
        pair.clock.advance(1500.0)
        check_good(pair, kind, good_names)
        pair.calls.events = [{"object": item(odd_name, odd), "removed": False}]
        if kind == "servers" and "s2" in good_names:
            drained = item("s2", server_spec(2, state="draining"))
            pair.calls.events.append({"object": drained, "removed": False})
        pair.calls.report(6)
        pair.clock.advance(1500.0)
        check_good(pair, kind, good_names)
        if kind == "servers" and "s2" in good_names:
            for directory in pair.directories.values():
                assert directory.servers["s2"].entry.state is ServerState.DRAINING
        assert pair.feed.active and not pair.feed.lost and pair.calls.waiting

    check()


def check_good(pair, kind, good_names):
    """Check that both daemons know the good objects, and the same of the odd one."""
    first, second = (state_of(d) for d in pair.directories.values())
    assert first == second, (first, second)
    servers, version, domains_out = first
    if kind == "servers":
        assert good_names <= set(servers), servers
    elif kind == "evacuations":
        assert good_names <= domains_out, domains_out
    elif "main" in good_names:
        assert version == 3, version


@then("whatever registration another writer leaves, the other daemons are known")
def step_any_registration(context):
    @settings(max_examples=100, deadline=None)
    @for_all(odd_specs(DAEMON_KIND), st.integers(0, 2))
    def check(spec, position):
        clock, calls = ManualClock(), FakeCalls()
        world_settings = FakeSettings()
        calls.items = [
            item(f"e{n}", {**GOOD_SPECS[DAEMON_KIND], "renewed_ms": clock.wall_ms()})
            for n in (1, 2)
        ]
        calls.items.insert(position, item("odd", RawJson(spec)))
        seen = []

        def use(peers):
            by_domain = {}
            for peer in peers:
                by_domain.setdefault(peer.failure_domain, []).append(peer.vm)
            seen.append({vm for vms in by_domain.values() for vm in vms})

        registrations = Registrations(calls)
        membership = Membership(
            clock, world_settings, registrations, use, random.Random(1)
        )
        calls.put = lambda *args: None
        membership.start()
        clock.advance(30_000.0)
        assert len(seen) >= 3 and all({"e1", "e2"} <= vms for vms in seen), seen

    check()


class FakeSettings:
    """The settings that the registration of a daemon needs."""

    vm = "e0"
    failure_domain = "a1"
    peer_address = "10.0.0.8:90"
    first_start = False


class FailingSink:
    """A sink with a defect."""

    def replace(self, changes, position):
        """Accept the first list."""

    def apply(self, changes, since, position):
        """Fail."""
        raise RuntimeError("defect for a test")


class EndlessSource:
    """Reports a change in each watch."""

    def __init__(self, clock):
        self._clock = clock
        self.watch_count = 0

    def list_page(self, after, on_page, stale=False):
        """Reply with an empty list."""
        on_page(Page([], 1))

    def watch(self, revision, wait_ms, grace_ms, on_page):
        """Report a revision at once."""
        self.watch_count += 1
        self._clock.call_later(10.0, on_page, Page([], revision + 1))


@given("a feed whose sink fails at every change")
def step_failing_sink(context):
    context.clock = ManualClock()
    context.source = EndlessSource(context.clock)
    context.feed = Feed("config", context.clock, context.source, FailingSink(), 1000.0)
    context.feed.resume()


@then("the feed still watches the store")
def step_still_watches(context):
    count = context.source.watch_count
    context.clock.advance(2000.0)
    assert context.source.watch_count >= count + 5, context.source.watch_count


@then("of three objects with one that has <key> as a key, the others are read")
def step_odd_keys(context):
    for row in context.table:
        odd = b"{%s:2}" % row["key"].encode()
        items = decode_body(b'{"items":[{"a":1},%s,{"a":3}]}' % odd)["items"]
        assert [items[0], items[2]] == [{"a": 1}, {"a": 3}], items
        assert items[1] is UNREADABLE, items


@then("for any bytes the body of a reply is read, or is none")
def step_any_bytes(context):
    pieces = [
        b"[",
        b"]",
        b"{",
        b"}",
        b",",
        b":",
        b'"a"',
        b'"',
        b"\\",
        b"1",
        b" ",
        b"\xff",
    ]
    pieces += [b"null", b'{"a":', nested(2000), b"9" * 5000, b'"x\\"[{"']

    @settings(max_examples=500, deadline=None)
    @for_all(st.lists(st.sampled_from(pieces), max_size=16))
    def check(parts):
        # The last value makes the parser look into the others one by one.
        content = b'{"items":[%s],"odd":%s}' % (b"".join(parts), nested(2000))
        for body in (b"".join(parts), content):
            assert decode_body(body) is None or decode_body(body) is not UNREADABLE

    check()
