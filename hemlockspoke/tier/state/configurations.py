"""Decides which version of the configuration is in force after a new era of the store.

Versions rise, also over eras, so an older one in the store is known as such.
"""

import logging

from hemlockspoke.tier.state.store_era import RETENTION_MS

logger = logging.getLogger(__name__)


class Configurations:
    """Gives the directory the versions that the store has.

    A version that has been in force is not taken back because the store has lost it.
    An operator who goes on from the older version of the new era, with one below that
    in force, has changed his mind: it comes into force ``RETENTION_MS`` after the list
    of the era, if it is the newest by then. Until then he may be writing lost versions
    again, one after the other.
    """

    __slots__ = ("_clock", "_directory", "_era_version", "_lower", "_restored_ms")

    def __init__(self, directory, clock):
        self._directory = directory
        self._clock = clock
        # When the first list of the newest era was read; None if there was no return.
        self._restored_ms = None
        # The newest version that the store has had in this era.
        self._era_version = None
        # That version, if it was written in this era and is lower than that in force.
        self._lower = None

    def restore(self, table):
        """Apply the configuration of the first list of a new era."""
        self._restored_ms = self._clock.now_ms()
        self._era_version = table.version
        self._lower = None
        if not self._directory.adopt_routing(table):
            self._log_lower("older configuration in the store", table)

    def adopt(self, table):
        """Apply a configuration that has been listed or written."""
        if self._era_version is not None and table.version <= self._era_version:
            return
        self._era_version = table.version
        self._lower = None
        if self._directory.adopt_routing(table) or self._restored_ms is None:
            return
        if table.version == self._directory.routing.version:
            return
        self._lower = table
        self._log_lower("older configuration written", table)
        due_ms = self._restored_ms + RETENTION_MS
        delay_ms = max(0.0, due_ms - self._clock.now_ms())
        self._clock.call_later(delay_ms, self._adopt_lower, table)

    def _adopt_lower(self, table):
        if self._lower is table:
            self._lower = None
            self._directory.adopt_routing(table, lower=True)

    def _log_lower(self, event, table):
        in_force = self._directory.routing.version
        if table.version != in_force:
            logger.warning(
                event, extra={"version": table.version, "version_in_force": in_force}
            )
