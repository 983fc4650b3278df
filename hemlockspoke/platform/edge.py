"""The daemon on the platform: wiring, start, and graceful stop."""

import logging
import os
import signal
import sys

from hemlockspoke.adapters.json_logs import configure_logs
from hemlockspoke.clock import ReactorClock
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.http1.channel import CallerSite
from hemlockspoke.platform import feeds, objects
from hemlockspoke.platform.headers import PlatformCodec
from hemlockspoke.platform.settings import PlatformSettings
from hemlockspoke.platform.store import StoreCalls
from hemlockspoke.tier.directory import Directory
from hemlockspoke.tier.extra_load import ExtraLoad
from hemlockspoke.tier.feed import Feed
from hemlockspoke.tier.front import Front, Tier
from hemlockspoke.tier.metrics import MetricsRegistry

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "HEMLOCKSPOKE_SETTINGS"
EXIT_BAD_SETTINGS = 2
# A silent watch is found out by its end, so its wait is a small part of the
# tightest bound on following a change.
WATCH_PART = 4.0
MEMBER_WATCH_MS = 20000.0
REGISTER_RETRY_MS = 1000.0
# Two missed ready calls, a second apart, take a daemon out of rotation.
ROTATION_LAG_MS = 2600.0
# Left of the platform's time for a stop, so that answers leave the buffers.
STOP_RESERVE_MS = 700.0
STOP_POLL_MS = 50.0


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
        self.front = Front(tier)
        self._site = CallerSite(self.clock, self.front.handle)
        self._ready_site = CallerSite(self.clock, self._answer_ready)
        self._calls = StoreCalls(
            reactor, self.clock, settings.store_address, self.metrics
        )
        self._leaving_ms = None

    def start(self):
        """Listen, then follow the store."""
        settings = self._settings
        self._listen(settings.caller_address, self._site)
        self._listen(settings.ready_address, self._ready_site)
        bounds = settings.bounds
        tightest_ms = min(bounds.config_apply_ms, bounds.drain_ms, bounds.evacuate_ms)
        wait_ms = tightest_ms / WATCH_PART
        self._follow(objects.CONFIG_KIND, feeds.ConfigSink, wait_ms)
        self._follow(objects.SERVER_KIND, feeds.ServerSink, wait_ms)
        self._follow(objects.EVACUATION_KIND, feeds.EvacuationSink, wait_ms)
        self._follow(objects.DAEMON_KIND, feeds.DaemonSink, MEMBER_WATCH_MS)
        self._register()
        logger.info("started", extra={"failure_domain": settings.failure_domain})

    def _listen(self, address, site):
        self._reactor.listenTCP(address.port, site, interface=address.host, backlog=512)

    def _follow(self, kind, make_sink, wait_ms):
        source = feeds.KindSource(self._calls, kind)
        Feed(kind, self.clock, source, make_sink(self.directory), wait_ms).start()

    def _register(self):
        """Tell the other daemons that this one shares the servers' limits."""
        settings = self._settings
        spec = {"failure_domain": settings.failure_domain}
        self._calls.put(objects.DAEMON_KIND, settings.vm, spec, None, self._registered)

    def _registered(self, reply):
        if reply.status in (200, 201, 409):
            return
        self.clock.call_later(REGISTER_RETRY_MS, self._register)

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
        logger.info("leaving", extra={"active": self.front.active()})
        self.clock.call_later(ROTATION_LAG_MS, self._stop_when_idle)

    def _stop_when_idle(self):
        """Stop once no connection is left, at the latest before the platform does."""
        self._site.close_idle()
        elapsed_ms = self.clock.now_ms() - self._leaving_ms
        limit_ms = self._settings.bounds.shutdown_ms - STOP_RESERVE_MS
        if self._site.channels and elapsed_ms < limit_ms:
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
