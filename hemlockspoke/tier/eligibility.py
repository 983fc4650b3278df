"""The reasons for which a server may not get a request now, in one list.

Each reason is a function of the directory, the server and the clock time in ms. They
are tried in the order in which they stand here: those that hold for any daemon, and
then those that concern this daemon's shares of limits.
"""

from hemlockspoke.registry import Registry

reasons = Registry("reason against a server")
own_reasons = Registry("reason against sending to a server")


@reasons.register("its address has another server")
def is_misdirected(directory, server, now_ms):
    """Return whether another server has answered at the address."""
    return server.misdirected


@reasons.register("it has left")
def has_left(directory, server, now_ms):
    """Return whether the time is over for which a leaving server may be used."""
    until_ms = server.leaving_until_ms
    return until_ms is not None and now_ms >= until_ms


@reasons.register("it wants no requests")
def is_held(directory, server, now_ms):
    """Return whether the server has asked for a pause."""
    return server.held(now_ms)


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
    return directory.is_at_cold_limit(server, now_ms)


ANY_DAEMON = reasons.items()
THIS_DAEMON = own_reasons.items()


def reason_against(directory, server, now_ms, own=True):
    """Return why a server may not get a request now, or None if it may.

    With ``own`` the limits of this daemon count as well.
    """
    for name, applies in ANY_DAEMON:
        if applies(directory, server, now_ms):
            return name
    if own:
        for name, applies in THIS_DAEMON:
            if applies(directory, server, now_ms):
                return name
    return None
