"""Blocking JSON-over-HTTP requests for the command line."""

import json
from http.client import HTTPConnection, HTTPException

MAX_REPLY_BYTES = 64 * 1024 * 1024


class HttpReply:
    """A complete reply; ``body`` is its JSON value, or None if it is not JSON."""

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    def fields(self):
        """Return the body if it is a JSON object, else an empty dict."""
        return self.body if isinstance(self.body, dict) else {}


class NoReply(Exception):
    """No complete reply; ``sent`` says whether the request may have been sent."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


def exchange(address, method, path, *, timeout_ms, body=None, headers=None):
    """Send one request to an ``Address`` and return the ``HttpReply``.

    Raises ``NoReply``. The timeout applies to connecting and to each read, not to
    the whole exchange.
    """
    connection = HTTPConnection(address.host, address.port, timeout=timeout_ms / 1000.0)
    try:
        _connect(connection)
        return _send(connection, method, path, body, headers or {})
    finally:
        connection.close()


def _connect(connection):
    try:
        connection.connect()
    except OSError as error:
        raise NoReply(_error_detail(error), sent=False) from error


def _send(connection, method, path, body, headers):
    content = None if body is None else json.dumps(body).encode()
    if content is not None:
        headers = {"Content-Type": "application/json", **headers}
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        reply_content = read_body(response)
    except (OSError, HTTPException) as error:
        raise NoReply(_error_detail(error), sent=True) from error
    return HttpReply(response.status, _parse_json(reply_content))


def read_body(response):
    """Return the complete body of an ``http.client`` response.

    Raises ``NoReply`` if it has no length or is too long, and ``HTTPException`` if it
    ends early.
    """
    if response.chunked:
        content = response.read(MAX_REPLY_BYTES)
        if not response.isclosed():
            raise NoReply("the reply is too long", sent=True)
        return content
    # ``http.client`` takes the end of the connection for the end of the head, so a
    # reply that is cut off there looks like a complete one without a length.
    if response.length is None:
        raise NoReply("the reply has no length", sent=True)
    if response.length > MAX_REPLY_BYTES:
        raise NoReply("the reply is too long", sent=True)
    # Only a read without a limit reports a body that ends early.
    return response.read()


def _parse_json(content):
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return None


def _error_detail(error):
    if isinstance(error, TimeoutError):
        return "no reply in time"
    return str(error) or type(error).__name__
