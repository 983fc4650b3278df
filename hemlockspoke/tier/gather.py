"""A query that one server of each shard answers in part."""

import math

from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delegation import MIN_PARTS
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.merge import greatest_records
from hemlockspoke.tier.replies import Refusal

# After the aim an answer is worth little; callers of a late one rather wait this
# part of the aim for the missing parts.
LATE_PATIENCE = 0.5
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
        "_deadline_timer",
        "_delegated",
        "_deliveries",
        "_finished",
        "_needed",
        "_on_answer",
        "_parts",
        "_ran",
        "_request",
        "_shards",
        "_sources",
        "_tier",
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
        self._ran = False
        self._finished = False
        self._aim_timer = None
        self._deadline_timer = None
        self._shards = len(request.route.shards)
        # The tolerance keeps 0.9 of 10 shards from becoming 10 by rounding.
        needed = request.route.min_coverage * self._shards - 1e-9
        self._needed = max(1, math.ceil(needed))
        http = request.http
        self._work = Work(
            http.method,
            http.target,
            http.headers,
            http.body,
            request.attempt_id,
            request.caller_deadline_ms,
            True,
        )

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
        groups, here = self._by_domain(services)
        for domain, group in groups.items():
            parts = None
            if len(group) >= MIN_PARTS:
                rtt_ms = max(servers[0].rtt_ms for servers in group.values())
                # Both daemons send to the same servers, so that no more of them
                # get the request than the route allows.
                allowed = {
                    service: [server.server_id for server in servers]
                    for service, servers in group.items()
                }
                parts = desk.ask(request, allowed, domain, rtt_ms, self)
            if parts is None:
                here.extend(group)
                continue
            self._delegated.append(parts)
            self._allowed.update(allowed)
            for service in group:
                self._sources[service] += 1
        return here

    def _by_domain(self, services):
        """Return services with their best servers by failure domain, and those here."""
        request, directory = self._request, self._tier.directory
        own_domain = self._tier.desk.domain
        route = request.route
        work_ms = request.timing.usual_work_ms
        groups, here = {}, []
        for service in services:
            best = directory.best(service, route.regions, work_ms, route.max_attempts)
            domain = best[0].entry.failure_domain if best else own_domain
            if domain == own_domain:
                here.append(service)
            else:
                groups.setdefault(domain, {})[service] = best
        return groups, here

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
            self._sources[delivery.service] += 1
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
        self._sources[delivery.service] -= 1
        if result.answered and delivery.service not in self._answered():
            attempt = result.attempt
            self._parts.append(
                _Parts([delivery.service], [attempt.marks.proof], attempt.response.body)
            )
        self._check()

    def delegate_reported(self, message, domain):
        """Take what a daemon near the servers has gathered."""
        self._learn(message, domain)
        if self._finished:
            return
        self._ran = True
        if message.services:
            # Its records are merged, so they replace single parts of its services.
            covered = frozenset(message.services)
            self._parts = [p for p in self._parts if not p.services & covered]
            self._parts.append(_Parts(covered, message.proofs, message.records))
        unsent = []
        for service, may_have_run in message.failed:
            self._sources[service] -= 1
            if not may_have_run and not self._sources[service]:
                unsent.append(service)
        for service in message.services:
            self._sources[service] -= 1
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
            self._send_here(sorted(services), sent_before=True)

    def delegate_lost(self, services):
        """Take that a daemon will not report."""
        if self._finished:
            return
        self._tier.metrics.count("delegation.lost")
        self._ran = True
        for service in services:
            self._sources[service] -= 1
        unasked = [s for s in sorted(services) if not self._sources[s]]
        self._send_here(unasked, sent_before=True)
        if not self._finished:
            self._check()

    def _answered(self):
        return frozenset().union(*(parts.services for parts in self._parts))

    def _check(self):
        answered = self._answered()
        waiting = sum(
            1
            for service, sources in self._sources.items()
            if sources and service not in answered
        )
        if not waiting:
            self._settle()
        elif len(answered) + waiting < self._needed:
            self._refuse("too few shards can answer")
        elif self._enough() and self._late():
            self._settle()

    def _enough(self):
        return len(self._answered()) >= self._needed

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
        for timer in (self._aim_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        for parts in self._delegated:
            parts.cancel()
        for delivery in self._deliveries:
            if keep and not delivery.done:
                delivery.abandon()
            elif not keep:
                delivery.cancel()
