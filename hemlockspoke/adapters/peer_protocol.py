"""Connections between daemons: frames of messages, and dialing.

``TcpPeerNetwork`` chooses which connection to a daemon is used.
"""

import logging

from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import Int32StringReceiver

from hemlockspoke.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    BadFrame,
    Hello,
    decode,
    encode,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2
REDIAL_MIN_MS = 200
REDIAL_MAX_MS = 2000
# A hello has five short fields; longer frames are for peers that are known.
MAX_HELLO_BYTES = 4096


class PeerProtocol(Int32StringReceiver):
    """One stream; the first frame from the peer must be a ``Hello``."""

    MAX_LENGTH = MAX_HELLO_BYTES

    def __init__(self, network, dialed):
        self._network = network
        self.dialed = dialed
        self.vm = None
        self.last_received_ms = network.clock.now_ms()

    def connectionMade(self):
        """Send the ``Hello`` of this daemon."""
        self.transport.setTcpNoDelay(True)
        self._network.stream_opened(self)
        self.send_message(self._network.hello())

    def send_message(self, message):
        """Write one frame."""
        self.sendString(encode(message))

    def dataReceived(self, data):
        """Record the time of the last received byte, then split frames.

        Bytes before the ``Hello`` do not count, or a sender of single bytes could keep
        a stream open that it never identifies.
        """
        if self.vm is not None:
            self.last_received_ms = self._network.clock.now_ms()
        super().dataReceived(data)

    def stringReceived(self, frame):
        """Decode one frame; a malformed one closes this stream only."""
        try:
            message = decode(frame)
        except BadFrame as error:
            self._reject(str(error))
            return
        if self.vm is None:
            self._accept_hello(message)
        else:
            self._network.message_received(self, message)

    def _accept_hello(self, message):
        if not isinstance(message, Hello) or not isinstance(message.vm, str):
            self._reject("the first frame is not a valid hello")
        elif message.protocol_version != PROTOCOL_VERSION:
            self._reject(f"unsupported protocol version {message.protocol_version!r}")
        else:
            self.vm = message.vm
            self.MAX_LENGTH = MAX_FRAME_BYTES
            self.last_received_ms = self._network.clock.now_ms()
            self._network.hello_received(self)

    def lengthLimitExceeded(self, length):
        """Close the stream after a frame over the size limit."""
        self._reject(f"frame of {length} bytes is too long")

    def _reject(self, reason):
        self._network.metrics.count("peer.bad_frame")
        logger.warning("peer stream rejected", extra={"reason": reason})
        self.transport.abortConnection()

    def connectionLost(self, reason):
        """Report the lost stream."""
        self._network.stream_lost(self)


class PeerServerFactory(ServerFactory):
    """Accepts streams."""

    noisy = False

    def __init__(self, network):
        self._network = network

    def buildProtocol(self, address):
        """Return the protocol of an accepted stream."""
        return PeerProtocol(self._network, dialed=False)


class PeerClientFactory(ClientFactory):
    """Dials one address until it is stopped; ``vm`` is None for a seed address."""

    noisy = False

    def __init__(self, network, address, vm=None):
        self._network = network
        self._address = address
        self._vm = vm
        self._connecting = False
        self._delay_ms = REDIAL_MIN_MS
        self._connector = None
        self._timer = None
        self._stopped = False

    def dial(self):
        """Start a connection attempt."""
        self._timer = None
        if self._stopped or self._network.has_stream(self._vm):
            # The peer may dial as well; its stream serves both directions.
            return
        self._connecting = True
        self._connector = self._network.reactor.connectTCP(
            self._address.host,
            self._address.port,
            self,
            timeout=CONNECT_TIMEOUT_S,
        )

    def redial(self):
        """Dial again after the loss of a stream that the peer had dialed."""
        if not self._connecting and self._timer is None:
            self._dial_later()

    def buildProtocol(self, address):
        """Return the protocol of a dialed stream."""
        self._delay_ms = REDIAL_MIN_MS
        return PeerProtocol(self._network, dialed=True)

    def clientConnectionFailed(self, connector, reason):
        """Dial again later."""
        self._dial_later()

    def clientConnectionLost(self, connector, reason):
        """Dial again later."""
        self._dial_later()

    def _dial_later(self):
        self._connecting = False
        if self._stopped:
            return
        self._timer = self._network.clock.call_later(self._delay_ms, self.dial)
        self._delay_ms = min(REDIAL_MAX_MS, self._delay_ms * 2)

    def stop(self):
        """Stop dialing and close the stream if there is one."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._connector is not None:
            self._connector.disconnect()
