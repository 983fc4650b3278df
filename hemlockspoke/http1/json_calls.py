"""Calls with JSON bodies to one address, each answered exactly once."""

import json

from hemlockspoke.http1.connection import ConnectionPool, Exchange, Loss
from hemlockspoke.http1.messages import encode_request


class JsonReply:
    """Status and decoded body of a call; ``status`` is None without an answer.

    ``sent`` tells whether the call may have left.
    """

    __slots__ = ("body", "detail", "sent", "status")

    def __init__(self, status, body=None, detail="", sent=True):
        self.status = status
        self.body = body
        self.detail = detail
        self.sent = sent


class JsonCalls:
    """Sends calls, each on a connection of its own for the time that it takes.

    A call without an answer in time closes its connection, since nothing can
    follow on it, and the idle ones, which mostly have gone silent with it.
    """

    __slots__ = ("_clock", "_host", "_pool")

    def __init__(self, reactor, clock, address, max_connections, bind_host=None):
        self._clock = clock
        self._pool = ConnectionPool(reactor, clock, address, max_connections, bind_host)
        self._host = str(address).encode()

    def call(self, method, path, on_reply, timeout_ms, body=None, headers=()):
        """Send a call; ``on_reply(JsonReply)`` is called exactly once."""
        data = self._encode(method, path, headers, body)
        state = {}

        def finish(reply):
            state["timer"].cancel()
            on_reply(reply)

        def responded(response):
            finish(JsonReply(response.status, decode_body(response.body)))

        def lost(loss, detail):
            finish(JsonReply(None, detail=detail, sent=loss is not Loss.UNSENT))

        def timed_out():
            sent = exchange.sent_ms is not None
            self._pool.drop_idle()
            exchange.cancel()
            detail = f"no answer in {timeout_ms:.0f} ms"
            on_reply(JsonReply(None, detail=detail, sent=sent))

        exchange = Exchange(lambda: data, responded, lost)
        state["timer"] = self._clock.call_later(timeout_ms, timed_out)
        self._pool.submit(exchange)

    def _encode(self, method, path, headers, body):
        lines = [(b"Host", self._host), *headers]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            lines.append((b"Content-Type", b"application/json"))
        return encode_request(method.encode(), path.encode(), lines, data)


def decode_body(content):
    """Return the JSON value of a body, or None if it is not JSON."""
    try:
        return json.loads(content) if content else None
    except ValueError:
        return None
