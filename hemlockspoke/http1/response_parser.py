"""Reads one response from the bytes of a connection."""

import re

from httptools import HttpParserError, HttpResponseParser

from hemlockspoke.http1.messages import Response

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class ResponseReader:
    """Collects one response and notices bytes that do not belong to it.

    ``response`` is set once the response is complete. ``surplus`` tells that bytes
    followed it, and ``malformed`` that the bytes are no HTTP response.
    """

    __slots__ = (
        "_body",
        "_headers",
        "_parser",
        "_until_end",
        "head_only",
        "malformed",
        "response",
        "surplus",
    )

    def __init__(self, head_only=False):
        self.head_only = head_only
        self._parser = HttpResponseParser(self)
        self._headers = []
        self._body = []
        # Set once the headers are complete and state no length.
        self._until_end = False
        self.response = None
        self.malformed = False
        self.surplus = False

    def feed(self, data):
        """Take bytes of the connection."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            if self.response is None:
                self.malformed = True
            else:
                self.surplus = True

    def end(self):
        """Take the orderly end of the connection, which ends an unframed body."""
        if self.response is None and self._until_end:
            self._complete(reusable=False)
            return True
        return False

    def on_message_begin(self):
        """Note that bytes follow a complete response."""
        if self.response is not None:
            self.surplus = True

    def on_header(self, name, value):
        """Collect a header."""
        if self.response is None:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Decide whether the body has a length of its own."""
        if self.response is not None:
            return
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        framed = (
            status < 200
            or status in (204, 304)
            or b"content-length" in names
            or b"transfer-encoding" in names
        )
        self._until_end = not framed
        if self.head_only and status >= 200:
            self._complete(reusable=False)

    def on_body(self, data):
        """Collect a part of the body."""
        if self.response is None:
            self._body.append(data)

    def on_message_complete(self):
        """Take the end of a message; interim responses are dropped."""
        if self.response is not None:
            return
        if self._parser.get_status_code() < 200:
            self._headers.clear()
            self._body.clear()
            return
        self._complete(
            reusable=self._parser.should_keep_alive() and not self._until_end
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
            b"".join(self._body),
            reusable,
            keep_alive_ms,
        )
