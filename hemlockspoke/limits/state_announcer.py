"""Tells the other holders of a server how cold it is."""

import logging

from hemlockspoke.limits.cold_start import COLD
from hemlockspoke.messages import ServerState

logger = logging.getLogger(__name__)

# How often the gate's state is repeated to the other holders; well within the time
# for which a proof holds.
STATE_REPEAT_MS = 2000


class StateAnnouncer:
    """Sends the state of one server's cold start when it changes, and repeats it.

    ``hooks`` is the ``Holder``, of which ``send_state(message)`` and ``count(name)``
    are called.
    """

    __slots__ = (
        "_announced",
        "_clock",
        "_cold_start",
        "_due_ms",
        "_hooks",
        "_name",
        "_sequence",
    )

    def __init__(self, name, cold_start, hooks, clock):
        self._name = name
        self._cold_start = cold_start
        self._hooks = hooks
        self._clock = clock
        # Starting from the time of day, the sequence also rises over a restart.
        self._sequence = clock.wall_ms()
        self._announced = None
        self._due_ms = 0.0

    def announce_trouble(self, detail):
        """Tell that the server has fallen back to cold."""
        self._hooks.count("gate.cold")
        logger.debug("gate is cold", extra={"server": self._name, "reason": detail})
        self._sequence += 1
        self._announced = COLD
        self._send()

    def announce_change(self, was_proven):
        """Tell of a step of the ramp or of a new proof."""
        if self._announced != self._cold_start.state:
            self._announced = self._cold_start.state
            self._sequence += 1
            self._send()
        elif not was_proven:
            self._send()

    def repeat(self, proves):
        """Repeat the state when it is due and says something."""
        if self._clock.now_ms() < self._due_ms:
            return
        if proves or self._announced == COLD == self._cold_start.state:
            self._send()

    def _send(self):
        self._due_ms = self._clock.now_ms() + STATE_REPEAT_MS
        self._hooks.send_state(
            ServerState(
                server=self._name,
                incarnation=self._cold_start.incarnation or "",
                state=self._cold_start.state,
                sequence=self._sequence,
            )
        )
