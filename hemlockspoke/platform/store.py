"""Calls to the platform's object API."""

import json
from urllib.parse import quote, urlencode

from hemlockspoke.http1.connection import ConnectionPool, Exchange
from hemlockspoke.http1.messages import encode_request

# The store answers in some ms; ten times slowed answers are still waited for.
CALL_TIMEOUT_MS = 1200
# Connections of one daemon to the store: a waiting watch occupies one.
MAX_CONNECTIONS = 8


class StoreReply:
    """Status and decoded body of a call; ``status`` is None without an answer."""

    __slots__ = ("body", "detail", "status")

    def __init__(self, status, body=None, detail=""):
        self.status = status
        self.body = body
        self.detail = detail


class StoreCalls:
    """Sends calls, each on a connection of its own for the time that it takes.

    A call without an answer in time closes its connection, since nothing can
    follow on it, and the idle ones, which mostly have gone silent with it.
    """

    __slots__ = ("_clock", "_host", "_metrics", "_pool")

    def __init__(self, reactor, clock, address, metrics, bind_host=None):
        self._clock = clock
        self._metrics = metrics
        self._pool = ConnectionPool(reactor, clock, address, MAX_CONNECTIONS, bind_host)
        self._host = str(address).encode()

    def call(self, method, path, on_reply, body=None, timeout_ms=CALL_TIMEOUT_MS):
        """Send a call; ``on_reply(StoreReply)`` is called exactly once."""
        data = self._encode(method, path, body)
        state = {}

        def finish(reply):
            state["timer"].cancel()
            on_reply(reply)

        def responded(response):
            finish(StoreReply(response.status, decode_body(response.body)))

        def lost(loss, detail):
            finish(StoreReply(None, detail=detail))

        def timed_out():
            self._pool.drop_idle()
            exchange.cancel()
            on_reply(StoreReply(None, detail=f"no answer in {timeout_ms:.0f} ms"))

        exchange = Exchange(lambda: data, responded, lost)
        state["timer"] = self._clock.call_later(timeout_ms, timed_out)
        self._metrics.count(f"store.{method.lower()}")
        self._pool.submit(exchange)

    def _encode(self, method, path, body):
        headers = [(b"Host", self._host)]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers.append((b"Content-Type", b"application/json"))
        return encode_request(method.encode(), path.encode(), headers, data)

    def list(self, kind, after, on_reply, stale=False):
        """Read a page of the objects of a kind.

        A stale list costs a tenth of the price and may be some seconds old.
        """
        fields = {"after": after} if after else {}
        if stale:
            fields["stale_ok"] = "1"
        query = f"?{urlencode(fields)}" if fields else ""
        self.call("GET", f"/api/objects/{kind}{query}", on_reply)

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Wait for changes of a kind after a revision."""
        path = f"/api/objects/{kind}?watch={revision}&wait_ms={int(wait_ms)}"
        self.call("GET", path, on_reply, timeout_ms=wait_ms + grace_ms)

    def put(self, kind, name, spec, revision, on_reply):
        """Create an object, or replace the one at ``revision``."""
        meta = {"name": name}
        if revision is None:
            path, method = f"/api/objects/{kind}", "POST"
        else:
            path, method = f"/api/objects/{kind}/{quote(name, safe='')}", "PUT"
            meta["revision"] = revision
        self.call(method, path, on_reply, body={"meta": meta, "spec": spec})


def decode_body(content):
    """Return the JSON value of a body, or None if it is not JSON."""
    try:
        return json.loads(content) if content else None
    except ValueError:
        return None
