"""An operator's order to move a service to another version of its servers."""

from enum import Enum

from hemlockspoke.tier.state.store_era import UNKNOWN_ERA, Position


class Phase(Enum):
    """How far a rollout is, as its decider tells the other daemons."""

    # A share of the requests goes to the target version, the others to the old one.
    SAMPLING = "sampling"
    # All requests go to the target version; it can still be rolled back.
    SWITCHING = "switching"
    # As before, but the decision to complete is being written to the store.
    COMPLETING = "completing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


# State of the stored status from when a decider has begun until the order ends.
RUNNING_STATE = "running"
# States of the stored status that end an order.
FINAL_PHASES = {phase.value: phase for phase in (Phase.COMPLETED, Phase.ROLLED_BACK)}
# Phases in which the target version gets all requests.
TARGET_PHASES = (Phase.SWITCHING, Phase.COMPLETING, Phase.COMPLETED)


class Order:
    """One object of the kind ``rollouts``, decoded.

    ``name`` is that of the object, ``revision`` its revision in the store and ``era``
    the era of the store that has given it out.
    ``final_phase`` is the phase that its status states for ``target_version``, or None
    while the order is open. ``is_running`` is whether it states ``RUNNING_STATE``.
    """

    __slots__ = (
        "duration_ms",
        "era",
        "final_phase",
        "is_running",
        "name",
        "revision",
        "service",
        "target_version",
    )

    def __init__(
        self,
        name,
        service,
        target_version,
        duration_ms,
        revision,
        final_phase=None,
        is_running=False,
        era=UNKNOWN_ERA,
    ):
        self.name = name
        self.service = service
        self.target_version = target_version
        self.duration_ms = duration_ms
        self.revision = revision
        self.final_phase = final_phase
        self.is_running = is_running
        self.era = era

    @property
    def position(self):
        """The ``Position`` of the object in the store's sequence of changes."""
        return Position(self.era, self.revision)

    def same_spec(self, other):
        """Return whether both order the same."""
        return (
            self.service == other.service
            and self.target_version == other.target_version
            and self.duration_ms == other.duration_ms
        )

    def continues(self, earlier):
        """Return whether this is a later state of the same order.

        An order that is written again after its end is another one. In a new era of the
        store it is the same, whose end the store has lost.

        >>> first = Order("s", "s", "v2", 12_000.0, 3)
        >>> Order("s", "s", "v2", 12_000.0, 4).continues(first)
        True
        >>> Order("s", "s", "v3", 12_000.0, 4).continues(first)
        False
        """
        reopened = earlier.final_phase is not None and self.final_phase is None
        return self.same_spec(earlier) and not (reopened and self.era == earlier.era)
