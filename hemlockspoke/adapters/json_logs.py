"""Logs as JSON lines on standard output, bounded and without blocking."""

import logging
import os
import sys
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

RENAMED_FIELDS = {
    "levelname": "level",
    "name": "logger",
    "asctime": "time",
}
# Lines a second of one event: one kind of event must not crowd out the others.
LINES_PER_S = 40
# Lines a second of all events below a warning; failures have as many on their own.
TOTAL_LINES_PER_S = 150
# Kept for a reader that is behind. Beyond it lines are dropped and counted.
MAX_BUFFER_BYTES = 262_144


class LineLimit:
    """Decides which lines of one second are written.

    Lines are counted by event. Warnings and errors have a limit of their own, so
    that the routine lines of a busy second never displace a failure.
    """

    __slots__ = ("_counts", "_left_out", "_now_s", "_second", "_totals")

    def __init__(self, now_s=time.monotonic):
        self._now_s = now_s
        self._second = None
        self._counts = Counter()
        self._totals = Counter()
        self._left_out = Counter()

    def admit(self, event, is_failure):
        """Return whether a line of an event may be written now."""
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._totals.clear()
        full = self._totals[is_failure] >= TOTAL_LINES_PER_S
        if full or self._counts[event, is_failure] >= LINES_PER_S:
            self.leave_out(event)
            return False
        self._counts[event, is_failure] += 1
        self._totals[is_failure] += 1
        return True

    def leave_out(self, event):
        """Count a line that is not written."""
        self._left_out[event] += 1

    def take_left_out(self):
        """Return how many lines were left out since the last call, by event.

        It is empty within the second that they belong to.
        """
        if not self._left_out or int(self._now_s()) == self._second:
            return {}
        left_out, self._left_out = dict(self._left_out), Counter()
        return left_out


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor and never waits for its reader."""

    def __init__(self, descriptor, limit=None):
        super().__init__()
        self._descriptor = descriptor
        self._limit = limit or LineLimit()
        self._buffer = bytearray()
        self._closed = False

    def emit(self, record):
        """Write a line, unless there are too many or the reader is behind."""
        left_out = self._limit.take_left_out()
        if left_out:
            self._write(self._summary(left_out), "log lines left out")
        event = record.getMessage()
        if self._limit.admit(event, record.levelno >= logging.WARNING):
            self._write(record, event)

    def _summary(self, left_out):
        return logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines left out",
                "events": left_out,
            }
        )

    def _write(self, record, event):
        if self._closed or len(self._buffer) > MAX_BUFFER_BYTES:
            self._limit.leave_out(event)
        else:
            self._buffer += self.format(record).encode() + b"\n"
        self.flush()

    def flush(self):
        """Hand over as much as the reader takes."""
        while self._buffer and not self._closed:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; requests go on without logs.
                self._closed = True
                self._buffer.clear()
                return
            del self._buffer[:written]


class LineFormatter(JsonFormatter):
    """Formats records with their time in UTC, as text and in ms."""

    converter = time.gmtime

    def __init__(self, vm):
        super().__init__(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields=RENAMED_FIELDS,
            static_fields={"vm": vm},
        )

    def add_fields(self, log_data, record, message_dict):
        """Add the time of day in ms, by which lines of daemons are compared."""
        super().add_fields(log_data, record, message_dict)
        log_data["time_ms"] = round(record.created * 1000)


def configure_logs(vm, level="INFO", descriptor=None):
    """Send log records to a descriptor (standard output) as JSON lines."""
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(LineFormatter(vm))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
