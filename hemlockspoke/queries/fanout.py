"""State of one query's fan-out: part groups, sub-queries and merged rows."""

from hemlockspoke.messages import SubStatus

# Status of a sub-query whose holder's stream was lost before the answer.
HOLDER_LOST = "holder_lost"
# The server itself may be well, so its other holder is asked next.
ASKS_OTHER_HOLDER = frozenset({SubStatus.REFUSED, HOLDER_LOST})


class SubQuery:
    """One sub-query that has been sent to a holder and is not yet answered.

    ``paid`` tells that it holds a token of the extra-load budget.
    """

    __slots__ = ("groups", "hedged", "paid", "parts", "route", "sent_ms", "sub_id")

    def __init__(self, route):
        self.route = route
        self.groups = []
        self.parts = []
        self.paid = False
        self.hedged = False
        self.sent_ms = 0.0
        self.sub_id = 0

    def add(self, group, parts):
        """Add the parts of a group."""
        self.groups.append(group)
        self.parts.extend(parts)

    def needed(self):
        """Tell whether an answer would still bring something new."""
        return any(not group.closed for group in self.groups)


class GroupState:
    """Progress of one part group within a query.

    ``running`` holds the unanswered sub-queries, ``charged`` counts those that have
    reached or may reach an upstream: a further one is extra load when it is above
    zero.
    """

    __slots__ = (
        "charged",
        "closed",
        "excluded",
        "group",
        "other_holder_of",
        "reached",
        "retry_at_ms",
        "rounds",
        "running",
        "sends",
        "shedding",
        "tried",
        "version_gone",
    )

    def __init__(self, group):
        self.group = group
        self.tried = []
        self.excluded = set()
        self.shedding = set()
        self.sends = 0
        self.running = []
        self.reached = set()
        self.charged = 0
        self.closed = False
        self.version_gone = False
        self.other_holder_of = None
        self.retry_at_ms = None
        self.rounds = 0

    def begin(self, sub):
        """Note that a sub-query for this group is sent."""
        self.tried.append(sub.route)
        self.running.append(sub)
        self.sends += 1
        self.charged += 1

    def end(self, sub, reached):
        """Note that a sub-query is no longer unanswered."""
        self.running.remove(sub)
        if reached:
            self.reached.add(sub.route.server)
        if not reached:
            self.charged -= 1

    def note_failure(self, server, status):
        """Note which servers and holders a failure speaks against."""
        if status in ASKS_OTHER_HOLDER:
            self.other_holder_of = server
        elif status == SubStatus.SHED:
            self.shedding.add(server)
        elif status in (SubStatus.DRAINING, SubStatus.VERSION_GONE):
            self.excluded.add(server)
        if status == SubStatus.VERSION_GONE:
            self.version_gone = True

    def servers_tried(self):
        """Return the servers to which a route has been tried."""
        return {route.server for route in self.tried}

    def servers_reached(self):
        """Return the servers that have been asked or may still be asked."""
        return self.reached.union(sub.route.server for sub in self.running)

    def forget_tries(self):
        """Permit all routes again, except to servers that cannot answer."""
        self.tried = []
        self.shedding.clear()
        self.other_holder_of = None
        self.rounds += 1


class Merge:
    """Rows by part; each part is merged once."""

    __slots__ = ("rows_by_part",)

    def __init__(self):
        self.rows_by_part = {}

    def missing_of(self, group):
        """Return the parts of a group that have not been merged."""
        return [part for part in group.parts if part not in self.rows_by_part]

    def take(self, parts, answer):
        """Merge the wanted parts of an answer; tell whether it has them all."""
        whole = True
        for part in parts:
            rows = answer.get(str(part))
            if not isinstance(rows, list):
                whole = False
            elif part not in self.rows_by_part:
                self.rows_by_part[part] = rows
        return whole

    def rows(self):
        """Return all rows in the order of their parts."""
        rows = []
        for part in sorted(self.rows_by_part):
            rows.extend(self.rows_by_part[part])
        return rows

    def missing(self, parts_total):
        """Return the parts that have no rows."""
        if len(self.rows_by_part) == parts_total:
            return []
        return [part for part in range(parts_total) if part not in self.rows_by_part]


def choose_route(state, routes_of, salt):
    """Return the best untried route for a group, or None.

    After a refusal by one holder the server's other holder comes first. Otherwise
    another server comes before a second holder of a server already asked. Among
    equals the one with the fewest outstanding sub-queries is taken, and ``salt``
    breaks ties alike within one query, so that sub-queries share a batch.
    """
    if state.other_holder_of is not None:
        route = _least_loaded(state, (state.other_holder_of,), routes_of, salt)
        state.other_holder_of = None
        if route is not None:
            return route
    if state.tried:
        fresh = _without(state.group.tiers, state.servers_tried())
        route = _first_of_tiers(state, fresh, routes_of, salt)
        if route is not None:
            return route
    return _first_of_tiers(state, state.group.tiers, routes_of, salt)


def choose_hedge_route(state, routes_of, salt):
    """Return the best untried route to a server not yet asked, or None."""
    fresh = _without(state.group.tiers, state.servers_reached())
    return _first_of_tiers(state, fresh, routes_of, salt)


def _without(tiers, servers):
    return [[server for server in tier if server not in servers] for tier in tiers]


def _first_of_tiers(state, tiers, routes_of, salt):
    for tier in tiers:
        route = _least_loaded(state, tier, routes_of, salt)
        if route is not None:
            return route
    return None


def _least_loaded(state, servers, routes_of, salt):
    routes = [
        route
        for server in servers
        if server not in state.excluded and server not in state.shedding
        for route in routes_of(server)
        if route not in state.tried
    ]
    if not routes:
        return None
    start = salt % len(routes)
    best = routes[start]
    for step in range(1, len(routes)):
        if best.busier_than(routes[start - step]):
            best = routes[start - step]
    return best
