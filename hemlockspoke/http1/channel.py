"""HTTP/1.1 connections of callers: reads requests and writes one response to each."""

from collections import deque

from twisted.internet.protocol import Protocol

from hemlockspoke.http1.memory_budget import HeldMemory
from hemlockspoke.http1.messages import encode_response
from hemlockspoke.http1.request_reader import RequestReader
from hemlockspoke.http1.socket_state import (
    DEFAULT_RTT_MS,
    has_unread_bytes,
    round_trip_ms,
)

# Time for which a new connection without a request is kept open while the site is
# closed: its caller is about to send one.
NEW_CONNECTION_GRACE_MS = 500.0
# Pipelined requests queued on one connection before reading pauses.
MAX_PIPELINED_REQUESTS = 8
# When a caller may come back after a refusal for lack of memory or connections.
RETRY_AFTER = (b"Retry-After", b"1")
# A body must arrive at this rate once the first of the two times has passed since its
# head, and completely within the second. Callers wait for some seconds only, and links
# that are silent for that long recover before.
MIN_BODY_BYTES_PER_S = 1000.0
BODY_RATE_GRACE_MS = 15_000.0
BODY_TIMEOUT_MS = 60_000.0
BODY_CHECK_INTERVAL_MS = 5000.0
# What still arrives after a refusal is read and dropped within these limits, since a
# close with unread bytes would reset the connection, and the caller lose the refusal.
LINGER_MS = 1000.0
LINGER_BYTES = 1024 * 1024
# Bytes of answers that a caller has not read from which on they count as held, and no
# further request of the connection is begun.
UNSENT_BYTES = 8192
# Time for a caller to read an answer before the connection is reset.
UNREAD_ANSWER_MS = 10_000.0


class HttpRequest:
    """A request that has been read completely.

    ``received_ms`` is the time of the clock when its last byte was read.
    ``on_caller_disconnected`` is called if the caller's connection closes before the
    response has been written. ``caller_rtt_ms`` is the round trip time to the
    caller; ``opened_connection`` is True for the first request of a connection.
    ``keep_open`` is True if the caller may send another one on the connection.
    ``held_bytes`` is the size of its head and its body.
    """

    __slots__ = (
        "_channel",
        "body",
        "caller_rtt_ms",
        "headers",
        "held_bytes",
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
        read,
        received_ms,
        caller_rtt_ms=DEFAULT_RTT_MS,
        opened_connection=True,
    ):
        self._channel = channel
        self.method = read.method
        self.target = read.target
        self.headers = read.headers
        self.body = read.body
        self.keep_open = read.keep_open
        self.held_bytes = read.held_bytes
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
    """One connection of a caller; its requests are handled one at a time.

    ``memory`` is what it holds of the site's budget.
    """

    def __init__(self, site):
        self._site = site
        self._clock = site.clock
        self._reader = RequestReader(lambda: site.limits, self)
        self._current = None
        self._queued = deque()
        # Bytes of the queued requests and the current one, and of unsent answers.
        self._request_bytes = 0
        self._answer_bytes = 0
        self._unsent_bytes = 0
        self._begun_ms = 0.0
        self._timer = None
        self._closing = False
        # Bytes that may still be read and dropped after a refusal, or None.
        self._linger_bytes = None
        self._is_first_request = True
        self._opened_ms = self._clock.now_ms()
        self.memory = HeldMemory(self._give_up_memory)

    def connectionMade(self):
        """Start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = UNSENT_BYTES
        self.transport.registerProducer(self, True)
        self._await_request()
        self._site.opened(self)

    def _await_request(self):
        """Start the timeout of the request being read, or of the idle connection."""
        limits = self._site.limits
        if self._reader.in_body:
            self._set_timer(BODY_CHECK_INTERVAL_MS, self._check_body)
        elif self._reader.in_message:
            self._set_timer(limits.header_timeout_ms, self._on_header_timeout)
        elif self._unsent_bytes:
            self._set_timer(UNREAD_ANSWER_MS, self._on_unread_timeout)
        else:
            self._set_timer(limits.idle_timeout_ms, self._on_idle_timeout)

    def _set_timer(self, delay_ms, callback):
        self._stop_timer()
        self._timer = self._clock.call_after_reads(delay_ms, callback)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_idle_timeout(self):
        if self.idle() and not has_unread_bytes(self.transport):
            self.transport.loseConnection()

    def _on_unread_timeout(self):
        self._site.rejected(None, "unread")
        self.transport.abortConnection()

    def _on_header_timeout(self):
        if self._reader.in_message and not self._reader.in_body:
            self.reject(408)

    def _check_body(self):
        """Reject a body that comes too slowly or for too long."""
        if not self._reader.in_body:
            return
        elapsed_ms = self._clock.now_ms() - self._begun_ms
        expected_bytes = MIN_BODY_BYTES_PER_S * elapsed_ms / 1000.0
        is_slow = self._reader.body_bytes < expected_bytes
        if elapsed_ms > BODY_TIMEOUT_MS or (
            is_slow and elapsed_ms > BODY_RATE_GRACE_MS
        ):
            self.reject(408)
        else:
            self._await_request()

    def dataReceived(self, data):
        """Read requests; after a refusal, drop what still arrives for a while."""
        if self._linger_bytes is not None:
            self._linger_bytes -= len(data)
            if self._linger_bytes < 0:
                self.transport.abortConnection()
            return
        if self._closing or self._reader.rejected:
            return
        self._reader.feed(data)
        self._update_memory()

    def request_begun(self):
        """Note the begin of a request, and start its timeout."""
        self._begun_ms = self._clock.now_ms()
        if self._current is None:
            self._set_timer(
                self._site.limits.header_timeout_ms, self._on_header_timeout
            )

    def head_read(self, expects_continue):
        """Start the timeout of a body, for which the caller may wait to be asked."""
        if self._current is None:
            self._await_request()
            if expects_continue:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(self, read):
        """Queue a request and start it if none is in progress."""
        request = HttpRequest(
            self,
            read,
            self._clock.now_ms(),
            round_trip_ms(self.transport),
            self._is_first_request,
        )
        self._is_first_request = False
        self._request_bytes += request.held_bytes
        self._queued.append(request)
        if len(self._queued) > MAX_PIPELINED_REQUESTS:
            self.transport.pauseProducing()
        self._start_next()

    def rejected(self, status):
        """Refuse the request being read, which the handler never sees."""
        self.reject(status)

    def reject(self, status, reason=None):
        """Refuse the request being read, and read no others.

        It gets a response only if no earlier request awaits one.
        """
        if self._closing:
            return
        self._reader.discard()
        self._site.rejected(status, reason)
        if self._current is None and not self._queued:
            headers = [RETRY_AFTER] if status == 503 else []
            self.transport.write(encode_response(status, headers, b"", close=True))
            self._close(lingers=True)
        self._update_memory()

    def _give_up_memory(self):
        """Give up what this connection holds of requests that have not begun.

        Their caller gets 503, or only the end of the connection if an answer is due
        before that.
        """
        if self._unsent_bytes:
            self._on_unread_timeout()
            return
        self._queued.clear()
        self._request_bytes = 0 if self._current is None else self._current.held_bytes
        self.reject(503, "memory")

    def _update_memory(self):
        """Report to the budget what the connection holds now."""
        held_bytes = self._reader.held_bytes + self._request_bytes + self._unsent_bytes
        can_give_up = self._reader.in_message or self._queued or self._unsent_bytes
        if not can_give_up:
            self.memory.since_ms = None
        elif self.memory.since_ms is None:
            self.memory.since_ms = self._clock.now_ms()
        self._site.update_memory(self, held_bytes - self.memory.held_bytes)

    def _start_next(self):
        if self._current is not None or not self._queued:
            return
        if self._unsent_bytes and not self._site.leaving:
            return
        self._current = self._queued.popleft()
        self._stop_timer()
        self.transport.resumeProducing()
        self._site.handle(self._current)

    def respond(self, request, status, headers, body, close):
        """Write the response to the request in progress."""
        if request is not self._current:
            return
        self._current = None
        self._request_bytes -= request.held_bytes
        request.on_caller_disconnected = None
        close = close or not request.keep_open or self._site.leaving
        more_follows = self._queued or self._reader.in_message
        close = (close and not more_follows) or self._reader.rejected
        head_only = request.method == b"HEAD"
        data = encode_response(status, headers, body, close, head_only)
        self._answer_bytes = len(data)
        self.transport.write(data)
        self._update_memory()
        if close:
            self._close(lingers=self._reader.rejected)
            return
        self._await_request()
        self._start_next()

    def pauseProducing(self):
        """Note that the caller does not read its answers; the transport calls it."""
        self._unsent_bytes = self._answer_bytes

    def resumeProducing(self):
        """Note that the kernel has taken the last answer; the transport calls it."""
        self._unsent_bytes = 0
        self._update_memory()
        if self._current is None and not self._closing:
            self._await_request()
        self._start_next()

    def stopProducing(self):
        """Do nothing: the transport calls it when the connection is lost."""

    def _close(self, lingers=False):
        self._closing = True
        # A transport does not close while its producer may have more to write.
        self.transport.unregisterProducer()
        if lingers:
            self._linger_bytes = LINGER_BYTES
            self._set_timer(LINGER_MS, self.transport.abortConnection)
            self.transport.loseWriteConnection()
        else:
            self._set_timer(UNREAD_ANSWER_MS, self._on_unread_timeout)
            self.transport.loseConnection()

    def idle(self):
        """Return whether no request is being read or handled."""
        is_read = self._reader.in_message
        return self._current is None and not self._queued and not is_read

    def idle_since_ms(self):
        """Return since when the connection has been idle, or None if it is not.

        A new connection is not idle for some time.
        """
        if self._closing or self._unsent_bytes or not self.idle() or self._is_new():
            return None
        return max(self._begun_ms, self._opened_ms)

    def state(self):
        """Return whether a request is unanswered, for the log of a stop.

        ``closing`` is a connection whose caller has not read its last answer yet.
        """
        if self._current is not None or self._queued:
            return "unanswered"
        if self._reader.in_message:
            return "half_read"
        return "closing" if self._closing else "idle"

    def _is_new(self):
        """Return whether the caller has just connected, and is about to send."""
        age_ms = self._clock.now_ms() - self._opened_ms
        return self._is_first_request and age_ms < NEW_CONNECTION_GRACE_MS

    def close_if_idle(self):
        """Close the connection unless a request is read, handled or about to come.

        Return whether it is closed. Requests that wait for a caller to read its answers
        are begun, as the site is to close.
        """
        self._start_next()
        if self._linger_bytes is not None or not self.idle() or self._is_new():
            return False
        if has_unread_bytes(self.transport):
            return False
        self._close()
        return True

    def connectionLost(self, reason):
        """Cancel the request in progress and drop the queued ones."""
        self._site.closed(self)
        self._stop_timer()
        request, self._current = self._current, None
        self._queued.clear()
        self._reader.discard()
        self._closing = True
        if request is not None and request.on_caller_disconnected is not None:
            request.on_caller_disconnected()
