"""Has parts of a query gathered by a daemon near their servers.

The parts of a query are many times larger than the answer made from them. A daemon
in the servers' failure domain merges them and sends back only the greatest records
and the proofs, so that little crosses between failure domains.
"""

import itertools
import logging

from hemlockspoke.messages import GatherCancel, GatherParts, GatherRequest
from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.journal import describe_sends, printable
from hemlockspoke.tier.merge import greatest_records

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
# What the first report may take over a round trip, for a busy moment of either daemon.
FIRST_REPORT_ALLOWANCE_MS = 25.0
# Left to the asking daemon to read a report and to answer.
REPORT_ALLOWANCE_MS = 6.0


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


class _GatheredHere:
    """Parts that this daemon gathers for another one."""

    __slots__ = (
        "_deliveries",
        "_desk",
        "_failed",
        "_finished",
        "_message",
        "_parts",
        "_peer",
        "_query_id",
        "_resolved",
        "_started_ms",
        "_timers",
        "_top_k",
        "attempt_id",
    )

    def __init__(self, desk, peer, message):
        self._desk = desk
        self._peer = peer
        self._message = message
        self._query_id = message.query_id
        self._top_k = message.top_k
        self._parts = []
        self._started_ms = desk.clock.now_ms()
        self._failed = []
        self._resolved = 0
        self._finished = False
        self._timers = []
        self._deliveries = []
        self.attempt_id = None

    def start(self, tier, route, timing):
        """Send the sub-queries."""
        message = self._message
        now_ms = tier.clock.now_ms()
        headers = [(bytes(name), bytes(value)) for name, value in message.headers]
        self.attempt_id = tier.codec.read_caller(headers).attempt_id
        work = Work(
            message.method,
            message.target,
            headers,
            b"",
            self.attempt_id,
            now_ms + message.remaining_ms,
            True,
        )
        aim_ms = now_ms + message.aim_in_ms
        self._deliveries = [
            Delivery(
                tier,
                service,
                route,
                work,
                timing,
                aim_ms,
                self._delivered,
                only=frozenset(allowed),
            )
            for service, allowed in message.services
        ]
        first_ms = FIRST_REPORT_PART * message.aim_in_ms
        call_later = tier.clock.call_later
        self._timers = [
            call_later(first_ms, self._report, False),
            call_later(max(first_ms, message.aim_in_ms), self._at_aim),
            call_later(message.remaining_ms, self._report, True),
        ]
        # An empty report at once tells the asking daemon that this one lives.
        self._report(last=False)
        for delivery in self._deliveries:
            if not self._finished:
                delivery.start()

    def _delivered(self, delivery, result):
        if self._finished:
            return
        self._resolved += 1
        if result.answered:
            took_ms = self._desk.clock.now_ms() - self._started_ms
            self._parts.append((delivery.service, result.attempt, took_ms))
        else:
            self._failed.append([delivery.service, result.may_have_run])
        if self._resolved == len(self._deliveries):
            self._report(last=True)

    def _at_aim(self):
        """Report what came since the first report; late parts still count later."""
        if not self._finished and (self._parts or self._failed):
            self._report(last=False)

    def _report(self, last):
        if self._finished:
            return
        parts, self._parts = self._parts, []
        failed, self._failed = self._failed, []
        bodies = [attempt.response.body for _, attempt, _ in parts]
        report = GatherParts(
            query_id=self._query_id,
            services=[service for service, _, _ in parts],
            proofs=[attempt.marks.proof for _, attempt, _ in parts],
            took_ms=[round(took_ms) for _, _, took_ms in parts],
            records=greatest_records(bodies, self._top_k),
            failed=failed,
            last=last,
        )
        self._desk.send(self._peer, report)
        if last:
            self._end("reported")
            for delivery in self._deliveries:
                delivery.abandon()

    def cancel(self):
        """Stop: nobody waits for the parts."""
        if not self._finished:
            self._end("cancelled")
            for delivery in self._deliveries:
                delivery.cancel()

    def _end(self, outcome):
        self._finished = True
        sends = describe_sends(self._deliveries)
        if sends:
            logger.info(
                "gathered for a peer",
                extra={
                    "request": printable(self.attempt_id),
                    "for_peer": self._peer,
                    "outcome": outcome,
                    "sends": sends,
                },
            )
        for timer in self._timers:
            timer.cancel()
        self._desk.gathered(self._peer, self._query_id)


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

    def ask(self, peer, request, allowed, domain, rtt_ms, gather):
        """Hand parts of a query to a daemon of a domain; None if it is not reached."""
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
        gathering = _GatheredHere(self, vm, message)
        self._here[vm, message.query_id] = gathering
        gathering.start(self._tier, route, self._timings.of(route))

    def peer_lost(self, vm):
        """Take that nothing more will be heard of a daemon."""
        for parts in [p for p in self._asked.values() if p.peer == vm]:
            parts.lose()
        for (peer, _), gathering in list(self._here.items()):
            if peer == vm:
                gathering.cancel()
