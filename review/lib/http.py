"""A minimal HTTP/1.1 reader and writer on asyncio streams."""

import asyncio


class Message:
    """A request or response: its first line, headers in order, and body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self):
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    def header(self, name, default=None):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader):
    """Read one message with a body of stated length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines[1:]]
    headers = [(name, value.strip()) for name, _, value in pairs]
    message = Message(lines[0], headers, b"")
    length = int(message.header("Content-Length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(first_line, headers, body=b""):
    """Return the bytes of a message with a body of stated length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
