"""Rate-limited, non-blocking logs as JSON lines on standard output."""

import logging
import os
import sys
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

# Fields of a log record and their names in a JSON line.
RENAMED_FIELDS = {
    "levelname": "level",
    "name": "logger",
    "asctime": "time",
}
# Lines per second of one event, so that a frequent event cannot displace others.
EVENT_LINES_PER_S = 40
# Lines per second of all events below WARNING; the limit of those at WARNING and above
# is separate and has the same value.
TOTAL_LINES_PER_S = 150
# Output buffered for a slow reader; while it is full, lines are dropped and counted.
MAX_BUFFER_BYTES = 262_144


class LineLimit:
    """Limits the number of lines per second.

    Lines are counted by event. Warnings and errors have a separate limit, so that
    routine lines of a busy second never displace a failure. ``now_s`` returns a time
    in seconds.
    """

    __slots__ = ("_counts", "_dropped", "_now_s", "_second", "_totals")

    def __init__(self, now_s=time.monotonic):
        self._now_s = now_s
        self._second = None
        self._counts = Counter()
        self._totals = Counter()
        self._dropped = Counter()

    def admit(self, event, is_failure):
        """Return whether a line may be written now, and count it either way."""
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._totals.clear()
        total_reached = self._totals[is_failure] >= TOTAL_LINES_PER_S
        if total_reached or self._counts[event, is_failure] >= EVENT_LINES_PER_S:
            self.count_dropped(event)
            return False
        self._counts[event, is_failure] += 1
        self._totals[is_failure] += 1
        return True

    def count_dropped(self, event):
        """Count a dropped line."""
        self._dropped[event] += 1

    def pop_dropped(self, at_end=False):
        """Return and reset the number of dropped lines by event.

        It is empty until the second in which they were dropped has passed, except with
        ``at_end``.
        """
        is_over = at_end or int(self._now_s()) != self._second
        if not self._dropped or not is_over:
            return {}
        dropped, self._dropped = dict(self._dropped), Counter()
        return dropped


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking on its reader."""

    def __init__(self, descriptor, limit=None):
        super().__init__()
        self._descriptor = descriptor
        self._limit = limit or LineLimit()
        self._buffer = bytearray()
        self._closed = False

    def emit(self, record):
        """Write a line unless a rate limit is reached or the buffer is full."""
        self._write_dropped()
        event = record.getMessage()
        if self._limit.admit(event, record.levelno >= logging.WARNING):
            self._write(record, event)

    def close(self):
        """Count the lines left out in the last second of the process."""
        self._write_dropped(at_end=True)
        super().close()

    def _write_dropped(self, at_end=False):
        dropped = self._limit.pop_dropped(at_end)
        if dropped:
            self._write(self._summary(dropped), "log lines left out")

    def _summary(self, dropped):
        return logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines left out",
                "events": dropped,
            }
        )

    def _write(self, record, event):
        if self._closed or len(self._buffer) > MAX_BUFFER_BYTES:
            self._limit.count_dropped(event)
        else:
            self._buffer += self.format(record).encode() + b"\n"
        self.flush()

    def flush(self):
        """Write as much of the buffer as the reader accepts."""
        while self._buffer and not self._closed:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; requests continue without logs.
                self._closed = True
                self._buffer.clear()
                return
            del self._buffer[:written]


class LineFormatter(JsonFormatter):
    """Formats records as JSON with their time in UTC, as text and in ms."""

    converter = time.gmtime

    def __init__(self, vm):
        super().__init__(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields=RENAMED_FIELDS,
            static_fields={"vm": vm},
        )

    def add_fields(self, log_data, record, message_dict):
        """Add the wall-clock time in ms, to sort the lines of several daemons by it."""
        super().add_fields(log_data, record, message_dict)
        log_data["time_ms"] = round(record.created * 1000)


def configure_logs(vm, level="INFO", descriptor=None):
    """Write log records as JSON lines to a descriptor, by default standard output."""
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(LineFormatter(vm))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
