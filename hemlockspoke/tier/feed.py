"""Follows the objects of one kind: a list first, then changes from its revision."""

import logging
import random

logger = logging.getLogger(__name__)

FIRST_RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
# How much longer than its wait a watch is given before it counts as silent. A store
# that answers slowly still answers within this time.
WATCH_GRACE_MS = 600.0


class Change:
    """A changed or removed object; ``revision`` is None if it states none."""

    __slots__ = ("name", "removed", "revision", "spec")

    def __init__(self, name, spec, removed=False, revision=None):
        self.name = name
        self.spec = spec
        self.removed = removed
        self.revision = revision


class Page:
    """A page of a list, or the changes that a watch reports."""

    __slots__ = ("changes", "continue_after", "revision")

    def __init__(self, changes, revision, continue_after=None):
        self.changes = changes
        self.revision = revision
        self.continue_after = continue_after


class FeedError:
    """Why there is no page; ``history_gone`` asks for a new list."""

    __slots__ = ("detail", "history_gone")

    def __init__(self, detail, history_gone=False):
        self.detail = detail
        self.history_gone = history_gone


class Feed:
    """Reads one kind through a ``source`` and reports to a ``sink``.

    The source has ``list_page(after, done)`` and ``watch(revision, wait_ms,
    grace_ms, done)``, where ``done`` takes a ``Page`` or a ``FeedError``. The sink
    has ``replace(changes)`` for a complete list and ``apply(change)``.

    A watch is never trusted for longer than ``wait_ms`` and a grace: a connection
    may have gone silent, and then a new one is used.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_name",
        "_pages",
        "_revision",
        "_rng",
        "_sink",
        "_source",
        "_stopped",
        "_wait_ms",
        "heard_ms",
        "lost",
    )

    def __init__(self, name, clock, source, sink, wait_ms, rng=None):
        self._name = name
        self._clock = clock
        self._source = source
        self._sink = sink
        self._wait_ms = wait_ms
        self._rng = rng or random.Random()
        self._revision = None
        self._pages = []
        self._failures = 0
        self._stopped = False
        self.heard_ms = None
        self.lost = False

    def start(self):
        """Begin with a list."""
        self._list(None)

    def stop(self):
        """Make no more calls."""
        self._stopped = True

    def _list(self, after):
        if not self._stopped:
            self._source.list_page(after, self._listed)

    def _listed(self, page):
        if isinstance(page, FeedError):
            self._pages = []
            self._retry(page, self._list, None)
            return
        self._heard()
        self._pages.extend(page.changes)
        if page.continue_after is not None:
            self._list(page.continue_after)
            return
        changes, self._pages = self._pages, []
        self._revision = page.revision
        self._sink.replace(changes)
        self._watch()

    def _watch(self):
        if not self._stopped:
            self._source.watch(
                self._revision, self._wait_ms, WATCH_GRACE_MS, self._watched
            )

    def _watched(self, page):
        if isinstance(page, FeedError):
            if page.history_gone:
                logger.info("history gone", extra={"feed": self._name})
                self._list(None)
            else:
                self._retry(page, self._watch)
            return
        self._heard()
        for change in page.changes:
            self._sink.apply(change)
        self._revision = max(self._revision, page.revision)
        self._watch()

    def _heard(self):
        self.heard_ms = self._clock.now_ms()
        self._failures = 0
        if self.lost:
            self.lost = False
            logger.info("store regained", extra={"feed": self._name})

    def _retry(self, error, function, *args):
        self._failures += 1
        if not self.lost:
            self.lost = True
            logger.warning(
                "store lost", extra={"feed": self._name, "reason": error.detail}
            )
        delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (self._failures - 1))
        self._clock.call_later(
            delay_ms * self._rng.uniform(0.7, 1.0), function, *args
        )
