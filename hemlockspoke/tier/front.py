"""Takes callers' requests, finds their route and answers them."""

import logging
import random

from hemlockspoke.tier.forward import Forward
from hemlockspoke.tier.gather import Gather
from hemlockspoke.tier.journal import describe_sends, printable
from hemlockspoke.tier.replies import RETRY_START_MS, Refusal
from hemlockspoke.tier.timing import Timings

logger = logging.getLogger(__name__)

# The daemon's own work on an answer, for a busy moment: at least, as a part of the
# target, and for each part that is merged.
WORK_ALLOWANCE_MS = 5.0
WORK_ALLOWANCE_PART = 0.02
MERGE_ALLOWANCE_MS = 0.05
# Nothing is known of the store for longer; JSON has no infinity.
MAX_AGE_MS = 1e9
# Kept before the caller's own deadline, so that a final answer still reaches it.
DEADLINE_ALLOWANCE_MS = 15.0


class Tier:
    """What the requests in progress share.

    ``desk`` hands parts of queries to daemons of other regions, if it is set.
    """

    __slots__ = ("clock", "codec", "desk", "directory", "extra_load", "metrics")

    def __init__(self, clock, codec, directory, extra_load, metrics):
        self.clock = clock
        self.codec = codec
        self.directory = directory
        self.extra_load = extra_load
        self.metrics = metrics
        self.desk = None


class TierRequest:
    """A caller's request with its route and its times, all of the clock.

    ``aim_ms`` is when an answer must leave to be in time for the caller,
    ``give_up_ms`` when the final answer must leave.
    """

    __slots__ = (
        "aim_ms",
        "attempt_id",
        "caller_deadline_ms",
        "give_up_ms",
        "http",
        "route",
        "timing",
        "version",
    )

    def __init__(self, http, route, version, marks, timing):
        self.http = http
        self.route = route
        self.version = version
        self.timing = timing
        self.attempt_id = marks.attempt_id
        budget_ms = marks.remaining_ms
        spent_ms = 0.0
        if budget_ms is None:
            budget_ms = route.timeout_ms
        else:
            spent_ms = timing.time_spent_ms(budget_ms)
            timing.note_budget(budget_ms)
        start_ms = http.received_ms
        self.caller_deadline_ms = start_ms + budget_ms
        limit_ms = min(budget_ms, route.timeout_ms)
        self.give_up_ms = start_ms + max(0.0, limit_ms - DEADLINE_ALLOWANCE_MS)
        aim_ms = start_ms + route.target_ms - spent_ms - allowance_ms(http, route)
        self.aim_ms = min(aim_ms, self.give_up_ms)


def allowance_ms(http, route):
    """Return what the way of a request and its answer take off the target.

    The caller counts from its first packet: to the round trip of the request and
    the answer comes that of a new connection.
    """
    trips = 2.0 if http.opened_connection else 1.0
    work_ms = WORK_ALLOWANCE_MS + WORK_ALLOWANCE_PART * route.target_ms
    work_ms += MERGE_ALLOWANCE_MS * len(route.shards)
    return trips * http.caller_rtt_ms + work_ms


class Front:
    """Answers requests by the configuration in force when they arrive."""

    __slots__ = ("_active", "_rng", "_tier", "_timings")

    def __init__(self, tier, timings=None, rng=None):
        self._tier = tier
        self._timings = timings or Timings()
        self._rng = rng or random.Random()
        self._active = set()

    def active(self):
        """Return how many requests are in progress."""
        return len(self._active)

    def handle(self, http):
        """Answer a request that has been read completely."""
        tier = self._tier
        marks = tier.codec.read_caller(http.headers)
        directory = tier.directory
        if not directory.ready():
            refusal = Refusal.not_run("configuration not yet known", RETRY_START_MS)
            self._answer_now(http, marks, refusal)
            return
        table = directory.routing
        route = table.match(caller_host(http.headers), caller_path(http.target))
        if route is None:
            self._answer_now(http, marks, Refusal.no_route())
            return
        request = TierRequest(
            http, route, table.version, marks, self._timings.of(route)
        )
        self._start(request)

    def _answer_now(self, http, marks, refusal):
        def answer(status, headers, body, outcome, reason):
            http.respond(status, headers, body)
            self._tier.metrics.count(f"requests.{outcome}")
            logger.warning(
                "request",
                extra={
                    "request": printable(marks.attempt_id),
                    "outcome": outcome,
                    "status": status,
                    "reason": reason,
                    "target": printable(http.target),
                },
            )

        refusal.send(answer)

    def _start(self, request):
        job = None
        route = request.route

        def answer(status, headers, body, outcome, reason):
            self._active.discard(job)
            request.http.respond(status, headers, body)
            self._record(request, job, status, outcome, reason)

        def caller_gone():
            self._active.discard(job)
            job.cancel()
            self._record(request, job, 0, "caller_gone", "caller closed")

        if route.shards:
            job = Gather(self._tier, request, answer)
        else:
            job = Forward(self._tier, request, self._choose_service(route), answer)
        self._active.add(job)
        request.http.on_caller_gone = caller_gone
        job.start()

    def _choose_service(self, route):
        if len(route.split) == 1:
            return route.split[0][0]
        services = [service for service, _ in route.split]
        weights = [weight for _, weight in route.split]
        return self._rng.choices(services, weights)[0]

    def _record(self, request, job, status, outcome, reason):
        now_ms = self._tier.clock.now_ms()
        elapsed_ms = now_ms - request.http.received_ms
        metrics = self._tier.metrics
        metrics.count(f"requests.{outcome}")
        metrics.timing("request", elapsed_ms)
        plain = outcome == "answered" and now_ms <= request.aim_ms
        # Warnings have their own share of the log's volume.
        level = logging.INFO if plain else logging.WARNING
        logger.log(
            level,
            "request",
            extra={
                "request": printable(request.attempt_id),
                "outcome": outcome,
                "status": status,
                "reason": reason,
                "elapsed_ms": round(elapsed_ms),
                "aim_in_ms": round(request.aim_ms - now_ms),
                "caller_budget_ms": round(
                    request.caller_deadline_ms - request.http.received_ms
                ),
                "target": printable(request.http.target),
                "version": request.version,
                "belief_age_ms": round(min(self._tier.directory.age_ms(), MAX_AGE_MS)),
                "gathered_by": job.delegated(),
                "sends": describe_sends(job.deliveries()),
            },
        )


def caller_host(headers):
    """Return the host that a request names, in lower case and without port."""
    for name, value in headers:
        if name.lower() == b"host":
            host = value.decode("latin-1").strip().lower()
            return host.rsplit(":", 1)[0] if ":" in host else host
    return ""


def caller_path(target):
    """Return the path of a request target, without its query."""
    return target.split(b"?", 1)[0].decode("latin-1")
