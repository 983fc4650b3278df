"""``UpstreamClient`` over HTTP; section 4.2 of docs/design.md has the protocol."""

import json
from collections import deque

from expression import Error
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory

from hemlockspoke.adapters.http_connection import (
    Connection,
    RawRequest,
    header_line,
)
from hemlockspoke.adapters.http_upstream_replies import (
    parse_order,
    parse_query,
    parse_status,
)
from hemlockspoke.errors import UpstreamError, UpstreamErrorKind
from hemlockspoke.ports import UpstreamClient, UpstreamClients

CONNECT_TIMEOUT_S = 1.0
STATUS_TIMEOUT_MS = 1000.0

# An order is sent over a connection that has received a byte within this time, or
# over a new one: an order lost on a dead connection cannot be retried.
MAX_ORDER_CONNECTION_AGE_MS = 1500


class CallDeferred(Deferred):
    """Result of a call; it fires once the server no longer processes the call.

    A plain ``Deferred`` fires as soon as it is cancelled, before the server has
    seen the close. The slot of the call would then be assigned to another one while
    the server still processes the first.
    """

    def __init__(self, call):
        super().__init__()
        self._call = call

    def cancel(self):
        """Close the connection of the call."""
        if not self.called:
            self._call.abort(UpstreamErrorKind.CANCELLED, "cancelled")


class Call:
    """One request and its progress.

    ``head`` holds the request line and all headers but ``Deadline-Ms``, ``payload``
    the body. ``result`` fires with a ``Result``: that of ``parse(code, content)`` for
    a reply, else an ``UpstreamError``.
    """

    __slots__ = (
        "_client",
        "_deadline_timer",
        "_abort_error",
        "_parse",
        "_stall_timer",
        "connection",
        "deadline_ms",
        "head",
        "is_order",
        "may_send",
        "payload",
        "result",
        "sent_ms",
    )

    def __init__(self, client, head, payload, remaining_ms, parse):
        self._client = client
        self._parse = parse
        self._abort_error = None
        self._stall_timer = None
        self.head = head
        self.payload = payload
        self.is_order = False
        self.may_send = None
        self.connection = None
        self.sent_ms = None
        self.deadline_ms = client.clock.now_ms() + remaining_ms
        self.result = CallDeferred(self)
        self._deadline_timer = client.clock.call_later(
            remaining_ms, self.abort, UpstreamErrorKind.TIMEOUT, "no reply in time"
        )

    def send(self, connection):
        """Send over ``connection``; the deadline must not have passed."""
        now_ms = self._client.clock.now_ms()
        remaining_ms = max(1, int(self.deadline_ms - now_ms))
        content = b"%bDeadline-Ms: %d\r\n\r\n%b" % (
            self.head,
            remaining_ms,
            self.payload,
        )
        self.connection = connection
        self.sent_ms = now_ms
        # An order is never sent again, so it waits until its deadline. Before the first
        # reply on a connection, silence does not distinguish a lost connection from a
        # slow server.
        if not self.is_order and connection.requests_sent:
            self._stall_timer = self._client.clock.call_after_reads(
                self._client.stall_ms, self._check_stall
            )
        method = b"POST" if self.payload else b"GET"
        connection.send(self, RawRequest(method, content))

    def abort(self, kind, detail):
        """Abort the call: at once if unsent, else once its connection has closed."""
        if self._abort_error is not None or self.result.called:
            return
        sent = self.sent_ms is not None
        self._abort_error = UpstreamError(kind, sent, detail)
        if sent:
            self.connection.close()
        else:
            self._client.remove_waiting(self)
            self.finish(Error(self._abort_error))

    def reply_received(self, code, content):
        """Complete the call with a reply."""
        self.finish(self._parse(code, content))

    def connection_lost(self, detail):
        """Complete the call after the loss of its connection."""
        error = self._abort_error
        if error is None:
            error = UpstreamError(UpstreamErrorKind.BROKEN, True, detail)
        self.finish(Error(error))

    def fail_unsent(self, kind, detail):
        """Fail a call that has not been sent."""
        self.finish(Error(UpstreamError(kind, False, detail)))

    def finish(self, result):
        """Fire the result unless it has fired already."""
        if self.result.called:
            return
        self._deadline_timer.cancel()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self.result.callback(result)

    def _check_stall(self):
        if self.connection.last_received_ms <= self.sent_ms:
            self._client.close_idle_since(self.sent_ms)
            self.abort(UpstreamErrorKind.STALLED, "the connection is silent")


class HttpUpstreamClient(UpstreamClient):
    """Persistent connections to one server.

    Requests wait for a connection in order; status polls are sent only while no
    request waits. A connection counts against the limit from the connect attempt until
    both ends have closed it.
    """

    def __init__(self, reactor, clock, server, stall_ms):
        self.clock = clock
        self.stall_ms = stall_ms
        self._endpoint = make_endpoint(reactor, server.address)
        self._host_line = header_line("Host", server.address)
        self._connection_limit = 0
        self._opening = 0
        self._open = set()
        self._idle = []
        self._requests = deque()
        self._status_polls = deque()
        self._closed = False
        self._loss_listener = None

    def set_limit(self, connections):
        """Set the maximum number of open connections."""
        self._connection_limit = connections
        self._close_excess()
        self.dispatch()

    def open_connections(self):
        """Return the number of connections that are open, opening or closing."""
        return self._opening + len(self._open)

    def set_loss_listener(self, listener):
        """Set the callback for an idle connection that the server has closed."""
        self._loss_listener = listener

    def query(self, request):
        """Send a query; see ``UpstreamClient``."""
        return self._submit(request, b"POST /v1/query HTTP/1.1\r\n", parse_query)

    def order(self, request):
        """Send an order; see ``UpstreamClient``."""
        return self._submit(request, b"POST /v1/orders HTTP/1.1\r\n", parse_order)

    def status(self):
        """Read the status."""
        head = b"GET /v1/status HTTP/1.1\r\n" + self._host_line
        call = Call(self, head, b"", STATUS_TIMEOUT_MS, parse_status)
        self._status_polls.append(call)
        self.dispatch()
        return call.result

    def close(self):
        """Close all connections and cancel all waiting calls."""
        self._closed = True
        for call in [*self._requests, *self._status_polls]:
            call.abort(UpstreamErrorKind.CANCELLED, "client was closed")
        for connection in list(self._open):
            connection.close()
        self._idle.clear()

    def remove_waiting(self, call):
        """Remove a call that waits for a connection."""
        queue = self._requests if call in self._requests else self._status_polls
        if call in queue:
            queue.remove(call)

    def close_idle_since(self, since_ms):
        """Close idle connections that have received nothing since ``since_ms``."""
        for connection in [c for c in self._idle if c.last_received_ms < since_ms]:
            self._idle.remove(connection)
            connection.close()

    def connection_ready(self, connection):
        """Mark a new or released connection as idle."""
        self._idle.append(connection)
        self._close_excess()

    def connection_closed(self, connection):
        """Remove a closed connection and dispatch waiting calls."""
        self._open.discard(connection)
        was_idle = connection in self._idle
        if was_idle:
            self._idle.remove(connection)
        if was_idle and self._loss_listener is not None:
            # Called before anything else is sent, as the server may have restarted.
            self._loss_listener()
        self.dispatch()

    def dispatch(self):
        """Send waiting calls over idle connections and open more for the others."""
        while self._requests or self._status_polls:
            queue = self._requests or self._status_polls
            connection = self._pop_idle(queue[0])
            if connection is None:
                break
            self._send(queue.popleft(), connection)
        self._open_more()

    def _submit(self, request, request_line, parse):
        payload = json.dumps(request.body, separators=(",", ":")).encode()
        try:
            headers = request_headers(request, len(payload))
        except ValueError as error:
            return succeed(
                Error(UpstreamError(UpstreamErrorKind.BROKEN, False, str(error)))
            )
        head = request_line + self._host_line + headers
        call = Call(self, head, payload, request.remaining_ms, parse)
        call.is_order = request.idempotency_key is not None
        call.may_send = request.may_send
        self._requests.append(call)
        self.dispatch()
        return call.result

    def _pop_idle(self, call):
        if not self._idle:
            return None
        if not call.is_order:
            return self._idle.pop()
        connection = max(self._idle, key=lambda c: c.last_received_ms)
        age_ms = self.clock.now_ms() - connection.last_received_ms
        if age_ms > MAX_ORDER_CONNECTION_AGE_MS:
            self._close_oldest_if_full()
            return None
        self._idle.remove(connection)
        return connection

    def _close_oldest_if_full(self):
        if (
            self.open_connections() >= self._connection_limit
            and not self._closing_count()
        ):
            self._idle.pop(0).close()

    def _send(self, call, connection):
        if self.clock.now_ms() >= call.deadline_ms:
            kind, detail = UpstreamErrorKind.TIMEOUT, "no connection in time"
        elif call.may_send is not None and not call.may_send():
            kind, detail = UpstreamErrorKind.CANCELLED, "request may no longer be sent"
        else:
            call.send(connection)
            return
        self._idle.append(connection)
        call.fail_unsent(kind, detail)

    def _open_more(self):
        waiting = len(self._requests) + len(self._status_polls)
        while (
            self._opening < waiting and self.open_connections() < self._connection_limit
        ):
            if self._closed:
                return
            self._opening += 1
            factory = Factory.forProtocol(lambda: Connection(self, self.clock))
            connecting = self._endpoint.connect(factory)
            connecting.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection):
        self._opening -= 1
        self._open.add(connection)
        if self._closed:
            connection.close()
            return
        self.connection_ready(connection)
        self.dispatch()

    def _connect_failed(self, failure):
        self._opening -= 1
        queue = self._requests or self._status_polls
        if queue:
            detail = failure.getErrorMessage()
            queue.popleft().fail_unsent(UpstreamErrorKind.REFUSED, detail)
        self.dispatch()

    def _close_excess(self):
        excess = (
            self.open_connections() - self._closing_count() - self._connection_limit
        )
        for _ in range(min(excess, len(self._idle))):
            self._idle.pop(0).close()

    def _closing_count(self):
        return sum(connection.closing for connection in self._open)


class HttpUpstreamClients(UpstreamClients):
    """Creates HTTP clients; a connection silent for ``stall_ms`` has stalled."""

    __slots__ = ("_clock", "_reactor", "_stall_ms")

    def __init__(self, reactor, clock, stall_ms):
        self._reactor = reactor
        self._clock = clock
        self._stall_ms = stall_ms

    def connect(self, server):
        """Return a client for a ``document.Server``, without any connection yet."""
        return HttpUpstreamClient(self._reactor, self._clock, server, self._stall_ms)


def make_endpoint(reactor, address):
    """Return the endpoint of a ``host:port`` address with a numeric host."""
    host, _, port = address.rpartition(":")
    if host.startswith("["):
        return TCP6ClientEndpoint(reactor, host[1:-1], int(port), CONNECT_TIMEOUT_S)
    return TCP4ClientEndpoint(reactor, host, int(port), CONNECT_TIMEOUT_S)


def request_headers(request, length):
    """Return the header lines of a request, except ``Deadline-Ms``."""
    lines = [
        header_line("Content-Type", "application/json"),
        header_line("Content-Length", length),
        header_line("Request-Id", request.request_id),
    ]
    if request.traceparent:
        lines.append(header_line("traceparent", request.traceparent))
    if request.idempotency_key is not None:
        lines.append(header_line("Idempotency-Key", request.idempotency_key))
    return b"".join(lines)
