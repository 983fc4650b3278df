"""State of the fan-out of one query: part groups, sub-queries and merged rows."""

from hemlockspoke.messages import SubQueryStatus

# Status of a sub-query if the stream to its holder was lost before the answer.
HOLDER_LOST = "holder_lost"
# Failures of the holder. The server may be healthy, so its other holder is tried next.
OTHER_HOLDER_STATUSES = frozenset({SubQueryStatus.REFUSED, HOLDER_LOST})


class SubQuery:
    """One sub-query to a server through a holder, for the parts of some groups.

    ``holds_token`` is set if it has consumed a token of the extra-load budget.
    ``sent_ms`` is the clock time of the send.
    """

    __slots__ = (
        "groups",
        "hedged",
        "holds_token",
        "parts",
        "route",
        "sent_ms",
        "sub_id",
    )

    def __init__(self, route):
        self.route = route
        self.groups = []
        self.parts = []
        self.holds_token = False
        self.hedged = False
        self.sent_ms = 0.0
        self.sub_id = 0

    def add(self, group, parts):
        """Add a group and the parts of it that are requested."""
        self.groups.append(group)
        self.parts.extend(parts)

    def needed(self):
        """Return whether any of its groups still needs an answer."""
        return any(not group.closed for group in self.groups)


class GroupState:
    """Progress of one part group within a query.

    ``pending`` holds the unanswered sub-queries. ``possibly_reached`` counts the
    sub-queries that have reached or may reach an upstream; while it is above zero,
    another sub-query is extra load. ``closed`` is true once the group is answered or
    given up. ``retry_at_ms`` is the clock time of the next attempt if the group waits
    for one; ``rounds`` counts how often all routes were tried without success.
    """

    __slots__ = (
        "closed",
        "excluded_servers",
        "other_holder_of",
        "part_group",
        "pending",
        "possibly_reached",
        "reached_servers",
        "retry_at_ms",
        "rounds",
        "send_count",
        "shedding_servers",
        "tried_routes",
        "version_gone",
    )

    def __init__(self, group):
        self.part_group = group
        self.tried_routes = []
        self.excluded_servers = set()
        self.shedding_servers = set()
        self.send_count = 0
        self.pending = []
        self.reached_servers = set()
        self.possibly_reached = 0
        self.closed = False
        self.version_gone = False
        self.other_holder_of = None
        self.retry_at_ms = None
        self.rounds = 0

    def note_sent(self, sub):
        """Record that a sub-query for this group is sent."""
        self.tried_routes.append(sub.route)
        self.pending.append(sub)
        self.send_count += 1
        self.possibly_reached += 1

    def note_ended(self, sub, reached):
        """Record that a sub-query was answered, has failed or was cancelled."""
        self.pending.remove(sub)
        if reached:
            self.reached_servers.add(sub.route.server)
        if not reached:
            self.possibly_reached -= 1

    def note_failure(self, server, status):
        """Record which servers or holders to avoid after a failure."""
        if status in OTHER_HOLDER_STATUSES:
            self.other_holder_of = server
        elif status == SubQueryStatus.SHED:
            self.shedding_servers.add(server)
        elif status in (SubQueryStatus.DRAINING, SubQueryStatus.VERSION_GONE):
            self.excluded_servers.add(server)
        if status == SubQueryStatus.VERSION_GONE:
            self.version_gone = True

    def tried_servers(self):
        """Return the servers to which at least one route has been tried."""
        return {route.server for route in self.tried_routes}

    def reached_or_pending_servers(self):
        """Return the servers that were reached or have a pending sub-query."""
        return self.reached_servers.union(sub.route.server for sub in self.pending)

    def start_retry_round(self):
        """Allow all routes again, except those to excluded servers."""
        self.tried_routes = []
        self.shedding_servers.clear()
        self.other_holder_of = None
        self.rounds += 1


class MergedRows:
    """Rows by part; each part is merged once."""

    __slots__ = ("rows_by_part",)

    def __init__(self):
        self.rows_by_part = {}

    def missing_parts_of(self, group):
        """Return the parts of a group that have not been merged."""
        return [part for part in group.parts if part not in self.rows_by_part]

    def add_answer(self, parts, answer):
        """Merge the requested parts of an answer; return whether it has them all."""
        complete = True
        for part in parts:
            rows = answer.get(str(part))
            if not isinstance(rows, list):
                complete = False
            elif part not in self.rows_by_part:
                self.rows_by_part[part] = rows
        return complete

    def rows(self):
        """Return all rows, ordered by part."""
        rows = []
        for part in sorted(self.rows_by_part):
            rows.extend(self.rows_by_part[part])
        return rows

    def missing_parts(self, parts_total):
        """Return the parts that have no rows."""
        if len(self.rows_by_part) == parts_total:
            return []
        return [part for part in range(parts_total) if part not in self.rows_by_part]


def choose_route(state, routes_of, salt):
    """Return the best untried route for a group, or None.

    After a failure of one holder, the other holder of the same server is preferred.
    Otherwise a server not yet tried is preferred to another holder of a tried
    server. Among the rest, the route with the fewest outstanding sub-queries is
    chosen. ``routes_of(server)`` returns the routes to a server. ``salt``, a random
    number of the query, breaks ties identically for all its groups, so that their
    sub-queries share batches.
    """
    if state.other_holder_of is not None:
        route = _least_loaded(state, (state.other_holder_of,), routes_of, salt)
        state.other_holder_of = None
        if route is not None:
            return route
    if state.tried_routes:
        candidate_tiers = _without_servers(
            state.part_group.tiers, state.tried_servers()
        )
        route = _best_in_tiers(state, candidate_tiers, routes_of, salt)
        if route is not None:
            return route
    return _best_in_tiers(state, state.part_group.tiers, routes_of, salt)


def choose_hedge_route(state, routes_of, salt):
    """Return the best untried route for a hedge, or None.

    Servers that were reached or have a pending sub-query are left out.
    """
    candidate_tiers = _without_servers(
        state.part_group.tiers, state.reached_or_pending_servers()
    )
    return _best_in_tiers(state, candidate_tiers, routes_of, salt)


def _without_servers(tiers, servers):
    return [[server for server in tier if server not in servers] for tier in tiers]


def _best_in_tiers(state, tiers, routes_of, salt):
    for tier in tiers:
        route = _least_loaded(state, tier, routes_of, salt)
        if route is not None:
            return route
    return None


def _least_loaded(state, servers, routes_of, salt):
    routes = [
        route
        for server in servers
        if server not in state.excluded_servers and server not in state.shedding_servers
        for route in routes_of(server)
        if route not in state.tried_routes
    ]
    if not routes:
        return None
    start = salt % len(routes)
    best = routes[start]
    for step in range(1, len(routes)):
        if best.busier_than(routes[start - step]):
            best = routes[start - step]
    return best
