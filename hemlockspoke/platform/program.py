"""Builds the daemon that runs on the platform, and runs it."""

import logging
import os
import signal
import sys
import time

from hemlockspoke.adapters.json_logs import configure_logs
from hemlockspoke.adapters.signals import run_with_signals
from hemlockspoke.clock import ReactorClock
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.platform.feeds import KindSource, sinks_by_kind
from hemlockspoke.platform.headers import PlatformCodec
from hemlockspoke.platform.registrations import Registrations
from hemlockspoke.platform.rollouts import follow_rollouts
from hemlockspoke.platform.settings import read_settings, settings_version
from hemlockspoke.platform.store import StoreCalls
from hemlockspoke.tier.edge_daemon import EdgeDaemon
from hemlockspoke.tier.metrics import MetricsRegistry

SETTINGS_PATH_VARIABLE = "HEMLOCKSPOKE_SETTINGS"
EXIT_INVALID_SETTINGS = 2
# The platform may be writing the file while a process starts, so settings that are
# invalid are read again some times.
SETTINGS_READS = 5
SETTINGS_REREAD_MS = 100.0


def build(settings, reactor):
    """Return an ``EdgeDaemon`` that follows the platform's store; it is not started."""
    clock = ReactorClock(reactor)
    metrics = MetricsRegistry()
    daemon = EdgeDaemon(settings, reactor, clock, metrics, PlatformCodec(clock))
    calls = StoreCalls(
        reactor,
        clock,
        settings.store_address,
        metrics,
        daemon.eras,
        bind_host=settings.peer_address.host,
    )
    for kind, sink in sinks_by_kind(daemon.directory, clock).items():
        daemon.follow(kind, KindSource(calls, kind), sink)
    follow_rollouts(daemon, calls, clock)
    daemon.set_registrations(Registrations(calls))
    return daemon


def read_first_settings(path):
    """Return the settings at the start and the version of their file.

    Raises ``HumanReadableError`` if they are still invalid after some reads.
    """
    for _ in range(SETTINGS_READS - 1):
        try:
            return read_settings_and_version(path)
        except HumanReadableError:
            time.sleep(SETTINGS_REREAD_MS / 1000.0)
    return read_settings_and_version(path)


def read_settings_and_version(path):
    """Return the settings and the version of their file."""
    # The version is read first, so that a change made meanwhile is noticed later.
    version = settings_version(path)
    return read_settings(path), version


def run():
    """Read the settings file and run the daemon until it is stopped."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        settings, version = read_first_settings(path)
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
    run_with_signals(reactor)
    logging.shutdown()
    # The end of the interpreter takes tenths of a second on a small share of a core,
    # in which the platform may kill the process.
    os._exit(0)
