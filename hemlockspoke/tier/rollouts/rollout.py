"""What one daemon knows of one order: its phase, and what it has counted itself."""

from hemlockspoke.tier.rollouts.evidence import CollectedEvidence, Tally
from hemlockspoke.tier.rollouts.order import TARGET_PHASES, Phase

# Time for which a phase that a decider has told is valid. A daemon that hears of no
# decider for longer uses the old version. It allows for two lost messages.
LEASE_MS = 1500.0


class Rollout:
    """The state of an ``Order`` at one daemon.

    ``seen_ms`` is the clock time at which the daemon has seen the order. ``phase`` and
    ``share`` are those that the decider ``leader_rank`` has told; they are valid for
    ``lease_ms``, until ``lease_until_ms``, unless the phase is a final one.
    ``final_ms`` is the clock time at which a final phase became known. ``decider`` is
    set at daemons that collect. ``saw_old`` is whether the service has had servers of
    another version since the order was seen. ``joined_late`` is whether its status was
    ``running`` by then, so that its first revision is not known.
    """

    __slots__ = (
        "_lease_ms",
        "_phase",
        "collected",
        "decider",
        "final_ms",
        "is_reported",
        "joined_late",
        "leader_rank",
        "lease_until_ms",
        "order",
        "reported_ms",
        "running_at_ms",
        "saw_old",
        "seen_ms",
        "settled_ms",
        "share",
        "start_revision",
        "tally",
        "told_ms",
        "write_at_ms",
        "writing",
    )

    def __init__(self, order, now_ms, lease_ms=LEASE_MS):
        self._lease_ms = lease_ms
        self.order = order
        # Messages about an earlier order with the same target have a lower revision.
        self.start_revision = order.revision
        self.joined_late = order.is_running
        self.seen_ms = now_ms
        self._phase = Phase.SAMPLING
        self.share = 0.0
        self.leader_rank = None
        self.lease_until_ms = 0.0
        self.final_ms = None
        self.saw_old = False
        self.tally = Tally()
        self.collected = CollectedEvidence()
        self.decider = None
        self.is_reported = False
        self.reported_ms = 0.0
        self.told_ms = 0.0
        # Since when a decision waits to be written, and the next attempt to write it.
        self.settled_ms = None
        self.write_at_ms = 0.0
        self.writing = False
        # Earliest time of the next attempt to write that the order is running.
        self.running_at_ms = 0.0

    def phase(self, now_ms):
        """Return the phase in force: that of an expired lease is ``SAMPLING``."""
        if self.final_ms is not None or now_ms < self.lease_until_ms:
            return self._phase
        return Phase.SAMPLING

    def sampling_share(self, now_ms):
        """Return the share of the requests that may go to the target version."""
        if self.final_ms is None and now_ms < self.lease_until_ms:
            return self.share if self._phase is Phase.SAMPLING else 0.0
        return 0.0

    def set_told(self, phase, share, rank, now_ms):
        """Adopt what a decider tells; return whether the phase has changed.

        Of two deciders, which do not hear of each other, the first by rank counts,
        except that each can roll back.
        """
        if self.final_ms is not None:
            return False
        is_led = self.leader_rank is not None and now_ms < self.lease_until_ms
        if phase is not Phase.ROLLED_BACK and is_led and rank > self.leader_rank:
            return False
        before = self.phase(now_ms)
        self.leader_rank = rank
        self.lease_until_ms = now_ms + self._lease_ms
        self._phase = phase
        self.share = share
        if phase in (Phase.ROLLED_BACK, Phase.COMPLETED):
            self.final_ms = now_ms
        return phase is not before

    def set_final(self, phase, now_ms):
        """Adopt the final phase that the store states; return whether it is new."""
        if self.final_ms is not None and self._phase is phase:
            return False
        self._phase = phase
        self.share = 0.0
        self.final_ms = now_ms
        return True

    def is_target(self, server):
        """Return whether a server has the target version."""
        return server.entry.version == self.order.target_version

    def prefers_target(self, now_ms):
        """Return whether all requests go to the target version."""
        return self.phase(now_ms) in TARGET_PHASES
