"""Connections to one address, each carrying one request at a time."""

from collections import deque
from enum import Enum

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from hemlockspoke.http1.response_parser import ResponseReader

# A healthy connection opens within two round trips between regions; a longer wait
# means a lost packet or a dark host.
CONNECT_TIMEOUT_MS = 800
# Used where the server does not state its idle timeout.
DEFAULT_IDLE_MS = 4000
# Part of the stated idle timeout after which a connection is no longer reused, so
# that a request seldom meets the server closing it.
IDLE_PART = 0.6
# A larger body may still be on its way when the response arrives.
SMALL_BODY_BYTES = 16384


class Loss(Enum):
    """How an exchange ended without a response."""

    # No byte has been handed to the transport.
    UNSENT = "unsent"
    # The request may have been read.
    BROKEN = "broken"
    MALFORMED = "malformed"


class Exchange:
    """One request and what came of it.

    ``encode`` returns the bytes of the request and is called right before they are
    sent, so that what they say of the time left is true. Exactly one of
    ``on_response(response)`` and ``on_loss(loss, detail)`` is called, unless the
    exchange is cancelled. ``fresh_only`` keeps the request off connections that
    have been idle for long, which the server may be closing.
    """

    __slots__ = (
        "_pool",
        "connection",
        "done",
        "encode",
        "fresh_only",
        "head_only",
        "on_loss",
        "on_response",
        "sent_ms",
        "size_bytes",
    )

    def __init__(self, encode, on_response, on_loss, fresh_only=False, head_only=False):
        self.encode = encode
        self.size_bytes = 0
        self.on_response = on_response
        self.on_loss = on_loss
        self.fresh_only = fresh_only
        self.head_only = head_only
        self.sent_ms = None
        self.connection = None
        self.done = False
        self._pool = None

    def queued_at(self, pool):
        """Note the pool that the exchange waits for."""
        self._pool = pool

    def cancel(self):
        """End the exchange; a connection that carries it is closed at once."""
        if self.done:
            return
        self.done = True
        if self.connection is not None:
            self.connection.abort()
        elif self._pool is not None:
            self._pool.withdraw(self)

    def finish(self, response):
        """Hand over the response."""
        if not self.done:
            self.done = True
            self.on_response(response)

    def fail(self, loss, detail):
        """Report that there will be no response."""
        if not self.done:
            self.done = True
            self.on_loss(loss, detail)


class UpstreamConnection(Protocol):
    """A connection of a pool."""

    def __init__(self, pool):
        self._pool = pool
        self._exchange = None
        self._reader = None
        self.idle_since_ms = None
        self.idle_limit_ms = DEFAULT_IDLE_MS * IDLE_PART

    def connectionMade(self):
        """Report the new connection to its pool."""
        self.transport.setTcpNoDelay(True)
        self._pool.connected(self)

    def send(self, exchange, now_ms):
        """Send the request of an exchange."""
        self._exchange = exchange
        self._reader = ResponseReader(exchange.head_only)
        self.idle_since_ms = None
        exchange.connection = self
        exchange.sent_ms = now_ms
        data = exchange.encode()
        exchange.size_bytes = len(data)
        self.transport.write(data)

    def dataReceived(self, data):
        """Read the response; bytes that nobody asked for close the connection."""
        reader = self._reader
        if reader is None:
            self.abort()
            return
        reader.feed(data)
        if reader.malformed:
            self._end(Loss.MALFORMED, "bytes are not a response")
            self.transport.abortConnection()
        elif reader.response is not None:
            self._complete(reader)

    def _complete(self, reader):
        exchange, self._exchange, self._reader = self._exchange, None, None
        response = reader.response
        small = exchange.size_bytes <= SMALL_BODY_BYTES
        if response.reusable and not reader.surplus and small:
            if response.keep_alive_ms is not None:
                self.idle_limit_ms = response.keep_alive_ms * IDLE_PART
            self._pool.released(self)
        else:
            self._pool.lost(self)
            self.transport.loseConnection()
        exchange.finish(response)

    def connectionLost(self, reason):
        """End the exchange in progress."""
        self._pool.lost(self)
        reader = self._reader
        if reader is not None and reason.check(ConnectionDone) and reader.end():
            exchange, self._exchange, self._reader = self._exchange, None, None
            exchange.finish(reader.response)
            return
        self._end(Loss.BROKEN, reason.type.__name__)

    def _end(self, loss, detail):
        exchange, self._exchange, self._reader = self._exchange, None, None
        if exchange is not None:
            exchange.fail(loss, detail)

    def abort(self):
        """Close at once, without waiting for bytes to leave."""
        self._exchange = self._reader = None
        self._pool.lost(self)
        self.transport.abortConnection()


class ConnectionPool:
    """At most ``limit`` connections to one address; requests wait for a free one."""

    __slots__ = (
        "_address",
        "_bind",
        "_clock",
        "_closed",
        "_connecting",
        "_idle",
        "_open",
        "_reactor",
        "_waiting",
        "connect_ms",
        "limit",
        "opened",
    )

    def __init__(self, reactor, clock, address, limit, bind_host=None):
        self._reactor = reactor
        self._clock = clock
        self._address = address
        self._bind = None if bind_host is None else (bind_host, 0)
        self.limit = limit
        self._idle = []
        self._open = set()
        self._connecting = 0
        self._waiting = deque()
        self._closed = False
        self.connect_ms = None
        self.opened = 0

    def submit(self, exchange):
        """Send the exchange on a free connection, or when one gets free."""
        if self._closed:
            exchange.fail(Loss.UNSENT, "server is gone")
            return
        connection = self._take_idle(exchange.fresh_only)
        if connection is not None:
            connection.send(exchange, self._clock.now_ms())
            return
        exchange.queued_at(self)
        self._waiting.append(exchange)
        if len(self._open) + self._connecting < self.limit:
            self._connect()
        elif self._idle:
            # Only connections too old for this exchange are left.
            self._idle.pop(0).abort()
            self._connect()

    def free(self):
        """Return whether a request would be sent without waiting for another."""
        return bool(self._idle) or len(self._open) + self._connecting < self.limit

    def has_idle(self):
        """Return whether a connection is open and free."""
        return bool(self._idle)

    def _take_idle(self, fresh_only):
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms > connection.idle_limit_ms:
                for stale in list(self._idle):
                    stale.abort()
                return None
            if fresh_only and idle_ms > connection.idle_limit_ms / 4:
                return None
            return self._idle.pop()
        return None

    def _connect(self):
        self._connecting += 1
        factory = _PoolFactory(self, self._clock.now_ms())
        self._reactor.connectTCP(
            self._address.host,
            self._address.port,
            factory,
            timeout=CONNECT_TIMEOUT_MS / 1000.0,
            bindAddress=self._bind,
        )

    def connected(self, connection):
        """Take a connection that has been opened."""
        self._connecting -= 1
        self._open.add(connection)
        self.opened += 1
        if self._closed:
            connection.abort()
            return
        self.released(connection)

    def note_connect_time(self, started_ms):
        """Note how long the handshake took."""
        self.connect_ms = self._clock.now_ms() - started_ms

    def connect_failed(self, detail):
        """Fail the request that waited longest: its connection was not opened."""
        self._connecting -= 1
        if self._waiting:
            self._waiting.popleft().fail(Loss.UNSENT, detail)
        self._open_for_waiting()

    def _open_for_waiting(self):
        """Open a connection if requests wait and none is on its way."""
        wanted = self._waiting and not self._connecting and not self._closed
        if wanted and len(self._open) < self.limit:
            self._connect()

    def released(self, connection):
        """Use a connection for the next request, or keep it."""
        if self._waiting:
            connection.send(self._waiting.popleft(), self._clock.now_ms())
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def lost(self, connection):
        """Forget a connection."""
        if connection not in self._open:
            return
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_for_waiting()

    def withdraw(self, exchange):
        """Drop a request that has not been sent."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def drop_idle(self):
        """Close the idle connections; those in use are left alone."""
        for connection in list(self._idle):
            connection.abort()

    def close_when_done(self):
        """Take no more requests; connections close as their requests end."""
        self.limit = 0
        self._closed = True
        self.drop_idle()
        while self._waiting:
            self._waiting.popleft().fail(Loss.UNSENT, "server is gone")


class _PoolFactory(ClientFactory):
    noisy = False

    def __init__(self, pool, started_ms):
        self._pool = pool
        self._started_ms = started_ms

    def buildProtocol(self, address):
        self._pool.note_connect_time(self._started_ms)
        return UpstreamConnection(self._pool)

    def clientConnectionFailed(self, connector, reason):
        self._pool.connect_failed(reason.type.__name__)
