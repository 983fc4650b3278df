"""Encodes HTTP/1.1 messages and holds decoded responses."""

from http import HTTPStatus

# Headers that are not forwarded: those of one connection (RFC 9110, section 7.6.1, and
# others in common use), ``Expect``, which the channel answers, and ``Content-Length``,
# which is written anew.
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


def printable(value):
    """Return the bytes of a header as text, or None."""
    return value.decode("latin-1") if value is not None else None


def end_to_end(headers):
    """Return the headers to forward, in their original order and spelling.

    Headers that ``Connection`` lists are dropped as well.
    """
    connection_headers = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_headers.update(
                token.strip().lower() for token in value.split(b",")
            )
    dropped = NOT_FORWARDED | connection_headers
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_request(method, target, headers, body):
    """Return the bytes of a request with a ``Content-Length`` body."""
    return request_head(method, target, headers) + request_tail(method, [], body)


def request_head(method, target, headers):
    """Return the request line and first headers; ``request_tail`` completes them."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    return b"".join(lines)


def request_tail(method, headers, body):
    """Return the last headers and the body of a request."""
    lines = [b"%s: %s\r\n" % header for header in headers]
    if body or method not in _BODYLESS_METHODS:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def encode_response(status, headers, body, close, head_only=False):
    """Return the bytes of a response with a ``Content-Length`` body."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, _REASONS.get(status, b"Status"))]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    if status not in (204, 304):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only:
        lines.append(body)
    return b"".join(lines)


class Response:
    """A complete response.

    ``headers`` are pairs of a name and a value, in bytes as ``body`` is.
    ``keep_alive_ms`` is the idle timeout that the server announces, or None.
    ``reusable`` is False if the connection must not carry another request.
    """

    __slots__ = ("body", "headers", "keep_alive_ms", "reusable", "status")

    def __init__(self, status, headers, body, reusable=True, keep_alive_ms=None):
        self.status = status
        self.headers = headers
        self.body = body
        self.reusable = reusable
        self.keep_alive_ms = keep_alive_ms

    def header(self, name):
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def __repr__(self):
        return f"Response({self.status}, {len(self.body)} bytes)"
