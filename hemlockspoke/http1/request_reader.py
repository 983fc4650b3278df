"""Reads requests from the bytes of one connection, within limits."""

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from hemlockspoke.http1.chunked_framing import ChunkedFraming

HEAD_END = b"\r\n\r\n"
# Memory that a header takes beside its bytes.
HEADER_OVERHEAD_BYTES = 170


class ReadRequest:
    """A request as it was read.

    ``keep_open`` is as in ``HttpRequest``; ``held_bytes`` is the size of its head and
    its body.
    """

    __slots__ = ("body", "headers", "held_bytes", "keep_open", "method", "target")

    def __init__(self, method, target, headers, body, keep_open, held_bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_open = keep_open
        self.held_bytes = held_bytes


class RequestReader:
    """Splits the bytes of a connection into requests.

    ``feed`` takes bytes as they arrive. Whether a request is rejected does not depend
    on how they are divided: each call of the parser gets bytes of a head, or of a body,
    but never of both. Limits are read from ``limits()``, a ``ChannelLimits``.

    The listener's ``request_begun()`` is called at the first byte of a request,
    ``head_read(expects_continue)`` if a body follows its head,
    ``request_read(request)`` with the ``ReadRequest``, and ``rejected(status)`` at the
    first bytes that cannot be part of an allowed request. Nothing is read after that.

    ``held_bytes`` is what the request being read holds, ``body_bytes`` the part of it
    that is its body. ``in_message`` is whether one has begun, ``in_body`` whether its
    head is complete.
    """

    __slots__ = (
        "_body",
        "_framing",
        "_head_bytes",
        "_head_tail",
        "_headers",
        "_limits",
        "_listener",
        "_parser",
        "_remaining_bytes",
        "_target",
        "in_body",
        "in_message",
        "rejected",
    )

    def __init__(self, limits, listener):
        self._limits = limits
        self._listener = listener
        self._parser = HttpRequestParser(self)
        self.rejected = False
        self._reset()

    def _reset(self):
        self.in_message = False
        self.in_body = False
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        # The last bytes of a head so far, in which its end may have begun.
        self._head_tail = b""
        self._body = bytearray()
        self._framing = None
        self._remaining_bytes = 0

    @property
    def body_bytes(self):
        """Return how many bytes of the body have arrived."""
        return len(self._body)

    @property
    def held_bytes(self):
        """Return how many bytes the request being read holds."""
        overhead_bytes = HEADER_OVERHEAD_BYTES * len(self._headers)
        return self._head_bytes + overhead_bytes + len(self._body)

    def discard(self):
        """Drop what has been read of a request, and read nothing more."""
        self.rejected = True
        self._reset()

    def feed(self, data):
        """Read the next bytes."""
        position = 0
        while position < len(data) and not self.rejected:
            if not self.in_body:
                end = self._end_of_head(data, position)
            elif self._framing is not None:
                end = self._framing.consume(data, position)
            else:
                end = min(len(data), position + self._remaining_bytes)
                self._remaining_bytes -= end - position
            if self._within_limits():
                self._parse(data[position:end] if end - position < len(data) else data)
            position = end

    def _end_of_head(self, data, position):
        """Return where the head ends in ``data``, or its length."""
        tail = self._head_tail
        joint = tail + data[position : position + len(HEAD_END) - 1]
        index = joint.find(HEAD_END)
        if index >= 0:
            end = position + index + len(HEAD_END) - len(tail)
        else:
            index = data.find(HEAD_END, position)
            end = len(data) if index < 0 else index + len(HEAD_END)
        self._head_tail = b""
        if index < 0:
            self._head_tail = (tail + data[position:])[1 - len(HEAD_END) :]
        self._head_bytes += end - position
        return end

    def _within_limits(self):
        limit = self._limits().max_header_bytes
        overhead = 0 if self._framing is None else self._framing.overhead_bytes
        if self._head_bytes > limit or overhead > limit:
            self._reject(431)
        return not self.rejected

    def _parse(self, data):
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._reject(400)
            return
        framing = self._framing
        if framing is not None and (framing.malformed or framing.done):
            # The parser would have raised an error, or completed the request.
            self._reject(400)

    def _reject(self, status):
        if not self.rejected:
            self.discard()
            self._listener.rejected(status)

    def on_message_begin(self):
        """Note the begin of a request."""
        self.in_message = True
        self._listener.request_begun()

    def on_url(self, url):
        """Collect the request target."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header; trailers are dropped."""
        if not self.in_body:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Find out how the body is framed, and reject one that is too long."""
        expects_continue = False
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"expect":
                expects_continue = value.lower() == b"100-continue"
            elif lower_name == b"transfer-encoding":
                self._framing = ChunkedFraming()
            elif lower_name == b"content-length" and value.strip().isdigit():
                self._remaining_bytes = int(value)
        if self._remaining_bytes > self._limits().max_body_bytes:
            self._reject(413)
        elif self._framing is not None or self._remaining_bytes:
            self.in_body = True
            self._listener.head_read(expects_continue)

    def on_body(self, data):
        """Collect bytes of the body."""
        if self.rejected:
            return
        if len(self._body) + len(data) > self._limits().max_body_bytes:
            self._reject(413)
        else:
            self._body += data

    def on_message_complete(self):
        """Hand over the request."""
        if self.rejected:
            return
        request = ReadRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self.held_bytes,
        )
        self._reset()
        self._listener.request_read(request)
