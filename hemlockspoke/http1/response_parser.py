"""Parses one response from the bytes of a connection."""

import re

from httptools import HttpParserError, HttpResponseParser

from hemlockspoke.http1.messages import Response

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class ResponseParser:
    """Parses one response and detects bytes that follow it.

    ``response`` is set once the response is complete. ``has_trailing_data`` is True if
    bytes followed it, ``malformed`` if the bytes are not an HTTP response. With
    ``head_only`` the response has no body, as the request was a HEAD.
    """

    __slots__ = (
        "_body_chunks",
        "_headers",
        "_parser",
        "_until_close",
        "has_trailing_data",
        "head_only",
        "malformed",
        "response",
    )

    def __init__(self, head_only=False):
        self.head_only = head_only
        self._parser = HttpResponseParser(self)
        self._headers = []
        self._body_chunks = []
        # True if the headers do not delimit the body, so that a close ends it.
        self._until_close = False
        self.response = None
        self.malformed = False
        self.has_trailing_data = False

    def feed(self, data):
        """Parse bytes received on the connection."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            if self.response is None:
                self.malformed = True
            else:
                self.has_trailing_data = True

    def end(self):
        """Handle a clean close; return whether it completed the response."""
        if self.response is None and self._until_close:
            self._complete(reusable=False)
            return True
        return False

    def on_message_begin(self):
        """Record that another message follows a complete response."""
        if self.response is not None:
            self.has_trailing_data = True

    def on_header(self, name, value):
        """Collect a header."""
        if self.response is None:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Determine whether the body is delimited by the headers or by the close."""
        if self.response is not None:
            return
        status = self._parser.get_status_code()
        header_names = {name.lower() for name, _ in self._headers}
        is_delimited = (
            status < 200
            or status in (204, 304)
            or b"content-length" in header_names
            or b"transfer-encoding" in header_names
        )
        self._until_close = not is_delimited
        if self.head_only and status >= 200:
            self._complete(reusable=False)

    def on_body(self, data):
        """Collect a chunk of the body."""
        if self.response is None:
            self._body_chunks.append(data)

    def on_message_complete(self):
        """Complete the response; interim (1xx) responses are discarded."""
        if self.response is not None:
            return
        if self._parser.get_status_code() < 200:
            self._headers.clear()
            self._body_chunks.clear()
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
            b"".join(self._body_chunks),
            reusable,
            keep_alive_ms,
        )
