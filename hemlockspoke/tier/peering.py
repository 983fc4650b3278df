"""The components of a daemon that communicate with other daemons."""

import logging

from hemlockspoke.adapters.peer_stream import TcpPeerNetwork
from hemlockspoke.tier.peers.delegation import DelegationManager
from hemlockspoke.tier.peers.extra_load_lending import ExtraLoadLending
from hemlockspoke.tier.peers.forward_manager import ForwardManager
from hemlockspoke.tier.quotas.quota_manager import QuotaManager
from hemlockspoke.tier.rollouts.wiring import connect_rollouts
from hemlockspoke.tier.state.peer_directory import PeerDirectory
from hemlockspoke.tier.state.relay import Relay, reading_age_ms

logger = logging.getLogger(__name__)


class PeerTimings:
    """Heartbeat timings of the streams between daemons, in ms."""

    __slots__ = ()

    heartbeat_ms = 500.0
    # Allows for two missed heartbeats and a delay of the other daemon.
    stream_silence_ms = 1500.0


class Peering:
    """Builds these components, and passes them messages and lists of daemons.

    ``membership`` is the ``Membership`` of this daemon, or None without registrations.
    """

    __slots__ = (
        "_directory",
        "_settings",
        "delegation",
        "forwarding",
        "lending",
        "membership",
        "network",
        "peers",
        "quotas",
        "relay",
        "rollouts",
    )

    def __init__(self, settings, network, tier, timings):
        self._settings = settings
        self._directory = tier.directory
        self.membership = None
        self.network = network
        self.peers = PeerDirectory(
            settings.vm,
            settings.failure_domain,
            network,
            tier.directory.limit_shares.hubs,
        )
        self.relay = Relay(
            tier.clock,
            settings.vm,
            network.send,
            self.peers.domain_peers,
            max_age_ms=reading_age_ms(settings.bounds.longest_watch_ms()),
        )
        tier.directory.age_ms = self.relay.age_ms
        self.delegation = DelegationManager(
            tier, timings, self.peers, network, self.relay.peer_leaving
        )
        tier.delegation = self.delegation
        self.forwarding = ForwardManager(tier, timings, self.delegation)
        tier.forwarding = self.forwarding
        self.lending = ExtraLoadLending(
            tier.clock,
            tier.extra_load,
            network.connected,
            network.send,
            self._services,
        )
        self.quotas = QuotaManager(settings, tier.clock, network, tier.metrics)
        self.quotas.claim_start = self._claim_start
        self.quotas.on_streams = self.peers.update_streams
        self.peers.further_streams = self.quotas.stream_vms
        self.rollouts = connect_rollouts(
            settings, tier.clock, tier, self.peers, network
        )
        network.set_receiver(self._receive)
        network.set_loss_listener(self._peer_lost)
        network.set_connect_listener(self._peer_connected)

    @classmethod
    def from_config(cls, settings, reactor, tier, timings):
        """Build from the settings of the daemon."""
        network = TcpPeerNetwork(
            reactor,
            tier.clock,
            settings.vm,
            settings.region,
            str(tier.clock.wall_ms()),
            PeerTimings(),
            tier.metrics,
        )
        return cls(settings, network, tier, timings)

    def _services(self):
        """Return the limits of the services of the configuration by name."""
        routing = self._directory.routing
        return {} if routing is None else routing.services

    def _claim_start(self, hold_ms, on_claimed):
        if self.membership is not None:
            self.membership.claim_start(hold_ms, on_claimed)

    def set_peers(self, peers):
        """Set the list of registered daemons, without this one."""
        membership = self.membership
        own_ms = None if membership is None else membership.registered_ms()
        registered_by_domain = {
            self._settings.failure_domain: {self._settings.vm: own_ms}
        }
        for peer in peers:
            registered = registered_by_domain.setdefault(peer.failure_domain, {})
            registered[peer.vm] = peer.registered_ms
        self._directory.set_members(
            {domain: list(vms) for domain, vms in registered_by_domain.items()}
        )
        self.quotas.set_members(
            registered_by_domain, membership is not None and membership.was_registered
        )
        self.peers.set_peers(peers)
        self.relay.set_position(
            self.peers.position_in_domain(), self.peers.streams_before()
        )

    def _receive(self, vm, message):
        self.relay.receive(vm, message)
        self.delegation.receive(vm, message)
        self.forwarding.receive(vm, message)
        self.lending.receive(vm, message)
        self.quotas.receive(vm, message)
        if self.rollouts is not None:
            self.rollouts.receive(vm, message)

    def _peer_connected(self, vm):
        logger.info("peer connected", extra={"peer": vm})
        if self.membership is not None and not self.peers.knows(vm):
            self.membership.read_soon()

    def _peer_lost(self, vm):
        logger.warning("peer lost", extra={"peer": vm})
        self.relay.peer_lost(vm)
        self.delegation.peer_lost(vm)
        self.forwarding.peer_lost(vm)
        self.quotas.peer_lost(vm)
