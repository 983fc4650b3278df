"""Logs as JSON lines on standard output."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

RENAMED_FIELDS = {
    "levelname": "level",
    "name": "logger",
    "asctime": "time",
}


def configure_logs(vm, level="INFO", stream=None):
    """Send every log record to ``stream`` (standard output) as one JSON line."""
    handler = logging.StreamHandler(stream or sys.stdout)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields=RENAMED_FIELDS,
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
