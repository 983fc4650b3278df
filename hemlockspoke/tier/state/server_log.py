"""The log line for a change of a server."""

import logging

logger = logging.getLogger(__name__)


def log_server(entry, change):
    """Log a change of the server of an entry."""
    logger.info(
        "server",
        extra={
            "change": change,
            "server": entry.server_id,
            "service": entry.service,
            "server_version": entry.version,
            "address": str(entry.address),
            "state": entry.state.value,
            "cold_ms": entry.cold_ms,
        },
    )
