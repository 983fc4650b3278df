"""A daemon on an entry VM: its parts, its start and its graceful stop."""

import logging

from hemlockspoke.adapters.peer_stream import TcpPeerNetwork
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.http1.channel import CallerSite
from hemlockspoke.tier.delegation import DelegationDesk
from hemlockspoke.tier.directory import Directory
from hemlockspoke.tier.extra_load import ExtraLoad
from hemlockspoke.tier.feed import WATCH_GRACE_MS, Feed
from hemlockspoke.tier.fellows import Fellows
from hemlockspoke.tier.front import Front, Tier
from hemlockspoke.tier.members import Members
from hemlockspoke.tier.relay import FollowedKind, Relay, RelayedSink
from hemlockspoke.tier.timing import Timings

logger = logging.getLogger(__name__)

# Two missed ready calls, a second apart, take a daemon out of rotation.
ROTATION_LAG_MS = 2600.0
# Left of the time for a stop, so that answers leave the buffers.
STOP_RESERVE_MS = 700.0
STOP_POLL_MS = 50.0
# At the first start traffic comes some seconds later, and one daemon of each failure
# domain can read for all.
FIRST_START_HOLD_MS = 2000.0
# Settings may change without a signal, and the bounds on changes are seconds.
SETTINGS_CHECK_MS = 1000.0
# Connections that wait to be accepted while the daemon is busy.
LISTEN_BACKLOG = 512


class PeerTimings:
    """Heartbeats of the streams between daemons."""

    __slots__ = ()

    heartbeat_ms = 500.0
    # Two heartbeats and a busy moment of the other end.
    stream_silence_ms = 1500.0


class EdgeDaemon:
    """One process on an entry VM.

    The surroundings are given to it: a codec for headers, and for each kind of
    store objects a source to read it from and a sink that decodes it.
    """

    def __init__(self, settings, reactor, clock, metrics, codec):
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics
        self._leaving_ms = None
        self._members = None
        self._ports = []
        # Reads the settings, and tells a version of them that is cheap to compare.
        self.read_settings = None
        self.settings_version = None
        self._settings_seen = None
        bounds = settings.bounds
        self.directory = Directory(
            reactor,
            clock,
            settings.vm,
            settings.failure_domain,
            settings.failure_domains,
            bounds,
        )
        self.directory.on_configuration = self._configured
        extra_load = ExtraLoad(
            clock,
            bounds,
            self.directory.parts.share,
            fresh=settings.first_start,
        )
        tier = Tier(clock, codec, self.directory, extra_load, metrics)
        self._timings = Timings()
        self._front = Front(tier, self._timings)
        self._site = CallerSite(clock, self._front.handle, rejected=self._rejected)
        self._ready_site = CallerSite(clock, self._answer_ready)
        self._metrics_site = CallerSite(clock, self._answer_metrics)
        self._connect_peers(tier)

    def _connect_peers(self, tier):
        """Build what talks to the other daemons."""
        settings = self._settings
        self._network = TcpPeerNetwork(
            self._reactor,
            self._clock,
            settings.vm,
            settings.region,
            str(self._clock.wall_ms()),
            PeerTimings(),
            self._metrics,
        )
        self._fellows = Fellows(
            settings.vm,
            settings.failure_domain,
            self._network,
            self.directory.parts.hubs,
        )
        self._wait_ms = settings.bounds.longest_watch_ms()
        self._relay = Relay(
            self._clock,
            settings.vm,
            self._network.send,
            self._fellows.domain_peers,
            max_age_ms=self._wait_ms + 2 * WATCH_GRACE_MS,
        )
        self.directory.age_ms = self._relay.age_ms
        self._desk = DelegationDesk(
            tier,
            self._timings,
            self._fellows,
            self._network,
            self._relay.peer_leaving,
        )
        tier.desk = self._desk
        self._network.set_receiver(self._peer_message)
        self._network.set_loss_listener(self._peer_lost)
        self._network.set_connect_listener(self._peer_connected)

    def follow(self, kind, source, sink):
        """Follow a kind of store objects from the start on."""
        followed = FollowedKind(kind, self._clock, sink)
        relayed = RelayedSink(followed, self._relay)
        feed = Feed(kind, self._clock, source, relayed, self._wait_ms)
        self._relay.follow(followed, feed)

    def register_with(self, registrations):
        """Find the other daemons through their registrations."""
        self._members = Members(self._clock, self._settings, registrations, self._found)

    def _found(self, fellows):
        """Take the list of registered daemons, without this one."""
        names = {self._settings.failure_domain: [self._settings.vm]}
        for fellow in fellows:
            names.setdefault(fellow.failure_domain, []).append(fellow.vm)
        self.directory.set_members(names)
        self._fellows.set_all(fellows)
        if self._fellows.lowest_in_domain():
            self._relay.lead()

    def _peer_message(self, vm, message):
        self._relay.receive(vm, message)
        self._desk.receive(vm, message)

    def _peer_connected(self, vm):
        logger.info("peer connected", extra={"peer": vm})
        if self._members is not None and not self._fellows.knows(vm):
            self._members.read_soon()

    def _peer_lost(self, vm):
        logger.warning("peer lost", extra={"peer": vm})
        self._relay.peer_lost(vm)
        self._desk.peer_lost(vm)

    def start(self):
        """Listen, then follow the store."""
        settings = self._settings
        self._listen(settings.caller_address, self._site)
        self._listen(settings.ready_address, self._ready_site)
        if settings.metrics_address is not None:
            self._listen(settings.metrics_address, self._metrics_site)
        self._ports.append(self._network.listen(settings.peer_address))
        if self.settings_version is not None:
            self.watch_settings()
        self._relay.start(FIRST_START_HOLD_MS if settings.first_start else 0.0)
        if self._members is not None:
            self._members.start()
        logger.info("started", extra={"failure_domain": settings.failure_domain})

    def _listen(self, address, site):
        port = self._reactor.listenTCP(
            address.port, site, backlog=LISTEN_BACKLOG, interface=address.host
        )
        self._ports.append(port)

    def _configured(self, table):
        self._timings.keep(table.routes)
        if table.caller_limits is not None:
            self._site.limits = table.caller_limits

    def _rejected(self, status):
        self._metrics.count("requests.malformed")
        logger.info("malformed request", extra={"status": status})

    def _answer_ready(self, request):
        ready = self.directory.ready() and self._leaving_ms is None
        request.respond(200 if ready else 503, [], b"")

    def _answer_metrics(self, request):
        self._metrics.gauge("requests_active", self._front.active())
        self._metrics.gauge("members", self.directory.parts.count())
        self._metrics.gauge("servers", len(self.directory.upstreams))
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        request.respond(200, headers, self._metrics.to_text().encode())

    def watch_settings(self):
        """Read the settings again whenever they change, with or without a signal."""
        self._settings_seen = self.settings_version()
        self._clock.call_later(SETTINGS_CHECK_MS, self._check_settings)

    def _check_settings(self):
        version = self.settings_version()
        if version != self._settings_seen:
            self._settings_seen = version
            self._reload()
        self._clock.call_later(SETTINGS_CHECK_MS, self._check_settings)

    def reload(self, *_):
        """Handle SIGHUP: read the settings again."""
        self._reactor.callFromThread(self._reload)

    def _reload(self):
        try:
            settings = self.read_settings()
        except HumanReadableError as error:
            logger.error("settings not taken", extra={"reason": str(error)})
            return
        self._settings.bounds.take(settings.bounds)
        logger.info("settings read again")

    def terminate(self, *_):
        """Handle SIGTERM: leave without cutting a request."""
        self._reactor.callFromThread(self._leave)

    def _leave(self):
        if self._leaving_ms is not None:
            return
        self._leaving_ms = self._clock.now_ms()
        self._site.leaving = True
        self._relay.leaving = True
        logger.info("leaving", extra={"active": self._front.active()})
        self._clock.call_later(ROTATION_LAG_MS, self._stop_when_idle)

    def _stop_when_idle(self):
        """Stop once nothing is in progress, at the latest when time is up."""
        self._site.close_idle()
        elapsed_ms = self._clock.now_ms() - self._leaving_ms
        limit_ms = self._settings.bounds.shutdown_ms - STOP_RESERVE_MS
        busy = self._site.channels or self._desk.active()
        if busy and elapsed_ms < limit_ms:
            self._clock.call_later(STOP_POLL_MS, self._stop_when_idle)
            return
        logger.info("stopped", extra={"active": self._front.active()})
        self._reactor.stop()

    def close(self):
        """Close every socket without waiting, for tests in one process."""
        for port in self._ports:
            port.stopListening()
        self._relay.stop()
        self._network.stop()
        self.directory.close()
