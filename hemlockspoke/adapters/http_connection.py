"""One persistent HTTP/1.1 connection to an upstream.

It uses the client protocol of ``twisted.web.client`` without its ``Agent``, since
the agent can neither bound the connections that are open nor tell whether a
request has left.
"""

from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import HTTP11ClientProtocol, ResponseDone

# Time for the server to confirm a close before the connection is aborted. It
# covers a round trip between regions.
CLOSE_LIMIT_MS = 100

# A longer reply could not be passed on in one frame between daemons.
MAX_REPLY_BYTES = 1024 * 1024


def header_line(name, value):
    """Return a header line, or raise ``ValueError`` for a value that breaks it."""
    content = str(value).encode()
    if any(byte < 0x20 or byte == 0x7F for byte in content):
        raise ValueError(f"control character in the value of header {name}")
    return name.encode() + b": " + content + b"\r\n"


class RawRequest:
    """A request that is written to the transport in one piece."""

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
        """Do nothing, since nothing is left to write."""


class BodyCollector(Protocol):
    """Gathers the body of a response and calls ``done(content or None)``."""

    def __init__(self, done):
        self._done = done
        self._chunks = []
        self._size = 0

    def dataReceived(self, data):
        self._size += len(data)
        if self._size <= MAX_REPLY_BYTES:
            self._chunks.append(data)

    def connectionLost(self, reason):
        complete = reason.check(ResponseDone) and self._size <= MAX_REPLY_BYTES
        self._done(b"".join(self._chunks) if complete else None)


class Connection(HTTP11ClientProtocol):
    """A connection that carries one request at a time.

    ``owner`` is told of ``connection_ready(connection)`` before each reply is passed
    on, asked to ``dispatch()`` after it, and told of
    ``connection_closed(connection)`` when the transport is closed at both ends.
    """

    def __init__(self, owner, clock):
        super().__init__()
        self.call = None
        self.closing = False
        self.requests_sent = 0
        self.last_byte_ms = 0.0
        self._owner = owner
        self._clock = clock
        self._abort_timer = None

    def connectionMade(self):
        super().connectionMade()
        self.last_byte_ms = self._clock.now_ms()

    def dataReceived(self, data):
        self.last_byte_ms = self._clock.now_ms()
        super().dataReceived(data)

    def send(self, call, request):
        """Send ``request``; ``call.replied`` or ``call.broken`` is called once."""
        self.call = call
        self.requests_sent += 1
        finished = self.request(request)
        finished.addCallbacks(self._receive_headers, self._fail)

    def close(self):
        """Close so that the server has seen it before it counts as closed."""
        if self.closing:
            return
        self.closing = True
        self.transport.loseWriteConnection()
        self._abort_timer = self._clock.call_later(
            CLOSE_LIMIT_MS, self.transport.abortConnection
        )

    def connectionLost(self, reason):
        super().connectionLost(reason)
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        self._owner.connection_closed(self)

    def _receive_headers(self, response):
        def done(content):
            self._finish(response.code, content)

        # The body of an abandoned reply is read too, as the transport would stay
        # paused and never report the close otherwise.
        response.deliverBody(BodyCollector(done))

    def _finish(self, code, content):
        call, self.call = self.call, None
        if content is None or self.state != "QUIESCENT":
            self.closing = True
            self.transport.loseConnection()
        if not self.closing:
            # Before the reply is passed on, so that work which follows from it can
            # use this connection.
            self._owner.connection_ready(self)
        if content is None:
            call.broken("the reply is incomplete or too long")
        else:
            call.replied(code, content)
        # After that, as the reply may forbid what waits for a connection.
        self._owner.dispatch()

    def _fail(self, failure):
        call, self.call = self.call, None
        self.closing = True
        self.transport.loseConnection()
        call.broken(failure.getErrorMessage())
