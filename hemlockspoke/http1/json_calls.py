"""HTTP requests with JSON bodies to one address."""

import json

from hemlockspoke.http1 import lenient_json
from hemlockspoke.http1.connection import Exchange, ExchangeFailure
from hemlockspoke.http1.messages import encode_request
from hemlockspoke.http1.pool import ConnectionPool

# Limit on the body of a reply. A page of a list holds about 1 MB and at most one more
# object of that size. The changes that a watch reports may exceed the limit.
MAX_REPLY_BYTES = 8 * 1024 * 1024
# A reply that breaks off or times out beyond this length counts as too long as well: on
# a slow link no longer reply arrives in time, while a page of a list does.
LONG_REPLY_BYTES = 1024 * 1024


class JsonReply:
    """Status and decoded body of a reply; ``status`` is None if there was no reply.

    ``detail`` then says why; ``sent`` says whether the request may have been sent, and
    ``too_long`` whether there was a reply with a body over ``MAX_REPLY_BYTES``, or the
    beginning of one with over ``LONG_REPLY_BYTES``.
    ``headers`` lists pairs of byte strings.
    """

    __slots__ = ("body", "detail", "headers", "sent", "status", "too_long")

    def __init__(
        self, status, body=None, detail="", sent=True, headers=(), too_long=False
    ):
        self.status = status
        self.body = body
        self.detail = detail
        self.sent = sent
        self.headers = headers
        self.too_long = too_long


class JsonCalls:
    """Sends HTTP requests over pooled connections, each with one request at a time.

    A request that times out closes its connection, on which no further request can
    be sent, and all idle connections, which are usually dead as well.
    """

    __slots__ = ("_clock", "_host", "_pool")

    def __init__(self, reactor, clock, address, max_connections, bind_host=None):
        self._clock = clock
        self._pool = ConnectionPool(reactor, clock, address, max_connections, bind_host)
        self._host = str(address).encode()

    def call(self, method, path, on_reply, timeout_ms, body=None, headers=()):
        """Send a request; ``on_reply(JsonReply)`` is called exactly once."""
        data = self._encode(method, path, headers, body)
        pending = {}

        def finish(reply):
            pending["timer"].cancel()
            on_reply(reply)

        def on_response(response):
            body = decode_body(response.body)
            finish(JsonReply(response.status, body, headers=response.headers))

        def on_failure(failure, detail):
            finish(failed(detail, failure is not ExchangeFailure.UNSENT))

        def on_timeout():
            sent = exchange.sent_ms is not None
            self._pool.close_idle()
            exchange.cancel()
            on_reply(failed(f"no answer in {timeout_ms:.0f} ms", sent))

        def failed(detail, sent):
            received_bytes = exchange.received_bytes
            too_long = exchange.too_long or received_bytes > LONG_REPLY_BYTES
            if too_long:
                detail += f", {received_bytes} bytes received"
            return JsonReply(None, detail=detail, sent=sent, too_long=too_long)

        exchange = Exchange(
            lambda: data, on_response, on_failure, max_body_bytes=MAX_REPLY_BYTES
        )
        pending["timer"] = self._clock.call_after_reads(timeout_ms, on_timeout)
        self._pool.submit(exchange)

    def _encode(self, method, path, headers, body):
        header_fields = [(b"Host", self._host), *headers]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            header_fields.append((b"Content-Type", b"application/json"))
        return encode_request(method.encode(), path.encode(), header_fields, data)


def decode_body(content):
    """Return the JSON value of a body, or None if it is not JSON.

    Parts of it that are not are ``lenient_json.UNREADABLE``.
    """
    try:
        return lenient_json.decode(content) if content else None
    except ValueError:
        return None
