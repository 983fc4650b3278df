"""A pool of connections to one address, and the requests that wait for one."""

from collections import deque

from twisted.internet.protocol import ClientFactory

from hemlockspoke.http1.connection import ExchangeFailure, PooledConnection

# A connection normally opens within two round trips between regions; a longer wait
# means a lost packet or an unreachable host.
CONNECT_TIMEOUT_MS = 800
POOL_CLOSED = "the connection pool is closed"


class ConnectionPool:
    """At most ``limit`` connections to one address; requests wait for a free one.

    ``connect_ms`` is the duration of the last TCP handshake, or None before the first;
    ``opened`` counts the connections opened so far.
    """

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
        """Send the exchange on an idle connection, or queue it for the next one."""
        if self._closed:
            exchange.fail(ExchangeFailure.UNSENT, POOL_CLOSED)
            return
        connection = self._pop_idle(exchange)
        if connection is not None:
            connection.send(exchange, self._clock.now_ms())
            return
        exchange.set_pool(self)
        self._waiting.append(exchange)
        self._connect_for_waiting()

    def has_capacity(self):
        """Return whether a request can be sent before another one has ended."""
        return bool(self._idle) or self._has_room()

    def has_idle(self):
        """Return whether an open connection is idle."""
        return bool(self._idle)

    def _pop_idle(self, exchange):
        now_ms = self._clock.now_ms()
        # The connection that was used last is the least likely one to be closed.
        for connection in reversed(self._idle):
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms > connection.max_idle_ms:
                self._abort_idle_since(connection.idle_since_ms)
                return None
            if exchange.at_most_once and idle_ms > connection.max_idle_ms / 4:
                return None
            if exchange.may_use(connection):
                self._idle.remove(connection)
                return connection
        return None

    def _abort_idle_since(self, since_ms):
        """Abort the connections that have been idle since a clock time or earlier."""
        for connection in list(self._idle):
            if connection.idle_since_ms <= since_ms:
                connection.abort()

    def _connect_for_waiting(self):
        """Open a connection, at the limit in the place of an idle one.

        A request that waits while connections are idle can use none of them.
        """
        if not self._has_room() and self._idle:
            connection = self._idle.pop(0)
            self._open.discard(connection)
            connection.abort()
        if self._has_room():
            self._connect()

    def _has_room(self):
        return len(self._open) + self._connecting < self.limit

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
        """Add a connection that has been opened."""
        self._connecting -= 1
        self._open.add(connection)
        self.opened += 1
        self.released(connection)

    def record_connect_time(self, started_ms):
        """Record the duration of the TCP handshake."""
        self.connect_ms = self._clock.now_ms() - started_ms

    def connect_failed(self, detail):
        """Fail the request that has waited longest, after a failed connect attempt."""
        self._connecting -= 1
        if self._waiting:
            self._waiting.popleft().fail(ExchangeFailure.UNSENT, detail)
        self._connect_if_needed()

    def _connect_if_needed(self):
        """Open a connection if requests wait and no connect attempt is in progress."""
        is_needed = self._waiting and not self._connecting and not self._closed
        if is_needed and len(self._open) < self.limit:
            self._connect()

    def released(self, connection):
        """Send the next waiting request on a connection, or keep it idle.

        After ``close_gracefully`` it is closed instead.
        """
        if self._closed:
            connection.abort()
            return
        exchange = self._pop_waiting(connection)
        if exchange is not None:
            connection.send(exchange, self._clock.now_ms())
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)
        if self._connecting < len(self._waiting):
            self._connect_for_waiting()

    def _pop_waiting(self, connection):
        """Remove and return the first waiting request that may use a connection."""
        for exchange in self._waiting:
            if exchange.may_use(connection):
                self._waiting.remove(exchange)
                return exchange
        return None

    def lost(self, connection):
        """Remove a closed connection and replace it if requests wait."""
        if connection not in self._open:
            return
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._connect_if_needed()

    def remove_waiting(self, exchange):
        """Remove a waiting request."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def recall_waiting(self, reason):
        """Fail the waiting requests, which may then be sent to another address.

        Some may be submitted again at once.
        """
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.fail(ExchangeFailure.RECALLED, reason)

    def close_idle(self):
        """Close the idle connections but not those in use."""
        for connection in list(self._idle):
            connection.abort()

    def close_gracefully(self):
        """Fail new and waiting requests and close the idle connections.

        Requests in progress are completed.
        """
        self.limit = 0
        self._closed = True
        self.close_idle()
        self.recall_waiting(POOL_CLOSED)


class _PoolFactory(ClientFactory):
    noisy = False

    def __init__(self, pool, started_ms):
        self._pool = pool
        self._started_ms = started_ms

    def buildProtocol(self, address):
        self._pool.record_connect_time(self._started_ms)
        return PooledConnection(self._pool)

    def clientConnectionFailed(self, connector, reason):
        self._pool.connect_failed(reason.type.__name__)
