"""Writes the state of a rollout to the status of its object in the store."""

from hemlockspoke.platform import objects
from hemlockspoke.platform.feeds import HTTP_OK, KindSource, decode_change
from hemlockspoke.tier.rollouts.order_list import OrderList
from hemlockspoke.tier.rollouts.settling import WriteOutcome
from hemlockspoke.tier.rollouts.wiring import RolloutSink


class RolloutStatus:
    """Writes statuses; the revision keeps two daemons from writing different ends."""

    __slots__ = ("_calls",)

    def __init__(self, calls):
        self._calls = calls

    def write(self, order, state, on_written):
        """Write the state of an order; ``on_written`` gets a ``WriteOutcome``.

        A reply with the object is decoded, also that to a conflict.
        """

        def decode(reply):
            written_order = None
            if isinstance(reply.body, dict):
                change = decode_change(objects.ROLLOUT_KIND, reply.body, era=reply.era)
                if change is not None and change.spec is not None:
                    written_order = objects.decode_rollout(change.name, change.spec)
            detail = reply.detail or f"status {reply.status}"
            outcome = WriteOutcome(reply.status == HTTP_OK, written_order, detail)
            on_written(outcome)

        status = {"state": state, "target_version": order.target_version}
        self._calls.put_status(
            objects.ROLLOUT_KIND, order.name, status, order.revision, decode
        )


def follow_rollouts(daemon, calls, clock):
    """Let a daemon follow the orders, if its settings have bounds for them."""
    manager = daemon.rollouts
    if manager is None:
        return
    source = KindSource(calls, objects.ROLLOUT_KIND)
    sink = RolloutSink(OrderList(manager, clock), objects.decode_rollout)
    followed = daemon.follow(objects.ROLLOUT_KIND, source, sink)
    manager.versions.confirmed_ms = lambda: followed.confirmed_ms
    manager.set_status_writer(RolloutStatus(calls).write)
