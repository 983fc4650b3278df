"""Follows the objects of one kind in the platform's store.

A list gives all objects; watches then report the changes since its first page.
"""

import logging
import random

from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.state.store_era import UNKNOWN_ERA, Position, StoreEras

logger = logging.getLogger(__name__)

FIRST_RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
# Time after the end of its wait after which a watch is given up. A slow store still
# answers within this time.
WATCH_GRACE_MS = 600.0
# Minimum interval between watches. Each call is charged, so changes in quick succession
# are read together; changes must be followed within some seconds.
WATCH_INTERVAL_MS = 200.0
# Delay of the first watch after a first list. When all daemons start again together,
# each learns meanwhile that another one reads the store for all.
FIRST_WATCH_DELAY_MS = 1000.0
# Wait of the first watch from a known position, and of that after a failed call. It
# shows soon whether this daemon reaches the store, which others rely on from then on,
# and whether the store has come back older.
FIRST_WAIT_MS = 1.0

# Delay of the list of a new era for each unit of the retry factor beyond 1. The list of
# another daemon is relayed within this time.
ERA_LIST_STEP_MS = 150.0
# Delay of the next list after one that could not be applied because of a defect.
DEFECT_RETRY_MS = 5000.0
# Interval of checks that a feed makes progress, and what is added to the longest time
# of a call before the feed counts as stuck.
PROGRESS_CHECK_MS = 2000.0
STUCK_MARGIN_MS = 3000.0


class Change:
    """A listed, changed or removed object; ``revision`` is None if unknown."""

    __slots__ = ("name", "removed", "revision", "spec")

    def __init__(self, name, spec, removed=False, revision=None):
        self.name = name
        self.spec = spec
        self.removed = removed
        self.revision = revision


class Page:
    """A page of a list, or the changes reported by a watch, up to ``position``.

    ``continue_after`` is the name after which the next page of a list starts, or None.
    """

    __slots__ = ("changes", "continue_after", "position")

    def __init__(self, changes, revision, continue_after=None, era=UNKNOWN_ERA):
        self.changes = changes
        self.position = Position(era, revision)
        self.continue_after = continue_after


class FeedError:
    """Why there is no page.

    With ``history_gone`` the store no longer has the changes after the revision of the
    watch, so a new list must be read. With ``too_long`` the reply exceeded the limit of
    this daemon, or was long and did not arrive whole; that to a further watch from the
    same revision would be no shorter.
    """

    __slots__ = ("detail", "history_gone", "too_long")

    def __init__(self, detail, history_gone=False, too_long=False):
        self.detail = detail
        self.history_gone = history_gone
        self.too_long = too_long


class Feed:
    """Reads one kind of objects through a ``source`` and passes them to a ``sink``.

    The source has ``list_page(after, on_page)`` and ``watch(revision, wait_ms,
    grace_ms, on_page)``, where ``on_page`` takes a ``Page`` or a ``FeedError``. The
    sink has ``replace(changes, position)`` for a complete list,
    ``apply(changes, since, position)`` and the ``position`` of what it has. The feed
    lists again when the newest era in ``eras`` rises; the source has no pages of
    earlier ones from then on.

    A watch is given up after ``wait_ms`` plus ``WATCH_GRACE_MS``, since its connection
    may be broken without an error; then a new one is used. A paused feed ignores the
    result of a call that was in progress. ``active`` is False while the feed is paused,
    ``lost`` is True from a failed call to the next successful one, and ``confirmed``
    once a call has succeeded since the feed was resumed. ``on_lost()`` is called when
    ``lost`` becomes true. The delays after failed calls are multiplied by
    ``retry_factor``.

    After a watch whose reply is too long the feed lists, since the pages of a list are
    short. Until a watch succeeds, the delays before these lists grow as those after
    failed calls, and the store counts as lost only if a list fails as well: another
    daemon that took over would get no shorter replies.

    A defect in the sink does not end the feed: it is logged and counted. If a feed has
    neither made a call nor got a reply for too long, it starts again with a list.
    """

    __slots__ = (
        "_clock",
        "_eras",
        "_generation",
        "_kind",
        "_listed_changes",
        "_listed_position",
        "_metrics",
        "_position",
        "_progress_ms",
        "_retry_ms",
        "_rng",
        "_sink",
        "_source",
        "_wait_ms",
        "_watch_started_ms",
        "_watch_was_too_long",
        "active",
        "confirmed",
        "lost",
        "on_lost",
        "retry_factor",
    )

    def __init__(
        self, kind, clock, source, sink, wait_ms, rng=None, metrics=None, eras=None
    ):
        self._kind = kind
        self._clock = clock
        self._source = source
        self._sink = sink
        self._wait_ms = wait_ms
        self._rng = rng or random.Random()
        self._metrics = metrics or MetricsRegistry()
        self._eras = eras or StoreEras()
        self._eras.on_rise(self._on_era)
        # Clock time of the last call or reply, or at which the next call is due.
        self._progress_ms = 0.0
        self._position = None
        # Changes of the pages of a list so far, and the position of the first page.
        self._listed_changes = []
        self._listed_position = None
        self._retry_ms = FIRST_RETRY_MS
        self._watch_started_ms = 0.0
        # True from a watch whose reply was too long to the next one that succeeds.
        self._watch_was_too_long = False
        # Incremented by each pause and resume, to ignore results of earlier calls.
        self._generation = 0
        self.active = False
        self.confirmed = False
        self.lost = False
        self.on_lost = None
        self.retry_factor = 1.0

    def resume(self, position=None):
        """Watch from a known position, or start with a list if it is None.

        The feed also starts with a list if the position is of an earlier era.
        """
        self.active = True
        self.confirmed = False
        self.lost = False
        self._watch_was_too_long = False
        # Others have just failed if this feed is to call less often than they do.
        self._retry_ms = FIRST_RETRY_MS if self.retry_factor <= 1.0 else MAX_RETRY_MS
        self._begin_generation()
        if position is None or position.era < self._eras.newest:
            self._list(self._generation, None)
        else:
            self._position = position
            self._watch(self._generation)

    def _begin_generation(self):
        """Ignore the results of earlier calls from now on."""
        self._generation += 1
        self._listed_changes = []
        self._progress_ms = self._clock.now_ms()
        self._clock.call_later(
            PROGRESS_CHECK_MS, self._check_progress, self._generation
        )

    def _on_era(self):
        """List again, as the revisions known so far are given out again.

        After an outage many feeds of a failure domain are active. Those that call less
        often than others wait for the list of one that reads for all.
        """
        if not self.active:
            return
        self._begin_generation()
        delay_ms = ERA_LIST_STEP_MS * (self.retry_factor - 1.0)
        if delay_ms > 0.0:
            self._call_again(delay_ms, self._enter_era, self._generation)
        else:
            self._enter_era(self._generation)

    def _enter_era(self, generation):
        if generation != self._generation:
            return
        position = self._sink.position
        if position is not None and position.era == self._eras.newest:
            self._position = position
            self._watch(generation)
        else:
            self._list(generation, None)

    @property
    def reading(self):
        """Return whether the last call since the feed was resumed has succeeded."""
        return self.active and self.confirmed and not self.lost

    def pause(self):
        """Stop making calls."""
        self._generation += 1
        self.active = False

    def _check_progress(self, generation):
        """Start again if neither a call nor a reply has come for too long."""
        if generation != self._generation:
            return
        idle_ms = self._clock.now_ms() - self._progress_ms
        if idle_ms > self._wait_ms + WATCH_GRACE_MS + STUCK_MARGIN_MS:
            logger.error(
                "feed is stuck",
                extra={"feed": self._kind, "idle_ms": round(idle_ms)},
            )
            self._metrics.count("feed.stuck")
            self.resume()
            return
        self._clock.call_later(PROGRESS_CHECK_MS, self._check_progress, generation)

    def _hand_over(self, apply, *args):
        """Pass objects to the sink; return False after a defect in it."""
        try:
            apply(*args)
        except Exception:
            logger.exception("defect in applying objects", extra={"feed": self._kind})
            self._metrics.count("feed.defects")
            return False
        return True

    def _list(self, generation, after):
        if generation == self._generation:
            self._progress_ms = self._clock.now_ms()
            self._source.list_page(after, lambda page: self._on_page(generation, page))

    def _on_page(self, generation, page):
        if generation != self._generation:
            return
        self._progress_ms = self._clock.now_ms()
        if isinstance(page, FeedError):
            self._listed_changes = []
            self._retry(page, self._list, generation, None)
            return
        self._note_success()
        is_first = self._position is None
        if not self._listed_changes:
            self._listed_position = page.position
        self._listed_changes.extend(page.changes)
        if page.continue_after is not None:
            self._list(generation, page.continue_after)
            return
        changes, self._listed_changes = self._listed_changes, []
        # Objects of earlier pages may have changed while later ones were read, so the
        # watch starts at the first page; changes that are known already are repeated.
        self._position = self._listed_position
        if not self._hand_over(self._sink.replace, changes, self._position):
            self._call_again(DEFECT_RETRY_MS, self._list, generation, None)
            return
        delay_ms = FIRST_WATCH_DELAY_MS if is_first else WATCH_INTERVAL_MS
        self._clock.call_later(delay_ms, self._watch, generation)

    def _watch(self, generation):
        if generation == self._generation:
            self._watch_started_ms = self._progress_ms = self._clock.now_ms()
            is_in_touch = self.confirmed and not self.lost
            self._source.watch(
                self._position.revision,
                self._wait_ms if is_in_touch else FIRST_WAIT_MS,
                WATCH_GRACE_MS,
                lambda page: self._on_changes(generation, page),
            )

    def _on_changes(self, generation, page):
        if generation != self._generation:
            return
        self._progress_ms = self._clock.now_ms()
        if isinstance(page, FeedError):
            if page.history_gone:
                logger.info("history gone", extra={"feed": self._kind})
                self._list(generation, None)
            elif page.too_long:
                logger.info(
                    "listing instead of watching",
                    extra={"feed": self._kind, "reason": page.detail},
                )
                if not self._watch_was_too_long:
                    self._note_failure(page)
                self._watch_was_too_long = True
                self._call_after_failure(self._list, generation, None)
            else:
                self._retry(page, self._watch, generation)
            return
        self._watch_was_too_long = False
        self._note_success()
        since = self._position
        if page.position.era > since.era:
            # The first answer that states an era; those before stated none.
            self._list(generation, None)
            return
        self._position = max(since, page.position)
        self._hand_over(self._sink.apply, page.changes, since, self._position)
        waited_ms = self._clock.now_ms() - self._watch_started_ms
        delay_ms = WATCH_INTERVAL_MS - waited_ms
        self._clock.call_later(delay_ms, self._watch, generation)

    def _note_success(self):
        if not self._watch_was_too_long:
            self._retry_ms = FIRST_RETRY_MS
        self.confirmed = True
        if self.lost:
            self.lost = False
            logger.info("store regained", extra={"feed": self._kind})

    def _retry(self, error, function, *args):
        self._note_failure(error)
        self._call_after_failure(function, *args)

    def _note_failure(self, error):
        if not self.lost:
            self.lost = True
            logger.warning(
                "store lost", extra={"feed": self._kind, "reason": error.detail}
            )
            if self.on_lost is not None:
                self.on_lost()

    def _call_after_failure(self, function, *args):
        delay_ms = self._retry_ms * self.retry_factor * self._rng.uniform(0.7, 1.0)
        self._retry_ms = min(MAX_RETRY_MS, 2 * self._retry_ms)
        self._call_again(delay_ms, function, *args)

    def _call_again(self, delay_ms, function, *args):
        self._progress_ms = self._clock.now_ms() + delay_ms
        self._clock.call_later(delay_ms, function, *args)
