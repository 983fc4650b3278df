"""Chooses the daemons that this daemon keeps streams to."""

import heapq

import xxhash

from hemlockspoke.limits.shares import SHARE_PREFIX

# A fleet up to this size is a full mesh. Control traffic may use 5 KB/s; half of it
# suffices for the heartbeats of 58 idle streams, 44 bytes/s each.
FULL_MESH_LIMIT = 64
# Daemons chosen only for the exchange of configuration. With this number each change
# reaches all daemons in a few hops, and all chosen peers of one daemon are down only
# if most VMs are.
EXCHANGE_PEERS = 16


class ChosenPeers:
    """Members to keep streams to; ``bounded`` is false if they are all members."""

    __slots__ = ("bounded", "members")

    def __init__(self, members, bounded):
        self.members = members
        self.bounded = bounded


class PeerChoice:
    """Chooses all members of a small fleet, else the holders and some others.

    Queries and orders need streams only to the holders, the VMs that have a share of a
    server. The others are those with the highest rendezvous hash for this VM, so that a
    member that joins or leaves changes few choices.
    """

    __slots__ = ("_configuration", "_holders", "_membership", "_vm")

    def __init__(self, configuration, membership, vm):
        self._configuration = configuration
        self._membership = membership
        self._vm = vm
        self._holders = {}
        configuration.subscribe(self._update_holders)

    def choose(self):
        """Return the ``ChosenPeers`` for the current membership."""
        is_gone = self._membership.is_gone
        members = [
            member
            for member in self._membership.members()
            if member.vm != self._vm and not is_gone(member.vm, member.incarnation)
        ]
        if len(members) <= FULL_MESH_LIMIT:
            return ChosenPeers(members, bounded=False)
        holders = set().union(*self._holders.values())
        chosen = {member.vm: member for member in members if member.vm in holders}
        for member in heapq.nlargest(EXCHANGE_PEERS, members, key=self._weight):
            chosen[member.vm] = member
        return ChosenPeers(list(chosen.values()), bounded=True)

    def _weight(self, member):
        key = f"peers-{self._vm}\x00{member.vm}".encode()
        return xxhash.xxh64_intdigest(key), member.vm

    def _update_holders(self, key):
        if not key.startswith(SHARE_PREFIX):
            return
        servers = self._configuration.get(key).value["servers"]
        self._holders[key] = {
            holder["vm"] for server in servers.values() for holder in server["holders"]
        }
