"""Suspends all shares until the store confirms that they are still held."""

import logging

from twisted.internet.defer import Deferred, inlineCallbacks

from hemlockspoke.members.membership import (
    REGISTRATION_PREFIX,
    registration_incarnation,
)

logger = logging.getLogger(__name__)

RETRY_MS = 250
RETRY_LIMIT_MS = 2000


class ShareConfirmation:
    """Whether this process may use the shares that it believes it has.

    After a pause its VM may have been replaced and its shares taken by others.
    They count again once the store has shown, after the pause, that the
    registration still names this incarnation, that the VM is still listed, and
    what the share objects are now.
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
        self._delay_ms = RETRY_MS
        self._stopped = False
        self.superseded = False
        self._timer = None
        self.confirmed = True

    def stop(self):
        """Stop trying to confirm and to mark the registration."""
        self._stopped = True
        self._cancel()

    def _cancel(self):
        """Make an attempt to confirm void."""
        self._attempt += 1
        if self._timer is not None:
            self._timer.cancel()

    def suspend(self):
        """Suspend all shares and begin to confirm them."""
        self.confirmed = False
        self._manager.reapply()
        if not self.superseded:
            self._delay_ms = RETRY_MS
            self._begin()

    def supersede(self):
        """Suspend all shares for good: a later process has this VM."""
        if self.superseded:
            return
        logger.error("another incarnation has registered for this VM")
        self._cancel()
        self.superseded = True
        self.confirmed = False
        self._manager.reapply()

    def _begin(self):
        self._cancel()
        self._timer = None
        running = self._confirm(self._attempt)
        running.addErrback(self._defect)

    @inlineCallbacks
    def _confirm(self, attempt):
        """Read everything anew; a later pause makes this attempt void."""
        if not (yield self._is_registered(attempt)):
            return self._retry(attempt)
        if not (yield self._is_listed()):
            return self._retry(attempt)
        for keeper in self._manager.keepers_with_shares():
            if not (yield keeper.read()):
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
        """Ask the platform's list whether it still has this VM.

        A VM that was replaced while it was paused keeps its registration until
        another process registers under its name, which may be never.
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
        self._delay_ms = min(RETRY_LIMIT_MS, self._delay_ms * 2)
        self._timer = self._manager.clock.call_later(delay_ms, self._begin)

    def _defect(self, failure):
        detail = failure.getTraceback()
        self._manager.invariants.check("share-confirmation-handled", False, detail)

    def mark_leaving(self):
        """Write into the registration that this process is about to exit.

        Tried until it succeeds: unmarked, the process would get shares back from
        others for which it still is a desired holder.
        """
        return self._mark("leaving")

    def retire(self):
        """Use no share ever again and write that into the registration.

        A daemon that has not yet read the first mark may still hand shares over;
        the second lets others replace them although the VM remains listed.
        """
        self._cancel()
        self.superseded = True
        self.confirmed = False
        self._manager.reapply()
        return self._mark("stopped")

    @inlineCallbacks
    def _mark(self, field):
        while not self._stopped:
            if (yield self._try_to_mark(field)):
                return
            yield self._sleep(RETRY_MS)

    @inlineCallbacks
    def _try_to_mark(self, field):
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
            # An earlier write took effect although its reply was lost.
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
