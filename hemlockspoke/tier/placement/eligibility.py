"""The reasons for which a server may not get a request now, in one list.

Each reason is a function of the directory, the server and the clock time in ms. They
are tried in the order in which they stand here: those that hold for any daemon, and
then those that concern this daemon's shares of limits.
"""

from datetime import datetime

from hemlockspoke.registry import Registry

# Limit on the servers that the log of one request names as not usable.
MAX_DESCRIBED_SERVERS = 4

OTHER_VERSION = "its version gets no requests"

reasons = Registry("reason against a server")
own_reasons = Registry("reason against sending to a server")
# For some reasons, a preposition and the clock time in ms that the log states.
details = Registry("time of a reason")


@reasons.register("its address has another server")
def is_misdirected(directory, server, now_ms):
    """Return whether another server has answered at the address."""
    return server.misdirected


@reasons.register("leaving")
def has_left(directory, server, now_ms):
    """Return whether the time is over for which a leaving server may be used."""
    until_ms = server.leaving_until_ms
    return until_ms is not None and now_ms >= until_ms


@reasons.register("held by the server")
def is_held(directory, server, now_ms):
    """Return whether the server has asked for a pause."""
    return now_ms < server.held_until_ms


@reasons.register("its failure domain is out")
def is_evacuated(directory, server, now_ms):
    """Return whether the failure domain is out of service."""
    return server.entry.failure_domain in directory.domains_out


@own_reasons.register("no share of its connections")
def has_no_connection(directory, server, now_ms):
    """Return whether this daemon may open no connection to the server."""
    return server.pool.limit < 1


@own_reasons.register("it is cold")
def is_at_cold_limit(directory, server, now_ms):
    """Return whether a cold server has got this daemon's share of its rate."""
    return now_ms < server.cold_until_ms and directory.is_at_cold_limit(server, now_ms)


@details.register("leaving")
def leaving_since(server):
    """Return the clock time from which the server was known to leave."""
    return "since", server.leaving_since_ms


@details.register("held by the server")
def held_until(server):
    """Return the clock time at which the pause ends."""
    return "until", server.held_until_ms


ANY_DAEMON = tuple(reasons.items())
THIS_DAEMON = tuple(own_reasons.items())


def reason_against(directory, server, now_ms, own=True, planned=False):
    """Return why a server may not get a request now, or None if it may.

    With ``own`` the limits of this daemon count as well. With ``planned`` the request's
    plan has chosen the version, so that only the end of an order counts.
    """
    for name, applies in ANY_DAEMON:
        if applies(directory, server, now_ms):
            return name
    # Not in the registry, as most systems have no rollouts and are spared the call.
    versions = directory.versions
    if versions is not None:
        is_excluded = versions.forbids if planned else versions.withholds
        if is_excluded(server, now_ms):
            return OTHER_VERSION
    if own:
        for name, applies in THIS_DAEMON:
            if applies(directory, server, now_ms):
                return name
    return None


def without_clear_server(directory, services, regions, now_ms):
    """Return the services without a server to which clearly no reason applies.

    Such a service may still have a usable server. Each condition holds whenever the
    reason beside it may apply, so this costs a fifth of a look at all reasons, which
    matters for a query over many shards.
    """
    domains_out, versions = directory.domains_out, directory.versions
    servers_by_service = directory.services
    unclear = []
    for service in services:
        for server in servers_by_service.get(service, ()):
            if (
                server.misdirected
                or server.leaving_until_ms is not None
                or now_ms < server.held_until_ms
                or server.pool.limit < 1
                or now_ms < server.cold_until_ms
                or (domains_out and server.entry.failure_domain in domains_out)
                or (regions and server.region not in regions)
                or (versions is not None and versions.withholds(server, now_ms))
            ):
                continue
            break
        else:
            unclear.append(service)
    return unclear


def usable_of_any_version(directory, servers, now_ms):
    """Return the servers that some daemon may send to if their version may be used."""
    return [
        server
        for server in servers
        if reason_against(directory, server, now_ms, own=False, planned=True) is None
    ]


def describe_exclusions(directory, servers, request_servers, clock):
    """Return why servers may get no request, as a text for the log.

    ``request_servers`` adds the reasons of one request, unless it is None.
    """
    now_ms = clock.now_ms()
    texts = []
    for server in servers:
        reason = reason_against(directory, server, now_ms)
        if reason in details:
            preposition, time_ms = details.get(reason)(server)
            when = time_of_day(clock.wall_ms() + time_ms - now_ms)
            reason = f"{reason} {preposition} {when}"
        elif reason is None and request_servers is not None:
            reason = request_servers.reason_against(server)
        if reason is not None:
            texts.append(f"{server.server_id}: {reason}")
    return "; ".join(texts[:MAX_DESCRIBED_SERVERS])


def time_of_day(wall_ms):
    """Return a local time of day in the form of the log, such as ``10:46:29,248``."""
    when = datetime.fromtimestamp(wall_ms / 1000.0)
    return f"{when:%H:%M:%S},{when.microsecond // 1000:03d}"
