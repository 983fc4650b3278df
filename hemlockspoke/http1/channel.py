"""HTTP/1.1 connections of callers: reads requests and writes one response to each."""

import logging
import socket
import struct
from collections import Counter, deque

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.protocol import Factory, Protocol

from hemlockspoke.http1.messages import encode_response

logger = logging.getLogger(__name__)

# Offset of tcpi_rtt, the smoothed round trip time in microseconds, in tcp_info.
TCP_INFO_RTT_OFFSET = 68
TCP_INFO_BYTES = 72
# Used if the kernel provides no measurement.
DEFAULT_RTT_MS = 4.0
# Time for which a new connection without a request is kept open while the site is
# closed: its caller is about to send one.
NEW_CONNECTION_GRACE_MS = 500.0
# Pipelined requests queued on one connection before reading pauses.
MAX_PIPELINED_REQUESTS = 8


class ChannelLimits:
    """Limits on the size and time of callers' requests."""

    __slots__ = (
        "header_timeout_ms",
        "idle_timeout_ms",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        max_header_bytes=16384,
        max_body_bytes=1048576,
        header_timeout_ms=5000,
        idle_timeout_ms=30000,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class HttpRequest:
    """A request that has been read completely.

    ``received_ms`` is the time of the clock when its last byte was read.
    ``on_caller_disconnected`` is called if the caller's connection closes before the
    response has been written. ``caller_rtt_ms`` is the round trip time to the
    caller; ``opened_connection`` is True for the first request of a connection.
    ``keep_open`` is True if the caller may send another one on the connection.
    """

    __slots__ = (
        "_channel",
        "body",
        "caller_rtt_ms",
        "headers",
        "keep_open",
        "method",
        "on_caller_disconnected",
        "opened_connection",
        "received_ms",
        "target",
    )

    def __init__(
        self,
        channel,
        method,
        target,
        headers,
        body,
        keep_open,
        received_ms,
        caller_rtt_ms=DEFAULT_RTT_MS,
        opened_connection=True,
    ):
        self._channel = channel
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_open = keep_open
        self.received_ms = received_ms
        self.caller_rtt_ms = caller_rtt_ms
        self.opened_connection = opened_connection
        self.on_caller_disconnected = None

    def respond(self, status, headers, body, close=False):
        """Write the response; does nothing if the caller has disconnected."""
        self._channel.respond(self, status, headers, body, close)

    @property
    def peer_host(self):
        """Return the IP address of the caller."""
        return self._channel.transport.getPeer().host

    def abort(self):
        """Reset the connection instead of responding."""
        self._channel.transport.abortConnection()


class HttpChannel(Protocol):
    """One connection of a caller; its requests are handled one at a time."""

    def __init__(self, site):
        self._site = site
        self._clock = site.clock
        self._parser = None
        self._current = None
        self._queued = deque()
        self._timer = None
        self._closing = False
        self._is_first_request = True
        self._opened_ms = self._clock.now_ms()
        self._reset_message()

    def _reset_message(self):
        self._target = b""
        self._headers = []
        self._body_chunks = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_message = False
        self._headers_read = False
        self._rejected = False

    def connectionMade(self):
        """Create the parser and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._parser = HttpRequestParser(self)
        self._site.channels.add(self)
        self._await_request()

    def _await_request(self):
        self._set_timer(self._site.limits.idle_timeout_ms, self._on_idle_timeout)

    def _set_timer(self, delay_ms, callback):
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_after_reads(delay_ms, callback)

    def _on_idle_timeout(self):
        unread = has_unread_bytes(self.transport)
        if self._current is None and not self._queued and not unread:
            self.transport.loseConnection()

    def _on_header_timeout(self):
        if self._in_message and not self._rejected:
            self._reject(408)

    def dataReceived(self, data):
        """Feed the parser; malformed bytes are rejected with status 400."""
        if self._closing or self._rejected:
            return
        if not self._headers_read:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            if not self._rejected:
                self._reject(400)
            return
        limit = self._site.limits.max_header_bytes
        if self._in_message and not self._headers_read and self._head_bytes > limit:
            self._reject(431)

    def on_message_begin(self):
        """Begin a request and its header timeout."""
        self._in_message = True
        self._set_timer(self._site.limits.header_timeout_ms, self._on_header_timeout)

    def on_url(self, url):
        """Collect the request target."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the announced sizes and reply to ``Expect: 100-continue``."""
        self._headers_read = True
        header_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if header_bytes + len(self._target) > self._site.limits.max_header_bytes:
            self._reject(431)
            return
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"expect" and value.lower() == b"100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif lower_name == b"content-length" and self._exceeds_body_limit(value):
                self._reject(413)

    def _exceeds_body_limit(self, length):
        return length.isdigit() and int(length) > self._site.limits.max_body_bytes

    def on_body(self, data):
        """Collect a chunk of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._site.limits.max_body_bytes:
            if not self._rejected:
                self._reject(413)
            return
        self._body_chunks.append(data)

    def on_message_complete(self):
        """Queue the request and start it if none is in progress."""
        if self._rejected:
            return
        request = HttpRequest(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body_chunks),
            self._parser.should_keep_alive(),
            self._clock.now_ms(),
            round_trip_ms(self.transport),
            self._is_first_request,
        )
        self._is_first_request = False
        self._reset_message()
        self._queued.append(request)
        if len(self._queued) > MAX_PIPELINED_REQUESTS:
            self.transport.pauseProducing()
        self._start_next()

    def _reject(self, status):
        """Reject the request being read; the handler never sees it.

        It gets a response only if no earlier request awaits one.
        """
        self._rejected = True
        self._site.rejected(status)
        if self._current is None and not self._queued:
            self.transport.write(encode_response(status, [], b"", close=True))
            self._close()

    def _start_next(self):
        if self._current is not None or not self._queued:
            return
        self._current = self._queued.popleft()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.transport.resumeProducing()
        self._site.handle(self._current)

    def respond(self, request, status, headers, body, close):
        """Write the response to the request in progress."""
        if request is not self._current:
            return
        self._current = None
        request.on_caller_disconnected = None
        close = close or not request.keep_open or self._site.leaving
        more_follows = self._queued or self._in_message
        close = (close and not more_follows) or self._rejected
        head_only = request.method == b"HEAD"
        data = encode_response(status, headers, body, close, head_only)
        self.transport.write(data)
        if close:
            self._close()
            return
        self._await_request()
        self._start_next()

    def _close(self):
        self._closing = True
        self.transport.loseConnection()

    def idle(self):
        """Return whether no request is being read or handled."""
        return self._current is None and not self._queued and not self._in_message

    def state(self):
        """Return whether a request is unanswered, for the log of a stop.

        ``closing`` is a connection whose caller has not read its last answer yet.
        """
        if self._current is not None or self._queued:
            return "unanswered"
        if self._in_message:
            return "half_read"
        return "closing" if self._closing else "idle"

    def close_if_idle(self):
        """Close the connection unless a request is read, handled or about to come."""
        age_ms = self._clock.now_ms() - self._opened_ms
        is_new = self._is_first_request and age_ms < NEW_CONNECTION_GRACE_MS
        if self.idle() and not is_new and not has_unread_bytes(self.transport):
            self._close()

    def connectionLost(self, reason):
        """Cancel the request in progress and drop the queued ones."""
        self._site.channels.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        request, self._current = self._current, None
        self._queued.clear()
        self._closing = True
        if request is not None and request.on_caller_disconnected is not None:
            request.on_caller_disconnected()


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


class HttpSite(Factory):
    """Factory of channels; ``handle`` gets each ``HttpRequest``.

    ``rejected`` gets the status of each request that the channel itself rejects.
    While ``leaving`` is set, each response closes its connection.
    """

    noisy = False

    def __init__(self, clock, handle, limits=None, rejected=None):
        self.clock = clock
        self.handle = handle
        self.limits = limits or ChannelLimits()
        self.rejected = rejected or (lambda status: None)
        self.channels = set()
        self.leaving = False

    def buildProtocol(self, address):
        """Return the channel of a new connection."""
        return HttpChannel(self)

    def count_states(self):
        """Return the number of open connections by their state."""
        return dict(Counter(channel.state() for channel in self.channels))

    def close_idle(self):
        """Close all connections without a request in progress."""
        for channel in list(self.channels):
            channel.close_if_idle()
