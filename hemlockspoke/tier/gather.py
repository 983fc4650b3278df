"""A query that one server of each shard answers in part."""

import math

from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.gather_plan import SECOND_RETRY_MS, GatherPlan
from hemlockspoke.tier.merge import greatest_records
from hemlockspoke.tier.replies import Refusal

# After the aim an answer is worth little; callers of a late one rather wait this
# part of the aim for the missing parts.
LATE_PATIENCE = 0.5
# If more parts than this are missing, their servers are short of room rather than
# paused, and more load makes that worse.
MAX_SECOND_PART = 0.25
NO_ANSWER_IN_TIME = "no answer in time"


class _Parts:
    """Answers of some services: one proof each, and their records together."""

    __slots__ = ("proofs", "records", "services")

    def __init__(self, services, proofs, records):
        self.services = frozenset(services)
        self.proofs = proofs
        self.records = records


class Gather:
    """One query over the shards of one version of the configuration.

    The answer is sent when every shard has answered, or at the aim if enough have,
    or later as soon as enough have. It names the parts that it holds. Shards whose
    best servers stand in another failure domain are gathered by a daemon there; if
    it is silent, they are asked from here as well.
    """

    __slots__ = (
        "_aim_timer",
        "_allowed",
        "_answered",
        "_deadline_timer",
        "_delegated",
        "_deliveries",
        "_finished",
        "_needed",
        "_on_answer",
        "_parts",
        "_plan",
        "_ran",
        "_request",
        "_second_ms",
        "_second_timer",
        "_shards",
        "_sources",
        "_tier",
        "_waiting",
        "_work",
    )

    def __init__(self, tier, request, on_answer):
        self._tier = tier
        self._request = request
        self._on_answer = on_answer
        self._allowed = {}
        self._deliveries = []
        self._delegated = []
        self._parts = []
        # How many deliveries or daemons may still answer for each service.
        self._sources = dict.fromkeys(request.route.shards, 0)
        self._answered = set()
        # Services without an answer that some delivery or daemon may still bring.
        self._waiting = set()
        self._ran = False
        self._finished = False
        self._plan = None
        self._aim_timer = None
        self._second_timer = None
        # When second servers are asked, of the clock, or None if they are not.
        self._second_ms = None
        self._deadline_timer = None
        self._shards = len(request.route.shards)
        # The tolerance keeps 0.9 of 10 shards from becoming 10 by rounding.
        needed = request.route.min_coverage * self._shards - 1e-9
        self._needed = max(1, math.ceil(needed))
        self._work = Work.from_request(request, idempotent=True)

    def start(self):
        """Send a sub-query for each shard, and watch the time."""
        request = self._request
        clock = self._tier.clock
        now_ms = clock.now_ms()
        self._deadline_timer = clock.call_later(
            request.give_up_ms - now_ms, self._timed_out
        )
        if request.aim_ms > now_ms:
            self._aim_timer = clock.call_later(request.aim_ms - now_ms, self._at_aim)
        self._send_here(self._delegate(request.route.shards))

    def _delegate(self, services):
        """Hand over what daemons near the servers gather best; return the rest."""
        request, desk = self._request, self._tier.desk
        if desk is None or request.http.body:
            return services
        plan = self._plan = GatherPlan(self._tier, request)
        clock = self._tier.clock
        now_ms = clock.now_ms()
        second_in_ms = plan.second_in_ms(now_ms)
        if second_in_ms is not None:
            self._second_ms = now_ms + second_in_ms
            self._second_timer = clock.call_later(second_in_ms, self._ask_second)
        here = []
        for domain, group in plan.by_domain().items():
            rtt_ms = plan.rtt_ms(group)
            for helper, chunk in plan.divide(domain, group):
                # Both daemons send to the same servers, so that no more of them
                # get the request than the route allows.
                allowed = plan.allowed(chunk)
                if helper is None or not self._ask(helper, allowed, domain, rtt_ms):
                    here.extend(chunk)
                else:
                    self._allowed.update(allowed)
        return here

    def _ask(self, helper, allowed, domain, rtt_ms, repeat=False):
        """Have a daemon gather services; False if it is not reached."""
        request = self._request
        parts = self._tier.desk.ask(
            helper, request, allowed, domain, rtt_ms, self, self._second_ms, repeat
        )
        if parts is None:
            return False
        self._delegated.append(parts)
        for service in allowed:
            self._add_source(service)
        return True

    def _ask_second(self):
        """Have the missing parts gathered from other servers as well.

        A daemon near those servers has connections to them, while a hedge from here
        would first have to open one across regions.
        """
        if self._finished:
            return
        clock = self._tier.clock
        if len(self._waiting) > MAX_SECOND_PART * self._shards:
            if clock.now_ms() + SECOND_RETRY_MS < self._request.aim_ms:
                self._second_timer = clock.call_later(SECOND_RETRY_MS, self._ask_second)
            return
        here = {delivery.service: delivery for delivery in self._deliveries}
        for domain, group in self._plan.second_choices(self._waiting).items():
            allowed = {}
            for service, server in group.items():
                if self._may_ask(here.get(service), service, server):
                    allowed[service] = [server.server_id]
            for helper in self._tier.desk.helpers(domain, 1):
                if allowed:
                    rtt_ms = max(group[service].rtt_ms for service in allowed)
                    self._ask(helper, allowed, domain, rtt_ms, repeat=True)
                    self._tier.metrics.count("hedges.delegated", len(allowed))

    def _may_ask(self, delivery, service, server):
        """Return whether another daemon may send to a server of a service."""
        if delivery is None:
            # Handed over: the daemon that gathers it knows the same servers.
            return True
        allowed = delivery.leave_to_other(server)
        if allowed is None:
            return False
        # Whatever is sent for the service later keeps to these as well.
        self._allowed[service] = allowed
        return True

    def _add_source(self, service):
        """Take that one more delivery or daemon may answer for a service."""
        self._sources[service] += 1
        if service not in self._answered:
            self._waiting.add(service)

    def _drop_source(self, service):
        """Take that a delivery or daemon has ended for a service."""
        self._sources[service] -= 1
        if not self._sources[service]:
            self._waiting.discard(service)

    def _add_parts(self, services, proofs, records):
        """Take answers."""
        self._parts.append(_Parts(services, proofs, records))
        self._answered.update(services)
        self._waiting.difference_update(services)

    def _send_here(self, services, sent_before=False):
        request = self._request
        deliveries = [
            Delivery(
                self._tier,
                service,
                request.route,
                self._work,
                request.timing,
                request.aim_ms,
                self._delivered,
                sent_before,
                self._allowed.get(service),
            )
            for service in services
        ]
        self._deliveries.extend(deliveries)
        for delivery in deliveries:
            self._add_source(delivery.service)
        for delivery in deliveries:
            if not self._finished:
                delivery.start()

    def deliveries(self):
        """Return the deliveries, for the log."""
        return self._deliveries

    def delegated(self):
        """Return the daemons that gather parts, for the log."""
        return [f"{parts.peer} owes {len(parts.waiting)}" for parts in self._delegated]

    def cancel(self):
        """Stop everything: the caller has gone."""
        self._end(keep=False)

    def _delivered(self, delivery, result):
        if self._finished:
            return
        self._ran = self._ran or result.may_have_run
        service = delivery.service
        self._drop_source(service)
        if result.answered and service not in self._answered:
            attempt = result.attempt
            self._add_parts([service], [attempt.marks.proof], attempt.response.body)
        self._check()

    def delegate_reported(self, message, domain):
        """Take what a daemon near the servers has gathered."""
        self._learn(message, domain)
        if self._finished:
            return
        self._ran = True
        covered = frozenset(message.services)
        if not covered <= self._answered:
            # Its records are merged, so they replace single parts of its services.
            self._parts = [p for p in self._parts if not p.services & covered]
            self._add_parts(covered, message.proofs, message.records)
        unsent = []
        for service, may_have_run in message.failed:
            self._drop_source(service)
            if not may_have_run and not self._sources[service]:
                unsent.append(service)
        for service in message.services:
            self._drop_source(service)
        # What has not been sent there may be sent from here.
        self._send_here(unsent)
        if not self._finished:
            self._check()

    def _learn(self, message, domain):
        """Take how fast the servers of a domain are from who gathers there."""
        timing, directory = self._request.timing, self._tier.directory
        for service, took_ms in zip(message.services, message.took_ms, strict=True):
            directory.note_remote(service, domain, took_ms, timing.usual_work_ms)

    def delegate_silent(self, services):
        """Ask for parts from here as well."""
        if not self._finished:
            self._tier.metrics.count("delegation.silent")
            self._ran = True
            # Where the silent daemon was asked second, the first is still at work.
            alone = [s for s in sorted(services) if self._sources[s] == 1]
            self._send_here(alone, sent_before=True)

    def delegate_lost(self, services):
        """Take that a daemon will not report."""
        if self._finished:
            return
        self._tier.metrics.count("delegation.lost")
        self._ran = True
        for service in services:
            self._drop_source(service)
        unasked = [s for s in sorted(services) if not self._sources[s]]
        self._send_here(unasked, sent_before=True)
        if not self._finished:
            self._check()

    def _check(self):
        if not self._waiting:
            self._settle()
        elif len(self._answered) + len(self._waiting) < self._needed:
            self._refuse("too few shards can answer")
        elif self._enough() and self._late():
            self._settle()

    def _enough(self):
        return len(self._answered) >= self._needed

    def _late(self):
        """Return whether the time for missing parts is over."""
        late_ms = self._request.aim_ms + self._patience_ms()
        return self._tier.clock.now_ms() > late_ms

    def _patience_ms(self):
        return LATE_PATIENCE * self._request.route.target_ms

    def _at_aim(self):
        if self._finished:
            return
        if self._enough():
            self._settle()
            return
        self._aim_timer = self._tier.clock.call_later(
            self._patience_ms(), self._after_aim
        )

    def _after_aim(self):
        if not self._finished and self._enough():
            self._settle()

    def _timed_out(self):
        if not self._finished:
            self._settle(NO_ANSWER_IN_TIME)

    def _settle(self, reason="too few parts"):
        """Answer with the parts that are in, or give up."""
        if not self._enough():
            self._refuse(reason)
            return
        self._end()
        proofs = [proof for parts in self._parts for proof in parts.proofs]
        missing = self._shards - len(proofs)
        headers = self._tier.codec.gathered_headers(proofs, missing)
        records = [parts.records for parts in self._parts]
        body = greatest_records(records, self._request.route.top_k)
        outcome = "partial" if missing else "answered"
        self._on_answer(200, headers, body, outcome, f"{missing} parts missing")

    def _refuse(self, reason):
        ran = self._ran or any(d.may_have_run() for d in self._deliveries)
        ran = ran or bool(self._delegated)
        self._end(keep=False)
        if not ran:
            Refusal.not_run("no shard could be reached").send(self._on_answer)
        elif reason == NO_ANSWER_IN_TIME:
            Refusal.timeout(reason).send(self._on_answer)
        else:
            Refusal.lost(reason).send(self._on_answer)

    def _end(self, keep=True):
        """Stop the timers, and what nobody waits for any longer."""
        self._finished = True
        for timer in (self._aim_timer, self._second_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        for parts in self._delegated:
            parts.cancel()
        for delivery in self._deliveries:
            if keep and not delivery.done:
                delivery.abandon()
            elif not keep:
                delivery.cancel()
