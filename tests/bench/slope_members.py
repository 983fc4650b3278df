"""Costs of membership changes, share planning and peer streams."""

import itertools

from twisted.internet.testing import StringTransport

from hemlockspoke.adapters.peer_stream import PeerProtocol, TcpPeerNetwork
from hemlockspoke.clock import ManualClock
from hemlockspoke.messages import Hello, Ping, Pong, encode
from hemlockspoke.ports import NullMetrics
from hemlockspoke.requests import Share
from hemlockspoke.settings import Timings
from hemlockspoke.share_plan import plan_group
from hemlockspoke.shares import GroupShares, ServerLimit, ShareView
from tests.bench.slope_fit import Measured, cpu_us, measurements, memory_bytes, over
from tests.bench.slope_world import ControlWorld, vm_list, vm_name

VMS = (650, 1300, 2600)
PEERS = (16, 64, 256, 1024)
GROUP_SERVERS = (10, 40, 130)
SERVERS = 600
HEARTBEATS = 20
LENGTH_BYTES = 4


def restart_cost(vms):
    """Return the processor time in us of one registration of a restarted VM."""
    world = ControlWorld(vms, SERVERS)
    numbers = itertools.cycle(range(1, vms))
    return cpu_us(lambda: world.restart(next(numbers)), repeats=2)


def list_cost(vms):
    """Return the processor time in us of a reading of the VM list."""
    world = ControlWorld(vms)
    listed = vm_list(vms)
    return cpu_us(lambda: world.membership.note_list(listed))


@measurements.register("membership")
def membership():
    """Measure membership changes against the size of the fleet."""
    return [
        Measured("membership: restart of a VM", "us", "VM", over(VMS, restart_cost)),
        Measured("membership: reading of the list", "us", "VM", over(VMS, list_cost)),
    ]


def plan_cost(servers):
    """Return the processor time in us to plan a group that nobody holds."""
    names = [f"rp-{number:03d}-a" for number in range(servers)]
    me = (vm_name(0), 1)
    limit = ServerLimit(7, Share(2, 25, 1), 5000)
    view = ShareView(
        me=me,
        limits=lambda name: limit,
        desired=lambda name: [me, (vm_name(1), 2)],
        is_gone=lambda vm, incarnation: False,
    )

    def plan():
        assert plan_group(GroupShares(), names, view) is not None

    return cpu_us(plan)


@measurements.register("shares")
def shares():
    """Measure the planning of a share change."""
    points = over(GROUP_SERVERS, plan_cost)
    return [Measured("shares: plan of a group", "us", "server", points)]


class Transport(StringTransport):
    """Transport in memory with the calls that a stream uses."""

    def setTcpNoDelay(self, enabled):
        """Ignore."""

    def abortConnection(self):
        """Ignore."""


class Streams:
    """A peer network with open streams in memory; the other ends answer pings."""

    def __init__(self, peers):
        self.clock = ManualClock()
        self.network = TcpPeerNetwork(
            None, self.clock, "vm", "mtl", 1, Timings.defaults(), NullMetrics()
        )
        self.network.set_receiver(lambda vm, message: None)
        self.streams = []
        for number in range(peers):
            stream = PeerProtocol(self.network, dialed=False)
            stream.makeConnection(Transport())
            stream.dataReceived(framed(hello(f"peer-{number:04d}")))
            stream.transport.clear()
            self.streams.append(stream)
        self.sent_bytes = 0
        self.network._schedule_heartbeat()

    def heartbeat(self):
        """Let one heartbeat pass in which each peer pings and is pinged."""
        self.clock.advance(500)
        for stream in self.streams:
            sent = stream.transport.value()
            stream.transport.clear()
            # The other end follows the same rule: it pings when this end does.
            if sent:
                stream.dataReceived(PING_AND_PONG)
                self.sent_bytes += len(sent) + len(stream.transport.value())
                stream.transport.clear()


def framed(message):
    """Return a message as it is on the wire."""
    frame = encode(message)
    return len(frame).to_bytes(LENGTH_BYTES, "big") + frame


PING_AND_PONG = framed(Ping(token=7)) + framed(Pong(token=7))


def hello(vm):
    """Return the first message of a stream."""
    return Hello(vm=vm, incarnation=0, epoch=1, protocol_version=1, region="mtl")


def heartbeat_cost(peers):
    """Return the processor time in us of one heartbeat of all streams."""
    return cpu_us(Streams(peers).heartbeat)


def heartbeat_bytes_per_s(peers):
    """Return the bytes that a daemon sends per second for idle streams."""
    streams = Streams(peers)
    for _ in range(HEARTBEATS):
        streams.heartbeat()
    return streams.sent_bytes / HEARTBEATS * 2


@measurements.register("streams")
def streams():
    """Measure heartbeats and memory against the number of streams."""
    per_stream = over(PEERS, lambda n: memory_bytes(lambda: Streams(n)) / 1024)
    return [
        Measured("streams: one heartbeat", "us", "stream", over(PEERS, heartbeat_cost)),
        Measured(
            "streams: idle bytes sent in a second",
            "B",
            "stream",
            over(PEERS, heartbeat_bytes_per_s),
        ),
        Measured("streams: memory without sockets", "KB", "stream", per_stream),
    ]
