"""Sends requests for other daemons that may not connect to any server of a service."""

import logging

from hemlockspoke.http1.messages import end_to_end, printable
from hemlockspoke.tier.messages import ForwardAcknowledgement, ForwardReply
from hemlockspoke.tier.sending.attempt import OutgoingRequest, leaving_servers
from hemlockspoke.tier.sending.attempt_log import describe_attempts
from hemlockspoke.tier.sending.delivery import Delivery
from hemlockspoke.tier.state.routes import common_regions

logger = logging.getLogger(__name__)


class PeerForward:
    """One request that this daemon sends to a server on behalf of ``peer``.

    ``message`` is the ``ForwardRequest``. The peer gets an acknowledgement at once, and
    the result as soon as it is known.
    """

    __slots__ = ("_attempt_id", "_delivery", "_manager", "_message", "_peer", "_timer")

    def __init__(self, manager, peer, message):
        self._manager = manager
        self._peer = peer
        self._message = message
        self._attempt_id = None
        self._delivery = None
        self._timer = None

    def start(self, tier, route, timing):
        """Acknowledge the request and send it to a server."""
        message = self._message
        now_ms = tier.clock.now_ms()
        outgoing = OutgoingRequest.from_message(
            message, tier.codec, now_ms, message.body, route.idempotent
        )
        self._attempt_id = outgoing.attempt_id
        # The daemons may have different versions of the route, or of a server's entry.
        regions = common_regions(route.regions, frozenset(message.regions))
        allowed = () if regions is None else message.server_ids
        self._delivery = Delivery(
            tier,
            message.service,
            route,
            outgoing,
            timing,
            now_ms + message.aim_in_ms,
            self._on_delivery,
            sent_before=message.repeat,
            allowed_server_ids=frozenset(allowed),
            regions=regions,
        )
        # The peer tells its caller itself that the time is over.
        self._timer = tier.clock.call_later(
            message.remaining_ms, self.cancel, "out of time"
        )
        self._manager.send(
            self._peer, ForwardAcknowledgement(forward_id=message.forward_id)
        )
        self._delivery.start()

    def give_up(self, reason):
        """Report at once what is known, as this daemon is about to stop."""
        may_have_run = self._delivery.may_have_run()
        self.cancel("given up")
        message = reply(self._message.forward_id, None, may_have_run, reason)
        self._manager.send(self._peer, message)

    def _on_delivery(self, delivery, result):
        attempt = result.attempt
        self._finish("reported")
        message = reply(
            self._message.forward_id,
            None if attempt is None else attempt.response,
            result.may_have_run,
            result.reason,
            leaving_servers([] if attempt is None else [attempt]),
        )
        self._manager.send(self._peer, message)

    def cancel(self, outcome="cancelled"):
        """Cancel the request, as the peer no longer needs its result or is lost."""
        self._delivery.cancel()
        self._finish(outcome)

    def _finish(self, outcome):
        self._timer.cancel()
        self._manager.remove_peer_forward(self._peer, self._message.forward_id)
        sends = describe_attempts([self._delivery])
        if sends:
            logger.info(
                "forwarded for a peer",
                extra={
                    "request": printable(self._attempt_id),
                    "for_peer": self._peer,
                    "outcome": outcome,
                    "sends": sends,
                },
            )


def reply(forward_id, response, may_have_run, reason, leaving=()):
    """Return the ``ForwardReply`` with a server's response, or without if it is None.

    >>> reply(7, None, False, "no server").may_have_run
    False
    """
    headers = [] if response is None else end_to_end(response.headers)
    return ForwardReply(
        forward_id=forward_id,
        status=None if response is None else response.status,
        headers=[list(header) for header in headers],
        body=b"" if response is None else response.body,
        may_have_run=may_have_run,
        reason=reason,
        leaving=list(leaving),
    )
