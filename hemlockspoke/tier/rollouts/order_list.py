"""The orders of the store, and what is known better than an older list of them."""

import logging

from hemlockspoke.tier.state.store_era import RETENTION_MS

logger = logging.getLogger(__name__)


class OrderList:
    """Gives the ``RolloutManager`` the orders that the store has.

    The first list of a new era may lack an order, or have the one that it replaced.
    The newer order stays in force until the store reports a change of it, or for
    ``RETENTION_MS``, also if the orders are listed again in the meantime. So a rollout
    that is written again goes on where it was, and one that has ended does not begin
    again.
    """

    __slots__ = ("_clock", "_kept", "_manager", "_until_ms")

    def __init__(self, manager, clock):
        self._manager = manager
        self._clock = clock
        # The store's order, or None, by services whose newer order is kept, and until
        # when that is.
        self._kept = {}
        self._until_ms = 0.0

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
        self._apply_list(orders)
        self._clock.call_later(RETENTION_MS, self._use_stored)

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
                self._manager.set_order(order)
        if kept:
            logger.warning("orders kept", extra={"services": sorted(kept)})

    def set(self, order):
        """Apply a changed order."""
        self._kept.pop(order.service, None)
        self._manager.set_order(order)

    def remove(self, service):
        """Apply the removal of an order."""
        self._kept.pop(service, None)
        self._manager.remove_order(service)

    def _use_stored(self):
        """Use what the store still has, as the kept orders were not written again."""
        if self._clock.now_ms() < self._until_ms:
            return
        for service, order in list(self._kept.items()):
            if order is None:
                self.remove(service)
            else:
                self.set(order)


def is_outdated(order, rollout):
    """Return whether what the store has is older than a ``Rollout``.

    That is no order at all (None), or the one which that of the rollout has replaced.
    """
    if order is None:
        return True
    replaced = rollout.replaced
    return (
        replaced is not None
        and replaced.same_spec(order)
        and not order.same_spec(rollout.order)
    )
