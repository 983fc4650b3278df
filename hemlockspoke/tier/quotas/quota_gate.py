"""Gate that lets a request proceed once its account's quota has a token for it."""

from hemlockspoke.tier.requests.gates import RequestGate


class QuotaGate(RequestGate):
    """Passes the requests of accounts with a quota to their ``AccountQueue``.

    ``queue(name)`` returns the queue of an account, or None if it has no quota.
    """

    __slots__ = ("_queue", "_queue_by_request")

    def __init__(self, queue):
        self._queue = queue
        # The queue of each request that waits or is in progress. A configuration that
        # removes the quota meanwhile replaces the queue.
        self._queue_by_request = {}

    def admit(self, request, proceed, refuse):
        """Let a request proceed with a token, or refuse it."""
        account = request.account
        queue = None if account is None else self._queue(account.name)
        if queue is None:
            proceed()
            return

        def refused(error_reply):
            self._queue_by_request.pop(request, None)
            refuse(error_reply)

        self._queue_by_request[request] = queue
        queue.admit(request, proceed, refused)

    def withdraw(self, request):
        """Forget a request that waits."""
        queue = self._queue_by_request.pop(request, None)
        if queue is not None:
            queue.withdraw(request)

    def finished(self, request, may_have_run):
        """Return the token of a request that has not run."""
        queue = self._queue_by_request.pop(request, None)
        if queue is not None:
            queue.finished(request, may_have_run)
