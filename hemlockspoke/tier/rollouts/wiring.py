"""Connects the rollouts with the other components of a daemon."""

from hemlockspoke.tier.rollouts.manager import RolloutManager


def connect_rollouts(settings, clock, tier, peers, network):
    """Return the ``RolloutManager`` of a daemon, or None without bounds for rollouts.

    The directory and the requests use it from then on.
    """
    if settings.bounds.exposure_share is None:
        return None
    manager = RolloutManager(
        clock,
        settings.vm,
        clock.wall_ms(),
        settings.bounds,
        tier.directory,
        peers,
        network,
        tier.metrics,
    )
    tier.directory.versions = manager.versions
    tier.rollouts = manager
    return manager


class RolloutSink:
    """Applies objects to an ``OrderList``.

    ``decode(name, spec)`` returns an ``Order`` or None.
    """

    __slots__ = ("_decode", "_orders")

    def __init__(self, orders, decode):
        self._orders = orders
        self._decode = decode

    def replace(self, changes):
        """Replace all orders."""
        self._orders.replace(self._decode_all(changes))

    def restore(self, changes):
        """Apply the first list of a new era."""
        self._orders.restore(self._decode_all(changes))

    def _decode_all(self, changes):
        orders = [self._decode(change.name, change.spec) for change in changes]
        return [order for order in orders if order]

    def apply(self, change):
        """Apply a changed order; a removed or malformed one is no order any more."""
        order = None
        if not change.removed:
            order = self._decode(change.name, change.spec)
        if order is None:
            self._orders.remove(change.name)
        else:
            self._orders.set(order)
