"""Share objects: the holders of each server of a group and their shares."""

from hemlockspoke.requests import Share

SHARE_PREFIX = "shares/"
# Few, since a server may have only two slots to divide among its holders.
MAX_HOLDERS = 2


def add(left, right):
    """Return the sum of two shares.

    >>> add(Share(1, 2, 0), Share(1, 1, 1))
    Share(2, 3, 1)
    """
    return Share(
        left.slots + right.slots,
        left.connections + right.connections,
        left.cold_start_slots + right.cold_start_slots,
    )


def subtract(left, right):
    """Return ``left`` minus ``right``, with each amount at least 0."""
    return Share(
        max(0, left.slots - right.slots),
        max(0, left.connections - right.connections),
        max(0, left.cold_start_slots - right.cold_start_slots),
    )


def lower_of(left, right):
    """Return a share with the lower of each amount."""
    return Share(
        min(left.slots, right.slots),
        min(left.connections, right.connections),
        min(left.cold_start_slots, right.cold_start_slots),
    )


def fits(share, limit):
    """Return whether no amount of ``share`` exceeds that of ``limit``."""
    return (
        share.slots <= limit.slots
        and share.connections <= limit.connections
        and share.cold_start_slots <= limit.cold_start_slots
    )


def is_empty(share):
    """Return whether all amounts are 0."""
    return not any(share.amounts())


def total(shares):
    """Return the sum of all ``shares``."""
    result = Share()
    for share in shares:
        result = add(result, share)
    return result


class HolderShare:
    """The share that one VM has in one server.

    ``incarnation`` tells the present process of the VM from earlier ones.
    """

    __slots__ = ("incarnation", "share", "vm")

    def __init__(self, vm, incarnation, share):
        self.vm = vm
        self.incarnation = incarnation
        self.share = share

    def __repr__(self):
        return f"HolderShare({self.vm!r}, {self.incarnation}, {self.share})"

    @property
    def holder(self):
        """Return the (VM, incarnation) that identifies the holder."""
        return (self.vm, self.incarnation)

    @classmethod
    def from_value(cls, value):
        """Build from the value in a share object."""
        amounts = (value["slots"], value["connections"], value["cold_start_slots"])
        return cls(value["vm"], value["incarnation"], Share(*amounts))

    def to_value(self):
        """Return the value for a share object."""
        return {
            "vm": self.vm,
            "incarnation": self.incarnation,
            "slots": self.share.slots,
            "connections": self.share.connections,
            "cold_start_slots": self.share.cold_start_slots,
        }

    def with_share(self, share):
        """Return the same holder with another share."""
        return HolderShare(self.vm, self.incarnation, share)


class ServerShares:
    """The holders of one server, in the order in which they are clipped.

    ``document_version`` is the document version whose limits the sum fits.
    """

    __slots__ = ("document_version", "holders")

    def __init__(self, document_version=0, holders=()):
        self.document_version = document_version
        self.holders = list(holders)

    @classmethod
    def from_value(cls, value):
        """Build from the value in a share object."""
        holders = [HolderShare.from_value(holder) for holder in value["holders"]]
        return cls(value["document_version"], holders)

    def to_value(self):
        """Return the value for a share object."""
        return {
            "document_version": self.document_version,
            "holders": [holder.to_value() for holder in self.holders],
        }

    def share_of(self, holder):
        """Return the share of a (VM, incarnation)."""
        return total(item.share for item in self.holders if item.holder == holder)

    def sum(self):
        """Return the sum over all holders."""
        return total(item.share for item in self.holders)

    def sum_before(self, holder):
        """Return the sum over the holders that precede ``holder``."""
        result = Share()
        for item in self.holders:
            if item.holder == holder:
                break
            result = add(result, item.share)
        return result

    def clipped(self, holder, limit):
        """Return what ``holder`` may use within ``limit``.

        In the order of the list each holder may use at most what the preceding
        ones leave, so that holders respect a lowered limit without coordination.
        """
        remaining = subtract(limit, self.sum_before(holder))
        return usable(lower_of(self.share_of(holder), remaining))


def usable(share):
    """Return ``share`` with no more cold-start slots than slots."""
    cold_start_slots = min(share.cold_start_slots, share.slots)
    return Share(share.slots, share.connections, cold_start_slots)


class GroupShares:
    """The share object of one group of servers."""

    __slots__ = ("servers", "writer")

    def __init__(self, writer="", servers=None):
        self.writer = writer
        self.servers = dict(servers or {})

    @classmethod
    def from_value(cls, value):
        """Build from the value of the stored object."""
        servers = {
            name: ServerShares.from_value(server)
            for name, server in value["servers"].items()
        }
        return cls(value["writer"], servers)

    def to_value(self):
        """Return the value of the stored object."""
        servers = {name: server.to_value() for name, server in self.servers.items()}
        return {"writer": self.writer, "servers": servers}

    def server(self, name):
        """Return the ``ServerShares`` of a server, empty if it has no holder."""
        return self.servers.get(name) or ServerShares()

    def held_by(self, holder):
        """Return the names of the servers in which ``holder`` has a share."""
        return [
            name
            for name, server in self.servers.items()
            if any(item.holder == holder for item in server.holders)
        ]


class ServerLimit:
    """Limits of a server by the document in force.

    ``share`` is the sum that its holders may use, ``max_deadline_ms`` the longest
    time that work sent to it may run.
    """

    __slots__ = ("document_version", "max_deadline_ms", "share")

    def __init__(self, document_version, share, max_deadline_ms):
        self.document_version = document_version
        self.share = share
        self.max_deadline_ms = max_deadline_ms


class ShareView:
    """State known to one daemon when it plans or checks shares of a group.

    ``me`` is the daemon's (VM, incarnation). The function ``limit_of`` returns the
    ``ServerLimit`` of a server name, or None. ``desired_holders_of`` returns the (VM,
    incarnation) pairs of its desired holders, best first. ``is_gone`` takes a VM
    and an incarnation. ``blocked`` names the servers in which the daemon must not
    lower its share yet; ``releasing`` is true while it gives up all shares.
    """

    __slots__ = (
        "blocked",
        "desired_holders_of",
        "is_gone",
        "limit_of",
        "me",
        "releasing",
    )

    def __init__(
        self, me, limit_of, desired_holders_of, is_gone, blocked=(), releasing=False
    ):
        self.me = me
        self.limit_of = limit_of
        self.desired_holders_of = desired_holders_of
        self.is_gone = is_gone
        self.blocked = frozenset(blocked)
        self.releasing = releasing
