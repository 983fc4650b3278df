"""Which daemons this daemon keeps streams to."""

import heapq

import xxhash

from hemlockspoke.limits.shares import SHARE_PREFIX

# Half of the 5 KB/s that control may use, at 44 bytes a second for the heartbeats of
# an idle stream, lasts for 58 streams. A fleet up to this size is a full mesh.
FULL_MESH_LIMIT = 64
# Daemons chosen for the exchange of configuration alone. Each change reaches all in
# a few steps, and all choices of one daemon fail together only when most VMs have.
EXCHANGE_PEERS = 16


class ChosenPeers:
    """Members to keep streams to; ``bounded`` if they are not all members."""

    __slots__ = ("bounded", "members")

    def __init__(self, members, bounded):
        self.members = members
        self.bounded = bounded


class PeerChoice:
    """Chooses all members of a small fleet, else holders and some others.

    The holders that share objects name are the only daemons that an entry needs
    for queries and orders. The others are the highest by rendezvous hash of this
    VM, so a member that joins or leaves changes few choices.
    """

    __slots__ = ("_configuration", "_holders", "_membership", "_vm")

    def __init__(self, configuration, membership, vm):
        self._configuration = configuration
        self._membership = membership
        self._vm = vm
        self._holders = {}
        configuration.subscribe(self._adopted)

    def choose(self):
        """Return the ``ChosenPeers`` of now."""
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

    def _adopted(self, key):
        if not key.startswith(SHARE_PREFIX):
            return
        servers = self._configuration.get(key).value["servers"]
        self._holders[key] = {
            holder["vm"] for server in servers.values() for holder in server["holders"]
        }
