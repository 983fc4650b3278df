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
# Bounds the calls of a watcher to a store that answers watches without a change.
WATCH_GAP_MS = 20
# Time that other peers have to answer after the first one, when the store is down.
PEER_ANSWER_MS = 2_000
# Bounds the version checks of all daemons that do not watch.
FLEET_CHECK_READS_PER_S = 200
# What operators change, which the bound on a silent watch is about. The versions of
# all registrations and shares are 114 KB at 2,600 VMs, too much for every 2 s.
OPERATOR_PREFIXES = (SERVICE_PREFIX, FLEET_KEY)


class ConfigSync:
    """Watch, version check, exchange with peers, and the state of isolation.

    Up to two daemons per failure domain watch the store. All check the versions
    from time to time, since a watch may go silent for ever.
    """

    __slots__ = (
        "_alarmed",
        "_announced",
        "_bootstrapped",
        "_checking",
        "_clock",
        "_configuration",
        "_exchange",
        "_failure_domain",
        "_first_state_ms",
        "_last_check_ms",
        "_last_full_ms",
        "_membership",
        "_metrics",
        "_peers",
        "_rng",
        "_started_ms",
        "_states",
        "_stopped",
        "_store",
        "_store_read_ms",
        "_timings",
        "_vm",
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
            clock, configuration, peers, rng, metrics, self.ready, self._peer_state
        )
        self._stopped = False
        self._bootstrapped = False
        self._checking = False
        self._watching = set()
        self._announced = []
        self._alarmed = False
        self._started_ms = clock.now_ms()
        self._states = {}
        self._first_state_ms = None
        self._store_read_ms = None
        self._last_check_ms = None
        self._last_full_ms = None

    def start(self):
        """Read everything from the store or from peers, then keep up to date."""
        self._configuration.subscribe(self._exchange.announce)
        self._check_now()
        self._tick()

    def stop(self):
        """Stop all activity."""
        self._stopped = True

    def receive(self, vm, message):
        """Handle a message of the configuration exchange."""
        self._exchange.receive(vm, message)

    def ready(self):
        """Tell whether the whole configuration has been read since the start."""
        return self._bootstrapped

    def isolated(self):
        """Tell whether neither store nor peers were reached within the limit."""
        return self._contact_age_ms() > self._timings.isolation_limit_ms

    def store_contact_age_ms(self):
        """Return the age of the newest reading of the store that is known here."""
        return self._exchange.store_age_ms(self._store_read_ms)

    def announce(self):
        """Read the store now; a deferred that fires when it has been read.

        If a check is running, another one follows, since the running one may have
        read the object before it changed.
        """
        announced = Deferred()
        self._announced.append(announced)
        if not self._checking:
            self._check_now()
        return announced

    def _contact_age_ms(self):
        contacts = [self._store_read_ms, self._exchange.reached_ms]
        known = [contact for contact in contacts if contact is not None]
        return self._clock.now_ms() - max(known) if known else float("inf")

    def _tick(self):
        """Exchange digests and start whatever is due."""
        if self._stopped:
            return
        self._clock.call_later(self._timings.digest_exchange_ms, self._tick)
        self._exchange.send_digests(self.store_contact_age_ms())
        if not self._bootstrapped:
            self._exchange.ask_all()
            self._finish_from_peers()
        self._report_contact()
        if self._is_watcher():
            self._watch_all()
        prefixes = self._due_prefixes()
        if prefixes:
            self._check_now(prefixes)

    def _report_contact(self):
        """Report contact ages; raise an alarm when no daemon near reads the store."""
        self._metrics.gauge("config.contact_age_ms", self._contact_age_ms())
        age_ms = self.store_contact_age_ms()
        if age_ms is None:
            age_ms = self._clock.now_ms() - self._started_ms
        self._metrics.gauge("config.store_contact_age_ms", age_ms)
        timings = self._timings
        late = age_ms > timings.version_check_ms + timings.watcher_check_ms
        if late and not self._alarmed:
            self._metrics.count("config.store_contact_alarm")
            logger.error("store not read", extra={"store_contact_age_ms": age_ms})
        self._alarmed = late

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
        if self._last_full_ms is None or not self._bootstrapped:
            return PREFIXES
        now_ms = self._clock.now_ms()
        if now_ms - self._last_full_ms >= self._check_interval_ms():
            return PREFIXES
        watcher_due = now_ms - self._last_check_ms >= self._timings.watcher_check_ms
        return OPERATOR_PREFIXES if watcher_due and self._is_watcher() else ()

    def _check_interval_ms(self):
        timings = self._timings
        if self._contact_age_ms() > timings.isolation_limit_ms / 3:
            # Without peers, the store alone tells that this daemon is not isolated.
            return timings.isolation_limit_ms / 3
        reads = len(self._membership.members()) * len(PREFIXES)
        fleet_ms = reads * 1000 / FLEET_CHECK_READS_PER_S
        return max(timings.version_check_ms, fleet_ms)

    def _check_now(self, prefixes=PREFIXES):
        checking = ensureDeferred(self._check(prefixes))
        checking.addErrback(self._failed, "version check")

    async def _check(self, prefixes=PREFIXES):
        """Compare the versions in the store and read what is newer."""
        if self._checking:
            return
        self._checking = True
        self._last_check_ms = self._clock.now_ms()
        if prefixes is PREFIXES:
            self._last_full_ms = self._last_check_ms
        announced, self._announced = self._announced, []
        try:
            # Together, so that a slow store delays the check only once.
            checks = [ensureDeferred(self._check_prefix(p)) for p in prefixes]
            complete = all(await gatherResults(checks, consumeErrors=True))
            if complete and not self._bootstrapped and prefixes is PREFIXES:
                self._finish_bootstrap("store")
        finally:
            self._check_ended(announced)

    def _check_ended(self, announced):
        self._checking = False
        for deferred in announced:
            deferred.callback(None)
        if self._announced and not self._stopped:
            self._check_now()

    async def _check_prefix(self, prefix):
        sent_ms = self._clock.now_ms()
        listed = await self._store.list(prefix, values=not self._bootstrapped)
        if listed.is_error():
            return False
        # What the reply shows may be as old as the request.
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
        self._states.clear()
        logger.info("configuration read", extra={"source": source})

    def _peer_state(self, vm, versions):
        """Note what a peer has; used while the store is down at the start."""
        if not self._bootstrapped:
            self._states[vm] = versions
            if self._first_state_ms is None:
                self._first_state_ms = self._clock.now_ms()

    def _finish_from_peers(self):
        """Get ready once the answers of peers have arrived in full."""
        if self._first_state_ms is None:
            return
        if self._clock.now_ms() - self._first_state_ms < PEER_ANSWER_MS:
            return
        seen = self._configuration.has_seen
        taken = {
            vm: all(seen(key, version) for key, version in versions.items())
            for vm, versions in self._states.items()
        }
        # A peer that was lost before its objects arrived cannot send them any more.
        connected = self._peers.connected()
        missing = [vm for vm, done in taken.items() if not done and vm in connected]
        if any(taken.values()) and not missing:
            self._finish_bootstrap("peers")

    def _watch_all(self):
        if not self._bootstrapped:
            return
        for prefix in PREFIXES:
            if prefix not in self._watching:
                self._watching.add(prefix)
                watch = ensureDeferred(self._watch(prefix))
                watch.addErrback(self._failed, "watch")
                watch.addBoth(self._watch_ended, prefix)

    def _watch_ended(self, _result, prefix):
        self._clock.call_later(RETRY_MS, self._watching.discard, prefix)

    async def _watch(self, prefix):
        """Watch until the store fails or this daemon is no watcher any more.

        Its replies do not count as contact: they may have waited in a buffer while
        the process was paused, and nothing tells when they were sent.
        """
        listed = await self._store.list(prefix, values=False)
        while listed.is_ok() and self._is_watcher() and not self._stopped:
            for stored in listed.ok.objects:
                if not self._configuration.has_seen(stored.key, stored.version):
                    await self._adopt_listed(stored)
            await self._pass(WATCH_GAP_MS)
            listed = await self._store.watch(
                prefix, listed.ok.revision, self._timings.watch_wait_ms
            )

    def _pass(self, duration_ms):
        passed = Deferred()
        self._clock.call_later(duration_ms, passed.callback, None)
        return passed

    def _failed(self, failure, what):
        self._metrics.count("config.failed")
        logger.error(f"{what} failed", extra={"reason": failure.getTraceback()})
