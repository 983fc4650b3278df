"""The daemon on the platform: wiring, start, and graceful stop."""

import logging
import os
import signal
import sys

from hemlockspoke.adapters.json_logs import configure_logs
from hemlockspoke.adapters.peer_stream import TcpPeerNetwork
from hemlockspoke.address import Address
from hemlockspoke.clock import ReactorClock
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.http1.channel import CallerSite
from hemlockspoke.platform import feeds, objects
from hemlockspoke.platform.headers import PlatformCodec
from hemlockspoke.platform.members import Members
from hemlockspoke.platform.settings import PlatformSettings
from hemlockspoke.platform.store import StoreCalls
from hemlockspoke.tier.delegation import DelegationDesk
from hemlockspoke.tier.directory import Directory
from hemlockspoke.tier.extra_load import ExtraLoad
from hemlockspoke.tier.feed import WATCH_GRACE_MS, Feed
from hemlockspoke.tier.fellows import Fellows
from hemlockspoke.tier.front import Front, Tier
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.relay import FollowedKind, Relay
from hemlockspoke.tier.timing import Timings

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "HEMLOCKSPOKE_SETTINGS"
EXIT_BAD_SETTINGS = 2
# A silent watch is found out by its end, so its wait is a part of the time after
# which the platform expects a machine to be in touch again.
WATCH_PART = 2.5
# Two missed ready calls, a second apart, take a daemon out of rotation.
ROTATION_LAG_MS = 2600.0
# Left of the platform's time for a stop, so that answers leave the buffers.
STOP_RESERVE_MS = 700.0
STOP_POLL_MS = 50.0


class PeerTimings:
    """Heartbeats between daemons, of which the relay sends its own."""

    __slots__ = ()

    heartbeat_ms = 500.0
    # Two heartbeats and a pause of the other end by a busy moment.
    stream_silence_ms = 1500.0


PEER_TIMINGS = PeerTimings()


class EdgeDaemon:
    """One process on an entry machine."""

    def __init__(self, settings, reactor):
        self._settings = settings
        self._reactor = reactor
        self.clock = ReactorClock(reactor)
        self.metrics = MetricsRegistry()
        bounds = settings.bounds
        self.directory = Directory(
            reactor,
            self.clock,
            settings.region,
            settings.failure_domains,
            bounds.drain_ms,
        )
        self.directory.on_configuration = self._configured
        extra_load = ExtraLoad(
            bounds.extra_load_ratio,
            bounds.extra_load_slack,
            self.directory.member_count,
            fresh=settings.first_start,
        )
        tier = Tier(
            self.clock, PlatformCodec(), self.directory, extra_load, self.metrics
        )
        timings = Timings()
        self.front = Front(tier, timings)
        self._site = CallerSite(self.clock, self.front.handle)
        self._ready_site = CallerSite(self.clock, self._answer_ready)
        self._calls = StoreCalls(
            reactor, self.clock, settings.store_address, self.metrics
        )
        self._leaving_ms = None
        self._connect_peers(tier, timings)

    def _connect_peers(self, tier, timings):
        """Build what talks to the other daemons."""
        settings = self._settings
        self._peer_address = Address(
            settings.caller_address.host, settings.internal_ports[0]
        )
        self.network = TcpPeerNetwork(
            self._reactor,
            self.clock,
            settings.vm,
            settings.region,
            f"{self.clock.wall_ms()}",
            PEER_TIMINGS,
            self.metrics,
        )
        self._fellows = Fellows(
            settings.vm, settings.failure_domain, settings.region, self.network
        )
        self._wait_ms = settings.bounds.stable_window_ms / WATCH_PART
        self.relay = Relay(
            self.clock,
            settings.vm,
            self.network.send,
            self._fellows.domain_peers,
            max_age_ms=self._wait_ms + 2 * WATCH_GRACE_MS,
        )
        self.desk = DelegationDesk(
            tier, timings, self._fellows, self.network, self.relay.peer_leaving
        )
        tier.desk = self.desk
        self.network.set_receiver(self._peer_message)
        self.network.set_loss_listener(self._peer_lost)

    def _peer_message(self, vm, message):
        self.relay.receive(vm, message)
        self.desk.receive(vm, message)

    def _peer_lost(self, vm):
        logger.info("peer lost", extra={"peer": vm})
        self.relay.peer_lost(vm)
        self.desk.peer_lost(vm)

    def start(self):
        """Listen, then follow the store."""
        settings = self._settings
        self._listen(settings.caller_address, self._site)
        self._listen(settings.ready_address, self._ready_site)
        self.network.listen(self._peer_address)
        self._follow(objects.CONFIG_KIND, feeds.ConfigSink)
        self._follow(objects.SERVER_KIND, feeds.ServerSink)
        self._follow(objects.EVACUATION_KIND, feeds.EvacuationSink)
        self.relay.start()
        Members(
            self._calls, self.clock, settings, self._peer_address, self._found
        ).start()
        logger.info("started", extra={"failure_domain": settings.failure_domain})

    def _found(self, fellows):
        """Take the list of registered daemons, without this one."""
        self.directory.set_member_count(len(fellows) + 1)
        self._fellows.set_all(fellows)

    def _listen(self, address, site):
        self._reactor.listenTCP(address.port, site, interface=address.host, backlog=512)

    def _follow(self, kind, make_sink):
        followed = FollowedKind(kind, self.clock, make_sink(self.directory))
        sink = feeds.RelayedSink(followed, self.relay)
        source = feeds.KindSource(self._calls, kind)
        self.relay.follow(followed, Feed(kind, self.clock, source, sink, self._wait_ms))

    def _configured(self, table):
        if table.caller_limits is not None:
            self._site.limits = table.caller_limits

    def _answer_ready(self, request):
        ready = self.directory.ready() and self._leaving_ms is None
        request.respond(200 if ready else 503, [], b"")

    def reload(self, *_):
        """Handle SIGHUP: read the settings again."""
        self._reactor.callFromThread(self._reload)

    def _reload(self):
        try:
            PlatformSettings.from_file(os.environ[SETTINGS_VARIABLE])
        except HumanReadableError as error:
            logger.error("settings not taken", extra={"reason": str(error)})
            return
        logger.info("settings read again")

    def terminate(self, *_):
        """Handle SIGTERM: leave without cutting a request."""
        self._reactor.callFromThread(self._leave)

    def _leave(self):
        if self._leaving_ms is not None:
            return
        self._leaving_ms = self.clock.now_ms()
        self._site.leaving = True
        self.relay.leaving = True
        logger.info("leaving", extra={"active": self.front.active()})
        self.clock.call_later(ROTATION_LAG_MS, self._stop_when_idle)

    def _stop_when_idle(self):
        """Stop once no connection is left, at the latest before the platform does."""
        self._site.close_idle()
        elapsed_ms = self.clock.now_ms() - self._leaving_ms
        limit_ms = self._settings.bounds.shutdown_ms - STOP_RESERVE_MS
        busy = self._site.channels or self.desk.active()
        if busy and elapsed_ms < limit_ms:
            self.clock.call_later(STOP_POLL_MS, self._stop_when_idle)
            return
        logger.info("stopped", extra={"active": self.front.active()})
        self._reactor.stop()


def main():
    """Run the daemon on the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = PlatformSettings.from_file(path)
    except HumanReadableError as error:
        print(f"hemlockspoke: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
    configure_logs(settings.vm)
    from twisted.internet import reactor

    daemon = EdgeDaemon(settings, reactor)
    signal.signal(signal.SIGTERM, daemon.terminate)
    signal.signal(signal.SIGINT, daemon.terminate)
    signal.signal(signal.SIGHUP, daemon.reload)
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
