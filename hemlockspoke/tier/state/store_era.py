"""The eras of the store, and positions in its sequence of changes.

A store that comes back from a copy begins a new era: its revisions go back and are
given out again, so a revision says something only together with its era.
"""

import logging
from typing import NamedTuple

logger = logging.getLogger(__name__)

# Era of a store that has never stated one.
UNKNOWN_ERA = 0
# Time after the first list of a new era for which a daemon keeps what it knows better
# than the list. After that the store's word holds.
RETENTION_MS = 60_000.0


class Position(NamedTuple):
    """A revision of the store and the era that has given it out.

    >>> Position(2, 5) > Position(1, 900)
    True
    """

    era: int
    revision: int


class StoreEras:
    """The newest era that this daemon has seen in any answer of the store.

    Functions given to ``on_rise`` are called, without arguments, when it rises above
    one that was known.
    """

    __slots__ = ("_listeners", "_metrics", "_was_missing", "newest")

    def __init__(self, metrics=None):
        self._metrics = metrics
        self._listeners = []
        self._was_missing = False
        self.newest = UNKNOWN_ERA

    def on_rise(self, listener):
        """Add a function to call when the era rises."""
        self._listeners.append(listener)

    def observe(self, era, path=""):
        """Return the era of an answer of the store that states ``era``.

        An answer that states none, or one that cannot be read (``era`` is None), counts
        for the newest known one. ``path`` is that of the call, for the log.
        """
        if era is None:
            if not self._was_missing:
                self._was_missing = True
                logger.warning(
                    "answer of the store without an era",
                    extra={"path": path, "era": self.newest},
                )
            return self.newest
        previous = self.newest
        if era <= previous:
            return era
        self.newest = era
        if previous == UNKNOWN_ERA:
            logger.info("era of the store", extra={"era": era})
            return era
        logger.warning(
            "store came back older",
            extra={"era": era, "previous_era": previous, "path": path},
        )
        if self._metrics is not None:
            self._metrics.count("store.came_back_older")
        for listener in self._listeners:
            listener()
        return era
