"""A caller's request, with what its route, its account and its caller say of it."""

from hemlockspoke.tier.state.routes import common_regions

# Allowance for the daemon's own work on an answer while it is busy: a fixed time, a
# fraction of the target time, and a time for each part that is merged.
WORK_ALLOWANCE_MS = 5.0
WORK_ALLOWANCE_FRACTION = 0.02
MERGE_ALLOWANCE_MS = 0.05
# Fraction of that allowance within which an answer that becomes possible after the aim
# is sent at once, as it mostly still arrives in time.
LATE_ANSWER_FRACTION = 0.5
# Margin before the caller's deadline and the route's timeout, so that an answer or
# error sent at the end still arrives in time.
DEADLINE_ALLOWANCE_MS = 15.0


class TierRequest:
    """A caller's request with its route and its times, which are clock times.

    ``aim_ms`` is when an answer must be sent to meet the route's target latency, and
    ``latest_aim_ms`` until when one that is sent may still meet it. ``give_up_ms`` is
    when an answer or error must be sent at the latest, and ``caller_deadline_ms`` until
    when the caller waits. ``version`` is that of the configuration, ``timing`` the
    ``RouteTiming`` of the route. ``headers`` are those that other daemons and servers
    may get. ``account`` is the caller's ``Account``, or None. ``priority`` is the rank
    of the request; 0 is the most urgent.

    Servers and daemons outside ``regions`` get nothing of the request, but for the
    daemon to which its caller has connected. An empty set allows any region. It is None
    if the route and the account have no region in common: such a request must not be
    started. ``admission`` says for the log that the request has waited to be sent.
    """

    __slots__ = (
        "account",
        "admission",
        "aim_ms",
        "attempt_id",
        "caller_deadline_ms",
        "give_up_ms",
        "headers",
        "http",
        "latest_aim_ms",
        "priority",
        "regions",
        "route",
        "timing",
        "version",
    )

    def __init__(self, http, route, version, metadata, timing, headers, account=None):
        self.http = http
        self.route = route
        self.version = version
        self.timing = timing
        self.attempt_id = metadata.attempt_id
        self.headers = headers
        self.account = account
        self.regions = route.regions
        self.priority = route.priority
        self.admission = ""
        if account is not None:
            self.regions = common_regions(route.regions, account.regions)
            if account.priority is not None:
                self.priority = account.priority
        budget_ms = metadata.remaining_ms
        spent_ms = 0.0
        if budget_ms is None:
            budget_ms = route.timeout_ms
        else:
            spent_ms = timing.time_spent_ms(budget_ms)
            timing.record_budget(budget_ms)
        start_ms = http.received_ms
        self.caller_deadline_ms = start_ms + budget_ms
        limit_ms = min(budget_ms, route.timeout_ms)
        self.give_up_ms = start_ms + max(0.0, limit_ms - DEADLINE_ALLOWANCE_MS)
        target_ms = start_ms + route.target_ms - spent_ms
        work_ms = work_allowance_ms(route)
        aim_ms = target_ms - network_ms(http) - work_ms
        self.aim_ms = min(aim_ms, self.give_up_ms)
        self.latest_aim_ms = self.aim_ms + LATE_ANSWER_FRACTION * work_ms


def network_ms(http):
    """Return how long a request and its answer take between caller and daemon, in ms.

    Callers measure from their first packet, so a new connection adds a round trip.
    """
    round_trips = 2.0 if http.opened_connection else 1.0
    return round_trips * http.caller_rtt_ms


def work_allowance_ms(route):
    """Return how much of the target latency the daemon's own work may take, in ms."""
    work_ms = WORK_ALLOWANCE_MS + WORK_ALLOWANCE_FRACTION * route.target_ms
    return work_ms + MERGE_ALLOWANCE_MS * len(route.shards)
