"""Builds the daemon that runs on the platform, and runs it."""

import os
import signal
import sys

from hemlockspoke.adapters.json_logs import configure_logs
from hemlockspoke.clock import ReactorClock
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.platform.feeds import KindSource, sinks_by_kind
from hemlockspoke.platform.headers import PlatformCodec
from hemlockspoke.platform.registrations import Registrations
from hemlockspoke.platform.settings import read_settings, settings_version
from hemlockspoke.platform.store import StoreCalls
from hemlockspoke.tier.edge_daemon import EdgeDaemon
from hemlockspoke.tier.metrics import MetricsRegistry

SETTINGS_PATH_VARIABLE = "HEMLOCKSPOKE_SETTINGS"
EXIT_INVALID_SETTINGS = 2


def build(settings, reactor):
    """Return an ``EdgeDaemon`` that follows the platform's store; it is not started."""
    clock = ReactorClock(reactor)
    metrics = MetricsRegistry()
    calls = StoreCalls(
        reactor,
        clock,
        settings.store_address,
        metrics,
        bind_host=settings.peer_address.host,
    )
    daemon = EdgeDaemon(settings, reactor, clock, metrics, PlatformCodec(clock))
    for kind, sink in sinks_by_kind(daemon.directory).items():
        daemon.follow(kind, KindSource(calls, kind), sink)
    daemon.set_registrations(Registrations(calls))
    return daemon


def run():
    """Read the settings file and run the daemon until it is stopped."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        # The version is read first, so that a change made meanwhile is noticed later.
        version = settings_version(path)
        settings = read_settings(path)
    except HumanReadableError as error:
        print(f"hemlockspoke: {error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
    configure_logs(settings.vm)
    from twisted.internet import reactor

    daemon = build(settings, reactor)
    daemon.read_settings = lambda: read_settings(path)
    daemon.settings_version = lambda: settings_version(path)
    daemon.applied_settings_version = version
    signal.signal(signal.SIGTERM, daemon.terminate)
    signal.signal(signal.SIGINT, daemon.terminate)
    signal.signal(signal.SIGHUP, daemon.reload)
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)
