"""Server that answers each request with fixed bytes, for answers that are not whole.

``head`` is sent first. If ``filler`` is set, it is repeated until the client closes the
connection or ``MAX_SENT_BYTES`` have been sent on it; otherwise the connection is
closed after the head.
"""

from twisted.internet.protocol import Factory, Protocol

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


class RawServer:
    """Listens on a free port of the loopback interface."""

    def __init__(self, reactor, head, filler=b""):
        self.head = head
        self.filler = filler * (WRITE_BYTES // max(1, len(filler)))
        self.sent_bytes = 0
        self.open_connections = 0
        self.request_count = 0
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: RawProtocol(self)
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")

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
        self._sent_bytes = 0

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
            self.transport.registerProducer(self, streaming=False)
        else:
            self.transport.loseConnection()

    def resumeProducing(self):
        """Write the next bytes, as the client has read the earlier ones."""
        server = self._server
        if self._sent_bytes > MAX_SENT_BYTES:
            self.transport.unregisterProducer()
            return
        self._sent_bytes += len(server.filler)
        server.sent_bytes += len(server.filler)
        self.transport.write(server.filler)

    def stopProducing(self):
        """Do nothing: the connection is closed."""
