"""Forwards a request to one server of a service."""

from hemlockspoke.http1.messages import end_to_end
from hemlockspoke.tier.sending.attempt import OutgoingRequest
from hemlockspoke.tier.sending.delivery import Delivery
from hemlockspoke.tier.sending.replies import ErrorReply


class Forward:
    """A caller's request that is forwarded to one server.

    The server's response is returned unchanged, apart from headers that concern its
    connection only. Without a response the caller gets 503 if the request certainly has
    not run, and 502 or 504 otherwise. ``sample_ids`` is as for ``Delivery``.
    """

    __slots__ = (
        "_delivery",
        "_on_answer",
        "_request",
        "_sample_ids",
        "_service",
        "_tier",
        "_timer",
    )

    def __init__(self, tier, request, service, on_answer, sample_ids=None):
        self._sample_ids = sample_ids
        self._tier = tier
        self._request = request
        self._service = service
        self._on_answer = on_answer
        self._delivery = None
        self._timer = None

    def start(self):
        """Send the request, and start the timeout."""
        request = self._request
        route = request.route
        outgoing = OutgoingRequest.from_request(request, route.idempotent)
        self._delivery = Delivery(
            self._tier,
            self._service,
            route,
            outgoing,
            request.timing,
            request.aim_ms,
            self._on_delivery,
            regions=request.regions,
            sample_ids=self._sample_ids,
        )
        now_ms = self._tier.clock.now_ms()
        self._timer = self._tier.clock.call_after_reads(
            request.give_up_ms - now_ms, self._on_timeout
        )
        self._delivery.start()

    def deliveries(self):
        """Return the deliveries, for the log."""
        return [self._delivery]

    def delegated(self):
        """Return an empty list: a forwarded request is never delegated."""
        return []

    def cancel(self):
        """Cancel the request, as the caller has disconnected."""
        self._timer.cancel()
        self._delivery.cancel()

    def give_up(self, reason):
        """Answer at once with what is known, as this daemon is about to stop."""
        may_have_run = self._delivery.may_have_run()
        self.cancel()
        self._refuse(may_have_run, reason)

    def _on_delivery(self, delivery, result):
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
        self._refuse(result.may_have_run, result.reason, result.retry_after_ms)

    def _refuse(self, may_have_run, reason, retry_after_ms=None):
        error_reply = ErrorReply.without_answer(may_have_run, reason, retry_after_ms)
        error_reply.send(self._on_answer)

    def _on_timeout(self):
        delivery = self._delivery
        if delivery.done:
            return
        may_have_run = delivery.may_have_run()
        # Attempts are cancelled rather than abandoned, as the caller gets an error now.
        delivery.cancel()
        if may_have_run:
            ErrorReply.timeout("no answer in time").send(self._on_answer)
        else:
            ErrorReply.not_run("no connection in time").send(self._on_answer)
