"""Gates that requests pass before they are sent: limits that may make them wait."""

from abc import ABC, abstractmethod

from hemlockspoke.tier.sending.replies import ErrorReply


class RequestGate(ABC):
    """Decides whether and when a ``TierRequest`` may be sent.

    A gate that has nothing to limit lets a request proceed at once.
    """

    @abstractmethod
    def admit(self, request, proceed, refuse):
        """Let a request proceed, now or later, or refuse it.

        Exactly one of the callbacks is called, unless the request is withdrawn before:
        ``proceed()``, or ``refuse(error_reply)`` with an ``ErrorReply`` that says that
        the request has not run. A request that cannot be served is refused at once.
        """

    def withdraw(self, request):  # noqa: B027
        """Forget a request that waits, as its caller no longer needs an answer."""

    def finished(self, request, may_have_run):  # noqa: B027
        """Note the end of a request that has passed this gate.

        ``may_have_run`` is False if certainly no server has run it.
        """


class Passage:
    """The way of one request through the gates.

    It stands for the request among those in progress until the request is started.
    ``on_passed()`` is called once all gates have let it proceed, and
    ``on_refused(error_reply)`` if one refuses it.
    """

    __slots__ = ("_ended", "_gates", "_on_passed", "_on_refused", "_passed", "_request")

    def __init__(self, gates, request, on_passed, on_refused):
        self._gates = gates
        self._request = request
        self._on_passed = on_passed
        self._on_refused = on_refused
        # Number of gates that have let the request proceed.
        self._passed = 0
        self._ended = False

    def start(self):
        """Enter the first gate."""
        self._enter_next()

    def _enter_next(self):
        if self._ended:
            return
        if self._passed == len(self._gates):
            self._ended = True
            self._on_passed()
            return
        gate = self._gates[self._passed]
        gate.admit(self._request, self._proceed, self._refuse)

    def _proceed(self):
        if not self._ended:
            self._passed += 1
            self._enter_next()

    def _refuse(self, error_reply):
        if not self._ended:
            self._end()
            self._on_refused(error_reply)

    def _end(self):
        """Tell the gates that were passed that no server has run the request."""
        self._ended = True
        for gate in self._gates[: self._passed]:
            gate.finished(self._request, may_have_run=False)

    def cancel(self):
        """Leave the gates, as the caller has disconnected."""
        if not self._ended:
            self._gates[self._passed].withdraw(self._request)
            self._end()

    def give_up(self, reason):
        """Refuse the request, as this daemon is about to stop."""
        if not self._ended:
            self.cancel()
            self._on_refused(ErrorReply.not_run(reason))

    def may_have_run(self):
        """Return False, as nothing has been sent."""
        return False

    def deliveries(self):
        """Return an empty list, for the log."""
        return []

    def delegated(self):
        """Return an empty list, for the log."""
        return []
