"""A connection of twisted.web whose memory is bounded."""

from twisted.web import http

# Bytes of an answer that a client has not read from which on no further request of the
# connection is begun.
UNSENT_BYTES = 8192
# Memory that a header takes beside its bytes; 499 headers of 7 bytes take 140 each.
HEADER_OVERHEAD_BYTES = 150


class BoundedChannel(http.HTTPChannel):
    """Connection that begins no request while its client does not read an answer.

    ``HTTPChannel`` would go on with pipelined requests and collect their answers, and
    read without a limit meanwhile. It also has no time limit for the last answer of a
    connection, and keeps trailers, at over 60 bytes each.
    """

    def __init__(self):
        super().__init__()
        self._answer_bytes = 0
        self._unsent_bytes = 0

    def connectionMade(self):
        """Let the transport tell when an answer is unread."""
        super().connectionMade()
        self.transport.bufferSize = UNSENT_BYTES

    def held_bytes(self):
        """Return about how much memory requests and unread answers take.

        The requests that have been received completely are not included.
        """
        decoder_buffer = getattr(self._transferDecoder, "_buffer", b"")
        return (
            self._receivedHeaderSize
            + HEADER_OVERHEAD_BYTES * self._receivedHeaderCount
            + len(self._buffer)
            + len(decoder_buffer)
            + sum(map(len, self._dataBuffer))
            + self._unsent_bytes
        )

    def drop_received(self):
        """Drop the bytes of requests that have not been received completely."""
        self._receivedHeaderSize = self._receivedHeaderCount = 0
        self._buffer = b""
        self._dataBuffer = []
        self._transferDecoder = None

    def rawDataReceived(self, data):
        """Process body data, and keep neither trailers nor many small pieces."""
        super().rawDataReceived(data)
        self._dataBuffer = [b"".join(self._dataBuffer)] if self._dataBuffer else []
        if isinstance(self._transferDecoder, http._ChunkedTransferDecoder):
            self._transferDecoder._trailerHeaders.clear()

    def write(self, data):
        """Write the body of an answer."""
        self._answer_bytes = len(data)
        super().write(data)

    def pauseProducing(self):
        """Read nothing while an answer is unread; the transport calls it."""
        super().pauseProducing()
        self._unsent_bytes = self._answer_bytes
        self.paused = True
        self._networkProducer.pauseProducing()

    def resumeProducing(self):
        """Go on with the next request; the transport calls it."""
        super().resumeProducing()
        self._unsent_bytes = 0
        self.paused = False
        if self._buffer:
            self.dataReceived(b"")

    def loseConnection(self):
        """Close the connection; the client has as long to read as it may be idle."""
        self.setTimeout(None)
        if self._abortingCall is None:
            self._abortingCall = self.callLater(
                self.factory.timeOut, self.forceAbortClient
            )
        super().loseConnection()
