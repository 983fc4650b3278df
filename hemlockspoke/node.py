"""The components of one daemon and their connections."""

import logging
import random
import uuid

from twisted.internet.defer import Deferred, ensureDeferred

from hemlockspoke.address import Address
from hemlockspoke.config.config_sync import ConfigSync
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.config.fleet import FLEET_KEY
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.holder import Holder
from hemlockspoke.limits.share_manager import ShareManager
from hemlockspoke.limits.shares import SHARE_PREFIX
from hemlockspoke.members.membership import Membership
from hemlockspoke.members.peer_choice import PeerChoice
from hemlockspoke.members.registration import Registration
from hemlockspoke.message_dispatch import Dispatcher, subscribe_components
from hemlockspoke.orders.order_claims import OrderClaims
from hemlockspoke.orders.orders import OrderEngine
from hemlockspoke.pause import PauseDetector
from hemlockspoke.queries.catalog import Catalog
from hemlockspoke.queries.query import QueryEngine
from hemlockspoke.queries.routing import Router

logger = logging.getLogger(__name__)

# Limits the rate at which the whole fleet reads the platform's list of VMs.
FLEET_LIST_READS_PER_S = 200
DRAIN_POLL_MS = 50
# An index whose servers are all lost must not keep a daemon from becoming ready.
CATALOG_WAIT_MS = 5000
# With thousands of VMs a choice takes milliseconds; a burst of registrations causes
# only one.
PEER_CHOICE_DELAY_MS = 100
# Time for releasing the shares after all work is done. If the store is down, the
# shares are reassigned later, when the platform's list no longer contains the VM.
RELEASE_LIMIT_MS = 5000


class Node:
    """One daemon without its HTTP interfaces."""

    __slots__ = (
        "_peer_timer",
        "catalog",
        "catalog_due_ms",
        "catalog_known",
        "claims",
        "clock",
        "configuration",
        "dispatcher",
        "draining",
        "holder",
        "invariants",
        "leaving",
        "membership",
        "metrics",
        "orders",
        "out_since_ms",
        "pause_detector",
        "peer_choice",
        "peers",
        "queries",
        "registration",
        "rng",
        "router",
        "settings",
        "share_manager",
        "store",
        "sync",
    )

    def __init__(self, settings, clock, store, peers, clients, metrics, rng=None):
        self.settings = settings
        self.clock = clock
        self.store = store
        self.peers = peers
        self.metrics = metrics
        self.rng = rng or random.Random(uuid.uuid4().int)
        self.invariants = Invariants(strict=False)
        self.leaving = False
        self.draining = False
        self.catalog_known = False
        self.catalog_due_ms = None
        self._peer_timer = None
        self.out_since_ms = None
        timings = settings.timings
        self.pause_detector = PauseDetector(clock, timings.pause_limit_ms)
        self.configuration = Configuration(clock)
        self.membership = Membership(clock, self.configuration, timings.gone_margin_ms)
        self.peer_choice = PeerChoice(self.configuration, self.membership, settings.vm)
        self.dispatcher = Dispatcher(clock, settings.vm, peers, metrics)
        self.sync = ConfigSync(
            clock=clock,
            configuration=self.configuration,
            membership=self.membership,
            store=store,
            peers=peers,
            timings=timings,
            rng=self.rng,
            metrics=metrics,
            vm=settings.vm,
            failure_domain=settings.failure_domain,
        )
        self.registration = Registration.from_config(
            settings, clock, store, self._registered
        )
        self._build_serving_components(clients, timings)

    def _build_serving_components(self, clients, timings):
        """Build the holder, the shares and the two engines."""
        settings = self.settings
        common = {
            "clock": self.clock,
            "configuration": self.configuration,
            "metrics": self.metrics,
            "invariants": self.invariants,
        }
        self.holder = Holder(
            clients=clients,
            pause_detector=self.pause_detector,
            timings=timings,
            **common,
        )
        self.catalog = Catalog(self.clock)
        self.share_manager = ShareManager(
            store=self.store,
            membership=self.membership,
            vm=settings.vm,
            incarnation=self._incarnation,
            pause_detector=self.pause_detector,
            rng=self.rng,
            set_share=self.holder.set_share,
            in_use=self.holder.in_use,
            **common,
        )
        self.router = Router(
            configuration=self.configuration,
            catalog=self.catalog,
            holders_of=self.share_manager.holders_of,
            vm=settings.vm,
            region=settings.region,
        )
        self.queries = QueryEngine(
            catalog=self.catalog,
            router=self.router,
            send=self.dispatcher.send,
            rng=self.rng,
            timings=timings,
            **common,
        )
        self.claims = OrderClaims(
            clock=self.clock,
            store=self.store,
            rng=self.rng,
            retention_ms=timings.order_retention_ms,
            metrics=self.metrics,
        )
        self.orders = OrderEngine(
            router=self.router,
            claims=self.claims,
            send=self.dispatcher.send,
            vm=settings.vm,
            incarnation=self._incarnation,
            timings=timings,
            **common,
        )
        self.holder.set_listeners(
            catalog=self._catalog_changed, server_state=self._server_state_changed
        )
        subscribe_components(
            self.dispatcher,
            self.sync,
            self.holder,
            self.queries,
            self.orders,
            self.catalog,
        )
        self.dispatcher.subscribe_connect(self._peer_connected)

    def _peer_connected(self, vm):
        """Send a new peer the catalog of the servers that this daemon holds."""
        for update in self.holder.catalog_updates():
            self.dispatcher.send(vm, update)

    def _incarnation(self):
        return self.registration.incarnation

    def _catalog_changed(self, update):
        self.catalog.update(self.settings.vm, update)
        self.dispatcher.broadcast(update)

    def _server_state_changed(self, message):
        """Send the state to the other holders of the server; no one else uses it."""
        for vm in self.share_manager.holders_of(message.server):
            if vm != self.settings.vm:
                self.dispatcher.send(vm, message)

    def _registered(self, key, version, value):
        if not self.configuration.adopt(key, version, value):
            # The reply to the write was lost, and the object arrived by the watch
            # before the incarnation was known.
            self.share_manager.registration_known()

    def start(self):
        """Start every component."""
        self.configuration.subscribe(self._configuration_changed)
        self.pause_detector.start()
        self.sync.start()
        self.registration.start()
        self.share_manager.start()
        self._read_vm_list()

    def _configuration_changed(self, key):
        if key.startswith(("vms/", SHARE_PREFIX)):
            self._schedule_peer_choice()
        elif key == FLEET_KEY:
            self._record_out()

    def _record_out(self):
        """Record when this VM or its failure domain was taken out."""
        if not self.is_out():
            self.out_since_ms = None
        elif self.out_since_ms is None:
            self.out_since_ms = self.clock.now_ms()

    def is_out(self):
        """Return whether operators have taken out this VM or its failure domain."""
        fleet = self.configuration.fleet()
        settings = self.settings
        return fleet.domain_out(settings.failure_domain) or fleet.vm_out(settings.vm)

    def _out_long_enough(self):
        """Return whether the load balancer has had time to see that this VM is out."""
        if self.out_since_ms is None:
            return False
        out_ms = self.clock.now_ms() - self.out_since_ms
        return out_ms > self.settings.timings.out_lag_ms

    def _schedule_peer_choice(self):
        """Schedule a choice of peers; changes until then cause only one choice."""
        if self._peer_timer is None:
            self._peer_timer = self.clock.call_later(
                PEER_CHOICE_DELAY_MS, self._choose_peers
            )

    def _choose_peers(self):
        self._peer_timer = None
        chosen = self.peer_choice.choose()
        addresses = {m.vm: Address.parse(m.peer_address) for m in chosen.members}
        self.peers.set_addresses(addresses, one_sided=chosen.bounded)

    def _read_vm_list(self):
        ensureDeferred(self._read_vm_list_once()).addErrback(self._log_list_failure)
        fleet_ms = len(self.membership.members()) * 1000 / FLEET_LIST_READS_PER_S
        interval_ms = max(self.settings.timings.vm_list_ms, fleet_ms)
        self.clock.call_later(interval_ms, self._read_vm_list)

    async def _read_vm_list_once(self):
        result = await self.store.list_vms()
        if result.is_ok():
            self.membership.record_vm_list(result.ok)
            self._schedule_peer_choice()

    def _log_list_failure(self, failure):
        logger.error("VM list not read", extra={"reason": failure.getTraceback()})

    def not_ready_reasons(self):
        """Return the reasons for not being ready; empty when ready.

        A daemon that leaves or was taken out is not ready but still accepts new
        work until the load balancer has seen this.
        """
        reasons = {
            "leaving": self.leaving,
            "VM or failure domain is out": self.is_out(),
            "index versions not yet known": not self._catalog_known(),
        }
        return [
            reason for reason, holds in reasons.items() if holds
        ] + self.refusal_reasons()

    def _catalog_known(self):
        """Return whether a version of each index is known or the wait for it is over.

        A daemon that has just started gets the versions from the holders among its
        peers. If it served at once, its first queries would find no snapshot.
        """
        if self.catalog_known or not self.sync.ready():
            return self.catalog_known
        if self.catalog_due_ms is None:
            self.catalog_due_ms = self.clock.now_ms() + CATALOG_WAIT_MS
        self.catalog_known = self.clock.now_ms() >= self.catalog_due_ms or all(
            self.router.pin(service, index) is not None
            for service, document in self.configuration.documents().items()
            for index in document.indexes
        )
        return self.catalog_known

    def first_refusal_reason(self):
        """Return the first reason for refusing new work, or None."""
        reasons = self.refusal_reasons()
        return reasons[0] if reasons else None

    def refusal_reasons(self):
        """Return the reasons for refusing new work; empty if it is accepted."""
        reasons = {
            "configuration not yet known": not self.sync.ready(),
            "neither store nor peers are reached": self.sync.isolated(),
            "shutting down": self.draining,
            "taken out": self._out_long_enough(),
        }
        return [reason for reason, holds in reasons.items() if holds]

    def object_ages(self):
        """Return each object's version and the ms since its adoption, by key."""
        now_ms = self.clock.now_ms()
        return {
            key: {"version": version, "age_ms": round(now_ms - adopted_ms)}
            for key, version, adopted_ms in self.configuration.adoptions()
        }

    def in_flight(self):
        """Return the number of requests of callers in progress."""
        return self.queries.in_flight() + self.orders.in_flight()

    async def finish_work(self):
        """Release the shares and wait until all work of callers and peers is done.

        The release starts first, while work is still in progress, so that peers
        learn of the new holders as early as possible.
        """
        release = self.share_manager.release_all()
        while self.in_flight() or not self.holder.idle():
            await self.sleep(DRAIN_POLL_MS)
        deadline_ms = self.clock.now_ms() + RELEASE_LIMIT_MS
        while not release.called and self.clock.now_ms() < deadline_ms:
            await self.sleep(DRAIN_POLL_MS)
        while self.in_flight() or not self.holder.idle():
            await self.sleep(DRAIN_POLL_MS)
        logger.info("work finished", extra={"shares_released": bool(release.called)})

    def sleep(self, delay_ms):
        """Return a deferred that fires after ``delay_ms``."""
        waiting = Deferred()
        self.clock.call_later(delay_ms, waiting.callback, None)
        return waiting

    def stop(self):
        """Stop all components; no work may be in progress."""
        if self._peer_timer is not None:
            self._peer_timer.cancel()
        self.registration.stop()
        self.share_manager.stop()
        self.sync.stop()
        self.holder.stop()
        self.peers.stop()
