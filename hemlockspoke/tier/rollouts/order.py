"""An operator's order to move a service to another version of its servers."""

from enum import Enum


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

    ``name`` is that of the object and ``revision`` its revision in the store.
    ``final_phase`` is the phase that its status states for ``target_version``, or None
    while the order is open. ``is_running`` is whether it states ``RUNNING_STATE``.
    """

    __slots__ = (
        "duration_ms",
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
    ):
        self.name = name
        self.service = service
        self.target_version = target_version
        self.duration_ms = duration_ms
        self.revision = revision
        self.final_phase = final_phase
        self.is_running = is_running

    def continues(self, earlier):
        """Return whether this is a later state of the same order.

        An order that is written again after its end is another one.

        >>> first = Order("s", "s", "v2", 12_000.0, 3)
        >>> Order("s", "s", "v2", 12_000.0, 4).continues(first)
        True
        >>> Order("s", "s", "v3", 12_000.0, 4).continues(first)
        False
        """
        same_spec = (
            self.service == earlier.service
            and self.target_version == earlier.target_version
            and self.duration_ms == earlier.duration_ms
        )
        reopened = earlier.final_phase is not None and self.final_phase is None
        return same_spec and not reopened
