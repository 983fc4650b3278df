"""The servers that one request has used, and the reasons against using one again.

``eligibility`` has the reasons that concern a server whatever the request is. Those
here are functions of the ``RequestServers`` of a request, a server, and whether the
request would be a hedge. They are tried in the order in which they stand here.
"""

from hemlockspoke.registry import Registry
from hemlockspoke.tier.sending.attempt import Verdict

# Limit on the arrivals of one request at the same server. A server that has lost or
# failed a request often answers the next one, and a service may have few servers.
MAX_ARRIVALS_PER_SERVER = 2

# Those of the second kind apply only to servers that the request has tried.
reasons = Registry("reason against a server for one request")
reasons_after_attempts = Registry("reason against a server tried by one request")


@reasons.register("enough other servers have the request")
def exceeds_server_limit(request, server, hedge):
    """Return whether the request would reach more servers than its route allows."""
    used = request.used
    return len(used) >= request.max_servers and server not in used


@reasons.register("left to another daemon")
def is_left_to_other_daemon(request, server, hedge):
    """Return whether only another daemon may send the request to the server."""
    allowed_ids = request.allowed_ids
    return allowed_ids is not None and server.server_id not in allowed_ids


@reasons.register("leaving, so it gets no hedge")
def is_leaving(request, server, hedge):
    """Return whether a hedge would reach a server that is leaving."""
    return hedge and server.leaving_until_ms is not None


@reasons_after_attempts.register("no connection could be opened")
def is_unreachable(request, server, hedge):
    """Return whether the request has found no connection to the server.

    Another try right away would fail as well.
    """
    return server in request.unreachable


@reasons_after_attempts.register("has the request")
def is_in_progress(request, server, hedge):
    """Return whether an attempt at the server has not ended."""
    return any(attempt.in_flight for attempt in request.attempts_at(server))


@reasons_after_attempts.register("has got the request often enough")
def has_arrived_often(request, server, hedge):
    """Return whether the server has got as many attempts as it may."""
    arrivals = sum(
        attempt.verdict is not Verdict.UNSENT for attempt in request.attempts_at(server)
    )
    return arrivals >= MAX_ARRIVALS_PER_SERVER


ANY_SERVER = tuple(reasons.items())
TRIED_SERVER = tuple(reasons_after_attempts.items())


class RequestServers:
    """The servers of one service that have got, or may get, one request.

    ``attempts`` are those of the request, oldest first. ``max_servers`` limits how many
    servers get it, ``allowed_ids`` has the ids of those that may, or is None for any.
    ``tried`` holds the servers of all attempts, ``used`` those that have the request,
    ``unreachable`` those to which no connection could be opened.
    """

    __slots__ = (
        "allowed_ids",
        "attempts",
        "max_servers",
        "tried",
        "unreachable",
        "used",
    )

    def __init__(self, max_servers, allowed_ids=None):
        self.max_servers = max_servers
        self.allowed_ids = allowed_ids
        self.attempts = []
        self.tried = set()
        self.used = set()
        self.unreachable = set()

    def attempts_at(self, server):
        """Return the attempts at one server."""
        return [attempt for attempt in self.attempts if attempt.server is server]

    def reason_against(self, server, hedge=False):
        """Return why the request may not go to a server now, or None if it may."""
        for name, applies in ANY_SERVER:
            if applies(self, server, hedge):
                return name
        if server in self.tried:
            for name, applies in TRIED_SERVER:
                if applies(self, server, hedge):
                    return name
        return None

    def usable(self, servers, hedge=False):
        """Return those of some servers that may get the request now."""
        if not self.attempts and self.allowed_ids is None and not hedge:
            return servers
        return [
            server for server in servers if self.reason_against(server, hedge) is None
        ]

    def add(self, attempt):
        """Add an attempt that is about to be sent."""
        self.attempts.append(attempt)
        self.tried.add(attempt.server)
        self.used.add(attempt.server)

    def release_unsent(self, server):
        """Give back a server's place unless an attempt at it may have been sent."""
        if all(
            attempt.verdict is Verdict.UNSENT for attempt in self.attempts_at(server)
        ):
            self.used.discard(server)

    def allow_other_daemon(self, server):
        """Let another daemon send the request to a server.

        From now on this daemon sends it only to servers that it has used before.
        Return the ids of all servers that may get it, or None if the server is among
        those already or there would be too many.
        """
        used_ids = {used_server.server_id for used_server in self.used}
        allowed_ids = used_ids | {server.server_id}
        if server.server_id in used_ids or len(allowed_ids) > self.max_servers:
            return None
        self.allowed_ids = used_ids
        return allowed_ids
