"""Queries: admission, dispatch of answers, and the engine that owns them."""

import itertools
import math

from expression import Error
from twisted.internet.defer import Deferred

from hemlockspoke.limits.admission import Admission, Admitted
from hemlockspoke.queries.budget import ExtraLoadBudget
from hemlockspoke.queries.hedging import hedge_policies
from hemlockspoke.queries.query_problems import deadline_too_short, overloaded, refusal
from hemlockspoke.queries.query_task import Answers, HolderLost, Query

# A plan that was complete within this time has probably lost a part to a share on
# its way to another holder; later, the part is taken for lost.
RECENTLY_WHOLE_MS = 2000.0


class QueryEngine:
    """Runs the queries of one daemon.

    ``send(vm, message)`` hands a message to the holder on a VM, also to the local
    one, and returns False if there is no stream to it.
    """

    __slots__ = (
        "_admissions",
        "_budgets",
        "_ids",
        "_instance",
        "_policies",
        "_queries",
        "_waiting",
        "_whole_ms",
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
        # A restarted daemon must not take answers to its former queries.
        self._instance = f"{rng.getrandbits(64):016x}"
        self._ids = itertools.count(1)
        self._admissions = {}
        self._budgets = {}
        self._policies = {}
        self._queries = {}
        self._waiting = set()
        self._whole_ms = {}

    def run(self, request):
        """Return a deferred ``Result[QueryAnswer, Problem]`` of one query.

        Cancelling the deferred cancels the query.
        """
        document = self.configuration.document(request.service)
        problem = refusal(request, document)
        if problem is not None:
            return _fired(Error(problem))
        policy = document.queries
        deadline_ms = min(
            request.deadline_ms or policy.default_deadline_ms, policy.max_deadline_ms
        )
        if deadline_ms <= self.timings.answer_margin_ms:
            return _fired(Error(deadline_too_short(deadline_ms)))
        query = Query(self, f"{self._instance}-{next(self._ids)}", request, policy)
        admitted = self._admission(request.service).enter(policy, query.start)
        if admitted is Admitted.REJECTED:
            self.metrics.count("query.rejected")
            return _fired(Error(overloaded("the queue of the service is full")))
        deferred = query.open(deadline_ms)
        if admitted is Admitted.NOW:
            query.start()
        else:
            self._waiting.add(query)
        return deferred

    def receive(self, vm, message):
        """Take a ``SubAnswerBatch`` of the holder on a VM."""
        if type(message.request_id) is not str or type(message.items) is not list:
            self.metrics.count("query.bad_answers")
            return
        query = self._queries.get(message.request_id)
        if query is None:
            self.metrics.count("query.late_answers", len(message.items))
            return
        query.tell(Answers(vm, message.items))

    def peer_lost(self, vm):
        """Note that nothing sent to a VM before will be answered."""
        for query in list(self._queries.values()):
            query.tell(HolderLost(vm))

    def in_flight(self):
        """Return the number of queries that are running or queued."""
        return len(self._queries) + len(self._waiting)

    def budget(self, service):
        """Return the extra-load budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraLoadBudget()
        return budget

    def hedging(self, service, index, policy_name):
        """Return the hedge policy of an index with its measured latencies."""
        key = (service, index, policy_name)
        policy = self._policies.get(key)
        if policy is None:
            policy = self._policies[key] = hedge_policies.get(policy_name)()
        return policy

    def started(self, query):
        """Move a query from the queue to those that run."""
        self._waiting.discard(query)
        self._queries[query.request_id] = query

    def finished(self, query, result):
        """Forget a query and answer its caller; called once by each query."""
        if query in self._waiting:
            self._waiting.discard(query)
            self._admission(query.request.service).abandon(query.start)
        else:
            del self._queries[query.request_id]
            self._leave(query)
        if result is None:
            return
        self.metrics.timing("query.elapsed_ms", query.elapsed_ms())
        self._count_outcome(result)
        query.deferred.callback(result)

    def recently_whole(self, request, plan):
        """Tell whether an incomplete plan was complete until just now."""
        key = (request.service, request.index)
        now_ms = self.clock.now_ms()
        if plan is not None and plan.complete():
            self._whole_ms[key] = now_ms
            return False
        return now_ms - self._whole_ms.get(key, -math.inf) < RECENTLY_WHOLE_MS

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

    def _leave(self, query):
        document = self.configuration.document(query.request.service)
        policy = document.queries if document else query.policy
        self._admission(query.request.service).leave(policy)


def _fired(result):
    deferred = Deferred()
    deferred.callback(result)
    return deferred
