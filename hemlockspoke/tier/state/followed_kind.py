"""The known state of one kind of store objects, and what keeps it up to date."""

import logging

from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.state.store_era import StoreEras

logger = logging.getLogger(__name__)


class FollowedKind:
    """The known state of one kind of objects, with its feed and its sink.

    ``objects`` maps names to specifications at ``position``, which was the store's
    newest at the clock time ``confirmed_ms``. Changes reach ``sink`` in the order of
    positions, whether this daemon or another one has read them. The first list of a new
    era, which may lack what was known, reaches it by ``restore``.
    ``unread_since_ms`` is the clock time since which no daemon of the failure domain is
    known to read the kind, or None. ``readers`` are the VMs of the other daemons that
    have read it for this one since the state was last up to date.
    """

    __slots__ = (
        "_clock",
        "_eras",
        "_metrics",
        "_sink",
        "confirmed_ms",
        "feed",
        "kind",
        "objects",
        "position",
        "readers",
        "unread_since_ms",
    )

    def __init__(self, kind, clock, sink, metrics=None, eras=None):
        self.kind = kind
        self._clock = clock
        self._metrics = metrics or MetricsRegistry()
        self._eras = eras or StoreEras()
        self._sink = sink
        self.feed = None
        self.objects = {}
        self.position = None
        self.confirmed_ms = None
        self.unread_since_ms = None
        self.readers = set()

    @property
    def revision(self):
        """The revision of ``position``, or None."""
        return None if self.position is None else self.position.revision

    def replace(self, changes, position, age_ms=0.0):
        """Replace all objects; return False if the list is older than the state."""
        known = self.position
        if known is not None and position < known:
            return False
        self.objects = {change.name: change.spec for change in changes}
        self._confirm(position, age_ms)
        if known is None or position.era == known.era:
            self._sink.replace(changes)
        else:
            self._log_era(known)
            self._sink.restore(changes)
        # A daemon that another one reads for learns of the era by its list.
        self._eras.observe(position.era)
        return True

    def _log_era(self, known):
        logger.info(
            "list of a new era",
            extra={
                "kind": self.kind,
                "era": self.position.era,
                "revision": self.position.revision,
                "previous_era": known.era,
                "previous_revision": known.revision,
            },
        )

    def apply(self, changes, position, age_ms=0.0):
        """Apply the changes up to a position of the same era."""
        for change in changes:
            if change.removed:
                self.objects.pop(change.name, None)
            else:
                self.objects[change.name] = change.spec
        self._confirm(position, age_ms)
        for change in changes:
            self._apply_change(change)

    def _apply_change(self, change):
        """Apply one change; a defect in it must not cost the others."""
        try:
            self._sink.apply(change)
        except Exception:
            logger.exception(
                "defect in applying a change",
                extra={"kind": self.kind, "object": change.name},
            )
            self._metrics.count("feed.defects")

    def _confirm(self, position, age_ms):
        self.position = position
        confirmed_ms = self._clock.now_ms() - age_ms
        self.confirmed_ms = max(self.confirmed_ms or confirmed_ms, confirmed_ms)

    def confirm(self, position, age_ms):
        """Record that ``position`` was the newest one ``age_ms`` ago."""
        if self.position is not None and position >= self.position:
            self._confirm(self.position, age_ms)

    def age_ms(self):
        """Return how long ago the store confirmed the position, or infinity."""
        if self.confirmed_ms is None:
            return float("inf")
        return self._clock.now_ms() - self.confirmed_ms


class RelayingSink:
    """Applies what a feed reads, and relays it to the daemons of the failure domain."""

    __slots__ = ("_followed", "_relay")

    def __init__(self, followed, relay):
        self._followed = followed
        self._relay = relay

    @property
    def position(self):
        """The position of the known state, whichever daemon has read it."""
        return self._followed.position

    def replace(self, changes, position):
        """Apply a complete list, and relay it."""
        if self._followed.replace(changes, position):
            self._relay.publish(self._followed, changes, 0, position, complete=True)

    def apply(self, changes, since, position):
        """Apply changes reported by a watch, and relay them."""
        followed = self._followed
        if position <= followed.position:
            followed.confirm(position, 0.0)
            return
        followed.apply(changes, position)
        self._relay.publish(followed, changes, since.revision, position, complete=False)
