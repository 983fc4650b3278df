"""A request that one server of one service answers."""

from hemlockspoke.http1.messages import end_to_end
from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.replies import Refusal


class Forward:
    """One caller's request on its way to one server.

    The server's response is returned unchanged. Without one the caller gets 503
    when the request certainly has not run, and 502 or 504 otherwise.
    """

    __slots__ = ("_delivery", "_on_answer", "_request", "_service", "_tier", "_timer")

    def __init__(self, tier, request, service, on_answer):
        self._tier = tier
        self._request = request
        self._service = service
        self._on_answer = on_answer
        self._delivery = None
        self._timer = None

    def start(self):
        """Send the request, and watch the time."""
        request = self._request
        route = request.route
        work = Work.from_request(request, route.idempotent)
        self._delivery = Delivery(
            self._tier,
            self._service,
            route,
            work,
            request.timing,
            request.aim_ms,
            self._delivered,
        )
        now_ms = self._tier.clock.now_ms()
        self._timer = self._tier.clock.call_later(
            request.give_up_ms - now_ms, self._timed_out
        )
        self._delivery.start()

    def deliveries(self):
        """Return the deliveries, for the log."""
        return [self._delivery]

    def delegated(self):
        """Return no daemon: a request to one server is sent from here."""
        return []

    def cancel(self):
        """Stop everything: the caller has gone."""
        self._timer.cancel()
        self._delivery.cancel()

    def _delivered(self, delivery, result):
        self._timer.cancel()
        if result.attempt is not None:
            response = result.attempt.response
            self._on_answer(
                response.status,
                end_to_end(response.headers),
                response.body,
                "answered" if result.answered else "server_failure",
                result.reason,
            )
            return
        self._refuse(result.may_have_run, result.reason)

    def _refuse(self, may_have_run, reason):
        refusal = Refusal.lost(reason) if may_have_run else Refusal.not_run(reason)
        refusal.send(self._on_answer)

    def _timed_out(self):
        delivery = self._delivery
        if delivery.done:
            return
        may_have_run = delivery.may_have_run()
        # Cancelled rather than left to end: nobody waits for them any longer.
        delivery.cancel()
        if may_have_run:
            Refusal.timeout("no answer in time").send(self._on_answer)
        else:
            Refusal.not_run("no connection in time").send(self._on_answer)
