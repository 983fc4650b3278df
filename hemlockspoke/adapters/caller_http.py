"""HTTP interface for callers: connections and their site."""

import heapq

from twisted.protocols import basic
from twisted.web import http

from hemlockspoke.adapters.bounded_http import BoundedChannel
from hemlockspoke.adapters.caller_http_request import CallerRequest
from hemlockspoke.adapters.caller_problems import (
    MAX_BODY_BYTES,
    body_too_large,
    malformed_http,
    not_ready,
)
from hemlockspoke.http1.channel import NEW_CONNECTION_GRACE_MS
from hemlockspoke.http1.memory_budget import HeldMemory, MemoryBudget
from hemlockspoke.http1.site import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MEMORY_BYTES,
    MAX_IDLE_TRIED,
)
from hemlockspoke.http1.socket_state import has_unread_bytes

# After a request is refused before it has been received completely, the rest of it is
# read and discarded for this long. Closing at once would reset the connection, and the
# caller could lose the response.
REFUSED_LINGER_S = 1.0
ABORT_TIMEOUT_S = 2
# Connections beyond the limit that are open at once until they have read a refusal.
MAX_REFUSED_CONNECTIONS = 64
OUT_OF_MEMORY = "requests of callers hold too much memory"
TOO_MANY_CONNECTIONS = "callers have too many connections"


class CallerChannel(BoundedChannel):
    """Connection of a caller, with limits on the size and time of a request.

    The time limit covers a request from its first byte to its last, so that a sender
    cannot extend it by sending single bytes. ``memory`` is what the connection holds of
    the site's budget.
    """

    requestFactory = CallerRequest
    abortTimeout = ABORT_TIMEOUT_S

    def __init__(self):
        super().__init__()
        self._receiving = False
        self._refused = False
        self._linger_timer = None
        self._opened_s = None
        self._idle_since_s = None
        self._is_first_request = True
        # True once further requests of the connection are dropped for lack of memory.
        self._drops_further = False
        self.memory = HeldMemory(self._give_up_memory)

    def connectionMade(self):
        """Register the connection with the site."""
        super().connectionMade()
        self._opened_s = self._idle_since_s = self.factory.seconds()
        self.factory.opened(self)

    def _update_memory(self):
        """Report to the budget what the connection holds now."""
        held_bytes = self.held_bytes() + sum(r.held_bytes for r in self.requests)
        if not self._receiving and not self._unsent_bytes:
            self.memory.since_ms = None
        elif self.memory.since_ms is None:
            self.memory.since_ms = self.factory.now_ms()
        self.factory.update_memory(self, held_bytes - self.memory.held_bytes)

    def _give_up_memory(self):
        """Give up what this connection holds of requests that have not begun.

        Their caller gets 503, or only the end of the connection if an answer is due
        before that.
        """
        if self._unsent_bytes:
            self.factory.refused("unread")
            self.transport.abortConnection()
            return
        self.factory.refused("memory")
        if self._handlingRequest:
            self._drops_further = True
            self._receiving = False
            self.drop_received()
        else:
            self.refuse_current(not_ready(OUT_OF_MEMORY))
        self._update_memory()

    def receiving(self):
        """Return whether a part of a request has been received."""
        return self._receiving

    def busy(self):
        """Return whether a request is being received or awaits its response."""
        return self._receiving or bool(self.requests)

    def closes_after_answer(self):
        """Return whether the answer in progress is the last of the connection."""
        is_leaving = self.factory.leaving or self.factory.refusal_reason() is not None
        return self._drops_further or (is_leaving and not self._receiving)

    def idle_since_s(self):
        """Return since when the connection has been idle, or None if it is not.

        A new connection is not idle for some time.
        """
        if self.busy() or self._is_new() or self._unsent_bytes or self._refused:
            return None
        return None if self.transport.disconnecting else self._idle_since_s

    def _is_new(self):
        age_ms = (self.factory.seconds() - self._opened_s) * 1000
        return self._is_first_request and age_ms < NEW_CONNECTION_GRACE_MS

    def close_if_idle(self):
        """Close the connection unless a request is received, handled or about to come.

        It stays open until its last answer has been sent. Return whether it is closed.
        """
        if self.busy() or self._is_new() or has_unread_bytes(self.transport):
            return False
        self.loseConnection()
        return True

    def refuse_partial(self, problem):
        """Refuse a request of which only a part has been received."""
        if self._receiving and not any(request.received for request in self.requests):
            self.refuse_current(problem)

    def dataReceived(self, data):
        """Receive bytes; only the first byte of a request restarts the time limit."""
        if self._refused or self._drops_further:
            return
        if not self._receiving:
            self._receiving = True
            self.resetTimeout()
            self._is_first_request = False
        basic.LineReceiver.dataReceived(self, data)
        self._update_memory()

    def lineReceived(self, line):
        """Process a header line unless the request has been refused."""
        if not self._refused:
            super().lineReceived(line)

    def rawDataReceived(self, data):
        """Process body data unless the request has been refused."""
        if not self._refused:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line):
        """Refuse a header line over the length limit."""
        self._respondToBadRequestAndDisconnect()

    def allHeadersReceived(self):
        """Refuse a request whose ``Content-Length`` is over the size limit."""
        if self.length is not None and self.length > MAX_BODY_BYTES:
            self.refuse(self.requests[-1], body_too_large())
            return
        super().allHeadersReceived()

    def allContentReceived(self):
        """Process a complete request."""
        if not self._refused:
            self._receiving = False
            self.requests[-1].count_head(self._receivedHeaderSize)
            super().allContentReceived()

    def requestDone(self, request):
        """Go on after an answer."""
        self._idle_since_s = self.factory.seconds()
        super().requestDone(request)
        self._update_memory()

    def resumeProducing(self):
        """Go on after an answer has been read."""
        super().resumeProducing()
        self._update_memory()

    def forceAbortClient(self):
        """Reset the connection of a caller that has not read its answer in time."""
        self.factory.refused("unread")
        super().forceAbortClient()

    def refuse(self, request, problem):
        """Respond to a request that is still being received; close the connection."""
        if self._refused:
            return
        self._refused = True
        self.persistent = False
        self.setTimeout(None)
        self.drop_received()
        request.drop_received()
        # Both are placeholders if no request line was parsed; the response needs them.
        request.method, request.clientproto = b"POST", b"HTTP/1.1"
        request.setHeader(b"Connection", b"close")
        request.answer_problem(problem)

    def loseConnection(self):
        """Close the connection, with a delay after a refused request."""
        if not self._refused:
            super().loseConnection()
        elif self._linger_timer is None:
            self._linger_timer = self.callLater(
                REFUSED_LINGER_S, super().loseConnection
            )

    def connectionLost(self, reason):
        """Remove the connection and notify its pending requests."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self.factory.closed(self)
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self):
        # Overrides the empty response of the base class to malformed HTTP.
        self.refuse_current(malformed_http())

    def refuse_current(self, problem):
        """Refuse the request being received, or the first one if there is none."""
        if self._refused:
            return
        request = self.requests[-1] if self.requests else CallerRequest(self)
        if not self.requests:
            self.requests.append(request)
        self.refuse(request, problem)


class CallerSite(http.HTTPFactory):
    """Factory of caller connections.

    ``queries`` and ``orders`` have ``run(request)``. ``refusal_reason()`` returns None,
    or the reason why this daemon accepts no new work. While ``leaving`` is set, each
    response closes its connection.

    Of more than ``max_connections`` the one that has been idle longest is closed, or
    the new one is refused. ``on_refused(reason)`` is called for what is refused or
    closed to keep to the limits on memory and connections.
    """

    protocol = CallerChannel

    def __init__(
        self,
        queries,
        orders,
        refusal_reason,
        caller_idle_timeout_ms,
        reactor,
        memory_budget=None,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        on_refused=None,
    ):
        super().__init__(timeout=caller_idle_timeout_ms / 1000, reactor=reactor)
        self.queries = queries
        self.orders = orders
        self.refusal_reason = refusal_reason
        self.seconds = reactor.seconds
        self.leaving = False
        self.channels = set()
        self.refused = on_refused or (lambda reason: None)
        self._memory_budget = memory_budget or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self._max_connections = max_connections

    def now_ms(self):
        """Return the time of the reactor."""
        return self.seconds() * 1000

    def opened(self, channel):
        """Add a new connection, and keep to the limit on their number."""
        self.channels.add(channel)
        excess = len(self.channels) - self._max_connections
        if excess <= 0:
            return
        self.refused("connections")
        idle = [other for other in self.channels if other.idle_since_s() is not None]
        oldest = heapq.nsmallest(MAX_IDLE_TRIED, idle, lambda c: c.idle_since_s())
        if any(other.close_if_idle() for other in oldest):
            return
        if excess > MAX_REFUSED_CONNECTIONS:
            channel.transport.abortConnection()
        else:
            channel.refuse_current(not_ready(TOO_MANY_CONNECTIONS))

    def closed(self, channel):
        """Remove a connection that has ended."""
        self.channels.discard(channel)
        self._memory_budget.release(channel.memory, channel.memory.held_bytes)

    def update_memory(self, channel, count):
        """Change what a connection holds; let others give up theirs if need be."""
        if channel not in self.channels:
            return
        if count <= 0:
            self._memory_budget.release(channel.memory, -count)
            return
        for chosen in self._memory_budget.reserve(channel.memory, count, self.now_ms()):
            chosen.give_up()

    def close_idle(self):
        """Close all connections without a request in progress."""
        for channel in list(self.channels):
            channel.close_if_idle()

    def refuse_partial(self, reason):
        """Refuse all requests of which only a part has been received."""
        for channel in list(self.channels):
            channel.refuse_partial(not_ready(reason))

    def startFactory(self):
        """Skip the access log and the timer of the base class."""

    def stopFactory(self):
        """Do nothing: ``startFactory`` has acquired nothing."""

    def log(self, request):
        """Write no access log."""
