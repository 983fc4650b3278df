"""Follows the objects of one kind: a list first, then changes from its revision."""

import logging
import random

logger = logging.getLogger(__name__)

FIRST_RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
# How much longer than its wait a watch is given before it counts as silent. A store
# that answers slowly still answers within this time.
WATCH_GRACE_MS = 600.0
# Each call is paid for, so changes that follow each other closely are read together.
# Changes must be followed within some seconds.
WATCH_INTERVAL_MS = 200.0


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
    has ``replace(changes, revision)`` for a complete list and
    ``apply(changes, since, revision)``.

    A watch is never trusted for longer than ``wait_ms`` and a grace: a connection
    may have gone silent, and then a new one is used. A paused feed ignores what its
    last call still brings.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_failures",
        "_name",
        "_pages",
        "_revision",
        "_rng",
        "_sink",
        "_source",
        "_wait_ms",
        "_watched_ms",
        "active",
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
        self._watched_ms = 0.0
        # Tells answers to calls made before a pause from those made after it.
        self._epoch = 0
        self.active = False
        self.lost = False

    def resume(self, revision=None):
        """Read from a known revision on, or begin with a list."""
        self._epoch += 1
        self.active = True
        self.lost = False
        self._failures = 0
        self._pages = []
        if revision is None:
            self._list(self._epoch, None)
        else:
            self._revision = revision
            self._watch(self._epoch)

    def pause(self):
        """Make no more calls."""
        self._epoch += 1
        self.active = False

    def _list(self, epoch, after):
        if epoch == self._epoch:
            self._source.list_page(after, lambda page: self._listed(epoch, page))

    def _listed(self, epoch, page):
        if epoch != self._epoch:
            return
        if isinstance(page, FeedError):
            self._pages = []
            self._retry(page, self._list, epoch, None)
            return
        self._heard()
        self._pages.extend(page.changes)
        if page.continue_after is not None:
            self._list(epoch, page.continue_after)
            return
        changes, self._pages = self._pages, []
        self._revision = page.revision
        self._sink.replace(changes, page.revision)
        self._watch(epoch)

    def _watch(self, epoch):
        if epoch == self._epoch:
            self._watched_ms = self._clock.now_ms()
            self._source.watch(
                self._revision,
                self._wait_ms,
                WATCH_GRACE_MS,
                lambda page: self._watched(epoch, page),
            )

    def _watched(self, epoch, page):
        if epoch != self._epoch:
            return
        if isinstance(page, FeedError):
            if page.history_gone:
                logger.info("history gone", extra={"feed": self._name})
                self._list(epoch, None)
            else:
                self._retry(page, self._watch, epoch)
            return
        self._heard()
        since = self._revision
        self._revision = max(since, page.revision)
        self._sink.apply(page.changes, since, self._revision)
        waited_ms = self._clock.now_ms() - self._watched_ms
        delay_ms = WATCH_INTERVAL_MS - waited_ms
        self._clock.call_later(delay_ms, self._watch, epoch)

    def _heard(self):
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
        self._clock.call_later(delay_ms * self._rng.uniform(0.7, 1.0), function, *args)
