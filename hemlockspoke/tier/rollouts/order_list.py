"""The orders of the store, and what is known better than an older list of them."""

import logging
from collections import deque

from hemlockspoke.tier.state.store_era import RETENTION_MS

logger = logging.getLogger(__name__)

# Orders that are remembered after their removal.
MAX_REMOVED = 64


class OrderList:
    """Gives the ``RolloutManager`` the orders that the store has.

    The first list of a new era may lack an order, have one that it replaced, or an
    earlier verdict on the same order. The newer order stays in force until the store
    reports a change of it, or for ``RETENTION_MS``, also if the orders are listed again
    in the meantime. So a rollout that is written again goes on where it was, and one
    that has ended does not begin again, even if all orders are written again in turn.
    """

    __slots__ = (
        "_clock",
        "_kept",
        "_manager",
        "_removed",
        "_until_ms",
        "_verdicts",
    )

    def __init__(self, manager, clock):
        self._manager = manager
        self._clock = clock
        # The store's order, or None, by services whose newer order is kept, and until
        # when that is.
        self._kept = {}
        self._until_ms = 0.0
        # Orders that had ended before the era, each with its verdict.
        self._verdicts = []
        # The last orders that were removed after their end: their verdicts, and when.
        self._removed = deque(maxlen=MAX_REMOVED)

    def replace(self, orders):
        """Apply a complete list."""
        if self._clock.now_ms() < self._until_ms:
            self._apply_list(orders)
            return
        self._kept = {}
        listed = {order.service for order in orders}
        for service in self._manager.versions.rollouts.keys() - listed:
            self._manager.remove_order(service)
        for order in orders:
            self._manager.set_order(order)

    def restore(self, orders):
        """Apply the first list of a new era."""
        self._until_ms = self._clock.now_ms() + RETENTION_MS
        self._verdicts = self._known_verdicts()
        self._apply_list(orders)
        self._clock.call_later(RETENTION_MS, self._end_retention)

    def _known_verdicts(self):
        """Return the orders that have ended, each with its verdict, the last one last.

        One that has been removed in the last moments may be open in the copy.
        """
        since_ms = self._clock.now_ms() - RETENTION_MS
        verdicts = [
            (order, verdict)
            for order, verdict, removed_ms in self._removed
            if removed_ms > since_ms
        ]
        for rollout in self._manager.versions.rollouts.values():
            verdicts += rollout.earlier
            verdicts.append((rollout.order, rollout.verdict()))
        return [known for known in verdicts if known[1] is not None]

    def _apply_list(self, orders):
        """Apply a list without the orders that are older than the known ones."""
        listed = {order.service: order for order in orders}
        self._kept = kept = {
            service: listed.get(service)
            for service, rollout in self._manager.versions.rollouts.items()
            if is_outdated(listed.get(service), rollout)
        }
        for order in orders:
            if order.service not in kept:
                self._set(order)
        if kept:
            logger.warning("orders kept", extra={"services": sorted(kept)})

    def set(self, order):
        """Apply a changed order."""
        self._kept.pop(order.service, None)
        self._set(order)

    def _set(self, order):
        rollouts = self._manager.versions.rollouts
        if order.service in rollouts and has_earlier_verdict(
            order, rollouts[order.service]
        ):
            # The rollout goes on as it is, and its own end is written to the store.
            order.final_phase = None
        self._manager.set_order(order)
        if order.final_phase is None and self._clock.now_ms() < self._until_ms:
            self._restore_verdict(rollouts[order.service])

    def _restore_verdict(self, rollout):
        """End a rollout that had ended before, once, with its last verdict."""
        verdicts = [
            verdict
            for order, verdict in self._verdicts
            if order.same_spec(rollout.order)
        ]
        self._verdicts = [
            known for known in self._verdicts if not known[0].same_spec(rollout.order)
        ]
        if verdicts and rollout.verdict() is None:
            rollout.set_final(verdicts[-1], self._clock.now_ms())

    def remove(self, service):
        """Apply the removal of an order."""
        self._kept.pop(service, None)
        rollout = self._manager.versions.rollouts.get(service)
        if rollout is not None and rollout.verdict() is not None:
            removed_ms = self._clock.now_ms()
            self._removed.append((rollout.order, rollout.verdict(), removed_ms))
        self._manager.remove_order(service)

    def _end_retention(self):
        """Use what the store still has, as the kept orders were not written again."""
        if self._clock.now_ms() < self._until_ms:
            return
        self._verdicts = []
        for service, order in list(self._kept.items()):
            if order is None:
                self.remove(service)
            else:
                self.set(order)


def is_outdated(order, rollout):
    """Return whether what the store has is older than a ``Rollout``.

    That is no order at all (None), or one that the order of the rollout has replaced.
    """
    if order is None:
        return True
    return not order.same_spec(rollout.order) and any(
        earlier.same_spec(order) for earlier, _ in rollout.earlier
    )


def has_earlier_verdict(order, rollout):
    """Return whether an order of a new era states the end of one before.

    The same service may have been ordered to the same version twice.
    """
    if order.era == rollout.order.era or not order.same_spec(rollout.order):
        return False
    if order.final_phase is None or order.final_phase is rollout.verdict():
        return False
    return rollout.verdict() is not None or any(
        earlier.same_spec(order) and verdict is order.final_phase
        for earlier, verdict in rollout.earlier
    )
