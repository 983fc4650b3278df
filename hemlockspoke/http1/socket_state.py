"""Asks the kernel about connections of callers."""

import logging
import socket
import struct

logger = logging.getLogger(__name__)

# Offset of tcpi_rtt, the smoothed round trip time in microseconds, in tcp_info.
TCP_INFO_RTT_OFFSET = 68
TCP_INFO_BYTES = 72
# Used if the kernel provides no measurement.
DEFAULT_RTT_MS = 4.0


def has_unread_bytes(transport):
    """Return whether the kernel holds bytes of the caller.

    A close would reset the connection, and the caller's request would be lost.
    """
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug("connection lost", extra={"reason": str(error)})
        return False


def round_trip_ms(transport):
    """Return the kernel's smoothed round trip time of a connection in ms."""
    try:
        info = transport.getHandle().getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        return struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)[0] / 1000.0
    except (AttributeError, OSError, struct.error) as error:
        logger.debug("round-trip time unknown", extra={"reason": str(error)})
        return DEFAULT_RTT_MS
