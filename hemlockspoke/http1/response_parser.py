"""Parses one response from the bytes of a connection."""

import re

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from hemlockspoke.http1.messages import Response

# Statuses of HTTP, see RFC 9110, section 15.
MIN_STATUS = 100
MAX_STATUS = 599
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")
# Limit on the bytes of a response that are not its body: the head, interim responses,
# chunk sizes and trailers. A server in trouble may send such bytes without end.
MAX_OVERHEAD_BYTES = 65_536
# The size line of a chunk allows for this many bytes more for each byte of the body, so
# that a body may come in chunks of a few bytes.
MAX_CHUNK_OVERHEAD = 8
# Limit on the body. Fifty bodies of this size fit into the memory of a small VM.
MAX_BODY_BYTES = 1024 * 1024


class ResponseParser:
    """Parses one response and detects bytes that follow it.

    ``response`` is set once the response is complete. ``has_trailing_data`` is True if
    bytes followed it. ``malformed`` is the first reason why the bytes are not an HTTP
    response within the limits, or an empty string; a malformed response is never
    completed. ``too_long`` is True if the reason is the limit on the body. With
    ``head_only`` the response has no body, as the request was a HEAD.
    """

    __slots__ = (
        "_body",
        "_headers",
        "_interim_headers",
        "_max_body_bytes",
        "_parser",
        "_received_bytes",
        "_status",
        "_until_close",
        "has_trailing_data",
        "head_only",
        "malformed",
        "response",
        "too_long",
    )

    def __init__(self, head_only=False, max_body_bytes=MAX_BODY_BYTES):
        self.head_only = head_only
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._parser = HttpResponseParser(self)
        self._headers = []
        self._interim_headers = []
        # Set once the head of the response is complete.
        self._status = None
        # One buffer, as a list of chunks of a few bytes takes several times their size.
        self._body = bytearray()
        # True if the headers do not delimit the body, so that a close ends it.
        self._until_close = False
        self.response = None
        self.malformed = ""
        self.too_long = False
        self.has_trailing_data = False

    def feed(self, data):
        """Parse bytes received on the connection."""
        if self.malformed:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            if self.response is None:
                self._reject("the received bytes are not an HTTP response")
            else:
                self.has_trailing_data = True
        if self.response is None and not self.malformed:
            self._check_limits()

    def _check_limits(self):
        body_bytes = len(self._body)
        overhead_bytes = self._received_bytes - body_bytes
        allowed_bytes = MAX_OVERHEAD_BYTES + MAX_CHUNK_OVERHEAD * body_bytes
        if body_bytes > self._max_body_bytes:
            self.too_long = True
            self._reject(f"the body is longer than {self._max_body_bytes} bytes")
        elif overhead_bytes > allowed_bytes:
            self._reject(f"{overhead_bytes} bytes without an end of the head or body")

    def _reject(self, reason):
        self.malformed = self.malformed or reason
        if self._status is None:
            self._headers.clear()
        self._body.clear()

    @property
    def received_bytes(self):
        """Return how many bytes have been parsed."""
        return self._received_bytes

    def end(self):
        """Handle a clean close; return whether it completed the response."""
        if self.response is None and self._until_close and not self.malformed:
            self._complete(reusable=False)
            return True
        return False

    def partial_response(self):
        """Return a response with the headers of all heads so far, or None.

        These are the heads of interim responses, and that of a response whose body is
        not complete.
        """
        headers = list(self._interim_headers)
        if self._status is not None and self.response is None:
            headers += self._headers
        return Response(self._status or 0, headers, b"") if headers else None

    def _is_over(self):
        """Return whether the response is complete or malformed."""
        return self.response is not None or bool(self.malformed)

    def on_message_begin(self):
        """Record that another message follows a complete response."""
        if self.response is not None:
            self.has_trailing_data = True

    def on_header(self, name, value):
        """Collect a header."""
        if not self._is_over():
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Determine whether the body is delimited by the headers or by the close."""
        if self._is_over():
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._reject(f"HTTP has no status {status:03d}")
            return
        header_names = {name.lower() for name, _ in self._headers}
        is_delimited = (
            status < 200
            or status in (204, 304)
            or b"content-length" in header_names
            or b"transfer-encoding" in header_names
        )
        self._until_close = not is_delimited
        self._status = status
        if self.head_only and status >= 200:
            self._complete(reusable=False)

    def on_body(self, data):
        """Collect a chunk of the body; interim responses (1xx) have none."""
        if self._is_over():
            return
        if self._status < 200:
            self._reject(f"a body in an interim response with status {self._status}")
            return
        self._body += data

    def on_message_complete(self):
        """Complete the response; interim (1xx) responses are discarded."""
        if self._is_over():
            return
        if self._parser.get_status_code() < 200:
            self._status = None
            self._interim_headers += self._headers
            self._headers.clear()
            return
        self._complete(
            reusable=self._parser.should_keep_alive() and not self._until_close
        )

    def _complete(self, reusable):
        keep_alive_ms = None
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                match = _KEEP_ALIVE_TIMEOUT.search(value)
                keep_alive_ms = int(match[1]) * 1000 if match else None
        self.response = Response(
            self._parser.get_status_code(),
            list(self._headers),
            bytes(self._body),
            reusable,
            keep_alive_ms,
        )
