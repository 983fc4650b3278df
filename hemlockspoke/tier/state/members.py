"""Registers this daemon, and reads the registrations of the others."""

import logging
import random

from hemlockspoke.tier.state.clock_check import clock_differs
from hemlockspoke.tier.state.own_registration import (
    EXPIRY_MS,
    RENEW_INTERVAL_MS,
    OwnRegistration,
    may_use_start_tokens,
)
from hemlockspoke.tier.state.peer_directory import decode_peer, wall_time_ms
from hemlockspoke.tier.state.store_era import RETENTION_MS, StoreEras

logger = logging.getLogger(__name__)

REGISTER_RETRY_MS = 1000.0
# At the first start all daemons register within a fraction of a second, so a list that
# is read after this time has them all.
FIRST_START_READ_DELAY_MS = 500.0
RESTART_READ_DELAY_MS = 20.0
# Interval of reads, and the time within which a new daemon is found. The reads may be
# stale, as the store charges only a tenth of a call for those.
READ_INTERVAL_MS = 10_000.0
# Interval of reads that fail until the first one succeeds. Without the list a daemon
# knows neither its peers nor its shares of the limits.
FIRST_READ_RETRY_MS = 1000.0
# Delay of a read after a stream from an unknown daemon has opened, so that streams of
# several new daemons cause a single read.
EARLY_READ_DELAY_MS = 100.0
# Daemons read the list and write their registrations again within this time after they
# have seen a new era of the store, so that its rates bear it at hundreds of daemons.
ERA_SPREAD_MS = 2000.0


class WriteResult:
    """The result of a write: ``spec`` and ``revision`` of the object, if known.

    ``conflict`` is True if the object already existed or has changed.
    """

    __slots__ = ("conflict", "revision", "spec", "succeeded")

    def __init__(self, succeeded, conflict=False, revision=None, spec=None):
        self.succeeded = succeeded
        self.conflict = conflict
        self.revision = revision
        self.spec = spec


class Membership:
    """Keeps the registration of this daemon, and reads those of all daemons.

    ``registrations`` has ``write(vm, spec, revision, on_written)``, where
    ``on_written`` takes a ``WriteResult``, and ``read(stale, on_read)``, where
    ``on_read`` takes a list of changes, or None if the read failed. ``on_members``
    takes the list of the other daemons as ``Peer`` objects. ``was_registered`` is
    whether the last list had this daemon in its failure domain, and its times fit the
    wall clock. ``claim_start`` is for a process that wants to use start tokens of
    quotas.

    When the era in ``eras`` rises, each daemon writes its registration again if the
    store has lost it. For ``RETENTION_MS`` registrations that a list lacks, or has in
    an older form, count as this daemon has known them, so that shares of limits do not
    grow for a moment.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_eras",
        "_first_spec",
        "_known_changes",
        "_listed",
        "_may_be_lost",
        "_on_members",
        "_own",
        "_read_again",
        "_register_timer",
        "_registering",
        "_registrations",
        "_retain_until_ms",
        "_revision",
        "_rng",
        "_settings",
        "_stopped",
        "_timer",
        "_writing",
        "was_registered",
    )

    def __init__(self, clock, settings, registrations, on_members, rng=None, eras=None):
        self._clock = clock
        self._settings = settings
        self._registrations = registrations
        self._on_members = on_members
        self._rng = rng or random.Random()
        self._timer = None
        self._register_timer = None
        self._stopped = False
        self._read_again = False
        # Whether a list has been read, and whether the registration is kept up to date.
        self._listed = False
        self._registering = False
        self._writing = False
        self.was_registered = False
        self._eras = eras or StoreEras()
        self._eras.on_rise(self._on_era)
        # What is known of each daemon while it may be missing from the lists.
        self._known_changes = {}
        self._retain_until_ms = 0.0
        # Whether the store may have lost this VM's object.
        self._may_be_lost = False
        self._own = OwnRegistration(clock, settings, self._eras)
        # The revision of this VM's object, if known, and what the first list that was
        # read had of it.
        self._revision = None
        self._first_spec = {}
        # The call to make once a start that uses start tokens is in the store.
        self._claim = None

    def start(self):
        """Register, and start reading the list periodically.

        After a restart the list is read first. It mostly has the registration of the
        VM's earlier process, which is the same, and then nothing is written.
        """
        first_start = self._settings.first_start
        if first_start:
            self._register(None)
        delay_ms = FIRST_START_READ_DELAY_MS if first_start else RESTART_READ_DELAY_MS
        self._timer = self._clock.call_later(delay_ms, self._read_list, not first_start)

    def stop(self):
        """Make no further calls; the result of one in progress is ignored."""
        self._stopped = True
        for timer in (self._timer, self._register_timer):
            if timer is not None:
                timer.cancel()

    def read_soon(self):
        """Read the list early, as an unknown daemon has connected.

        A list that is being read may lack it, so another one follows.
        """
        if self._stopped:
            return
        self._read_again = self._timer is None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._clock.call_later(
                EARLY_READ_DELAY_MS, self._read_list, False
            )

    def _on_era(self):
        """Read the list soon, and write the registration again if it is lost."""
        if self._stopped:
            return
        self._retain_until_ms = self._clock.now_ms() + RETENTION_MS
        self._may_be_lost = True
        # The registration of before may lack a claim that was written after the copy.
        self._first_spec = {}
        if self._timer is None:
            # A list is being read, or none was read yet.
            self._read_again = True
            return
        self._timer.cancel()
        delay_ms = self._rng.uniform(0.0, ERA_SPREAD_MS)
        self._timer = self._clock.call_later(delay_ms, self._read_list, False)

    def registered_ms(self):
        """Return when this daemon was first registered, or would be now."""
        return self._own.next_spec()["registered_ms"]

    def claim_start(self, hold_ms, on_claimed):
        """Write that this process uses start tokens, and call ``on_claimed`` after it.

        It is called with the time at which the write began, if the store confirms the
        write and no process of this VM has used start tokens within ``hold_ms``.
        """
        wall_ms = self._clock.wall_ms()
        if self._stopped or not may_use_start_tokens(
            self._first_spec, hold_ms, wall_ms
        ):
            return
        self._claim = on_claimed
        if not self._writing:
            self._register(self._revision)

    def _register(self, revision):
        if self._register_timer is not None:
            self._register_timer.cancel()
            self._register_timer = None
        self._registering = self._writing = True
        on_claimed = None
        if revision is not None:
            # A write without a revision could replace nothing, and tells nothing.
            on_claimed, self._claim = self._claim, None
        spec = self._own.next_spec(starts=on_claimed is not None)
        asked_ms = self._clock.now_ms()

        def on_written(result):
            self._writing = False
            if self._stopped:
                return
            if result.succeeded:
                self._own.adopt(spec)
                if on_claimed is not None:
                    on_claimed(asked_ms)
                if not self._own.is_of_newest_era(spec):
                    # The first answer of the store has stated its era.
                    self._register(result.revision)
                    return
            self._on_written(result)

        self._registrations.write(self._settings.vm, spec, revision, on_written)

    def _on_written(self, result):
        if result.conflict and result.revision is not None:
            # An earlier process of this VM left its registration, or an earlier call
            # was executed although its response was lost.
            self._claim, self._first_spec = None, {}
            spec = result.spec if isinstance(result.spec, dict) else {}
            if self._own.is_lost(spec):
                self._register(result.revision)
                return
            self._own.adopt(spec)
            if not self._own.is_current(spec):
                self._register(result.revision)
                return
        if result.succeeded or result.conflict:
            self._revision = result.revision
            if self._claim is not None and result.revision is not None:
                self._register(result.revision)
                return
            self._register_later(RENEW_INTERVAL_MS, result.revision)
            return
        self._claim = None
        self._register_later(REGISTER_RETRY_MS, None)

    def _register_later(self, delay_ms, revision):
        self._register_timer = self._clock.call_later(
            delay_ms, self._register, revision
        )

    def _read_list(self, stale):
        self._timer = None
        self._registrations.read(stale, lambda changes: self._on_list(changes, stale))

    def _on_list(self, changes, stale):
        if self._stopped:
            return
        if changes is not None:
            self._listed = True
            self._apply(changes, stale)
        is_urgent = self._may_be_lost or not self._listed
        delay_ms = FIRST_READ_RETRY_MS if is_urgent else READ_INTERVAL_MS
        delay_ms *= self._rng.uniform(0.8, 1.2)
        self._timer = self._clock.call_later(
            delay_ms, self._read_list, not self._may_be_lost
        )
        if self._read_again:
            self.read_soon()

    def _apply(self, changes, stale):
        """Apply a list; a defect must not end the reads."""
        try:
            own = [change for change in changes if change.name == self._settings.vm]
            spec = own[0].spec if own and isinstance(own[0].spec, dict) else {}
            is_fresh = not stale and not self._writing
            if not self._registering:
                self._revision = own[0].revision if own else None
                is_usable = self._own.is_valid(spec)
                is_usable = is_usable and self._own.is_of_newest_era(spec)
                self._first_spec = spec if is_usable else {}
                self._own.adopt(spec)
            elif self._may_be_lost and is_fresh and self._own.is_lost(spec):
                self._register(own[0].revision if own else None)
            if is_fresh:
                self._may_be_lost = False
            changes = self._retain(changes)
            peers = self._decode(changes)
            known_own = self._known_changes.get(self._settings.vm)
            self.was_registered = (
                known_own is not None
                and self._own.is_valid(known_own.spec or {})
                and any(peer.vm == self._settings.vm for peer in peers)
                and not self._clock_differs(changes)
            )
            self._on_members([peer for peer in peers if peer.vm != self._settings.vm])
            if not self._registering:
                self._renew(spec)
        except Exception:
            logger.exception("defect in applying the list of daemons")

    def _retain(self, changes):
        """Return the list, with what a store that came back older has lost."""
        listed = {change.name: change for change in changes}
        if self._clock.now_ms() < self._retain_until_ms:
            for name, known in self._known_changes.items():
                if name not in listed or is_renewed_later(known, listed[name]):
                    listed[name] = known
        self._known_changes = listed
        return list(listed.values())

    def _clock_differs(self, changes):
        """Return whether this daemon can't tell which registrations are valid."""
        renewed_times_ms = [
            change.spec.get("renewed_ms")
            for change in changes
            if change.name != self._settings.vm and isinstance(change.spec, dict)
        ]
        return clock_differs(renewed_times_ms, self._clock.wall_ms())

    def _renew(self, spec):
        """Keep the registration that a list has of this VM, or write a new one."""
        if self._own.is_current(spec):
            self._registering = True
            self._register_later(RENEW_INTERVAL_MS, self._revision)
        else:
            self._register(self._revision)

    def _decode(self, changes):
        peers = []
        now_ms = self._clock.wall_ms()
        for change in changes:
            peer = decode_peer(change.name, change.spec)
            if peer is None:
                continue
            renewed_ms = change.spec.get("renewed_ms")
            if isinstance(renewed_ms, int) and now_ms - renewed_ms > EXPIRY_MS:
                continue
            peers.append(peer)
        return peers


def is_renewed_later(change, other):
    """Return whether a registration was renewed later than another one of its VM."""
    renewed_ms, other_ms = (
        wall_time_ms(item.spec.get("renewed_ms")) if item.spec else None
        for item in (change, other)
    )
    return renewed_ms is not None and (other_ms is None or renewed_ms > other_ms)
