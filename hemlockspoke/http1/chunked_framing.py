"""Follows the framing of a chunked body, and counts what is not needed for it."""

# Bytes of a line that are kept to tell its size, or that it is empty.
KEPT_LINE_BYTES = 32
# Digits of a chunk size beyond which the others count as overhead.
MAX_SIZE_DIGITS = 8


class ChunkedFraming:
    """Finds the end of a chunked body in a stream of bytes, however it is divided.

    ``overhead_bytes`` counts chunk extensions, needless digits and trailers: bytes that
    a sender can add without end and without a longer body. ``done`` is True after the
    last byte of the body. A chunk size that cannot be read sets ``malformed``.

    >>> framing = ChunkedFraming()
    >>> framing.consume(b"2;a=b\\r\\nxy\\r\\n0\\r\\n\\r\\nGET", 0), framing.done
    (17, True)
    >>> framing.overhead_bytes
    4
    """

    __slots__ = (
        "_in_trailers",
        "_line",
        "_line_bytes",
        "_skip_bytes",
        "done",
        "malformed",
        "overhead_bytes",
    )

    def __init__(self):
        self._in_trailers = False
        self._line = b""
        self._line_bytes = 0
        # Bytes of the current chunk, with the line end after it, still to come.
        self._skip_bytes = 0
        self.done = False
        self.malformed = False
        self.overhead_bytes = 0

    def consume(self, data, position):
        """Follow ``data`` from ``position``; return where the body or data ends."""
        size = len(data)
        while position < size and not self.done and not self.malformed:
            if self._skip_bytes:
                step = min(self._skip_bytes, size - position)
                self._skip_bytes -= step
                position += step
                continue
            newline = data.find(b"\n", position)
            end = size if newline < 0 else newline + 1
            self._add_to_line(data, position, end)
            position = end
            if newline >= 0:
                self._end_line()
        return position

    def _add_to_line(self, data, position, end):
        missing = KEPT_LINE_BYTES - len(self._line)
        if missing > 0:
            self._line += data[position : min(end, position + missing)]
        before = self._overhead_of_line()
        self._line_bytes += end - position
        self.overhead_bytes += self._overhead_of_line() - before

    def _overhead_of_line(self):
        """Return how many bytes of the line so far are not needed."""
        needed = 0 if self._in_trailers else self._digit_count() + len(b"\r\n")
        return max(0, self._line_bytes - needed)

    def _digit_count(self):
        digits = self._line.partition(b";")[0].strip()
        return min(len(digits), MAX_SIZE_DIGITS)

    def _end_line(self):
        line, self._line, self._line_bytes = self._line, b"", 0
        if self._in_trailers:
            self.done = line == b"\r\n"
            return
        try:
            chunk_bytes = int(line.partition(b";")[0], 16)
        except ValueError:
            self.malformed = True
            return
        if chunk_bytes:
            self._skip_bytes = chunk_bytes + len(b"\r\n")
        else:
            self._in_trailers = True
