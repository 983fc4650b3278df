"""Blocking reads of a metrics port for the command line."""

import io
import socket
import time
from http.client import HTTPException, HTTPResponse

from hemlockspoke.adapters.blocking_http import NoReply, read_body

# A daemon with 200 accounts and 50 orders of six routes has 0.2 MB of metrics; names of
# accounts may be long.
MAX_REPLY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536
HTTP_OK = 200


class _ReadSocket:
    """What ``http.client`` needs of a socket whose bytes have been read."""

    def __init__(self, content):
        self._content = content

    def makefile(self, _mode):
        return io.BytesIO(self._content)


def read_metrics(address, *, timeout_ms, max_bytes=MAX_REPLY_BYTES):
    """Return the text that the metrics port at an ``Address`` serves.

    Raises ``NoReply``. The timeout applies to the whole exchange, so that a port that
    sends a byte now and then does not hold the command.
    """
    deadline_s = time.monotonic() + timeout_ms / 1000.0
    head = f"GET /metrics HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    sent = False
    try:
        with socket.create_connection(
            (address.host, address.port), timeout=timeout_ms / 1000.0
        ) as connection:
            sent = True
            connection.sendall(head.encode())
            content = _read_to_end(connection, deadline_s, max_bytes)
    except TimeoutError as error:
        raise NoReply(f"no complete answer in {timeout_ms} ms", sent) from error
    except OSError as error:
        raise NoReply(error.strerror or type(error).__name__, sent) from error
    return _parse(content)


def _read_to_end(connection, deadline_s, max_bytes):
    content = bytearray()
    while True:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        connection.settimeout(remaining_s)
        received = connection.recv(READ_BYTES)
        if not received:
            return bytes(content)
        content += received
        if len(content) > max_bytes:
            raise NoReply(f"the answer has over {max_bytes} bytes", sent=True)


def _parse(content):
    if not content:
        raise NoReply("the connection was closed without an answer", sent=True)
    response = HTTPResponse(_ReadSocket(content))
    try:
        response.begin()
        body = read_body(response)
    # The text of such an error may repeat what was received.
    except (HTTPException, ValueError) as error:
        raise NoReply("the answer is cut or is no HTTP", sent=True) from error
    if response.status != HTTP_OK:
        raise NoReply(f"status {response.status} instead of metrics", sent=True)
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise NoReply("the answer is no text", sent=True) from error
