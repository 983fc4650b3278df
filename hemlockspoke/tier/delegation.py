"""Has parts of a query gathered by a daemon near their servers.

The parts of a query are many times larger than the answer made from them. A daemon
in the servers' failure domain merges them and sends back only the greatest records
and the proofs, so that little crosses between failure domains.
"""

import itertools
import logging

from hemlockspoke.messages import GatherCancel, GatherParts, GatherRequest
from hemlockspoke.tier.gathered import GatheredParts

logger = logging.getLogger(__name__)

# Fewer parts save less than the extra way costs.
MIN_PARTS = 3
# Parts of one query that a daemon gathers at most, if others can share them. On half
# a core, sending so many sub-queries takes about as long as a server needs.
PARTS_PER_DAEMON = 32
# A silent daemon is asked again after this time; its stream is closed by then if it
# is still silent.
SUSPECT_MS = 1500.0
# Part of the gathering daemon's time after which it sends what it has.
FIRST_REPORT_PART = 0.45
# Before this part hardly any server has answered.
EARLIEST_REPORT_PART = 0.2
# What the first report may take over a round trip, for a busy moment of either daemon.
FIRST_REPORT_ALLOWANCE_MS = 25.0
# Left to the asking daemon to read a report and to answer.
REPORT_ALLOWANCE_MS = 10.0


class DelegatedParts:
    """Parts of one query that another daemon gathers.

    ``gather`` is told of each report, of the services that nothing was heard of when
    the first report is overdue, and of those that there will be none for.
    """

    __slots__ = (
        "_asked_ms",
        "_desk",
        "_gather",
        "_timer",
        "domain",
        "done",
        "peer",
        "query_id",
        "silent",
        "waiting",
    )

    def __init__(self, desk, query_id, peer, domain, services, gather):
        self._desk = desk
        self._gather = gather
        self._asked_ms = desk.clock.now_ms()
        self._timer = None
        self.query_id = query_id
        self.peer = peer
        self.domain = domain
        self.waiting = set(services)
        self.silent = False
        self.done = False

    def start(self, patience_ms):
        """Give the other daemon some time for its first report."""
        self._timer = self._desk.clock.call_later(patience_ms, self._overdue)

    def _overdue(self):
        self.silent = True
        self._desk.suspect(self.peer)
        logger.info(
            "delegated parts overdue",
            extra={"peer": self.peer, "parts": len(self.waiting)},
        )
        self._gather.delegate_silent(self.waiting)

    def report(self, message):
        """Take a report of the gathering daemon."""
        self._timer.cancel()
        self._desk.trust(self.peer)
        if self.silent:
            self.silent = False
            elapsed_ms = self._desk.clock.now_ms() - self._asked_ms
            logger.info(
                "delegated parts late",
                extra={"peer": self.peer, "elapsed_ms": round(elapsed_ms)},
            )
        self.waiting.difference_update(message.services)
        self.waiting.difference_update(service for service, _ in message.failed)
        if message.last:
            self._close()
        self._gather.delegate_reported(message, self.domain)

    def lose(self):
        """Take that the other daemon is not reached any more."""
        if not self.done:
            self._close()
            self._gather.delegate_lost(self.waiting)

    def cancel(self):
        """Tell the other daemon to stop."""
        if not self.done:
            self._close()
            self._desk.send(self.peer, GatherCancel(query_id=self.query_id))

    def _close(self):
        self.done = True
        self._timer.cancel()
        self._desk.forget(self)


def first_report_ms(aim_in_ms, report_ms, start_ms):
    """Return the time until the first report, in time for ``report_ms`` if it can be.

    >>> first_report_ms(100.0, 60.0, 0.0), first_report_ms(100.0, None, 0.0)
    (60.0, 45.0)
    >>> first_report_ms(100.0, 60.0, 50.0)
    45.0
    """
    usual_ms = FIRST_REPORT_PART * aim_in_ms
    if report_ms is None or report_ms - start_ms < EARLIEST_REPORT_PART * aim_in_ms:
        return usual_ms
    return report_ms - start_ms


class DelegationDesk:
    """Sends parts of queries to other daemons, and gathers parts for them."""

    __slots__ = (
        "_asked",
        "_fellows",
        "_here",
        "_ids",
        "_leaving",
        "_network",
        "_suspects",
        "_tier",
        "_timings",
        "clock",
    )

    def __init__(self, tier, timings, fellows, network, leaving):
        self._tier = tier
        self._timings = timings
        self._fellows = fellows
        self._network = network
        self._leaving = leaving
        self._ids = itertools.count(1)
        self._asked = {}
        self._here = {}
        self._suspects = {}
        self.clock = tier.clock

    def send(self, peer, message):
        """Send a message; False if the daemon is not reached."""
        return self._network.send(peer, message)

    def active(self):
        """Return how many queries are gathered here for other daemons."""
        return len(self._here)

    @property
    def domain(self):
        """Return the failure domain of this daemon."""
        return self._fellows.domain

    def helpers(self, domain, count):
        """Return at most ``count`` daemons that gather in a failure domain."""
        if count < 1:
            return []
        now_ms = self.clock.now_ms()
        helpers = [
            vm
            for vm in self._fellows.hubs(domain)
            if self._suspects.get(vm, 0.0) <= now_ms and not self._leaving(vm)
        ]
        return helpers[:count]

    def suspect(self, peer):
        """Ask a daemon that did not report in time nothing for a while."""
        self._suspects[peer] = self.clock.now_ms() + SUSPECT_MS

    def trust(self, peer):
        """Ask a daemon that has reported again."""
        self._suspects.pop(peer, None)

    def ask(
        self,
        peer,
        request,
        allowed,
        domain,
        rtt_ms,
        gather,
        report_ms=None,
        repeat=False,
    ):
        """Hand parts of a query to a daemon of a domain; None if it is not reached.

        ``report_ms`` is the time of the clock at which a first report is useful.
        """
        now_ms = self.clock.now_ms()
        query_id = next(self._ids)
        route = request.route
        way_ms = rtt_ms + REPORT_ALLOWANCE_MS
        aim_in_ms = max(1.0, request.aim_ms - now_ms - way_ms)
        message = GatherRequest(
            query_id=query_id,
            host=route.host,
            path_prefix=route.path_prefix,
            method=request.http.method,
            target=request.http.target,
            headers=[list(header) for header in request.http.headers],
            services=list(allowed.items()),
            top_k=route.top_k,
            aim_in_ms=aim_in_ms,
            remaining_ms=max(1.0, request.caller_deadline_ms - now_ms - rtt_ms),
            report_in_ms=first_report_ms(aim_in_ms, report_ms, now_ms + way_ms),
            repeat=repeat,
        )
        if not self.send(peer, message):
            return None
        parts = DelegatedParts(self, query_id, peer, domain, allowed, gather)
        self._asked[query_id] = parts
        parts.start(rtt_ms + FIRST_REPORT_ALLOWANCE_MS)
        return parts

    def forget(self, parts):
        """Forget parts that are complete or not wanted any more."""
        self._asked.pop(parts.query_id, None)

    def gathered(self, peer, query_id):
        """Forget parts gathered here."""
        self._here.pop((peer, query_id), None)

    def receive(self, vm, message):
        """Take a message of another daemon."""
        if isinstance(message, GatherParts):
            parts = self._asked.get(message.query_id)
            if parts is not None and parts.peer == vm:
                parts.report(message)
        elif isinstance(message, GatherRequest):
            self._gather(vm, message)
        elif isinstance(message, GatherCancel):
            gathering = self._here.get((vm, message.query_id))
            if gathering is not None:
                gathering.cancel()

    def _gather(self, vm, message):
        table = self._tier.directory.routing
        route = None
        if table is not None:
            route = table.find(message.host, message.path_prefix)
        if route is None:
            failed = [[service, False] for service, _ in message.services]
            report = GatherParts(
                query_id=message.query_id,
                services=[],
                proofs=[],
                took_ms=[],
                records=b"",
                failed=failed,
                last=True,
            )
            self.send(vm, report)
            return
        gathering = GatheredParts(self, vm, message)
        self._here[vm, message.query_id] = gathering
        gathering.start(self._tier, route, self._timings.of(route))

    def peer_lost(self, vm):
        """Take that nothing more will be heard of a daemon."""
        for parts in [p for p in self._asked.values() if p.peer == vm]:
            parts.lose()
        for (peer, _), gathering in list(self._here.items()):
            if peer == vm:
                gathering.cancel()
