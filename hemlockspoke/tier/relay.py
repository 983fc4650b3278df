"""Shares what one daemon reads from the store with the others of its domain.

Each call to the store is paid for, and a waiting watch is a call. In each failure
domain the reachable daemon with the lowest name reads; the others take its news and
read for themselves as soon as it falls silent or loses the store.
"""

import logging

from hemlockspoke.messages import StoreContact, StoreNews, StoreNewsWanted
from hemlockspoke.tier.feed import Change

logger = logging.getLogger(__name__)

CONTACT_MS = 300.0
# Three missed heartbeats: one may be lost in a moment of high load.
CONTACT_TIMEOUT_MS = 1000.0


class FollowedKind:
    """One kind of objects: what is known, from where, and for whom.

    Changes reach ``sink`` in the order of the store's revisions, whether this
    daemon or another one has read them.
    """

    __slots__ = (
        "_clock",
        "_sink",
        "confirmed_ms",
        "feed",
        "kind",
        "objects",
        "revision",
    )

    def __init__(self, kind, clock, sink):
        self.kind = kind
        self._clock = clock
        self._sink = sink
        self.feed = None
        self.objects = {}
        self.revision = None
        self.confirmed_ms = None

    def replace(self, changes, revision, age_ms=0.0):
        """Take a complete list."""
        if self.revision is not None and revision < self.revision:
            return False
        self.objects = {change.name: change.spec for change in changes}
        self._confirm(revision, age_ms)
        self._sink.replace(changes)
        return True

    def apply(self, changes, revision, age_ms=0.0):
        """Take the changes that lead to a revision."""
        for change in changes:
            if change.removed:
                self.objects.pop(change.name, None)
            else:
                self.objects[change.name] = change.spec
        self._confirm(revision, age_ms)
        for change in changes:
            self._sink.apply(change)

    def _confirm(self, revision, age_ms):
        self.revision = revision
        confirmed_ms = self._clock.now_ms() - age_ms
        self.confirmed_ms = max(self.confirmed_ms or confirmed_ms, confirmed_ms)

    def confirm(self, revision, age_ms):
        """Take that the store had nothing newer than ``revision`` a while ago."""
        if self.revision is not None and revision >= self.revision:
            self._confirm(self.revision, age_ms)

    def age_ms(self):
        """Return how long ago the store confirmed the revision."""
        if self.confirmed_ms is None:
            return float("inf")
        return self._clock.now_ms() - self.confirmed_ms


class RelayedSink:
    """Takes what a feed reads, and passes it on to the daemons of the domain."""

    __slots__ = ("_followed", "_relay")

    def __init__(self, followed, relay):
        self._followed = followed
        self._relay = relay

    def replace(self, changes, revision):
        """Take a complete list."""
        if self._followed.replace(changes, revision):
            self._relay.read(self._followed, changes, 0, revision, complete=True)

    def apply(self, changes, since, revision):
        """Take changes that a watch reports."""
        followed = self._followed
        if revision <= followed.revision:
            followed.confirm(revision, 0.0)
            return
        followed.apply(changes, revision)
        self._relay.read(followed, changes, since, revision, complete=False)


class _PeerContact:
    """The last heartbeat of a daemon."""

    __slots__ = ("heard_ms", "kinds", "leaving")

    def __init__(self, heard_ms, kinds, leaving):
        self.heard_ms = heard_ms
        self.kinds = kinds
        self.leaving = leaving


class Relay:
    """Decides for each kind whether this daemon reads, and passes news on."""

    __slots__ = (
        "_clock",
        "_contacts",
        "_domain_peers",
        "_due_ms",
        "_hold_until_ms",
        "_kinds",
        "_max_age_ms",
        "_send",
        "_stopped",
        "_vm",
        "leaving",
    )

    def __init__(self, clock, vm, send, domain_peers, max_age_ms):
        self._clock = clock
        self._vm = vm
        self._send = send
        self._domain_peers = domain_peers
        self._max_age_ms = max_age_ms
        self._kinds = {}
        self._contacts = {}
        self._stopped = False
        self._hold_until_ms = 0.0
        self._due_ms = 0.0
        self.leaving = False

    def follow(self, followed, feed):
        """Follow a kind, by a feed of this daemon's own at first."""
        followed.feed = feed
        self._kinds[followed.kind] = followed

    def start(self, hold_ms=0.0):
        """Read, and send heartbeats from now on.

        Where all daemons start together, ``hold_ms`` gives those with other names
        than the lowest time to hear from the one that reads.
        """
        self._hold_until_ms = self._clock.now_ms() + hold_ms
        self._due_ms = self._clock.now_ms()
        self._tick()

    def lead(self):
        """Read at once: no daemon of the failure domain has a lower name."""
        self._hold_until_ms = 0.0
        for followed in self._kinds.values():
            self._choose_reader(followed)

    def stop(self):
        """Read no more, and send no more heartbeats."""
        self._stopped = True
        for followed in self._kinds.values():
            followed.feed.pause()

    def age_ms(self):
        """Return how long ago the store confirmed the oldest of what is known."""
        return max((f.age_ms() for f in self._kinds.values()), default=float("inf"))

    def _tick(self):
        if self._stopped:
            return
        self._forgive_pause()
        contact = self._contact()
        for vm in self._domain_peers():
            self._send(vm, contact)
        for followed in self._kinds.values():
            self._choose_reader(followed)
        self._due_ms = self._clock.now_ms() + CONTACT_MS
        self._clock.call_later(CONTACT_MS, self._tick)

    def _forgive_pause(self):
        """Take no daemon for silent because this process did not run.

        Heartbeats that arrived meanwhile are read after the timers that are due.
        """
        late_ms = self._clock.now_ms() - self._due_ms
        if late_ms > CONTACT_MS:
            for contact in self._contacts.values():
                contact.heard_ms += late_ms

    def _contact(self):
        kinds = [
            [
                followed.kind,
                followed.revision,
                round(followed.age_ms()),
                followed.feed.active and not followed.feed.lost,
            ]
            for followed in self._kinds.values()
            if followed.revision is not None
        ]
        return StoreContact(kinds=kinds, leaving=self.leaving)

    def reader_of(self, kind):
        """Return the daemon whose news of a kind can be relied on, or None."""
        now_ms = self._clock.now_ms()
        for vm in sorted(self._domain_peers()):
            contact = self._contacts.get(vm)
            if vm >= self._vm and not self.leaving:
                return None
            if contact is None or contact.leaving:
                continue
            silence_ms = now_ms - contact.heard_ms
            for name, _, age_ms, reads in contact.kinds:
                fresh = age_ms + silence_ms < self._max_age_ms
                if name == kind and reads and fresh and silence_ms < CONTACT_TIMEOUT_MS:
                    return vm
        return None

    def _choose_reader(self, followed):
        """Read if nobody else does so for this daemon."""
        reader = self.reader_of(followed.kind)
        feed = followed.feed
        held = self._clock.now_ms() < self._hold_until_ms
        if reader is None and not feed.active and not held:
            known = followed.revision is not None
            logger.info(
                "reading the store",
                extra={
                    "kind": followed.kind,
                    "age_ms": round(followed.age_ms()) if known else None,
                },
            )
            feed.resume(followed.revision)
        elif reader is not None and feed.active and followed.revision is not None:
            logger.info(
                "taking news of a peer", extra={"kind": followed.kind, "peer": reader}
            )
            feed.pause()

    def read(self, followed, changes, since, revision, complete):
        """Pass on what this daemon has read itself."""
        if not changes and not complete:
            return
        news = news_of(followed.kind, changes, since, revision, complete)
        for vm in self._domain_peers():
            self._send(vm, news)

    def receive(self, vm, message):
        """Take a message of another daemon."""
        if isinstance(message, StoreContact):
            self._contacts[vm] = _PeerContact(
                self._clock.now_ms(), message.kinds, message.leaving
            )
            for kind, revision, age_ms, reads in message.kinds:
                self._take_contact(vm, kind, revision, age_ms, reads)
        elif isinstance(message, StoreNews):
            self._take_news(vm, message)
        elif isinstance(message, StoreNewsWanted):
            self._send_all(vm, message.kind)

    def _take_contact(self, vm, kind, revision, age_ms, reads):
        followed = self._kinds.get(kind)
        if followed is None or not reads:
            return
        if followed.revision is None or revision > followed.revision:
            # The news of this revision was sent before the stream was open.
            self._send(vm, StoreNewsWanted(kind=kind))
        else:
            followed.confirm(revision, age_ms)

    def _take_news(self, vm, message):
        followed = self._kinds.get(message.kind)
        if followed is None:
            return
        known = followed.revision
        if known is not None and message.revision <= known:
            return
        changes = [Change(name, spec, gone) for name, gone, spec in message.changes]
        if message.complete:
            followed.replace(changes, message.revision, message.age_ms)
        elif known is not None and message.since <= known:
            followed.apply(changes, message.revision, message.age_ms)
        else:
            self._send(vm, StoreNewsWanted(kind=message.kind))

    def _send_all(self, vm, kind):
        followed = self._kinds.get(kind)
        if followed is None or followed.revision is None:
            return
        changes = [Change(name, spec) for name, spec in followed.objects.items()]
        news = news_of(kind, changes, 0, followed.revision, True, followed.age_ms())
        self._send(vm, news)

    def peer_lost(self, vm):
        """Forget what a daemon said: its stream has ended."""
        if self._contacts.pop(vm, None) is not None:
            for followed in self._kinds.values():
                self._choose_reader(followed)

    def peer_leaving(self, vm):
        """Return whether a daemon is about to stop."""
        contact = self._contacts.get(vm)
        return contact is not None and contact.leaving


def news_of(kind, changes, since, revision, complete, age_ms=0.0):
    """Return the message that reports changes."""
    return StoreNews(
        kind=kind,
        since=since,
        revision=revision,
        changes=[[change.name, change.removed, change.spec] for change in changes],
        complete=complete,
        age_ms=round(age_ms),
    )
