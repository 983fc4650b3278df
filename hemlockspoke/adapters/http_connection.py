"""One persistent HTTP/1.1 connection to an upstream.

It uses the client protocol of ``twisted.web.client`` without its ``Agent``, which
can neither limit the number of open connections nor tell whether a request has
been sent.
"""

from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import HTTP11ClientProtocol, ResponseDone

# A connection is aborted if the server does not confirm a close within this time,
# which covers a round trip between regions.
CLOSE_TIMEOUT_MS = 100

# A reply within this limit fits into one frame between daemons, even if it is longer as
# msgpack than as JSON. A longer one might not.
MAX_REPLY_BYTES = 1024 * 1024
# Limit on the bytes received before the head is complete, interim replies included.
MAX_HEAD_BYTES = 65_536
# Limit on the bytes of a whole reply. It exceeds the limit on the body, as a body may
# come in small chunks; a reply that goes on beyond it may have no end.
MAX_RECEIVED_BYTES = 4 * MAX_REPLY_BYTES


def header_line(name, value):
    """Return a header line; raises ``ValueError`` for control characters."""
    content = str(value).encode()
    if any(byte < 0x20 or byte == 0x7F for byte in content):
        raise ValueError(f"control character in the value of header {name}")
    return name.encode() + b": " + content + b"\r\n"


class RawRequest:
    """A request whose bytes are written to the transport in one call.

    It has the attributes and methods that ``HTTP11ClientProtocol`` requires.
    """

    __slots__ = ("content", "method", "persistent")

    def __init__(self, method, content):
        self.method = method
        self.content = content
        self.persistent = True

    def writeTo(self, transport):
        """Write the request; all of it is buffered at once."""
        transport.write(self.content)
        return succeed(None)

    def stopWriting(self):
        """Do nothing: ``writeTo`` has already written everything."""


class BodyCollector(Protocol):
    """Collects a response body and calls ``on_body`` with its bytes.

    The argument is None if the body is incomplete or over ``MAX_REPLY_BYTES``.
    """

    def __init__(self, on_body):
        self._on_body = on_body
        self._chunks = []
        self._size = 0

    def dataReceived(self, data):
        self._size += len(data)
        if self._size <= MAX_REPLY_BYTES:
            self._chunks.append(data)

    def connectionLost(self, reason):
        complete = reason.check(ResponseDone) and self._size <= MAX_REPLY_BYTES
        self._on_body(b"".join(self._chunks) if complete else None)


class Connection(HTTP11ClientProtocol):
    """A connection that carries one request at a time.

    It calls ``owner.connection_ready(connection)`` before it passes on each reply,
    ``owner.dispatch()`` after that, and ``owner.connection_closed(connection)`` once
    the transport is closed at both ends.
    """

    def __init__(self, owner, clock):
        super().__init__()
        self.call = None
        self.closing = False
        self.requests_sent = 0
        self.last_received_ms = 0.0
        self._received_bytes = 0
        self._head_complete = False
        self._owner = owner
        self._clock = clock
        self._abort_timer = None

    def connectionMade(self):
        super().connectionMade()
        self.last_received_ms = self._clock.now_ms()

    def dataReceived(self, data):
        self.last_received_ms = self._clock.now_ms()
        super().dataReceived(data)
        self._received_bytes += len(data)
        limit = MAX_RECEIVED_BYTES if self._head_complete else MAX_HEAD_BYTES
        if self.call is not None and self._received_bytes > limit:
            self.closing = True
            self.transport.abortConnection()

    def send(self, call, request):
        """Send ``request``.

        Calls ``call.reply_received`` or ``call.connection_lost`` exactly once.
        """
        self.call = call
        self.requests_sent += 1
        self._received_bytes = 0
        self._head_complete = False
        finished = self.request(request)
        finished.addCallbacks(self._headers_received, self._request_failed)

    def close(self):
        """Start a close that is complete once the server has confirmed it."""
        if self.closing:
            return
        self.closing = True
        self.transport.loseWriteConnection()
        self._abort_timer = self._clock.call_after_reads(
            CLOSE_TIMEOUT_MS, self.transport.abortConnection
        )

    def connectionLost(self, reason):
        super().connectionLost(reason)
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        self._owner.connection_closed(self)

    def _headers_received(self, response):
        self._head_complete = True

        def on_body(content):
            self._body_received(response.code, content)

        # The body of an abandoned reply is read as well; otherwise the transport
        # would stay paused and never report the close.
        response.deliverBody(BodyCollector(on_body))

    def _body_received(self, code, content):
        call, self.call = self.call, None
        if content is None or self.state != "QUIESCENT":
            self.closing = True
            self.transport.loseConnection()
        if not self.closing:
            # Called before the reply is passed on, so that a request triggered by it
            # can use this connection.
            self._owner.connection_ready(self)
        if content is None:
            call.connection_lost("the reply is incomplete or too long")
        else:
            call.reply_received(code, content)
        # Called after the reply, which may cancel requests that wait for a connection.
        self._owner.dispatch()

    def _request_failed(self, failure):
        call, self.call = self.call, None
        self.closing = True
        self.transport.loseConnection()
        call.connection_lost(failure.getErrorMessage())
