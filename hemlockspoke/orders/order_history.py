"""Record of the orders that a holder was asked to send, so none is sent twice."""

from hemlockspoke.messages import OrderAnswer

# How long a repeated message gets the full answer. This is many times the longest
# deadline of an order.
ANSWER_RETENTION_MS = 60_000

# Number of orders of which only the status is kept, about 100 bytes each.
MAX_KEPT_STATUSES = 100_000


class TrackedOrder:
    """Order with one request ID.

    ``work`` is set while it runs, ``answer`` once it has ended. ``replies`` are the
    callables that get the answer.
    """

    __slots__ = ("answer", "ended_ms", "replies", "vm", "work")

    def __init__(self, vm):
        self.vm = vm
        self.work = None
        self.answer = None
        self.ended_ms = None
        self.replies = []


class OrderHistory:
    """Orders by request ID, reduced to their status some time after their end."""

    __slots__ = ("_orders", "_statuses")

    def __init__(self):
        self._orders = {}
        self._statuses = {}

    def add(self, request_id, vm):
        """Add an order received from a VM; return its ``TrackedOrder``."""
        self._orders[request_id] = TrackedOrder(vm)
        return self._orders[request_id]

    def get(self, request_id):
        """Return the ``TrackedOrder`` of a request ID, or None."""
        return self._orders.get(request_id)

    def answer_from_status(self, request_id):
        """Return the answer to an order of which only the status is kept, or None.

        The result is no longer kept, so the status ``done`` becomes ``unknown``.
        """
        status = self._statuses.get(request_id)
        if status is None:
            return None
        status = "unknown" if status == "done" else status
        return OrderAnswer(
            request_id=request_id,
            status=status,
            result=None,
            detail="the order was handled earlier",
        )

    def unfinished(self):
        """Return the orders that have not ended."""
        return [order for order in self._orders.values() if order.work is not None]

    def prune(self, now_ms):
        """Reduce old orders to their status and remove the oldest statuses."""
        while self._orders:
            request_id, order = next(iter(self._orders.items()))
            if order.ended_ms is None or now_ms - order.ended_ms < ANSWER_RETENTION_MS:
                break
            del self._orders[request_id]
            self._statuses[request_id] = order.answer.status
        while len(self._statuses) > MAX_KEPT_STATUSES:
            del self._statuses[next(iter(self._statuses))]
