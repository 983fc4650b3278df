"""The daemon on an entry VM: its components, startup and graceful shutdown."""

import logging

from hemlockspoke.adapters.listening_port import LISTEN_BACKLOG, close_port
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.http1.memory_budget import MemoryBudget
from hemlockspoke.http1.site import HttpSite
from hemlockspoke.tier.admission.gate import AdmissionGate
from hemlockspoke.tier.context import TierContext
from hemlockspoke.tier.gauges import (
    set_caller_gauges,
    set_directory_gauges,
    store_samples,
)
from hemlockspoke.tier.limits.extra_load import ExtraLoad
from hemlockspoke.tier.peering import Peering
from hemlockspoke.tier.requests.request_handler import RequestHandler
from hemlockspoke.tier.rollouts.rollout_metrics import rollout_samples
from hemlockspoke.tier.sending.timing import Timings
from hemlockspoke.tier.shutdown import ShutdownPlan
from hemlockspoke.tier.state.directory import Directory
from hemlockspoke.tier.state.feed import Feed
from hemlockspoke.tier.state.followed_kind import FollowedKind, RelayingSink
from hemlockspoke.tier.state.members import Membership
from hemlockspoke.tier.state.store_era import StoreEras

logger = logging.getLogger(__name__)

SHUTDOWN_POLL_MS = 50.0
# The same once the final answers are written, as little time remains then.
ANSWER_POLL_MS = 10.0
STOPPED = "the daemon has stopped before the answer"
# At the first start traffic arrives some seconds later, so the daemons can wait for the
# one in each failure domain that reads the store for all.
FIRST_START_STORE_DELAY_MS = 2000.0
# Connections to the ready port, and to the metrics port.
MAX_INTERNAL_CONNECTIONS = 32
# Interval of checks for changed settings. They may change without a signal, and the
# change must be applied within seconds.
SETTINGS_CHECK_MS = 1000.0


class EdgeDaemon:
    """One daemon process on an entry VM.

    Platform-specific components are passed in: a codec for headers, for each kind of
    store objects a source to read it from and a sink that decodes and applies it, and
    the registrations of the daemons.
    """

    def __init__(self, settings, reactor, clock, metrics, codec):
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics
        self.eras = StoreEras(metrics)
        self._shutdown = None
        # When the next check of the stop is due, as a time of the clock.
        self._stop_check_due_ms = 0.0
        self._membership = None
        self._ports = []
        self._caller_port = None
        # Set by the program: a function that reads the settings, one that returns their
        # current version, which costs less, and the version of those in force.
        self.read_settings = None
        self.settings_version = None
        self.applied_settings_version = None
        self._settings_timer = None
        bounds = settings.bounds
        self.directory = Directory(
            reactor,
            clock,
            settings.vm,
            settings.failure_domain,
            settings.failure_domains,
            bounds,
        )
        self.directory.on_configuration = self._on_configuration
        extra_load = ExtraLoad(
            clock,
            bounds,
            self.directory.limit_shares.extra_arrivals,
            starts_full=settings.first_start,
        )
        tier = TierContext(clock, codec, self.directory, extra_load, metrics)
        self._timings = Timings()
        self._peering = Peering.from_config(settings, reactor, tier, self._timings)
        self._network = self._peering.network
        self._peers = self._peering.peers
        self._relay = self._peering.relay
        self._delegation = self._peering.delegation
        self._forwarding = self._peering.forwarding
        self._quotas = self._peering.quotas
        self.rollouts = self._peering.rollouts
        self._request_handler = RequestHandler(
            tier,
            self._timings,
            gates=[self._quotas.gate, AdmissionGate.from_bounds(tier, bounds)],
        )
        limits = settings.process_limits
        self._memory_budget = MemoryBudget(limits.caller_memory_bytes())
        self._site = HttpSite(
            clock,
            self._request_handler.handle,
            on_rejected=self._on_rejected,
            memory_budget=self._memory_budget,
            max_connections=limits.caller_connections(),
        )
        self._ready_site = self._internal_site(self._handle_ready)
        self._metrics_site = self._internal_site(self._handle_metrics)

    def _internal_site(self, handle):
        """Return the site of a port that only the platform calls."""
        return HttpSite(
            self._clock,
            handle,
            memory_budget=self._memory_budget,
            max_connections=MAX_INTERNAL_CONNECTIONS,
        )

    def follow(self, kind, source, sink):
        """Follow a kind of store objects once started; return its ``FollowedKind``."""
        followed = FollowedKind(kind, self._clock, sink, self._metrics, self.eras)
        relaying_sink = RelayingSink(followed, self._relay)
        feed = Feed(
            kind,
            self._clock,
            source,
            relaying_sink,
            self._settings.bounds.longest_watch_ms(),
            metrics=self._metrics,
            eras=self.eras,
        )
        feed.on_lost = self._relay.send_heartbeat
        self._relay.follow(followed, feed)
        return followed

    def set_registrations(self, registrations):
        """Set the registrations by which daemons find each other."""
        self._membership = Membership(
            self._clock,
            self._settings,
            registrations,
            self._peering.set_peers,
            eras=self.eras,
        )
        self._peering.membership = self._membership

    def start(self):
        """Open the listening ports, then follow the store."""
        settings = self._settings
        self._caller_port = self._listen(settings.caller_address, self._site)
        self._listen(settings.ready_address, self._ready_site)
        if settings.metrics_address is not None:
            self._listen(settings.metrics_address, self._metrics_site)
        self._ports.append(self._network.listen(settings.peer_address))
        if self.settings_version is not None:
            self.watch_settings()
        self._relay.start(FIRST_START_STORE_DELAY_MS if settings.first_start else 0.0)
        if self._membership is not None:
            self._membership.start()
        logger.info("started", extra={"failure_domain": settings.failure_domain})

    def _listen(self, address, site):
        port = self._reactor.listenTCP(
            address.port, site, backlog=LISTEN_BACKLOG, interface=address.host
        )
        self._ports.append(port)
        return port

    def _on_configuration(self, table):
        self._timings.retain(table.routes)
        self._quotas.on_configuration(table)
        self._peering.lending.retain(table.services)
        if table.caller_limits is not None:
            self._site.limits = table.caller_limits

    def _on_rejected(self, status, reason):
        """Note a request that was refused before it was complete, or a connection.

        Without a reason the request is malformed or over a limit of its own.
        """
        if reason is None:
            self._metrics.count("requests.malformed")
            logger.info("malformed request", extra={"status": status})
            return
        self._metrics.count(f"callers.refused_{reason}")
        logger.info("caller refused", extra={"status": status, "reason": reason})

    def _handle_ready(self, request):
        ready = self.directory.ready() and self._shutdown is None
        request.respond(200 if ready else 503, [], b"")

    def _handle_metrics(self, request):
        metrics = self._metrics
        metrics.gauge("requests_active", self._request_handler.active())
        set_caller_gauges(metrics, self._site, self._memory_budget)
        set_directory_gauges(metrics, self.directory)
        metrics.gauge("store_newest_era", self.eras.newest)
        metrics.set_group("store", store_samples(self._relay.followed_kinds()))
        metrics.set_group("accounts", self._quotas.account_samples())
        if self.rollouts is not None:
            rollouts = self.rollouts.versions.rollouts
            samples = rollout_samples(rollouts, self.directory, self._clock.now_ms())
            metrics.set_group("rollouts", samples)
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        request.respond(200, headers, metrics.to_text().encode())

    def watch_settings(self):
        """Check periodically whether the settings have changed; apply new bounds."""
        if self.applied_settings_version is None:
            self.applied_settings_version = self.settings_version()
        self._check_settings_later()

    def _check_settings_later(self):
        self._settings_timer = self._clock.call_later(
            SETTINGS_CHECK_MS, self._check_settings
        )

    def _check_settings(self):
        version = self.settings_version()
        if version != self.applied_settings_version:
            self.applied_settings_version = version
            self._reload()
        self._check_settings_later()

    def reload(self, *_):
        """Handle SIGHUP: read the settings again; only the bounds take effect."""
        self._reactor.callFromThread(self._reload)

    def _reload(self):
        try:
            settings = self.read_settings()
        except HumanReadableError as error:
            logger.error("settings not taken", extra={"reason": str(error)})
            return
        self._settings.bounds.update(settings.bounds)
        logger.info("settings read again")

    def terminate(self, *_):
        """Handle SIGTERM: shut down after requests in progress have finished."""
        # A handler runs late in a process without processor time, as its timers do.
        self._reactor.callFromThread(
            self._begin_shutdown, self._clock.now_ms(), self._clock.overdue_ms()
        )

    def _begin_shutdown(self, signal_ms, overdue_ms):
        """Begin the shutdown; its time counts from the signal, also if it waited."""
        if self._shutdown is not None:
            return
        now_ms = self._clock.now_ms()
        shutdown_ms = self._settings.bounds.shutdown_ms
        plan = ShutdownPlan(signal_ms, shutdown_ms, overdue_ms)
        self._shutdown = plan
        self._site.leaving = True
        self._relay.leaving = True
        self._request_handler.shutdown = plan
        self._forwarding.shutdown = plan
        logger.info(
            "leaving",
            extra={
                "active": self._request_handler.active(),
                "delay_ms": round(now_ms - signal_ms + overdue_ms),
            },
        )
        self._check_stop_later(plan.close_idle_ms - now_ms)

    def _check_stop_later(self, delay_ms):
        delay_ms = max(0.0, delay_ms)
        self._stop_check_due_ms = self._clock.now_ms() + delay_ms
        # Answers of servers that arrived while the process was busy are read first.
        self._clock.call_after_reads(delay_ms, self._stop_when_idle)

    def _stop_when_idle(self):
        """Stop once no request is in progress, or when the shutdown time is over.

        Before that, all requests that are still in progress get an answer. The process
        does not end in the same turn of the reactor, which has not yet sent them, nor
        in that which accepts the last connections.
        """
        plan, now_ms = self._shutdown, self._clock.now_ms()
        plan.record_delay(now_ms - self._stop_check_due_ms)
        poll_ms, owes_turn = SHUTDOWN_POLL_MS, False
        if now_ms >= plan.answer_ms:
            poll_ms = ANSWER_POLL_MS
            self._request_handler.give_up_all(STOPPED)
            self._forwarding.give_up_all(STOPPED)
            owes_turn = plan.record_answers(now_ms)
        self._site.close_idle()
        for_peers = (
            self._delegation.peer_gather_count() + self._forwarding.peer_forward_count()
        )
        busy = self._site.channels or for_peers
        is_open = self._caller_port is not None
        if is_open and (not busy or now_ms >= plan.accept_until_ms):
            self._stop_accepting()
            poll_ms, owes_turn = SHUTDOWN_POLL_MS, True
        if owes_turn or (busy and now_ms < plan.exit_ms):
            self._check_stop_later(poll_ms)
            return
        self._log_stopped(now_ms, for_peers)
        # Else each connection that ends causes work as if the other side were lost.
        self.close()
        self._reactor.stop()

    def _log_stopped(self, now_ms, for_peers):
        """Log how the stop has ended; connections that are open now are cut."""
        connections = self._site.count_states()
        logger.log(
            logging.WARNING if connections else logging.INFO,
            "stopped",
            extra={
                "active": self._request_handler.active(),
                "connections": connections,
                "for_peers": for_peers,
                "elapsed_ms": round(now_ms - self._shutdown.started_ms),
            },
        )

    def _stop_accepting(self):
        port, self._caller_port = self._caller_port, None
        close_port(port, self._clock)

    def close(self):
        """Close all sockets but the callers' connections, and stop all timers.

        A daemon that went on would call whatever listens at the store's port by then.
        """
        self._caller_port = None
        self._network.set_loss_listener(None)
        if self._settings_timer is not None:
            self._settings_timer.cancel()
        if self._membership is not None:
            self._membership.stop()
        ports, self._ports = self._ports, []
        for port in ports:
            port.stopListening()
        self._relay.stop()
        self._quotas.close()
        self._network.stop()
        self.directory.close()
