"""Suspends all shares until the store confirms that they are still held."""

import logging

from twisted.internet.defer import Deferred, inlineCallbacks

from hemlockspoke.members.membership import (
    REGISTRATION_PREFIX,
    registration_incarnation,
)

logger = logging.getLogger(__name__)

RETRY_DELAY_MS = 250
MAX_RETRY_DELAY_MS = 2000


class ShareConfirmation:
    """Decides whether this process may use the shares that it believes it has.

    During a pause of the process its VM may have been replaced and its shares
    taken over by other VMs. The shares may be used again once reads made after the
    pause have shown that the registration still names this incarnation and that
    the VM is still listed, and have returned the current share objects.

    ``confirmed`` is false while no share may be used, ``superseded`` true once none
    may ever be used again.
    """

    __slots__ = (
        "_attempt",
        "_delay_ms",
        "_manager",
        "_membership",
        "_stopped",
        "_timer",
        "confirmed",
        "superseded",
    )

    def __init__(self, manager, membership):
        self._manager = manager
        self._membership = membership
        self._attempt = 0
        self._delay_ms = RETRY_DELAY_MS
        self._stopped = False
        self.superseded = False
        self._timer = None
        self.confirmed = True

    def stop(self):
        """Stop all attempts to confirm shares and to mark the registration."""
        self._stopped = True
        self._cancel()

    def _cancel(self):
        """Invalidate the current attempt to confirm."""
        self._attempt += 1
        if self._timer is not None:
            self._timer.cancel()

    def suspend(self):
        """Suspend all shares and begin to confirm them."""
        self.confirmed = False
        self._manager.reapply()
        if not self.superseded:
            self._delay_ms = RETRY_DELAY_MS
            self._start_attempt()

    def supersede(self):
        """Suspend all shares permanently: a later incarnation has registered."""
        if self.superseded:
            return
        logger.error("another incarnation has registered for this VM")
        self._cancel()
        self.superseded = True
        self.confirmed = False
        self._manager.reapply()

    def _start_attempt(self):
        self._cancel()
        self._timer = None
        running = self._confirm(self._attempt)
        running.addErrback(self._report_exception)

    @inlineCallbacks
    def _confirm(self, attempt):
        """Read the registration, the VM list and the share objects.

        A later pause invalidates the attempt.
        """
        if not (yield self._is_registered(attempt)):
            return self._retry(attempt)
        if not (yield self._is_listed()):
            return self._retry(attempt)
        for group_manager in self._manager.groups_with_shares():
            if not (yield group_manager.read()):
                return self._retry(attempt)
        self._manager.check_pause()
        if attempt == self._attempt and not self.superseded:
            self.confirmed = True
            self._manager.reapply()
        return None

    @inlineCallbacks
    def _is_registered(self, attempt):
        vm, incarnation = self._manager.me
        result = yield self._manager.store.get(REGISTRATION_PREFIX + vm)
        if result.is_error() or attempt != self._attempt:
            return False
        registered = registration_incarnation(result.ok)
        if registered != incarnation:
            self.supersede()
            return False
        return True

    @inlineCallbacks
    def _is_listed(self):
        """Read the platform's VM list; fires with whether it contains this VM.

        A VM that was removed while it was paused keeps its registration until
        another process registers under its name, which may never happen.
        """
        result = yield self._manager.store.list_vms()
        if result.is_error():
            return False
        vm, incarnation = self._manager.me
        listed = any(item.vm == vm for item in result.ok.vms)
        return listed and not self._membership.is_gone(vm, incarnation)

    def _retry(self, attempt):
        if attempt != self._attempt or self.superseded:
            return
        delay_ms = self._delay_ms * self._manager.rng.uniform(0.5, 1.5)
        self._delay_ms = min(MAX_RETRY_DELAY_MS, self._delay_ms * 2)
        self._timer = self._manager.clock.call_later(delay_ms, self._start_attempt)

    def _report_exception(self, failure):
        detail = failure.getTraceback()
        self._manager.invariants.check("share-confirmation-handled", False, detail)

    def mark_leaving(self):
        """Mark in the registration that this process is about to exit.

        Retried until it succeeds: without the mark, other daemons would still
        treat this VM as a desired holder and hand shares back to it.
        """
        return self._mark("leaving")

    def retire(self):
        """Stop using shares permanently and mark that in the registration.

        A daemon that has not yet read the mark ``leaving`` may still hand shares
        to this one. The mark ``stopped`` lets others replace them although the VM
        is still listed.
        """
        self._cancel()
        self.superseded = True
        self.confirmed = False
        self._manager.reapply()
        return self._mark("stopped")

    @inlineCallbacks
    def _mark(self, field):
        while not self._stopped:
            if (yield self._write_mark(field)):
                return
            yield self._sleep(RETRY_DELAY_MS)

    @inlineCallbacks
    def _write_mark(self, field):
        vm, incarnation = self._manager.me
        if incarnation is None:
            return True
        key = REGISTRATION_PREFIX + vm
        read = yield self._manager.store.get(key)
        if read.is_error():
            return False
        stored = read.ok
        if registration_incarnation(stored) != incarnation:
            self.supersede()
            return True
        if stored.value.get(field):
            # An earlier write was applied, but its reply was lost.
            self._manager.configuration.adopt(key, stored.version, stored.value)
            return True
        value = {**stored.value, "incarnation": incarnation, field: True}
        value["writer"] = self._manager.next_writer()
        result = yield self._manager.store.put(key, value, if_version=stored.version)
        if result.is_ok():
            self._manager.configuration.adopt(key, result.ok, value)
        return result.is_ok()

    def _sleep(self, delay_ms):
        waiting = Deferred()
        self._manager.clock.call_later(delay_ms, waiting.callback, None)
        return waiting
