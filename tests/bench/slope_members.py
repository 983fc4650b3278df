"""Costs of membership changes, share planning and peer streams."""

import itertools

from twisted.internet.testing import StringTransport

from hemlockspoke.adapters.peer_protocol import PeerProtocol
from hemlockspoke.adapters.peer_stream import TcpPeerNetwork
from hemlockspoke.clock import ManualClock
from hemlockspoke.config.settings import Timings
from hemlockspoke.limits.share_plan import plan_group
from hemlockspoke.limits.shares import GroupShares, ServerLimit, ShareView
from hemlockspoke.members.peer_choice import PeerChoice
from hemlockspoke.messages import (
    PROTOCOL_VERSION,
    Hello,
    Ping,
    Pong,
    SubQueryCancel,
    encode,
)
from hemlockspoke.ports import NullMetrics
from hemlockspoke.requests import Share
from tests.bench.slope_fit import (
    SlopeRow,
    cpu_us,
    measurements,
    memory_bytes,
    points_over,
)
from tests.bench.slope_world import ControlPlane, share_value, vm_list, vm_name

VMS = (650, 1300, 2600)
PEERS = (16, 64, 256, 1024)
GROUP_SERVERS = (10, 40, 130)
SERVERS = 600
HOLDERS = 60
PAIRED_PEERS = (4, 16, 64)
HEARTBEAT_DURATION_S = 10
STEP_MS = 50
LENGTH_PREFIX_BYTES = 4


def restart_cost(vms):
    """Return the processor time in us of one registration of a restarted VM."""
    world = ControlPlane(vms, SERVERS)
    numbers = itertools.cycle(range(1, vms))
    return cpu_us(lambda: world.restart(next(numbers)), repeats=2)


def list_cost(vms):
    """Return the processor time in us of applying the VM list."""
    world = ControlPlane(vms)
    listed = vm_list(vms)
    return cpu_us(lambda: world.membership.record_vm_list(listed))


def peer_choice_of(vms, holders):
    """Return the peers that a daemon chooses among members, some of them holders."""
    world = ControlPlane(vms)
    peers = PeerChoice(world.configuration, world.membership, vm_name(0))
    for number in range(0, holders, 2):
        key = f"shares/mtl-{number:04x}"
        world.version += 1
        assert world.configuration.adopt(key, world.version, share_value(2, number))
    return peers


def choice_cost(vms):
    """Return the processor time in us to choose peers."""
    return cpu_us(peer_choice_of(vms, HOLDERS).choose)


@measurements.register("peer choice")
def peer_choice():
    """Measure the streams of a daemon and the time to choose them."""
    chosen = points_over(
        VMS, lambda n: len(peer_choice_of(n, HOLDERS).choose().members)
    )
    return [
        SlopeRow("peers: choice", "us", "VM", points_over(VMS, choice_cost)),
        SlopeRow(f"peers: chosen with {HOLDERS} holders", "streams", "VM", chosen),
    ]


@measurements.register("membership")
def membership():
    """Measure membership changes against the size of the fleet."""
    return [
        SlopeRow(
            "membership: restart of a VM", "us", "VM", points_over(VMS, restart_cost)
        ),
        SlopeRow(
            "membership: reading of the list", "us", "VM", points_over(VMS, list_cost)
        ),
    ]


def plan_cost(servers):
    """Return the processor time in us to plan a group without holders."""
    names = [f"rp-{number:03d}-a" for number in range(servers)]
    own_id = (vm_name(0), 1)
    limit = ServerLimit(7, Share(2, 25, 1), 5000)
    view = ShareView(
        me=own_id,
        limit_of=lambda name: limit,
        desired_holders_of=lambda name: [own_id, (vm_name(1), 2)],
        is_gone=lambda vm, incarnation: False,
    )

    def plan():
        assert plan_group(GroupShares(), names, view) is not None

    return cpu_us(plan)


@measurements.register("shares")
def shares():
    """Measure the planning of a share change."""
    points = points_over(GROUP_SERVERS, plan_cost)
    return [SlopeRow("shares: plan of a group", "us", "server", points)]


class Transport(StringTransport):
    """Transport in memory with the calls that a stream uses."""

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def abortConnection(self):
        """Do nothing."""


class Network:
    """A peer network without sockets, driven by the clock of the measurement."""

    def __init__(self, clock, vm, peers):
        self.clock = clock
        self.network = TcpPeerNetwork(
            None, clock, vm, "mtl", 1, Timings.defaults(), NullMetrics()
        )
        self.network.set_receiver(lambda vm, message: None)
        self.streams = [self._stream(peer) for peer in peers]
        self.network._schedule_heartbeat()

    def _stream(self, vm):
        stream = PeerProtocol(self.network, dialed=False)
        stream.makeConnection(Transport())
        stream.dataReceived(framed(hello(vm)))
        stream.transport.clear()
        return stream


class IdleStreams(Network):
    """A peer network with idle streams; each remote end sends pings and pongs."""

    def __init__(self, peers):
        names = [f"peer-{number:04d}" for number in range(peers)]
        super().__init__(ManualClock(), "vm", names)

    def heartbeat(self):
        """Advance by one heartbeat, in which each peer pings and is pinged."""
        self.clock.advance(500)
        for stream in self.streams:
            stream.transport.clear()
            stream.dataReceived(PING_PONG_FRAMES)
            stream.transport.clear()


class StreamPairs:
    """Networks at both ends of some streams, and the bytes that one end sends."""

    def __init__(self, peers):
        clock = ManualClock()
        names = [f"peer-{number:04d}" for number in range(peers)]
        self.clock = clock
        self.near = Network(clock, "vm", names)
        # The far ends started at another time within the heartbeat interval.
        clock.advance(200)
        self.far = [Network(clock, name, ["vm"]) for name in names]
        self.sent_bytes = 0

    def run(self, duration_ms, busy):
        """Advance the clock; busy streams carry a message both ways in each step."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for near, network in zip(self.near.streams, self.far, strict=True):
                far = network.streams[0]
                self._transfer(near, far)
                if busy:
                    far.dataReceived(WORK_FRAME)
                    near.dataReceived(WORK_FRAME)

    def _transfer(self, near, far):
        while near.transport.value() or far.transport.value():
            out, back = near.transport.value(), far.transport.value()
            near.transport.clear()
            far.transport.clear()
            self.sent_bytes += len(out)
            far.dataReceived(out)
            near.dataReceived(back)


def framed(message):
    """Return an encoded message with its length prefix."""
    frame = encode(message)
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame


WORK_FRAME = framed(SubQueryCancel(request_id="r", sub_ids=[1]))
PING_PONG_FRAMES = framed(Ping(token=7)) + framed(Pong(token=7))


def hello(vm):
    """Return the first message of a stream."""
    return Hello(
        vm=vm, incarnation=0, epoch=1, protocol_version=PROTOCOL_VERSION, region="mtl"
    )


def heartbeat_cost(peers):
    """Return the processor time in us of one heartbeat of all streams."""
    return cpu_us(IdleStreams(peers).heartbeat)


def heartbeat_bytes_per_s(peers, busy):
    """Return the bytes of heartbeats that a daemon sends per second."""
    pairs = StreamPairs(peers)
    pairs.run(HEARTBEAT_DURATION_S * 1000, busy)
    return pairs.sent_bytes / HEARTBEAT_DURATION_S


@measurements.register("streams")
def streams():
    """Measure heartbeats and memory against the number of streams."""
    idle = points_over(PAIRED_PEERS, lambda n: heartbeat_bytes_per_s(n, busy=False))
    busy = points_over(PAIRED_PEERS, lambda n: heartbeat_bytes_per_s(n, busy=True))
    per_stream = points_over(
        PEERS, lambda n: memory_bytes(lambda: IdleStreams(n)) / 1024
    )
    return [
        SlopeRow(
            "streams: one heartbeat", "us", "stream", points_over(PEERS, heartbeat_cost)
        ),
        SlopeRow("streams: heartbeats sent in 1 s, idle", "B", "stream", idle),
        SlopeRow("streams: heartbeats sent in 1 s, busy", "B", "stream", busy),
        SlopeRow("streams: memory without sockets", "KB", "stream", per_stream),
    ]
