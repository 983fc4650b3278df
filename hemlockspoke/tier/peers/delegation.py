"""Delegates parts of queries to other daemons, and gathers parts for them.

A query goes to one server of each shard of its index. Each shard is a service of its
own, and its answer is a part of the query: some records, and a proof that the server
ran the request. The parts together are many times larger than the merged answer. A
daemon in the failure domain of the servers merges the parts and returns only the
greatest records and the proofs, which keeps traffic between failure domains low.

The delegating daemon sends a ``GatherRequest``. The gathering daemon acknowledges it at
once by a ``GatherReport`` message without parts, and reports the parts in further ones.
``GatherCancel`` ends its work. The aim of a query is the clock time at which its answer
must be sent to meet the target latency of its route.
"""

import itertools
import logging

from hemlockspoke.tier.messages import GatherCancel, GatherReport, GatherRequest
from hemlockspoke.tier.peers.peer_gather import PeerGather

logger = logging.getLogger(__name__)

# Delegating fewer parts saves less than the additional hop costs.
MIN_DELEGATED_PARTS = 3
# Limit on the parts of one query that a daemon gathers while others are available. On
# half a core, sending this many requests takes about as long as a server needs to
# answer one.
MAX_PARTS_PER_DAEMON = 32
# Time for which no parts are delegated to a daemon that did not acknowledge in time. If
# it stays silent, its stream has been closed by then.
SILENT_PEER_RETRY_MS = 1500.0
# Fraction of the time to the aim after which the gathering daemon sends its first
# report with parts, unless the delegating daemon needs it at a certain time.
DEFAULT_REPORT_FRACTION = 0.45
# A report that is needed before this fraction of the time to the aim has passed is not
# requested for then, as hardly any server has answered.
EARLIEST_REPORT_FRACTION = 0.2
# Added to the round trip until the acknowledgement, as either daemon may be busy.
ACKNOWLEDGEMENT_ALLOWANCE_MS = 25.0
# Time for the delegating daemon to read a report and to send its answer to the caller.
REPORT_ALLOWANCE_MS = 10.0


class DelegatedParts:
    """Parts of one query that another daemon, ``peer``, gathers for this one.

    ``domain`` is the failure domain of the other daemon. ``pending`` holds the services
    whose parts it has not reported. ``silent`` is True while its acknowledgement is
    overdue, ``done`` once it has sent its last report, is lost or was told to stop.
    ``has_reported`` is True once a report other than the acknowledgement has arrived,
    ``waiting_server_ids`` are those of the last report.

    ``gather`` runs the query on this daemon. It is notified of each report, of the
    pending services when the acknowledgement is overdue, and of those that are pending
    when the other daemon is lost.
    """

    __slots__ = (
        "_delegation",
        "_gather",
        "_is_acknowledged",
        "_started_ms",
        "_timer",
        "domain",
        "done",
        "has_reported",
        "peer",
        "pending",
        "query_id",
        "silent",
        "waiting_server_ids",
    )

    def __init__(self, delegation, query_id, peer, domain, services, gather):
        self._delegation = delegation
        self._gather = gather
        self._started_ms = delegation.clock.now_ms()
        self._timer = None
        self.query_id = query_id
        self.peer = peer
        self.domain = domain
        self.pending = set(services)
        self.silent = False
        self.done = False
        self._is_acknowledged = False
        self.has_reported = False
        self.waiting_server_ids = ()

    def start(self, timeout_ms):
        """Start the timeout for the other daemon's acknowledgement."""
        clock = self._delegation.clock
        self._timer = clock.call_after_reads(timeout_ms, self._on_overdue)

    def _on_overdue(self):
        self.silent = True
        self._delegation.mark_silent(self.peer)
        logger.info(
            "delegated parts overdue",
            extra={"peer": self.peer, "parts": len(self.pending)},
        )
        self._gather.on_gatherer_silent(self.pending)

    def report(self, message):
        """Handle a report of the gathering daemon, which may be the acknowledgement."""
        self._timer.cancel()
        self.has_reported = self._is_acknowledged or bool(message.services)
        self._is_acknowledged = True
        self.waiting_server_ids = message.waiting_server_ids
        self._delegation.mark_responsive(self.peer)
        if self.silent:
            self.silent = False
            elapsed_ms = self._delegation.clock.now_ms() - self._started_ms
            logger.info(
                "delegated parts late",
                extra={"peer": self.peer, "elapsed_ms": round(elapsed_ms)},
            )
        self.pending.difference_update(message.services)
        self.pending.difference_update(service for service, _ in message.failed)
        if message.last:
            self._close()
        self._gather.on_report(message, self.domain)

    def fail(self):
        """Handle the loss of the connection to the other daemon."""
        if not self.done:
            self._close()
            self._gather.on_gatherer_lost(self.pending)

    def cancel(self):
        """Tell the other daemon to stop, as its parts are no longer needed."""
        if not self.done:
            self._close()
            self._delegation.send(self.peer, GatherCancel(query_id=self.query_id))

    def _close(self):
        self.done = True
        self._timer.cancel()
        self._delegation.remove(self)


def first_report_ms(aim_in_ms, report_ms, start_ms):
    """Return how long the gathering daemon waits before its first report with parts.

    The report arrives at the clock time ``report_ms``, unless that is None or too early
    for many parts. ``aim_in_ms`` is the time that the gathering daemon has until the
    aim. ``start_ms`` is the clock time at which a report without a wait would arrive.

    >>> first_report_ms(100.0, 60.0, 0.0), first_report_ms(100.0, None, 0.0)
    (60.0, 45.0)
    >>> first_report_ms(100.0, 60.0, 50.0)
    45.0
    """
    default_ms = DEFAULT_REPORT_FRACTION * aim_in_ms
    if report_ms is None or report_ms - start_ms < EARLIEST_REPORT_FRACTION * aim_in_ms:
        return default_ms
    return report_ms - start_ms


class DelegationManager:
    """Sends and receives the messages about delegated parts; one for each daemon.

    Parts of this daemon's queries are delegated with ``delegate``. For parts that other
    daemons delegate, it starts a ``PeerGather`` for each query.

    ``tier`` holds the components that all requests share, and ``timings`` the usual
    times of each route. ``peers`` finds daemons by failure domain, ``network`` sends
    messages to those with an open stream, and ``is_leaving(vm)`` returns whether a
    daemon is about to stop. A daemon is identified by its VM.
    """

    __slots__ = (
        "_delegated",
        "_is_leaving",
        "_network",
        "_peer_gathers",
        "_peers",
        "_query_ids",
        "_silent_until_ms",
        "_tier",
        "_timings",
        "clock",
    )

    def __init__(self, tier, timings, peers, network, is_leaving):
        self._tier = tier
        self._timings = timings
        self._peers = peers
        self._network = network
        self._is_leaving = is_leaving
        self._query_ids = itertools.count(1)
        # DelegatedParts by query id, which is unique among those of this daemon.
        self._delegated = {}
        # PeerGather by the VM of the delegating daemon and its query id.
        self._peer_gathers = {}
        # Clock time until which no parts are delegated to a silent daemon, by VM.
        self._silent_until_ms = {}
        self.clock = tier.clock

    def send(self, peer, message):
        """Send a message; return False if the daemon is not connected."""
        return self._network.send(peer, message)

    def peer_gather_count(self):
        """Return how many queries this daemon gathers parts of for others."""
        return len(self._peer_gathers)

    @property
    def domain(self):
        """Return the failure domain of this daemon."""
        return self._peers.domain

    def available_gatherers(self, domain, count):
        """Return the VMs of at most ``count`` hubs of a failure domain that can gather.

        Hubs are the daemons of a failure domain that gather parts for others.
        """
        if count < 1:
            return []
        now_ms = self.clock.now_ms()
        gatherers = [
            vm
            for vm in self._peers.hubs(domain)
            if self._silent_until_ms.get(vm, 0.0) <= now_ms and not self._is_leaving(vm)
        ]
        return gatherers[:count]

    def mark_silent(self, peer):
        """Delegate nothing for a while to a daemon that did not acknowledge in time."""
        self._silent_until_ms[peer] = self.clock.now_ms() + SILENT_PEER_RETRY_MS

    def mark_responsive(self, peer):
        """Delegate again to a daemon that has reported."""
        self._silent_until_ms.pop(peer, None)

    def delegate(
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
        """Delegate parts of a query to a daemon; return the ``DelegatedParts``.

        Return None if the daemon ``peer`` is not connected. ``request`` is the caller's
        ``TierRequest``, and ``gather`` is notified of the results. ``allowed`` maps
        each service to the ids of the servers that may get the request. ``domain`` is
        the failure domain of those servers and of the daemon, ``rtt_ms`` the round trip
        time to it. ``report_ms`` is the clock time at which the first report is needed,
        or None. ``repeat`` is True for hedges: a server of each service already has the
        request, and another one gets it too.
        """
        now_ms = self.clock.now_ms()
        query_id = next(self._query_ids)
        route = request.route
        transfer_ms = rtt_ms + REPORT_ALLOWANCE_MS
        aim_in_ms = max(1.0, request.aim_ms - now_ms - transfer_ms)
        message = GatherRequest(
            query_id=query_id,
            host=route.host,
            path_prefix=route.path_prefix,
            method=request.http.method,
            target=request.http.target,
            headers=[list(header) for header in request.headers],
            services=list(allowed.items()),
            regions=sorted(request.regions),
            top_k=route.top_k,
            aim_in_ms=aim_in_ms,
            remaining_ms=max(1.0, request.caller_deadline_ms - now_ms - rtt_ms),
            report_in_ms=first_report_ms(aim_in_ms, report_ms, now_ms + transfer_ms),
            repeat=repeat,
        )
        if not self.send(peer, message):
            return None
        parts = DelegatedParts(self, query_id, peer, domain, allowed, gather)
        self._delegated[query_id] = parts
        parts.start(rtt_ms + ACKNOWLEDGEMENT_ALLOWANCE_MS)
        return parts

    def remove(self, parts):
        """Forget delegated parts whose gathering has ended."""
        self._delegated.pop(parts.query_id, None)

    def remove_gather(self, peer, query_id):
        """Forget a gather for another daemon that has ended."""
        self._peer_gathers.pop((peer, query_id), None)

    def receive(self, vm, message):
        """Handle a message of another daemon; those of other types are ignored."""
        if isinstance(message, GatherReport):
            self._tier.directory.note_leaving_at_peer(message.leaving)
            parts = self._delegated.get(message.query_id)
            if parts is not None and parts.peer == vm:
                parts.report(message)
        elif isinstance(message, GatherRequest):
            self._start_gather(vm, message)
        elif isinstance(message, GatherCancel):
            peer_gather = self._peer_gathers.get((vm, message.query_id))
            if peer_gather is not None:
                peer_gather.cancel()

    def _start_gather(self, vm, message):
        table = self._tier.directory.routing
        route = None
        if table is not None:
            route = table.find(message.host, message.path_prefix)
        if route is None:
            # This daemon may have another configuration, or none yet. The delegating
            # daemon learns that nothing was sent, and sends the requests itself.
            failed = [[service, False] for service, _ in message.services]
            report = GatherReport(
                query_id=message.query_id,
                services=[],
                proofs=[],
                took_ms=[],
                records=b"",
                failed=failed,
                waiting_server_ids=[],
                leaving=[],
                last=True,
            )
            self.send(vm, report)
            return
        peer_gather = PeerGather(self, vm, message)
        self._peer_gathers[vm, message.query_id] = peer_gather
        peer_gather.start(self._tier, route, self._timings.for_route(route))

    def peer_lost(self, vm):
        """Fail the parts delegated to a lost daemon; cancel the gathers for it."""
        for parts in [
            delegated_parts
            for delegated_parts in self._delegated.values()
            if delegated_parts.peer == vm
        ]:
            parts.fail()
        for (peer, _), peer_gather in list(self._peer_gathers.items()):
            if peer == vm:
                peer_gather.cancel()
