"""Metrics and log lines on quotas."""

import logging

from hemlockspoke.tier.quotas.account_counts import CountsByAccount

logger = logging.getLogger(__name__)

# Interval of log lines on grants that fail: while keepers are cut off, each request
# would cause one.
LOG_INTERVAL_MS = 1000.0


class QuotaObserver:
    """Counts what the queues and keepers of this daemon do.

    ``by_account`` has the counts by account; the other metrics are those of all.
    """

    __slots__ = ("_clock", "_failed", "_log_after_ms", "_metrics", "by_account")

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._failed = 0
        self._log_after_ms = 0.0
        self.by_account = CountsByAccount()

    def admitted(self, name, waited_ms):
        """Count a request of an account that proceeds."""
        self.by_account.of(name).admit(waited_ms)
        self._metrics.count("quota.granted")
        if waited_ms > 0.0:
            self._metrics.count("quota.waited")
        self._metrics.timing("quota.wait", waited_ms)

    def refused(self, name, reason):
        """Count a refusal; the request's own log line has the reason."""
        self.by_account.of(name).refuse(reason)
        self._metrics.count("quota.refused")

    def asked(self, count):
        """Count tokens that are asked of a keeper."""
        self._metrics.count("quota.tokens_asked", count)

    def granted(self, count):
        """Count tokens that a keeper has granted in time."""
        self._metrics.count("quota.tokens_granted", count)

    def lent(self, count):
        """Count tokens that this keeper has lent."""
        self._metrics.count("quota.tokens_lent", count)

    def borrowed(self, count):
        """Count tokens that other keepers have lent to this one in time."""
        self._metrics.count("quota.tokens_borrowed", count)

    def keeper_silent(self, vm):
        """Note a keeper that has not answered."""
        self._grant_failed("a keeper has not answered in time", vm)

    def unreachable(self, name):
        """Note that no keeper of an account has a stream."""
        self._grant_failed("no keeper of the failure domain can be reached", None)

    def _grant_failed(self, reason, vm):
        self._metrics.count("quota.grants_failed")
        self._failed += 1
        now_ms = self._clock.now_ms()
        if now_ms >= self._log_after_ms:
            self._log_after_ms = now_ms + LOG_INTERVAL_MS
            logger.warning(
                "quota grants fail",
                extra={"reason": reason, "peer": vm, "count": self._failed},
            )
            self._failed = 0


class QueueObserver:
    """The observer of one account's queue, whose name it adds.

    ``keeper_silent(vm)`` and ``unreachable(name)`` are passed to the ``QuotaManager``.
    """

    __slots__ = ("_name", "_observer", "keeper_silent", "unreachable")

    def __init__(self, name, observer, manager):
        self._name = name
        self._observer = observer
        self.keeper_silent = manager.keeper_silent
        self.unreachable = manager.unreachable

    def admitted(self, waited_ms):
        """Count a request that proceeds."""
        self._observer.admitted(self._name, waited_ms)

    def refused(self, name, reason):
        """Count a refusal."""
        self._observer.refused(name, reason)

    def asked(self, count):
        """Count tokens that are asked of a keeper."""
        self._observer.asked(count)

    def granted(self, count):
        """Count tokens that a keeper has granted."""
        self._observer.granted(count)
