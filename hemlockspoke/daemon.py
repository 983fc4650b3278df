"""The daemon process: start, listening sockets and graceful shutdown."""

import logging
import resource
import signal
import sys
import uuid

import typer
from twisted.internet.defer import ensureDeferred

from hemlockspoke.adapters.json_logs import configure_logs
from hemlockspoke.adapters.listening_port import LISTEN_BACKLOG, close_port
from hemlockspoke.adapters.signals import run_with_signals
from hemlockspoke.clock import ReactorClock
from hemlockspoke.config.settings import Settings
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.http1.memory_budget import MemoryBudget
from hemlockspoke.tier.edge_settings import ProcessLimits

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
MEGABYTE = 1024 * 1024
DRAIN_POLL_MS = 20
# Time before the drain limit at which every request that is still in progress gets its
# final answer.
ANSWER_RESERVE_MS = 700


class Daemon:
    """A ``Node`` with its HTTP interfaces and signal handlers."""

    __slots__ = (
        "_caller_port",
        "_caller_site",
        "_exiting",
        "_giving_up",
        "_node",
        "_reactor",
        "_settings",
        "_stopping",
    )

    def __init__(self, settings, reactor, node):
        self._settings = settings
        self._reactor = reactor
        self._node = node
        self._caller_port = None
        self._caller_site = None
        self._stopping = False
        self._giving_up = False
        self._exiting = False

    @classmethod
    def from_config(cls, settings, reactor):
        """Build the adapters and the ``Node`` from the settings."""
        # Adapters import the reactor, which main() has installed by now.
        from hemlockspoke.adapters.http_store import HttpStore
        from hemlockspoke.adapters.http_upstream import HttpUpstreamClients
        from hemlockspoke.adapters.peer_stream import TcpPeerNetwork
        from hemlockspoke.adapters.statsd_metrics import StatsdMetrics
        from hemlockspoke.node import Node

        clock = ReactorClock(reactor)
        metrics = StatsdMetrics.from_config(settings, clock, reactor)
        epoch = uuid.uuid4().hex
        peers = TcpPeerNetwork.from_config(settings, reactor, clock, epoch, metrics)
        store = HttpStore.from_config(settings, clock, reactor)
        clients = HttpUpstreamClients(reactor, clock, settings.timings.stall_ms)
        node = Node(settings, clock, store, peers, clients, metrics)
        return cls(settings, reactor, node)

    def start(self):
        """Bind all addresses, then start the ``Node``.

        The peer address is bound before the VM registers, so that an earlier
        process on this VM can no longer serve on it.
        """
        from hemlockspoke.adapters.caller_http import CallerSite
        from hemlockspoke.adapters.operator_http import operator_site

        limits = process_limits(self._settings)
        self._node.peers.listen(self._settings.peer_address)
        address = self._settings.operator_address
        self._reactor.listenTCP(
            address.port, operator_site(self._node), interface=address.host
        )
        self._caller_site = CallerSite(
            queries=self._node.queries,
            orders=self._node.orders,
            refusal_reason=self._node.first_refusal_reason,
            caller_idle_timeout_ms=self._settings.timings.caller_idle_timeout_ms,
            reactor=self._reactor,
            memory_budget=MemoryBudget(limits.caller_memory_bytes()),
            max_connections=limits.caller_connections(),
            on_refused=self._on_caller_refused,
        )
        address = self._settings.caller_address
        self._caller_port = self._reactor.listenTCP(
            address.port,
            self._caller_site,
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        self._node.start()
        logger.info("started", extra={"failure_domain": self._settings.failure_domain})

    def _on_caller_refused(self, reason):
        self._node.metrics.count(f"callers.refused_{reason}")
        logger.info("caller refused", extra={"reason": reason})

    def terminate(self, *_):
        """Handle SIGTERM and SIGINT: shut down gracefully; if repeated, give up."""
        if self._stopping:
            self._reactor.callFromThread(self._give_up, "second signal")
            return
        self._stopping = True
        self._reactor.callFromThread(self._shut_down)

    def _shut_down(self):
        timings = self._settings.timings
        logger.info("shutting down")
        self._node.leaving = True
        self._caller_site.leaving = True
        ensureDeferred(self._drain()).addErrback(self._exit_after_failure)
        clock = self._node.clock
        clock.call_later(timings.drain_lag_ms, self._close_caller_port)
        answer_ms = max(
            timings.drain_lag_ms, timings.drain_limit_ms - ANSWER_RESERVE_MS
        )
        clock.call_later(answer_ms, self._give_up, "drain limit")
        clock.call_later(timings.drain_limit_ms, self._exit, "drain limit")

    def _close_caller_port(self):
        """Refuse new work: the load balancer has had time to see the lost readiness."""
        if self._node.draining:
            return
        self._node.draining = True
        close_port(self._caller_port, self._node.clock)
        self._close_idle()

    def _close_idle(self):
        """Close idle connections, again and again until the process ends."""
        self._caller_site.close_idle()
        self._node.clock.call_later(DRAIN_POLL_MS, self._close_idle)

    def _give_up(self, reason):
        """Answer all requests in progress with what is known, then exit."""
        if self._giving_up:
            return
        self._giving_up = True
        logger.warning("giving up requests", extra={"reason": reason})
        self._close_caller_port()
        self._node.queries.give_up_all()
        self._node.orders.give_up_all()
        self._caller_site.refuse_partial(reason)
        end_ms = self._node.clock.now_ms() + ANSWER_RESERVE_MS
        self._exit_when_sent(reason, end_ms)

    def _exit_when_sent(self, reason, end_ms):
        """Exit once all answers are sent, at the latest at the time ``end_ms``."""
        clock = self._node.clock
        if self._caller_site.channels and clock.now_ms() < end_ms:
            clock.call_later(DRAIN_POLL_MS, self._exit_when_sent, reason, end_ms)
        else:
            self._exit(reason)

    async def _drain(self):
        await self._node.sleep(self._settings.timings.drain_lag_ms)
        await self._node.finish_work()
        while self._caller_site.channels:
            await self._node.sleep(DRAIN_POLL_MS)
        self._exit("drained")

    def _exit_after_failure(self, failure):
        logger.error("shutdown failed", extra={"reason": failure.getTraceback()})
        self._exit("shutdown failed")

    def _exit(self, reason):
        if self._reactor.running and not self._exiting:
            self._exiting = True
            logger.info("exit", extra={"reason": reason})
            self._node.stop()
            # Leave time to flush answers from the send buffers.
            self._reactor.callLater(0.1, self._reactor.stop)


def process_limits(settings):
    """Return the limits of this process; the kernel may allow fewer descriptors."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = settings.max_fds
    if allowed != resource.RLIM_INFINITY:
        descriptors = min(descriptors, allowed)
    return ProcessLimits(settings.memory_mb * MEGABYTE, descriptors)


def run(settings_file: str = typer.Argument(..., help="Settings file (YAML).")):
    """Run the hemlockspoke daemon.

    Example: hemlockspoked /etc/hemlockspoke/settings.yaml
    """
    try:
        result = Settings.from_file(settings_file)
    except HumanReadableError as error:
        print(f"hemlockspoked: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    if result.is_error():
        print(str(result.error), file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    settings = result.ok
    configure_logs(settings.vm, settings.log_level)
    from twisted.internet import reactor

    daemon = Daemon.from_config(settings, reactor)
    reactor.callWhenRunning(daemon.start)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, daemon.terminate)
    run_with_signals(reactor)


def main():
    """Run the daemon from the command line."""
    typer.run(run)
