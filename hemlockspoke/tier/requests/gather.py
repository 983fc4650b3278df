"""Scatter-gather: sends a query to one server of each shard and merges the parts.

Each shard of an index is a service of its own, so both words mean the same here. Its
answer is a part: some records, and the server's proof that it ran the request. The aim
is the clock time at which the answer must be sent to meet the route's target latency.
"""

from hemlockspoke.tier.requests.answer_time import AnswerTime
from hemlockspoke.tier.requests.delegated_hedges import DelegatedHedges
from hemlockspoke.tier.requests.gather_plan import GatherPlan
from hemlockspoke.tier.sending.attempt import OutgoingRequest
from hemlockspoke.tier.sending.delivery import Delivery
from hemlockspoke.tier.sending.merge import PartialAnswer, greatest_records
from hemlockspoke.tier.sending.replies import ErrorReply

NO_ANSWER_IN_TIME = "no answer in time"


class Gather:
    """Answers a caller's ``TierRequest`` from the shards of its route.

    ``tier`` has the components that all requests share. Unless the query is cancelled,
    ``on_answer(status, headers, body, outcome, reason)`` is called once: when no part
    can still arrive, or at the aim if the minimum coverage is reached by then, or when
    it is reached right after the aim, or once it is reached and the wait after the aim
    is over; or with an error.

    A delivery sends the request to servers of one service until one answers. Most parts
    of other failure domains are delegated to a daemon there, the gatherer; if it is
    silent, this daemon sends the requests as well. A hedge is a second request for a
    part, to another server, while the first is in progress.
    """

    __slots__ = (
        "_aim_timer",
        "_allowed",
        "_answered",
        "_deadline_timer",
        "_delegations",
        "_deliveries",
        "_finished",
        "_hedges",
        "_may_have_run",
        "_needed_count",
        "_on_answer",
        "_outgoing",
        "_partial_answers",
        "_pending",
        "_plan",
        "_request",
        "_shard_count",
        "_source_counts",
        "_tier",
        "_times",
    )

    def __init__(self, tier, request, on_answer):
        self._tier = tier
        self._request = request
        self._on_answer = on_answer
        # Ids of the servers that may get the request, for services with such a limit.
        self._allowed = {}
        self._deliveries = []
        self._delegations = []
        self._partial_answers = []
        # Number of deliveries and delegations in progress for each service.
        self._source_counts = dict.fromkeys(request.route.shards, 0)
        self._answered = set()
        # Unanswered services for which a delivery or delegation is in progress.
        self._pending = set()
        self._may_have_run = False
        self._finished = False
        # Set if parts are delegated.
        self._plan = None
        self._hedges = None
        self._times = AnswerTime.from_request(request)
        self._aim_timer = None
        self._deadline_timer = None
        self._shard_count = len(request.route.shards)
        self._needed_count = request.route.needed_count()
        self._outgoing = OutgoingRequest.from_request(request, idempotent=True)

    def start(self):
        """Send or delegate the request for each shard, and start the timers."""
        request = self._request
        clock = self._tier.clock
        now_ms = clock.now_ms()
        self._deadline_timer = clock.call_after_reads(
            request.give_up_ms - now_ms, self._on_timeout
        )
        if request.aim_ms > now_ms:
            self._aim_timer = clock.call_later(request.aim_ms - now_ms, self._on_aim)
        samples = self._tier.samples(request)
        services = [name for name in request.route.shards if name not in samples]
        self._send_directly([*samples, *self._delegate(services)], samples=samples)

    def _delegate(self, services):
        """Delegate services to daemons near their servers; return the others."""
        request, delegation = self._request, self._tier.delegation
        # The message to a gatherer has no field for a body.
        if delegation is None or request.http.body:
            return services
        plan = self._plan = GatherPlan(self._tier, request)
        self._hedges = DelegatedHedges(self._tier, request, plan, self)
        direct_services = []
        for domain, group in plan.by_domain(services).items():
            rtt_ms = plan.max_rtt_ms(group)
            for gatherer, group_services in plan.divide(domain, group):
                # If both daemons send requests, they must use the same servers, so
                # that no more servers get the request than the route allows.
                allowed = plan.allowed_server_ids(group_services)
                if gatherer is None or not self._delegate_group(
                    gatherer, allowed, domain, rtt_ms
                ):
                    direct_services.extend(group_services)
                else:
                    self._allowed.update(allowed)
        return direct_services

    def _delegate_group(self, gatherer, allowed, domain, rtt_ms, repeat=False):
        """Delegate services to a gatherer; return False if it is not connected."""
        request, due_ms = self._request, self._hedges.due_ms
        parts = self._tier.delegation.delegate(
            gatherer, request, allowed, domain, rtt_ms, self, due_ms, repeat
        )
        if parts is None:
            return False
        self._delegations.append(parts)
        for service in allowed:
            self._add_source(service)
        return True

    def delegate_hedges(self, gatherer, domain, servers):
        """Delegate hedges of missing parts to a daemon near their other servers.

        ``servers`` maps each service to the server in the failure domain ``domain``
        that gets the hedge. Return the services of which a hedge is delegated.
        """
        by_service = {delivery.service: delivery for delivery in self._deliveries}
        allowed = {
            service: [server.server_id]
            for service, server in servers.items()
            if self._may_hedge(by_service.get(service), service, server)
        }
        if allowed:
            rtt_ms = max(servers[service].rtt_ms for service in allowed)
            self._delegate_group(gatherer, allowed, domain, rtt_ms, repeat=True)
            self._tier.metrics.count("hedges.delegated", len(allowed))
        return set(allowed)

    def pending(self):
        """Return the services whose parts are in progress."""
        return self._pending

    def delegations(self):
        """Return the ``DelegatedParts`` of the query."""
        return self._delegations

    def _may_hedge(self, delivery, service, server):
        """Return whether another daemon may send a hedge to a server of a service."""
        if delivery is None:
            # The part is delegated, and the gatherer is limited to the same servers.
            return True
        allowed = delivery.allow_other_daemon(server)
        if allowed is None:
            return False
        # Later deliveries for the service are limited to these servers as well.
        self._allowed[service] = allowed
        return True

    def _add_source(self, service):
        """Count a new delivery or delegation for a service."""
        self._source_counts[service] += 1
        if service not in self._answered:
            self._pending.add(service)

    def _drop_source(self, service):
        """Remove an ended delivery or delegation from the count of a service."""
        self._source_counts[service] -= 1
        if not self._source_counts[service]:
            self._pending.discard(service)

    def _add_answer(self, services, proofs, records):
        self._partial_answers.append(PartialAnswer(services, proofs, records))
        self._answered.update(services)
        self._pending.difference_update(services)

    def _send_directly(self, services, sent_before=False, samples=None):
        request = self._request
        deliveries = [
            Delivery(
                self._tier,
                service,
                request.route,
                self._outgoing,
                request.timing,
                request.aim_ms,
                self._on_delivery,
                sent_before,
                self._allowed.get(service),
                request.regions,
                samples.get(service) if samples else None,
            )
            for service in services
        ]
        self._deliveries.extend(deliveries)
        for delivery in deliveries:
            self._add_source(delivery.service)
        for delivery in deliveries:
            if not self._finished:
                delivery.start()

    def _send_again(self, services, sent_before=False):
        """Send what a gatherer has not sent, or may not have sent.

        This daemon does so if it may connect to a server, otherwise another gatherer.
        """
        used_gatherers = {parts.peer for parts in self._delegations}
        direct_services, groups = self._plan.fall_back(services, used_gatherers)
        for (domain, gatherer), group in groups.items():
            allowed = {service: list(self._allowed[service]) for service in group}
            rtt_ms = self._plan.max_rtt_ms(group)
            if not self._delegate_group(
                gatherer, allowed, domain, rtt_ms, repeat=sent_before
            ):
                direct_services.extend(group)
        self._send_directly(direct_services, sent_before)

    def deliveries(self):
        """Return the deliveries, for the log."""
        return self._deliveries

    def delegated(self):
        """Return a text on each gatherer and its pending parts, for the log."""
        return [
            f"{parts.peer} owes {len(parts.pending)}" for parts in self._delegations
        ]

    def cancel(self):
        """Cancel all work, as the caller has disconnected."""
        self._stop(let_finish=False)

    def give_up(self, reason):
        """Answer at once with what is known, as this daemon is about to stop."""
        self._respond(reason)

    def _on_delivery(self, delivery, result):
        if self._finished:
            return
        self._may_have_run = self._may_have_run or result.may_have_run
        service = delivery.service
        self._drop_source(service)
        if result.answered and service not in self._answered:
            attempt = result.attempt
            self._add_answer([service], [attempt.metadata.proof], attempt.response.body)
        self._check_complete()

    def on_report(self, message, domain):
        """Handle the ``GatherReport`` of a gatherer in a failure domain."""
        self._tier.directory.record_remote_latencies(
            message.services,
            domain,
            message.took_ms,
            self._request.timing.usual_work_ms,
        )
        if self._finished:
            return
        reported = frozenset(message.services)
        self._may_have_run |= bool(reported) or any(ran for _, ran in message.failed)
        if not reported <= self._answered:
            # The merged records of a report cannot be told apart by service, so it
            # replaces the partial answers that overlap with it.
            self._partial_answers = [
                partial_answer
                for partial_answer in self._partial_answers
                if not partial_answer.services & reported
            ]
            self._add_answer(reported, message.proofs, message.records)
        unsent = []
        for service, may_have_run in message.failed:
            self._drop_source(service)
            if not may_have_run and not self._source_counts[service]:
                unsent.append(service)
        for service in message.services:
            self._drop_source(service)
        # Requests that certainly did not run.
        self._send_again(unsent)
        if not self._finished:
            self._check_complete()

    def on_gatherer_silent(self, services):
        """Send the requests from this daemon as well, as the gatherer is silent."""
        if not self._finished:
            self._tier.metrics.count("delegation.silent")
            self._may_have_run = True
            # If the gatherer was to send a hedge, the first request for the service is
            # still in progress.
            only_delegated = [
                service
                for service in sorted(services)
                if self._source_counts[service] == 1
            ]
            self._send_again(only_delegated, sent_before=True)

    def on_gatherer_lost(self, services):
        """Handle the loss of the connection to a gatherer."""
        if self._finished:
            return
        self._tier.metrics.count("delegation.lost")
        self._may_have_run = True
        for service in services:
            self._drop_source(service)
        unserved = [
            service for service in sorted(services) if not self._source_counts[service]
        ]
        self._send_again(unserved, sent_before=True)
        if not self._finished:
            self._check_complete()

    def _check_complete(self):
        if not self._pending:
            self._respond()
        elif len(self._answered) + len(self._pending) < self._needed_count:
            self._refuse("too few shards can answer")
        elif self.has_coverage() and self._times.is_due(self._tier.clock.now_ms()):
            self._respond()

    def has_coverage(self):
        """Return whether the minimum coverage is reached."""
        return len(self._answered) >= self._needed_count

    def _on_aim(self):
        if self._finished:
            return
        if self.has_coverage():
            self._respond()
            return
        clock = self._tier.clock
        self._aim_timer = clock.call_later(
            self._times.late_ms - clock.now_ms(), self._on_late_wait_end
        )

    def _on_late_wait_end(self):
        if not self._finished and self.has_coverage():
            self._respond()

    def _on_timeout(self):
        if not self._finished:
            self._respond(NO_ANSWER_IN_TIME)

    def _respond(self, reason="too few parts"):
        """Answer with the parts received, or with an error if they are too few."""
        if not self.has_coverage():
            self._refuse(reason)
            return
        self._stop()
        proofs = [proof for parts in self._partial_answers for proof in parts.proofs]
        missing = self._shard_count - len(proofs)
        headers = self._tier.codec.gathered_headers(proofs, missing)
        records = [parts.records for parts in self._partial_answers]
        body = greatest_records(records, self._request.route.top_k)
        outcome = "partial" if missing else "answered"
        self._on_answer(200, headers, body, outcome, f"{missing} parts missing")

    def _refuse(self, reason):
        may_have_run = self._may_have_run or any(
            delivery.may_have_run() for delivery in self._deliveries
        )
        may_have_run |= any(parts.pending for parts in self._delegations)
        self._stop(let_finish=False)
        if may_have_run and reason == NO_ANSWER_IN_TIME:
            ErrorReply.timeout(reason).send(self._on_answer)
            return
        shards, regions = self._request.route.shards, self._request.regions
        retry_after_ms = self._tier.directory.retry_after_ms(shards, regions)
        reply = ErrorReply.without_answer(may_have_run, reason, retry_after_ms)
        reply.send(self._on_answer)

    def _stop(self, let_finish=True):
        """Stop the timers; cancel requests, or let them finish for a short time."""
        self._finished = True
        for timer in (self._aim_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        if self._hedges is not None:
            self._hedges.stop()
        for parts in self._delegations:
            parts.cancel()
        for delivery in self._deliveries:
            if let_finish and not delivery.done:
                delivery.abandon()
            elif not let_finish:
                delivery.cancel()
