"""Closes a listening port without resetting connections of callers."""

import logging
import socket

from twisted.internet.error import ConnectionDone
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

logger = logging.getLogger(__name__)

# Time for callers to complete a connection that the kernel has begun to open. It is
# shorter than the interval at which a stopping daemon looks for open connections.
HANDSHAKE_MS = 25.0
# Number of connections that may wait to be accepted while the daemon is busy.
LISTEN_BACKLOG = 512
# The option of Linux that sets the least time to live of packets; Python lacks a name.
IP_MINTTL = 21
# Senders use 64 by default. The packets of one that uses the maximum are not dropped.
MAX_TTL = 255


def close_port(port, clock):
    """Let the kernel open no further connections to ``port``, then close it.

    A close resets connections that wait to be accepted, also those that the kernel
    completes between the last accept and the close, and callers may have sent their
    requests on them. So opening packets are dropped first; a caller sends them again
    after a second and is refused then. Connections that are being opened are accepted.
    """
    try:
        _drop_opening_packets(port)
    except OSError as error:
        logger.warning("opening packets not dropped", extra={"reason": str(error)})
        port.socket.listen(0)
    accept_waiting(port)
    clock.call_later(HANDSHAKE_MS, _close, port)


def _drop_opening_packets(port):
    """Drop the packets of new connections by a time to live that they don't have.

    The kernel compares it for a listening port and for established connections, but
    not for those that are being opened. These inherit the option, so it is reset when
    they are accepted; what their callers have sent before is sent again.
    """
    port.socket.setsockopt(socket.IPPROTO_IP, IP_MINTTL, MAX_TTL)

    def build_transport(accepted, *args):
        accepted.setsockopt(socket.IPPROTO_IP, IP_MINTTL, 0)
        return Server(accepted, *args)

    port.transport = build_transport


def _close(port):
    if not port.connected:
        return
    port.stopReading()
    accept_waiting(port)
    # ``stopListening`` would close the port in a later turn of the reactor.
    port.connectionLost(Failure(ConnectionDone()))


def accept_waiting(port):
    """Accept all connections that wait at a listening port.

    A port accepts as many at once as it did before, which is mostly one.
    """
    port.numberAccepts = LISTEN_BACKLOG
    port.doRead()
