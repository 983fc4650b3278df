"""Metrics over statsd, aggregated in memory and sent once per second."""

from statsd.client.base import StatsClientBase
from statsd.client.udp import Pipeline
from twisted.internet.protocol import DatagramProtocol

from hemlockspoke.ports import Metrics

FLUSH_INTERVAL_MS = 1000
MAX_DATAGRAM_BYTES = 1400
# Limits the memory and the datagrams per interval; further timings are dropped.
MAX_TIMINGS_PER_INTERVAL = 200


class ReactorStatsClient(StatsClientBase):
    """statsd client that sends through the reactor, without blocking it."""

    def __init__(self, protocol, address, prefix):
        self._protocol = protocol
        self._address = address
        self._prefix = prefix
        self._maxudpsize = MAX_DATAGRAM_BYTES

    def _send(self, data):
        transport = self._protocol.transport
        if transport is not None:
            transport.write(data.encode("ascii"), self._address)

    def pipeline(self):
        """Return a pipeline that batches metrics into few datagrams."""
        return Pipeline(self)

    def close(self):
        """Do nothing: the reactor owns the socket."""


class StatsdMetrics(Metrics):
    """Aggregates metrics: sums of counters, last values of gauges, some timings.

    One datagram per counted event would cost more than the event itself.
    """

    __slots__ = ("_client", "_clock", "_counts", "_gauges", "_timer", "_timings")

    def __init__(self, clock, client):
        self._clock = clock
        self._client = client
        self._counts = {}
        self._gauges = {}
        self._timings = []
        self._timer = None

    @classmethod
    def from_config(cls, settings, clock, reactor):
        """Open a UDP socket and start the periodic flush."""
        protocol = DatagramProtocol()
        reactor.listenUDP(0, protocol, interface="0.0.0.0")
        address = (settings.statsd_address.host, settings.statsd_address.port)
        prefix = f"{settings.statsd_prefix}.{settings.vm}"
        metrics = cls(clock, ReactorStatsClient(protocol, address, prefix))
        metrics.schedule_flush()
        return metrics

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def gauge(self, name, value):
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name, duration_ms):
        """Record a duration in ms, dropped over the limit of the interval."""
        if len(self._timings) < MAX_TIMINGS_PER_INTERVAL:
            self._timings.append((name, duration_ms))

    def schedule_flush(self):
        """Schedule the next flush."""
        self._timer = self._clock.call_later(FLUSH_INTERVAL_MS, self._flush_and_repeat)

    def _flush_and_repeat(self):
        self.flush()
        self.schedule_flush()

    def flush(self):
        """Send all recorded metrics and reset them."""
        counts, self._counts = self._counts, {}
        timings, self._timings = self._timings, []
        gauges, self._gauges = self._gauges, {}
        if not (counts or timings or gauges):
            return
        with self._client.pipeline() as pipeline:
            for name, amount in counts.items():
                pipeline.incr(name, amount)
            for name, value in gauges.items():
                pipeline.gauge(name, value)
            for name, duration_ms in timings:
                pipeline.timing(name, duration_ms)
