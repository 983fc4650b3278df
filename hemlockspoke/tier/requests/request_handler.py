"""Handles callers' requests: finds their route and answers them."""

import logging
import random

from hemlockspoke.http1.messages import printable
from hemlockspoke.tier.requests.delegated_forward import DelegatedForward
from hemlockspoke.tier.requests.forward import Forward
from hemlockspoke.tier.requests.gates import Passage
from hemlockspoke.tier.requests.gather import Gather
from hemlockspoke.tier.requests.tier_request import TierRequest
from hemlockspoke.tier.sending.attempt_log import describe_attempts, describe_versions
from hemlockspoke.tier.sending.replies import REFUSED, RETRY_AFTER_START_MS, ErrorReply
from hemlockspoke.tier.sending.timing import Timings

logger = logging.getLogger(__name__)

# Logged as the age of the configuration until the store has been read, as JSON has no
# infinity.
MAX_LOGGED_AGE_MS = 1e9


class RequestHandler:
    """Answers each request according to the configuration in force at its arrival."""

    __slots__ = ("_active", "_gates", "_rng", "_tier", "_timings", "shutdown")

    def __init__(self, tier, timings=None, rng=None, gates=()):
        # RequestGate objects in the order in which requests pass them.
        self._gates = tuple(gates)
        # The ShutdownPlan once the daemon is stopping.
        self.shutdown = None
        self._tier = tier
        self._timings = timings or Timings()
        self._rng = rng or random.Random()
        self._active = set()

    def active(self):
        """Return how many requests are in progress."""
        return len(self._active)

    def handle(self, http):
        """Handle a request that has been received completely."""
        tier = self._tier
        metadata = tier.codec.parse_caller_headers(http.headers)
        directory = tier.directory
        if not directory.ready():
            error_reply = ErrorReply.not_run(
                "configuration not yet known", RETRY_AFTER_START_MS
            )
            self._reject(http, metadata, error_reply)
            return
        table = directory.routing
        route = table.match(caller_host(http.headers), caller_path(http.target))
        if route is None:
            self._reject(http, metadata, ErrorReply.no_route())
            return
        needs_key = bool(table.accounts)
        account = table.accounts.by_key(metadata.key) if needs_key else None
        if needs_key and account is None and not route.public:
            reason = "unknown key" if metadata.key else "not exactly one key"
            self._reject(http, metadata, ErrorReply.unauthorized(reason))
            return
        headers = tier.codec.forwarded_headers(
            http.headers, account_name(account), hides_key=needs_key
        )
        request = TierRequest(
            http,
            route,
            table.version,
            metadata,
            self._timings.for_route(route),
            headers,
            account,
        )
        reason = self._reason_against(request)
        if reason is not None:
            self._reject(http, metadata, ErrorReply.not_run(reason), account)
        elif self._gates:
            self._pass_gates(request)
        else:
            self._start(request)

    def _reason_against(self, request):
        """Return why a request cannot be served, or None if it can be started."""
        if request.regions is None:
            return "the route and the account have no region in common"
        if self.shutdown is not None and not self._can_finish(request):
            return "the daemon is about to stop"
        return None

    def _can_finish(self, request):
        """Return whether a request can be expected to end before the daemon does."""
        duration_ms = request.timing.longest_ms(default_ms=request.route.target_ms)
        return self.shutdown.may_start(self._tier.clock.now_ms(), duration_ms)

    def give_up_all(self, reason):
        """Answer all requests in progress with what is known now."""
        for operation in list(self._active):
            operation.give_up(reason)

    def _reject(self, http, metadata, error_reply, account=None):
        def answer(status, headers, body, outcome, reason):
            http.respond(status, headers, body)
            self._tier.metrics.count(f"requests.{outcome}")
            logger.warning(
                "request",
                extra={
                    "request": printable(metadata.attempt_id),
                    "outcome": outcome,
                    "status": status,
                    "reason": reason,
                    "account": account_name(account),
                    "target": printable(http.target),
                },
            )

        error_reply.send(answer)

    def _pass_gates(self, request):
        """Start a request once all gates let it proceed."""

        def passed():
            self._active.discard(passage)
            self._start(request)

        def refused(error_reply):
            error_reply.send(answer)

        passage = Passage(self._gates, request, passed, refused)
        answer = self._run(request, passage)
        passage.start()

    def _start(self, request):
        """Send a request to servers."""

        def answer(*result):
            respond(*result)

        if request.route.shards:
            operation = Gather(self._tier, request, answer)
        else:
            service = self._choose_service(request.route)
            operation = self._forward(request, service, answer)
        respond = self._run(request, operation, self._gates)
        operation.start()

    def _run(self, request, operation, gates=()):
        """Add an operation to those in progress; return how it answers the caller.

        The ``gates`` that the request has passed are told of its end.
        """
        self._active.add(operation)

        def end(may_have_run):
            self._active.discard(operation)
            for gate in gates:
                gate.finished(request, may_have_run)

        def answer(status, headers, body, outcome, reason):
            end(may_have_run=outcome != REFUSED)
            request.http.respond(status, headers, body)
            self._log_request(request, operation, status, outcome, reason)

        def caller_disconnected():
            end(may_have_run=True)
            operation.cancel()
            self._log_request(
                request, operation, 0, "caller_gone", "caller disconnected"
            )

        request.http.on_caller_disconnected = caller_disconnected
        return answer

    def _forward(self, request, service, answer):
        """Return the operation that sends a request to one server of a service."""
        rollouts, forwarding = self._tier.rollouts, self._tier.forwarding
        if rollouts is not None:
            sample_ids = rollouts.sample(service, request.route, request.regions)
            if sample_ids is not None:
                return Forward(self._tier, request, service, answer, sample_ids)
        servers = forwarding.servers_for(request, service) if forwarding else []
        if servers:
            return DelegatedForward(forwarding, request, service, servers, answer)
        return Forward(self._tier, request, service, answer)

    def _choose_service(self, route):
        if len(route.split) == 1:
            return route.split[0][0]
        services = [service for service, _ in route.split]
        weights = [weight for _, weight in route.split]
        return self._rng.choices(services, weights)[0]

    def _log_request(self, request, operation, status, outcome, reason):
        now_ms = self._tier.clock.now_ms()
        elapsed_ms = now_ms - request.http.received_ms
        metrics = self._tier.metrics
        metrics.count(f"requests.{outcome}")
        metrics.timing("request", elapsed_ms)
        routine = outcome == "answered" and now_ms <= request.aim_ms
        # Warnings have a separate quota of log lines.
        level = logging.INFO if routine else logging.WARNING
        fields = {
            "request": printable(request.attempt_id),
            "outcome": outcome,
            "status": status,
            "reason": reason,
            "admission": request.admission,
            "elapsed_ms": round(elapsed_ms),
            "aim_in_ms": round(request.aim_ms - now_ms),
            "caller_budget_ms": round(
                request.caller_deadline_ms - request.http.received_ms
            ),
            "account": account_name(request.account),
            "target": printable(request.http.target),
            "version": request.version,
            "belief_age_ms": round(
                min(self._tier.directory.age_ms(), MAX_LOGGED_AGE_MS)
            ),
            "gathered_by": operation.delegated(),
            "sends": describe_attempts(operation.deliveries()),
        }
        if self._tier.rollouts is not None:
            versions = describe_versions(operation.deliveries())
            fields["answered_by_version"] = versions
        logger.log(level, "request", extra=fields)


def account_name(account):
    """Return the name of an account, or None without one."""
    return None if account is None else account.name


def caller_host(headers):
    """Return the value of the Host header in lower case, without its port."""
    for name, value in headers:
        if name.lower() == b"host":
            host = value.decode("latin-1").strip().lower()
            return host.rsplit(":", 1)[0] if ":" in host else host
    return ""


def caller_path(target):
    """Return the path of a request target without its query string."""
    return target.split(b"?", 1)[0].decode("latin-1")
