"""Exchanges the messages about requests that one daemon sends for another."""

import itertools

from hemlockspoke.tier.messages import (
    ForwardAcknowledgement,
    ForwardCancel,
    ForwardReply,
    ForwardRequest,
)
from hemlockspoke.tier.peers.peer_forward import PeerForward, reply

# Number of hubs of each failure domain that are considered.
HUBS_PER_DOMAIN = 3


class _Asked:
    """A request to another daemon: its ``operation`` is the ``DelegatedForward``."""

    __slots__ = ("acknowledged", "operation", "vm")

    def __init__(self, vm, operation):
        self.vm = vm
        self.operation = operation
        self.acknowledged = False


class ForwardManager:
    """Sends and receives the messages about delegated requests; one for each daemon.

    ``delegation`` is the ``DelegationManager``, which knows the hubs that can be asked.
    """

    __slots__ = (
        "_asked",
        "_delegation",
        "_ids",
        "_peer_forwards",
        "_tier",
        "_timings",
        "shutdown",
    )

    def __init__(self, tier, timings, delegation):
        self._tier = tier
        self._timings = timings
        self._delegation = delegation
        self._ids = itertools.count(1)
        # The ShutdownPlan once the daemon is stopping.
        self.shutdown = None
        # _Asked by forward id, and PeerForward by the asking VM and its forward id.
        self._asked = {}
        self._peer_forwards = {}

    @property
    def clock(self):
        """Return the clock."""
        return self._tier.clock

    def servers_for(self, request, service):
        """Return the servers to which only other daemons can send a request.

        The list is empty if this daemon can send it, or if no hub can be asked.
        """
        route, directory = request.route, self._tier.directory
        if directory.candidates(service, request.regions):
            return []
        work_ms = request.timing.usual_work_ms
        servers = directory.fastest_servers(
            service, request.regions, work_ms, route.max_servers
        )
        return servers if self.choose_peer(servers, ())[0] else []

    def choose_peer(self, servers, excluded):
        """Return the VM of a hub near the first of the servers, and its distance.

        That is the round trip time in ms. The VM is None if no hub can be asked.
        """
        for server in servers:
            domain = server.entry.failure_domain
            for vm in self._delegation.available_gatherers(domain, HUBS_PER_DOMAIN):
                if vm not in excluded:
                    return vm, server.rtt_ms
        return None, 0.0

    def ask(self, vm, operation, message):
        """Send a ``ForwardRequest`` to a daemon; return its id.

        Return None if the daemon is not connected. ``operation`` gets the result.
        """
        forward_id = message.forward_id = next(self._ids)
        if not self.send(vm, message):
            return None
        self._asked[forward_id] = _Asked(vm, operation)
        self._tier.metrics.count("forwards.delegated")
        return forward_id

    def acknowledged(self, forward_id):
        """Return whether a daemon has acknowledged a request."""
        return self._asked[forward_id].acknowledged

    def mark_silent(self, vm):
        """Ask a daemon nothing for a while, as it did not acknowledge in time."""
        self._delegation.mark_silent(vm)

    def cancel(self, forward_id):
        """Tell a daemon that the result of a request is not needed any more."""
        asked = self._asked.pop(forward_id)
        self.send(asked.vm, ForwardCancel(forward_id=forward_id))

    def send(self, vm, message):
        """Send a message; return False if the daemon is not connected."""
        return self._delegation.send(vm, message)

    def peer_forward_count(self):
        """Return how many requests of other daemons are in progress."""
        return len(self._peer_forwards)

    def remove_peer_forward(self, vm, forward_id):
        """Forget a request of another daemon that has ended."""
        self._peer_forwards.pop((vm, forward_id), None)

    def receive(self, vm, message):
        """Handle a message of another daemon; those of other types are ignored."""
        if isinstance(message, ForwardRequest):
            self._start_peer_forward(vm, message)
        elif isinstance(message, ForwardCancel):
            peer_forward = self._peer_forwards.get((vm, message.forward_id))
            if peer_forward is not None:
                peer_forward.cancel()
        elif isinstance(message, ForwardAcknowledgement | ForwardReply):
            asked = self._asked.get(message.forward_id)
            if asked is None or asked.vm != vm:
                return
            if isinstance(message, ForwardReply):
                self._tier.directory.note_leaving_at_peer(message.leaving)
                del self._asked[message.forward_id]
                asked.operation.on_reply(message)
            else:
                asked.acknowledged = True

    def _start_peer_forward(self, vm, message):
        table = self._tier.directory.routing
        route = None if table is None else table.find(message.host, message.path_prefix)
        services = () if route is None else [service for service, _ in route.split]
        if message.service not in services:
            # The daemons have different versions of the configuration.
            reason = "the asked daemon has no such route"
            self.send(vm, reply(message.forward_id, None, False, reason))
            return
        timing = self._timings.for_route(route)
        if self.shutdown is not None and not self.shutdown.may_start(
            self.clock.now_ms(), timing.longest_ms(default_ms=route.target_ms)
        ):
            reason = "the asked daemon is about to stop"
            self.send(vm, reply(message.forward_id, None, False, reason))
            return
        peer_forward = PeerForward(self, vm, message)
        self._peer_forwards[vm, message.forward_id] = peer_forward
        peer_forward.start(self._tier, route, timing)

    def give_up_all(self, reason):
        """Report to the daemons that asked what is known of their requests now."""
        for peer_forward in list(self._peer_forwards.values()):
            peer_forward.give_up(reason)

    def peer_lost(self, vm):
        """Fail the requests that a lost daemon was to send; cancel those for it."""
        lost = [key for key, asked in self._asked.items() if asked.vm == vm]
        for forward_id in lost:
            # Ending one operation may cancel another request to the same daemon.
            asked = self._asked.pop(forward_id, None)
            if asked is not None:
                asked.operation.on_peer_lost(forward_id)
        for (peer, _), peer_forward in list(self._peer_forwards.items()):
            if peer == vm:
                peer_forward.cancel()
