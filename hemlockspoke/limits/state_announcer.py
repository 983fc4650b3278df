"""Announces the cold-start state of a server to its other holders."""

import logging

from hemlockspoke.limits.cold_start import COLD
from hemlockspoke.messages import ServerState

logger = logging.getLogger(__name__)

# Interval for repeating the state to the other holders, well below the time for
# which a proof is valid.
STATE_REPEAT_MS = 2000


class StateAnnouncer:
    """Sends the cold-start state of one server on each change, and periodically.

    ``holder`` is the ``Holder``. ``send_state(message)`` and ``count(name)`` are
    called on it.
    """

    __slots__ = (
        "_announced",
        "_clock",
        "_cold_start",
        "_holder",
        "_name",
        "_repeat_due_ms",
        "_sequence",
    )

    def __init__(self, name, cold_start, holder, clock):
        self._name = name
        self._cold_start = cold_start
        self._holder = holder
        self._clock = clock
        # Starts at the wall-clock time, so that it also rises across restarts.
        self._sequence = clock.wall_ms()
        self._announced = None
        self._repeat_due_ms = 0.0

    def announce_cold(self, detail):
        """Announce that the server has returned to cold; ``detail`` says why."""
        self._holder.count("gate.cold")
        logger.debug("gate is cold", extra={"server": self._name, "reason": detail})
        self._sequence += 1
        self._announced = COLD
        self._send()

    def announce_change(self, was_proven):
        """Announce a new state, or a new proof if the server was not proven."""
        if self._announced != self._cold_start.state:
            self._announced = self._cold_start.state
            self._sequence += 1
            self._send()
        elif not was_proven:
            self._send()

    def repeat(self, can_prove_warm):
        """Repeat the state if it is due and other holders can use it."""
        if self._clock.now_ms() < self._repeat_due_ms:
            return
        if can_prove_warm or self._announced == COLD == self._cold_start.state:
            self._send()

    def _send(self):
        self._repeat_due_ms = self._clock.now_ms() + STATE_REPEAT_MS
        self._holder.send_state(
            ServerState(
                server=self._name,
                incarnation=self._cold_start.incarnation or "",
                state=self._cold_start.state,
                sequence=self._sequence,
            )
        )
