"""Client connections of a pool, each with one request at a time."""

from enum import Enum

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from hemlockspoke.http1.response_parser import MAX_BODY_BYTES, ResponseParser

# Used if the server does not announce its idle timeout.
DEFAULT_IDLE_TIMEOUT_MS = 4000
# Fraction of the announced idle timeout after which a connection is not reused, so
# that a request is rarely sent while the server closes the connection.
IDLE_REUSE_RATIO = 0.6
# A larger request may not be fully sent when its response arrives.
MAX_REUSE_REQUEST_BYTES = 16384


class ExchangeFailure(Enum):
    """Why an exchange ended without a response."""

    # No connection could be opened, or the pool is closed. No byte has been written.
    UNSENT = "unsent"
    # Taken back from the requests that wait for a connection. No byte has been written.
    RECALLED = "recalled"
    # The connection was lost; the server may have read the request.
    BROKEN = "broken"
    # The received bytes are not an HTTP response within the limits.
    MALFORMED = "malformed"


class Exchange:
    """One request and its outcome.

    ``encode`` returns the bytes of the request and is called right before they are
    sent, so that their remaining time is accurate. Exactly one of
    ``on_response(response)`` and ``on_failure(failure, detail)`` is called, unless the
    exchange is cancelled. With ``at_most_once`` no connection is used that has been
    idle for over a quarter of its limit, since the server may be closing it, and none
    that has carried a response without an id, as a late second copy of that would be
    taken for the response to this request. A response with a body of over
    ``max_body_bytes`` is malformed. ``reused_connection`` is True if the connection has
    carried an earlier request, of which bytes may still arrive. If
    ``is_own(response)`` is given and returns False, the response belongs to another
    request, and the connection is not used again; it also sets ``unidentified`` if the
    response has no id. No connection of ``avoided`` is used. ``partial`` is a
    ``Response`` without a body that has the headers of interim responses, and of one
    whose body did not arrive; None without such headers. ``too_long`` is True after a
    response with a body beyond the limit. ``received_bytes`` is the length of the
    response, or of its part that arrived before the exchange failed or was cancelled.
    """

    __slots__ = (
        "_pool",
        "at_most_once",
        "avoided",
        "connection",
        "done",
        "encode",
        "head_only",
        "is_own",
        "max_body_bytes",
        "on_failure",
        "on_response",
        "partial",
        "received_bytes",
        "reused_connection",
        "sent_ms",
        "size_bytes",
        "too_long",
        "unidentified",
    )

    def __init__(
        self,
        encode,
        on_response,
        on_failure,
        at_most_once=False,
        head_only=False,
        max_body_bytes=MAX_BODY_BYTES,
        is_own=None,
        avoided=(),
    ):
        self.encode = encode
        self.size_bytes = 0
        self.on_response = on_response
        self.on_failure = on_failure
        self.at_most_once = at_most_once
        self.head_only = head_only
        self.max_body_bytes = max_body_bytes
        self.is_own = is_own or (lambda response: True)
        self.avoided = avoided
        self.partial = None
        self.received_bytes = 0
        self.too_long = False
        self.reused_connection = False
        self.unidentified = False
        self.sent_ms = None
        self.connection = None
        self.done = False
        self._pool = None

    def may_use(self, connection):
        """Return whether a connection may carry the request."""
        is_ambiguous = self.at_most_once and connection.had_unidentified
        return not is_ambiguous and connection not in self.avoided

    def set_pool(self, pool):
        """Record the pool whose queue holds the exchange."""
        self._pool = pool

    def cancel(self):
        """Cancel the exchange and abort the connection that carries it."""
        if self.done:
            return
        self.done = True
        if self.connection is not None:
            self.connection.abort()
        elif self._pool is not None:
            self._pool.remove_waiting(self)

    def finish(self, response):
        """Complete the exchange with its response."""
        if not self.done:
            self.done = True
            self.on_response(response)

    def fail(self, failure, detail):
        """Complete the exchange without a response."""
        if not self.done:
            self.done = True
            self.on_failure(failure, detail)


class PooledConnection(Protocol):
    """A connection of a pool, not reused after ``max_idle_ms`` without use.

    ``had_unidentified`` is True once it has carried a response without an id.
    """

    def __init__(self, pool):
        self._pool = pool
        self._exchange = None
        self._parser = None
        self._is_used = False
        self.had_unidentified = False
        self.idle_since_ms = None
        self.max_idle_ms = DEFAULT_IDLE_TIMEOUT_MS * IDLE_REUSE_RATIO

    def connectionMade(self):
        """Add the new connection to its pool."""
        self.transport.setTcpNoDelay(True)
        self._pool.connected(self)

    def send(self, exchange, now_ms):
        """Send the request of an exchange."""
        self._exchange = exchange
        self._parser = ResponseParser(exchange.head_only, exchange.max_body_bytes)
        self.idle_since_ms = None
        exchange.connection = self
        exchange.reused_connection = self._is_used
        self._is_used = True
        exchange.sent_ms = now_ms
        data = exchange.encode()
        exchange.size_bytes = len(data)
        self.transport.write(data)

    def dataReceived(self, data):
        """Read the response; bytes without a pending request abort the connection."""
        parser = self._parser
        if parser is None:
            self.abort()
            return
        parser.feed(data)
        if parser.malformed:
            self._fail_exchange(ExchangeFailure.MALFORMED, parser.malformed)
            self.transport.abortConnection()
        elif parser.response is not None:
            self._complete(parser)

    def _complete(self, parser):
        exchange = self._take_exchange()
        response = parser.response
        reusable = (
            exchange.is_own(response)
            and response.reusable
            and not parser.has_trailing_data
            and exchange.size_bytes <= MAX_REUSE_REQUEST_BYTES
        )
        if reusable:
            self.had_unidentified |= exchange.unidentified
            if response.keep_alive_ms is not None:
                self.max_idle_ms = response.keep_alive_ms * IDLE_REUSE_RATIO
            self._pool.released(self)
        else:
            self._pool.lost(self)
            self.transport.loseConnection()
        exchange.finish(response)

    def connectionLost(self, reason):
        """Complete the exchange in progress."""
        self._pool.lost(self)
        parser = self._parser
        if parser is not None and reason.check(ConnectionDone) and parser.end():
            self._take_exchange().finish(parser.response)
            return
        self._fail_exchange(ExchangeFailure.BROKEN, reason.type.__name__)

    def _take_exchange(self):
        """Return the exchange in progress, which ends, or None."""
        exchange, parser = self._exchange, self._parser
        self._exchange = self._parser = None
        if exchange is not None:
            exchange.partial = parser.partial_response()
            exchange.too_long = parser.too_long
            exchange.received_bytes = parser.received_bytes
        return exchange

    def _fail_exchange(self, failure, detail):
        exchange = self._take_exchange()
        if exchange is not None:
            exchange.fail(failure, detail)

    def abort(self):
        """Close at once and discard unsent bytes."""
        if self._exchange is not None:
            self._exchange.received_bytes = self._parser.received_bytes
        self._exchange = self._parser = None
        self._pool.lost(self)
        self.transport.abortConnection()
