"""A port for callers: its connections and the limits on what they hold."""

import heapq
import logging
from collections import Counter

from twisted.internet.protocol import Factory

from hemlockspoke.http1.channel import HttpChannel
from hemlockspoke.http1.memory_budget import MemoryBudget

logger = logging.getLogger(__name__)

# Used where no settings limit the memory and the connections of a site.
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 1024
# Number of idle connections that are tried in turn, as a request may have arrived on
# some of them.
MAX_IDLE_TRIED = 8
# Connections beyond the limit that are open at once until they have read a refusal.
MAX_REFUSED_CONNECTIONS = 64


class ChannelLimits:
    """Limits on the size and time of callers' requests."""

    __slots__ = (
        "header_timeout_ms",
        "idle_timeout_ms",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        max_header_bytes=16384,
        max_body_bytes=1048576,
        header_timeout_ms=5000,
        idle_timeout_ms=30000,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class HttpSite(Factory):
    """Factory of channels; ``handle`` gets each ``HttpRequest``.

    ``on_rejected(status, reason)`` gets the status of each request that the channel
    itself rejects, or None if it only closes the connection; the reason is None for
    what the caller can tell from the status. While ``leaving`` is set, each response
    closes its connection.

    Sites may share ``memory_budget``. Of more than ``max_connections`` the one that has
    been idle longest is closed, or the new one is refused.
    """

    noisy = False

    def __init__(
        self,
        clock,
        handle,
        limits=None,
        on_rejected=None,
        memory_budget=None,
        max_connections=DEFAULT_MAX_CONNECTIONS,
    ):
        self.clock = clock
        self.handle = handle
        self.limits = limits or ChannelLimits()
        self.rejected = on_rejected or (lambda status, reason: None)
        self.memory_budget = memory_budget or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self.max_connections = max_connections
        self.channels = set()
        self.leaving = False

    def buildProtocol(self, address):
        """Return the channel of a new connection."""
        return HttpChannel(self)

    def opened(self, channel):
        """Add a new connection, and keep to the limit on their number."""
        self.channels.add(channel)
        excess = len(self.channels) - self.max_connections
        if excess <= 0:
            return
        idle = [other for other in self.channels if other.idle_since_ms() is not None]
        oldest = heapq.nsmallest(MAX_IDLE_TRIED, idle, lambda c: c.idle_since_ms())
        if any(other.close_if_idle() for other in oldest):
            self.rejected(None, "connections")
        elif excess > MAX_REFUSED_CONNECTIONS:
            self.rejected(None, "connections")
            channel.transport.abortConnection()
        else:
            channel.reject(503, "connections")

    def closed(self, channel):
        """Remove a connection that has ended."""
        self.channels.discard(channel)
        self.update_memory(channel, -channel.memory.held_bytes)

    def update_memory(self, channel, count):
        """Change what a connection holds; let others give up theirs if need be."""
        memory, budget = channel.memory, self.memory_budget
        if count <= 0:
            budget.release(memory, -count)
            return
        for chosen in budget.reserve(memory, count, self.clock.now_ms()):
            chosen.give_up()

    def count_states(self):
        """Return the number of open connections by their state."""
        return dict(Counter(channel.state() for channel in self.channels))

    def close_idle(self):
        """Close all connections without a request in progress."""
        for channel in list(self.channels):
            channel.close_if_idle()
