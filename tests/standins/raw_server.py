"""Server that answers each request with fixed bytes, for answers that are not whole.

``head`` is sent first. If ``filler`` is set, it is repeated until the client closes the
connection or ``MAX_SENT_BYTES`` have been sent on it; otherwise the connection is
closed after the head.
"""

from twisted.internet.protocol import Factory, Protocol

from tests.hosts import STAND_IN_HOST

MAX_SENT_BYTES = 24 * 1024 * 1024
WRITE_BYTES = 16_000
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Start of an answer, and the bytes that are repeated without end.
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"O"),
    "a header line": (OK_HEAD + b"X-Long: ", b"x"),
    "header lines": (OK_HEAD, b"X-More: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk extension": (CHUNKED + b"1;", b"x"),
    "trailer lines": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-More: 1\r\n"),
    "tiny chunks with comments": (CHUNKED, b"1;" + b"c" * 60 + b"\r\nx\r\n"),
    "a body without a length": (OK_HEAD + b"\r\n", b"x"),
    "a chunked body": (CHUNKED, b"10\r\n0123456789abcdef\r\n"),
    "a body with a length": (OK_HEAD + b"Content-Length: 999999999\r\n\r\n", b"x"),
}


class EndlessBytes:
    """Writes the same bytes as fast as the client reads, up to ``MAX_SENT_BYTES``.

    ``on_sent(count)`` is called with the number of bytes of each write.
    """

    def __init__(self, transport, filler, on_sent=lambda count: None):
        self._transport = transport
        self._data = filler * (WRITE_BYTES // len(filler))
        self._on_sent = on_sent
        self._sent_bytes = 0

    def resumeProducing(self):
        """Write the next bytes, as the client has read the earlier ones."""
        if self._sent_bytes > MAX_SENT_BYTES:
            self._transport.unregisterProducer()
            return
        self._sent_bytes += len(self._data)
        self._on_sent(len(self._data))
        self._transport.write(self._data)

    def stopProducing(self):
        """Do nothing: the connection is closed."""


def send_endless(transport, name, on_sent=lambda count: None):
    """Send the bytes of an entry of ``ENDLESS`` until the client closes."""
    head, filler = ENDLESS[name]
    transport.write(head)
    producer = EndlessBytes(transport, filler, on_sent)
    transport.registerProducer(producer, streaming=False)


class RawServer:
    """Listens on a free port of the loopback interface."""

    def __init__(self, reactor, head, filler=b""):
        self.head = head
        self.filler = filler
        self.sent_bytes = 0
        self.open_connections = 0
        self.request_count = 0
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: RawProtocol(self)
        self._port = reactor.listenTCP(0, factory, interface=STAND_IN_HOST)

    @property
    def address(self):
        """Return the address as text."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def stop(self):
        """Close the port."""
        return self._port.stopListening()


class RawProtocol(Protocol):
    """One connection; it writes as fast as the client reads."""

    def __init__(self, server):
        self._server = server
        self._answered = False

    def connectionMade(self):
        self._server.open_connections += 1

    def connectionLost(self, reason):
        self._server.open_connections -= 1

    def dataReceived(self, data):
        if self._answered:
            return
        self._answered = True
        server = self._server
        server.request_count += 1
        self.transport.write(server.head)
        if server.filler:
            producer = EndlessBytes(self.transport, server.filler, self._count_sent)
            self.transport.registerProducer(producer, streaming=False)
        else:
            self.transport.loseConnection()

    def _count_sent(self, count):
        self._server.sent_bytes += count
