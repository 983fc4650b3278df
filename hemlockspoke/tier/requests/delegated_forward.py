"""Delegates requests to other daemons, if this one may connect to no server.

A server accepts a limited number of connections. In a large fleet these are fewer than
the daemons, so a daemon may have none to any server of a service with few servers. It
then asks a hub in the failure domain of a server to send the request.
"""

from hemlockspoke.tier.messages import ForwardRequest
from hemlockspoke.tier.peers.delegation import ACKNOWLEDGEMENT_ALLOWANCE_MS
from hemlockspoke.tier.sending.replies import ErrorReply

# Limit on the daemons that are asked to send one request. The second one is asked if
# the first has sent nothing, or if it is silent and the request may be repeated.
MAX_PEERS = 2


class DelegatedForward:
    """A caller's request that another daemon sends to a server of ``service``.

    The caller gets the server's response, 503 if the request certainly has not run, and
    502 or 504 otherwise. ``on_answer`` is as for ``Forward``. ``servers`` are those
    that may get the request, fastest first; hubs near the first ones are asked first.
    """

    __slots__ = (
        "_finished",
        "_manager",
        "_may_have_run",
        "_on_answer",
        "_pending",
        "_peers",
        "_reason",
        "_request",
        "_servers",
        "_service",
        "_timers",
    )

    def __init__(self, manager, request, service, servers, on_answer):
        self._manager = manager
        self._request = request
        self._service = service
        self._servers = servers
        self._on_answer = on_answer
        # The daemons asked so far, and those by the id of the request to them that have
        # not replied.
        self._peers = []
        self._pending = {}
        self._may_have_run = False
        self._reason = "no daemon can reach a server"
        self._finished = False
        self._timers = []

    def start(self):
        """Ask a daemon to send the request, and start the timeout."""
        clock = self._manager.clock
        delay_ms = self._request.give_up_ms - clock.now_ms()
        self._timers.append(clock.call_after_reads(delay_ms, self._on_timeout))
        if not self._ask_next():
            self._refuse()

    def deliveries(self):
        """Return an empty list: this daemon sends nothing to servers."""
        return []

    def delegated(self):
        """Return a text on each daemon asked, for the log."""
        return [
            f"{vm} owes the answer" if vm in self._pending.values() else f"{vm} replied"
            for vm in self._peers
        ]

    def cancel(self):
        """Cancel the request, as the caller has disconnected."""
        self._stop()

    def give_up(self, reason):
        """Answer at once with what is known, as this daemon is about to stop."""
        self._reason = reason
        self._may_have_run = self._may_have_run or bool(self._pending)
        self._refuse()

    def _ask_next(self):
        """Ask another daemon; return False if there is none that may be asked."""
        if len(self._peers) >= MAX_PEERS:
            return False
        vm, rtt_ms = self._manager.choose_peer(self._servers, self._peers)
        if vm is None:
            return False
        forward_id = self._manager.ask(vm, self, self._message(rtt_ms))
        if forward_id is None:
            return False
        self._peers.append(vm)
        self._pending[forward_id] = vm
        clock = self._manager.clock
        self._timers.append(
            clock.call_after_reads(
                rtt_ms + ACKNOWLEDGEMENT_ALLOWANCE_MS, self._on_overdue, forward_id
            )
        )
        return True

    def _message(self, rtt_ms):
        """Return the ``ForwardRequest``, whose id the manager sets."""
        request = self._request
        now_ms = self._manager.clock.now_ms()
        return ForwardRequest(
            forward_id=None,
            host=request.route.host,
            path_prefix=request.route.path_prefix,
            service=self._service,
            server_ids=[server.server_id for server in self._servers],
            regions=sorted(request.regions),
            method=request.http.method,
            target=request.http.target,
            headers=[list(header) for header in request.headers],
            body=request.http.body,
            aim_in_ms=max(1.0, request.aim_ms - now_ms - rtt_ms),
            remaining_ms=max(1.0, request.caller_deadline_ms - now_ms - rtt_ms),
            repeat=self._may_have_run,
        )

    def _on_overdue(self, forward_id):
        """Ask another daemon as well if the first has not acknowledged the request."""
        if forward_id not in self._pending or self._manager.acknowledged(forward_id):
            return
        self._manager.mark_silent(self._pending[forward_id])
        if self._request.route.idempotent:
            self._may_have_run = True
            self._ask_next()

    def on_reply(self, message):
        """Handle the ``ForwardReply`` of a daemon."""
        del self._pending[message.forward_id]
        if message.status is None:
            self._may_have_run = self._may_have_run or message.may_have_run
            self._reason = message.reason or self._reason
            self._continue(may_ask=not message.may_have_run)
            return
        self._stop()
        is_success = 200 <= message.status < 300
        self._on_answer(
            message.status,
            [(bytes(name), bytes(value)) for name, value in message.headers],
            message.body,
            "answered" if is_success else "server_failure",
            message.reason,
        )

    def on_peer_lost(self, forward_id):
        """Handle the loss of the stream to a daemon that has not replied."""
        del self._pending[forward_id]
        self._may_have_run = True
        self._reason = "lost the daemon that sent the request"
        self._continue(may_ask=self._request.route.idempotent)

    def _continue(self, may_ask):
        """Ask another daemon or wait for one that was asked; else give up."""
        if not self._pending and not (may_ask and self._ask_next()):
            self._refuse()

    def _refuse(self):
        self._stop()
        if self._may_have_run:
            ErrorReply.outcome_unknown(self._reason).send(self._on_answer)
        else:
            ErrorReply.not_run(self._reason).send(self._on_answer)

    def _on_timeout(self):
        if not self._finished:
            self._stop()
            ErrorReply.timeout("no answer in time").send(self._on_answer)

    def _stop(self):
        """Stop the timers, and cancel what other daemons have not replied to."""
        self._finished = True
        for timer in self._timers:
            timer.cancel()
        for forward_id in list(self._pending):
            self._manager.cancel(forward_id)
