"""Query engine: admission of queries and routing of answers to them."""

import itertools
import math

from expression import Error
from twisted.internet.defer import Deferred

from hemlockspoke.limits.admission import Admission, AdmissionResult
from hemlockspoke.queries.budget import ExtraLoadBudget
from hemlockspoke.queries.hedging import hedge_policies
from hemlockspoke.queries.query_problems import (
    deadline_too_short,
    overloaded,
    unknown_target,
)
from hemlockspoke.queries.query_task import (
    Answers,
    DeadlinePassed,
    HolderLost,
    Query,
)

# If a plan was complete within this time, a missing part is probably due to a share
# that is moving to another holder. After that, the part counts as unavailable.
RECENTLY_COMPLETE_MS = 2000.0


class QueryEngine:
    """Runs the queries of one daemon.

    ``send(vm, message)`` sends a message to the holder on a VM, which may be the local
    one, and returns False if there is no stream to it.
    """

    __slots__ = (
        "_admissions",
        "_budgets",
        "_ids",
        "_instance_id",
        "_last_complete_ms",
        "_policies",
        "_queries",
        "_queued",
        "catalog",
        "clock",
        "configuration",
        "invariants",
        "metrics",
        "rng",
        "router",
        "send",
        "timings",
    )

    def __init__(
        self,
        clock,
        configuration,
        catalog,
        router,
        send,
        rng,
        metrics,
        invariants,
        timings,
    ):
        self.clock = clock
        self.configuration = configuration
        self.catalog = catalog
        self.router = router
        self.send = send
        self.rng = rng
        self.metrics = metrics
        self.invariants = invariants
        self.timings = timings
        # Prevents a restarted daemon from accepting answers to queries of its previous
        # process.
        self._instance_id = f"{rng.getrandbits(64):016x}"
        self._ids = itertools.count(1)
        self._admissions = {}
        self._budgets = {}
        self._policies = {}
        self._queries = {}
        self._queued = set()
        self._last_complete_ms = {}

    def run(self, request):
        """Return a deferred ``Result[QueryAnswer, Problem]`` of one query.

        Cancelling the deferred cancels the query.
        """
        document = self.configuration.document(request.service)
        problem = unknown_target(request, document)
        if problem is not None:
            return _already_fired(Error(problem))
        policy = document.queries
        deadline_ms = min(
            request.deadline_ms or policy.default_deadline_ms, policy.max_deadline_ms
        )
        if deadline_ms <= self.timings.answer_margin_ms:
            return _already_fired(Error(deadline_too_short(deadline_ms)))
        query = Query(self, f"{self._instance_id}-{next(self._ids)}", request, policy)
        admission_result = self._admission(request.service).admit(policy, query.start)
        if admission_result is AdmissionResult.REJECTED:
            self.metrics.count("query.rejected")
            return _already_fired(Error(overloaded("the queue of the service is full")))
        deferred = query.open(deadline_ms)
        if admission_result is AdmissionResult.NOW:
            query.start()
        else:
            self._queued.add(query)
        return deferred

    def receive(self, vm, message):
        """Pass a ``SubAnswerBatch`` of the holder on a VM to its query."""
        if type(message.request_id) is not str or type(message.items) is not list:
            self.metrics.count("query.bad_answers")
            return
        query = self._queries.get(message.request_id)
        if query is None:
            self.metrics.count("query.late_answers", len(message.items))
            return
        query.deliver(Answers(vm, message.items))

    def peer_lost(self, vm):
        """Fail all sub-queries sent to a VM whose stream was lost."""
        for query in list(self._queries.values()):
            query.deliver(HolderLost(vm))

    def give_up_all(self):
        """Answer all queries with what is known, as if their time had passed.

        Queued queries are first, as the end of a running one would start them.
        """
        for query in [*self._queued, *self._queries.values()]:
            query.deliver(DeadlinePassed())

    def in_flight(self):
        """Return the number of queries that are running or queued."""
        return len(self._queries) + len(self._queued)

    def budget(self, service):
        """Return the extra-load budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraLoadBudget()
        return budget

    def hedging(self, service, index, policy_name):
        """Return the hedge policy of an index, which keeps the index's latencies."""
        key = (service, index, policy_name)
        policy = self._policies.get(key)
        if policy is None:
            policy = self._policies[key] = hedge_policies.get(policy_name)()
        return policy

    def started(self, query):
        """Move a query from the queue to the running queries."""
        self._queued.discard(query)
        self._queries[query.request_id] = query

    def finished(self, query, result):
        """Remove a query and answer its caller; called once by each query.

        ``result`` is None if the caller has cancelled the query.
        """
        if query in self._queued:
            self._queued.discard(query)
            self._admission(query.request.service).cancel(query.start)
        else:
            del self._queries[query.request_id]
            self._release_slot(query)
        if result is None:
            return
        self.metrics.timing("query.elapsed_ms", query.elapsed_ms())
        self._count_outcome(result)
        query.deferred.callback(result)

    def recently_complete(self, request, plan):
        """Return whether an incomplete plan was complete a short time ago.

        For a complete plan, record the time and return False.
        """
        key = (request.service, request.index)
        now_ms = self.clock.now_ms()
        if plan is not None and plan.complete():
            self._last_complete_ms[key] = now_ms
            return False
        return (
            now_ms - self._last_complete_ms.get(key, -math.inf) < RECENTLY_COMPLETE_MS
        )

    def _count_outcome(self, result):
        if result.is_error():
            self.metrics.count("query.failed")
            return
        answer = result.ok
        self.metrics.count(
            "query.partial" if answer.missing_parts else "query.complete"
        )
        self.metrics.count("query.parts_missing", len(answer.missing_parts))
        self.metrics.count("query.hedged", answer.hedged)
        self.metrics.count("query.retried", answer.retried)

    def _admission(self, service):
        admission = self._admissions.get(service)
        if admission is None:
            admission = self._admissions[service] = Admission()
        return admission

    def _release_slot(self, query):
        document = self.configuration.document(query.request.service)
        policy = document.queries if document else query.policy
        self._admission(query.request.service).release(policy)


def _already_fired(result):
    deferred = Deferred()
    deferred.callback(result)
    return deferred
