"""Keeps the configuration of this daemon up to date from the store and peers."""

import logging

from twisted.internet.defer import Deferred, ensureDeferred, gatherResults

from hemlockspoke.config.config_exchange import ConfigExchange
from hemlockspoke.config.configuration import PREFIXES
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX
from hemlockspoke.rendezvous import rank

logger = logging.getLogger(__name__)

WATCHERS_PER_DOMAIN = 2
RETRY_MS = 500
# Limits the call rate to a store that answers watches without a change.
WATCH_GAP_MS = 20
# Time for the other peers to answer after the first one, if the store is down when
# this daemon starts.
PEER_ANSWER_MS = 2_000
# Limits the rate of the version checks of the whole fleet.
FLEET_CHECK_READS_PER_S = 200
# Objects that operators change. Watchers check only these every ``watcher_check_ms``,
# which bounds the delay of a change that the watch does not report. The versions of
# all registrations and shares are 114 KB at 2,600 VMs, too much to read every 2 s.
OPERATOR_PREFIXES = (SERVICE_PREFIX, FLEET_KEY)


class ConfigSync:
    """Runs the watches, the version checks and the exchange, and detects isolation.

    Up to two daemons per failure domain, the watchers, watch the store. All daemons
    check the versions periodically, since a watch may stop reporting changes without an
    error. A daemon is isolated if it has reached neither the store nor a peer for
    ``isolation_limit_ms``.
    """

    __slots__ = (
        "_alarm_raised",
        "_bootstrapped",
        "_checking",
        "_clock",
        "_configuration",
        "_exchange",
        "_failure_domain",
        "_first_peer_answer_ms",
        "_last_check_ms",
        "_last_full_check_ms",
        "_membership",
        "_metrics",
        "_peer_versions",
        "_peers",
        "_rng",
        "_started_ms",
        "_stopped",
        "_store",
        "_store_read_ms",
        "_timings",
        "_vm",
        "_waiting_for_check",
        "_watching",
    )

    def __init__(
        self,
        clock,
        configuration,
        membership,
        store,
        peers,
        timings,
        rng,
        metrics,
        vm,
        failure_domain,
    ):
        self._clock = clock
        self._configuration = configuration
        self._membership = membership
        self._store = store
        self._peers = peers
        self._timings = timings
        self._rng = rng
        self._metrics = metrics
        self._vm = vm
        self._failure_domain = failure_domain
        self._exchange = ConfigExchange(
            clock,
            configuration,
            peers,
            rng,
            metrics,
            self.ready,
            self._receive_peer_state,
        )
        self._stopped = False
        self._bootstrapped = False
        self._checking = False
        self._watching = set()
        self._waiting_for_check = []
        self._alarm_raised = False
        self._started_ms = clock.now_ms()
        self._peer_versions = {}
        self._first_peer_answer_ms = None
        self._store_read_ms = None
        self._last_check_ms = None
        self._last_full_check_ms = None

    def start(self):
        """Read everything from the store or from peers, then keep up to date."""
        self._configuration.subscribe(self._exchange.announce)
        self._check_now()
        self._tick()

    def stop(self):
        """Stop the periodic exchange, checks and watches."""
        self._stopped = True

    def receive(self, vm, message):
        """Handle a message of the configuration exchange."""
        self._exchange.receive(vm, message)

    def ready(self):
        """Return whether the whole configuration has been read since the start."""
        return self._bootstrapped

    def isolated(self):
        """Return whether this daemon is isolated and must refuse new work."""
        return self._contact_age_ms() > self._timings.isolation_limit_ms

    def store_contact_age_ms(self):
        """Return the age of the newest read of the store known here, or None."""
        return self._exchange.store_age_ms(self._store_read_ms)

    def check_store(self):
        """Check the store now; return a deferred that fires when the check has ended.

        If a check is running, another one follows, since the running one may have
        read the object before it changed.
        """
        checked = Deferred()
        self._waiting_for_check.append(checked)
        if not self._checking:
            self._check_now()
        return checked

    def _contact_age_ms(self):
        contacts_ms = [self._store_read_ms, self._exchange.reached_ms]
        known = [contact_ms for contact_ms in contacts_ms if contact_ms is not None]
        return self._clock.now_ms() - max(known) if known else float("inf")

    def _tick(self):
        """Send digests, then start the watches and checks that are due."""
        if self._stopped:
            return
        self._clock.call_later(self._timings.digest_exchange_ms, self._tick)
        self._exchange.send_digests(self.store_contact_age_ms())
        if not self._bootstrapped:
            self._exchange.request_from_all()
            self._finish_bootstrap_from_peers()
        self._report_contact()
        if self._is_watcher():
            self._watch_all()
        prefixes = self._due_prefixes()
        if prefixes:
            self._check_now(prefixes)

    def _report_contact(self):
        """Report contact ages; log an error if no daemon known here reads the store."""
        self._metrics.gauge("config.contact_age_ms", self._contact_age_ms())
        age_ms = self.store_contact_age_ms()
        if age_ms is None:
            age_ms = self._clock.now_ms() - self._started_ms
        self._metrics.gauge("config.store_contact_age_ms", age_ms)
        timings = self._timings
        overdue = age_ms > timings.version_check_ms + timings.watcher_check_ms
        if overdue and not self._alarm_raised:
            self._metrics.count("config.store_contact_alarm")
            logger.error("store not read", extra={"store_contact_age_ms": age_ms})
        self._alarm_raised = overdue

    def _is_watcher(self):
        names = [
            member.vm
            for member in self._membership.live()
            if member.failure_domain == self._failure_domain
        ]
        ranked = rank(f"watch-{self._failure_domain}", names)
        return not names or self._vm in ranked[:WATCHERS_PER_DOMAIN]

    def _due_prefixes(self):
        """Return the prefixes whose versions are to be checked now."""
        if self._last_full_check_ms is None or not self._bootstrapped:
            return PREFIXES
        now_ms = self._clock.now_ms()
        if now_ms - self._last_full_check_ms >= self._check_interval_ms():
            return PREFIXES
        watcher_due = now_ms - self._last_check_ms >= self._timings.watcher_check_ms
        return OPERATOR_PREFIXES if watcher_due and self._is_watcher() else ()

    def _check_interval_ms(self):
        timings = self._timings
        if self._contact_age_ms() > timings.isolation_limit_ms / 3:
            # Without peers, only reads of the store prove contact.
            return timings.isolation_limit_ms / 3
        reads = len(self._membership.members()) * len(PREFIXES)
        fleet_ms = reads * 1000 / FLEET_CHECK_READS_PER_S
        return max(timings.version_check_ms, fleet_ms)

    def _check_now(self, prefixes=PREFIXES):
        checking = ensureDeferred(self._check(prefixes))
        checking.addErrback(self._log_failure, "version check")

    async def _check(self, prefixes=PREFIXES):
        """Compare the versions with the store and read newer objects."""
        if self._checking:
            return
        self._checking = True
        self._last_check_ms = self._clock.now_ms()
        if prefixes is PREFIXES:
            self._last_full_check_ms = self._last_check_ms
        waiting, self._waiting_for_check = self._waiting_for_check, []
        try:
            # Run concurrently, so that a slow store delays the check only once.
            running = [ensureDeferred(self._check_prefix(p)) for p in prefixes]
            complete = all(await gatherResults(running, consumeErrors=True))
            if complete and not self._bootstrapped and prefixes is PREFIXES:
                self._finish_bootstrap("store")
        finally:
            self._finish_check(waiting)

    def _finish_check(self, waiting):
        self._checking = False
        for deferred in waiting:
            deferred.callback(None)
        if self._waiting_for_check and not self._stopped:
            self._check_now()

    async def _check_prefix(self, prefix):
        sent_ms = self._clock.now_ms()
        listed = await self._store.list(prefix, values=not self._bootstrapped)
        if listed.is_error():
            return False
        # The state in the reply may be as old as the request.
        self._store_read_ms = max(sent_ms, self._store_read_ms or sent_ms)
        complete = True
        for stored in listed.ok.objects:
            if not self._configuration.has_seen(stored.key, stored.version):
                complete = await self._adopt_listed(stored) and complete
        return complete

    async def _adopt_listed(self, stored):
        if stored.value is None:
            read = await self._store.get(stored.key)
            if read.is_error():
                return False
            stored = read.ok
        self._configuration.adopt(stored.key, stored.version, stored.value)
        return True

    def _finish_bootstrap(self, source):
        self._bootstrapped = True
        self._peer_versions.clear()
        logger.info("configuration read", extra={"source": source})

    def _receive_peer_state(self, vm, versions):
        """Record the versions of a peer until the configuration has been read."""
        if not self._bootstrapped:
            self._peer_versions[vm] = versions
            if self._first_peer_answer_ms is None:
                self._first_peer_answer_ms = self._clock.now_ms()

    def _finish_bootstrap_from_peers(self):
        """Finish the start once all objects of the peers that answered have arrived."""
        if self._first_peer_answer_ms is None:
            return
        if self._clock.now_ms() - self._first_peer_answer_ms < PEER_ANSWER_MS:
            return
        seen = self._configuration.has_seen
        complete = {
            vm: all(seen(key, version) for key, version in versions.items())
            for vm, versions in self._peer_versions.items()
        }
        # A peer whose stream was lost before its objects arrived no longer sends them.
        connected = self._peers.connected()
        incomplete = [
            vm for vm, done in complete.items() if not done and vm in connected
        ]
        if any(complete.values()) and not incomplete:
            self._finish_bootstrap("peers")

    def _watch_all(self):
        if not self._bootstrapped:
            return
        for prefix in PREFIXES:
            if prefix not in self._watching:
                self._watching.add(prefix)
                watch = ensureDeferred(self._watch(prefix))
                watch.addErrback(self._log_failure, "watch")
                watch.addBoth(self._watch_ended, prefix)

    def _watch_ended(self, _result, prefix):
        self._clock.call_later(RETRY_MS, self._watching.discard, prefix)

    async def _watch(self, prefix):
        """Watch until the store fails or this daemon is no longer a watcher.

        Replies do not count as contact: they may have waited in a buffer while the
        process was paused, and their send time is unknown.
        """
        listed = await self._store.list(prefix, values=False)
        while listed.is_ok() and self._is_watcher() and not self._stopped:
            for stored in listed.ok.objects:
                if not self._configuration.has_seen(stored.key, stored.version):
                    await self._adopt_listed(stored)
            await self._sleep(WATCH_GAP_MS)
            listed = await self._store.watch(
                prefix, listed.ok.revision, self._timings.watch_wait_ms
            )

    def _sleep(self, duration_ms):
        elapsed = Deferred()
        self._clock.call_later(duration_ms, elapsed.callback, None)
        return elapsed

    def _log_failure(self, failure, operation):
        self._metrics.count("config.failed")
        logger.error(f"{operation} failed", extra={"reason": failure.getTraceback()})
