"""Registers this daemon and finds the others."""

import logging
import random

from hemlockspoke.tier.fellows import decode_fellow

logger = logging.getLogger(__name__)

REGISTER_RETRY_MS = 1000.0
# All daemons of a system start within a fraction of a second of each other.
FIRST_START_READ_MS = 500.0
RESTART_READ_MS = 20.0
# A stale list costs a tenth of a call; a daemon that joins is found within this time.
READ_MS = 10_000.0
# A registration is renewed this often, so that those of VMs that are gone can be
# told from the others in spite of clocks that differ by some seconds.
RENEW_MS = 120_000.0
EXPIRY_MS = 600_000.0
# Streams of several new daemons together lead to one reading.
READ_SOON_MS = 100.0


class Written:
    """What became of a write: ``spec`` and ``revision`` of the object, if known.

    ``conflict`` tells that the object was there already, or has changed.
    """

    __slots__ = ("conflict", "revision", "spec", "succeeded")

    def __init__(self, succeeded, conflict=False, revision=None, spec=None):
        self.succeeded = succeeded
        self.conflict = conflict
        self.revision = revision
        self.spec = spec


class Members:
    """Keeps the registration of this daemon and reads those of all.

    ``registrations`` has ``write(vm, spec, revision, done)``, where ``done`` takes
    a ``Written``, and ``read(stale, done)``, where ``done`` takes a list of
    changes, or None without an answer. ``found`` takes the other daemons.
    """

    __slots__ = (
        "_clock",
        "_found",
        "_registrations",
        "_rng",
        "_settings",
        "_timer",
    )

    def __init__(self, clock, settings, registrations, found, rng=None):
        self._clock = clock
        self._settings = settings
        self._registrations = registrations
        self._found = found
        self._rng = rng or random.Random()
        self._timer = None

    def start(self):
        """Register, and read the list from now on."""
        self._register(None)
        first = self._settings.first_start
        delay_ms = FIRST_START_READ_MS if first else RESTART_READ_MS
        self._timer = self._clock.call_later(delay_ms, self._read, False)

    def read_soon(self):
        """Read the list before its time: a daemon that is not known has called."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._clock.call_later(READ_SOON_MS, self._read, False)

    def _register(self, revision):
        settings = self._settings
        spec = {
            "failure_domain": settings.failure_domain,
            "peer_address": str(settings.peer_address),
            "renewed_ms": self._clock.wall_ms(),
        }
        self._registrations.write(settings.vm, spec, revision, self._written)

    def _written(self, written):
        if written.conflict and written.revision is not None:
            # An earlier process of this VM has left its registration, or a call
            # without an answer has been executed.
            spec = written.spec if isinstance(written.spec, dict) else {}
            if spec.get("peer_address") != str(self._settings.peer_address):
                self._register(written.revision)
                return
        if written.succeeded or written.conflict:
            self._clock.call_later(RENEW_MS, self._register, written.revision)
            return
        self._clock.call_later(REGISTER_RETRY_MS, self._register, None)

    def _read(self, stale):
        self._timer = None
        self._registrations.read(stale, self._listed)

    def _listed(self, changes):
        if changes is not None:
            self._found(self._decode(changes))
        delay_ms = READ_MS * self._rng.uniform(0.8, 1.2)
        self._timer = self._clock.call_later(delay_ms, self._read, True)

    def _decode(self, changes):
        fellows = []
        now_ms = self._clock.wall_ms()
        for change in changes:
            fellow = decode_fellow(change.name, change.spec)
            if fellow is None or fellow.vm == self._settings.vm:
                continue
            renewed_ms = change.spec.get("renewed_ms")
            if isinstance(renewed_ms, int) and now_ms - renewed_ms > EXPIRY_MS:
                continue
            fellows.append(fellow)
        return fellows
