"""JSON over HTTP with calls that block, for the command line."""

import json
from http.client import HTTPConnection, HTTPException

MAX_REPLY_BYTES = 64 * 1024 * 1024


class HttpReply:
    """A complete reply; ``body`` is its JSON value, None if it is not JSON."""

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    def fields(self):
        """Return the body if it is a map, else an empty one."""
        return self.body if isinstance(self.body, dict) else {}


class NoReply(Exception):
    """No complete reply came; ``sent`` tells whether the request may have left."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


def exchange(address, method, path, *, timeout_ms, body=None, headers=None):
    """Send one request to an ``Address`` and return the ``HttpReply``.

    Raises ``NoReply``. The timeout holds for connecting and for each wait for
    bytes.
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
        raise NoReply(_describe(error), sent=False) from error


def _send(connection, method, path, body, headers):
    content = None if body is None else json.dumps(body).encode()
    if content is not None:
        headers = {"Content-Type": "application/json", **headers}
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        received = response.read(MAX_REPLY_BYTES)
    except (OSError, HTTPException) as error:
        raise NoReply(_describe(error), sent=True) from error
    return HttpReply(response.status, _json(received))


def _json(content):
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return None


def _describe(error):
    if isinstance(error, TimeoutError):
        return "no reply in time"
    return str(error) or type(error).__name__
