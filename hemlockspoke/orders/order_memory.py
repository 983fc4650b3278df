"""Orders that a holder has been asked to send, so that none is sent twice."""

from hemlockspoke.messages import OrderAnswer

# A repeated message gets the full answer for this long. It exceeds the longest
# deadline of an order many times over.
ANSWER_MEMORY_MS = 60_000

# Orders of which only the status is kept, about 100 bytes each.
REMEMBERED_STATUSES = 100_000


class KnownOrder:
    """An order of one request id: its work, its answer, who waits for it."""

    __slots__ = ("answer", "ended_ms", "replies", "vm", "work")

    def __init__(self, vm):
        self.vm = vm
        self.work = None
        self.answer = None
        self.ended_ms = None
        self.replies = []


class OrderMemory:
    """Orders by request id, in full at first and as a status for long after."""

    __slots__ = ("_orders", "_statuses")

    def __init__(self):
        self._orders = {}
        self._statuses = {}

    def add(self, request_id, vm):
        """Return a new ``KnownOrder``."""
        self._orders[request_id] = KnownOrder(vm)
        return self._orders[request_id]

    def get(self, request_id):
        """Return the ``KnownOrder`` of a request id, or None."""
        return self._orders.get(request_id)

    def old_answer(self, request_id):
        """Return the answer to an order known only by its status, or None.

        Its result is no longer known, so that of a finished order is ``unknown``.
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

    def working(self):
        """Return the orders that have not ended."""
        return [order for order in self._orders.values() if order.work is not None]

    def shrink(self, now_ms):
        """Reduce old orders to their status and drop the oldest statuses."""
        while self._orders:
            request_id, order = next(iter(self._orders.items()))
            if order.ended_ms is None or now_ms - order.ended_ms < ANSWER_MEMORY_MS:
                break
            del self._orders[request_id]
            self._statuses[request_id] = order.answer.status
        while len(self._statuses) > REMEMBERED_STATUSES:
            del self._statuses[next(iter(self._statuses))]
