"""Cold-start limit of one server: how much of its share may be used.

The rules are those of section 6 of docs/design.md.
"""

from collections import deque

COLD = "cold"
WARMING = "warming"
WARM = "warm"

# A reply is slow if its latency exceeds both STEP_FACTOR times the usual latency
# and STEP_FLOOR_MS.
STEP_FACTOR = 8
STEP_FLOOR_MS = 50

# A single slow reply is common; two in a row are a latency step. Only requests sent
# after the previous slow one ended count, since a pause of this process makes all
# requests in progress slow at once.
CONSECUTIVE_SLOW_REPLIES = 2

# Replies needed before other latencies can be compared with the usual one.
MIN_LATENCY_SAMPLES = 8

# Minimum weight of a new sample in the moving average of the usual latency.
MIN_SAMPLE_WEIGHT = 1 / 16

# Superseded incarnations are kept so that a late report of one of them is not taken
# for a restart.
MAX_SUPERSEDED_INCARNATIONS = 8


class LatencyStepDetector:
    """Detects a lasting rise of a server's latency; ignores single slow replies."""

    __slots__ = ("_consecutive_slow", "_last_slow_ms", "_samples", "usual_ms")

    def __init__(self):
        self._last_slow_ms = float("-inf")
        self.usual_ms = None
        self._samples = 0
        self._consecutive_slow = 0

    def note(self, latency_ms, now_ms, finished=True):
        """Record a latency and return whether a step has occurred.

        If ``finished`` is false, the request ended without a reply and
        ``latency_ms`` is a lower bound.
        """
        if self._is_slow(latency_ms):
            sent_ms = now_ms - latency_ms
            return sent_ms >= self._last_slow_ms and self._record_slow(now_ms)
        if finished:
            self._record_usual(latency_ms)
        return False

    def _is_slow(self, latency_ms):
        if self._samples < MIN_LATENCY_SAMPLES:
            return False
        return latency_ms > max(STEP_FLOOR_MS, STEP_FACTOR * self.usual_ms)

    def _record_slow(self, now_ms):
        self._last_slow_ms = now_ms
        self._consecutive_slow += 1
        if self._consecutive_slow < CONSECUTIVE_SLOW_REPLIES:
            return False
        # The average starts over, since the server may stay at the new latency.
        self._samples = 0
        self._consecutive_slow = 0
        return True

    def _record_usual(self, latency_ms):
        self._consecutive_slow = 0
        self._samples += 1
        if self._samples == 1:
            self.usual_ms = latency_ms
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        self.usual_ms += weight * (latency_ms - self.usual_ms)


class ColdStart:
    """Cold-start state of one server at one of its holders.

    A server is ``COLD`` at first, ``WARMING`` while the limit doubles with each
    run of successes, and ``WARM`` once the limit reaches its share. Without a
    recent reply as proof that the incarnation still runs, only the cold-start
    slots may be used. ``ramp_successes`` is the length of such a run, and
    ``proof_ttl_ms`` is how long a reply counts as proof.

    ``epoch`` rises at every sign that the server may have changed, for instance a
    restart or a latency step. A request records the epoch in which it was sent; its
    reply counts as a success or a proof only while that epoch lasts.

    >>> from hemlockspoke.requests import Share
    >>> cold_start = ColdStart(ramp_successes=2, proof_ttl_ms=5000)
    >>> share = Share(slots=2, connections=4, cold_start_slots=1)
    >>> cold_start.permitted(share, now_ms=0)
    1
    >>> for _ in range(2):
    ...     _ = cold_start.note_reply("a", 0, now_ms=0)
    ...     cold_start.note_success(0, share)
    >>> cold_start.state, cold_start.permitted(share, now_ms=0)
    ('warm', 2)
    """

    __slots__ = (
        "_consecutive_successes",
        "_proof_ttl_ms",
        "_proven_ms",
        "_ramp_slots",
        "_status_incarnation",
        "_superseded",
        "epoch",
        "incarnation",
        "ramp_successes",
        "state",
    )

    def __init__(self, ramp_successes, proof_ttl_ms):
        self.state = COLD
        self.incarnation = None
        self.epoch = 0
        self.ramp_successes = ramp_successes
        self._proof_ttl_ms = proof_ttl_ms
        self._ramp_slots = 0
        self._consecutive_successes = 0
        self._proven_ms = None
        self._status_incarnation = None
        self._superseded = deque(maxlen=MAX_SUPERSEDED_INCARNATIONS)

    def permitted(self, share, now_ms):
        """Return how many requests may be in progress at once."""
        if self.restricted(now_ms):
            return min(share.cold_start_slots, self._ramp_limit(share))
        return self._ramp_limit(share)

    def restricted(self, now_ms):
        """Return whether only the cold-start slots may be used."""
        return self.state == COLD or not self.proven(now_ms)

    def proven(self, now_ms):
        """Return whether a recent reply shows that the incarnation still runs."""
        if self._proven_ms is None:
            return False
        return now_ms - self._proven_ms <= self._proof_ttl_ms

    def reset(self):
        """Return to cold; replies to earlier requests no longer count."""
        self.state = COLD
        self.epoch += 1
        self._ramp_slots = 0
        self._consecutive_successes = 0

    def require_proof(self):
        """Require a new proof, since the server may have restarted."""
        self.epoch += 1
        self._proven_ms = None

    def is_superseded(self, incarnation):
        """Return whether a later incarnation has replaced this one."""
        return incarnation in self._superseded

    def note_status(self, incarnation):
        """Record the incarnation in a status; return whether it shows a restart.

        A status lags, so it may name an incarnation that has already ended. Only a
        reply to a request, or another holder, confirms the current incarnation.
        """
        if not incarnation or incarnation in (
            self.incarnation,
            self._status_incarnation,
        ):
            return False
        if self.is_superseded(incarnation):
            return False
        self._status_incarnation = incarnation
        if self.incarnation is None:
            return False
        self._proven_ms = None
        self.reset()
        return True

    def note_reply(self, incarnation, epoch, now_ms):
        """Record the incarnation in a reply; return whether it shows a restart."""
        is_current = epoch == self.epoch
        if is_current and self.is_superseded(incarnation):
            # It still runs, so the report of its successor was wrong.
            self._superseded.remove(incarnation)
        restarted = self._confirm_incarnation(incarnation)
        if is_current and not restarted and incarnation == self.incarnation:
            self._proven_ms = now_ms
        return restarted

    def _confirm_incarnation(self, incarnation):
        """Set the current incarnation; return whether the server has restarted."""
        if not incarnation or incarnation == self.incarnation:
            return False
        if self.is_superseded(incarnation):
            return False
        restarted = self.incarnation is not None
        if restarted:
            self._superseded.append(self.incarnation)
            self._proven_ms = None
            self.reset()
        self.incarnation = incarnation
        return restarted

    def note_success(self, epoch, share):
        """Count a successful reply, which may raise the limit."""
        if epoch != self.epoch or self.state == WARM:
            return
        self._consecutive_successes += 1
        if self._consecutive_successes >= self.ramp_successes:
            self._consecutive_successes = 0
            self._raise_ramp(share)

    def note_failure(self):
        """Reset the count of consecutive successes."""
        self._consecutive_successes = 0

    def note_peer(self, state, incarnation, is_new, share, now_ms):
        """Record the state that another holder of the server reports.

        If ``is_new`` is false, the message repeats an earlier one, and only its
        incarnation and its proof count.
        """
        if self.is_superseded(incarnation):
            return
        if state == COLD:
            if is_new:
                self.reset()
            return
        self._confirm_incarnation(incarnation)
        if incarnation != self.incarnation:
            return
        self._proven_ms = now_ms
        # Without cold-start slots this holder sends nothing to a cold server, so it
        # starts to ramp up once another holder reports the server as warm.
        follows_peer = self.state == COLD and not share.cold_start_slots
        if follows_peer and state == WARM and is_new:
            self.state = WARMING
            self._ramp_slots = 1

    def _ramp_limit(self, share):
        if self.state == WARM:
            return share.slots
        if self.state == WARMING:
            return min(self._ramp_slots, share.slots)
        return min(share.cold_start_slots, share.slots)

    def _raise_ramp(self, share):
        self._ramp_slots = 2 * max(self._ramp_slots, share.cold_start_slots, 1)
        self.state = WARM if self._ramp_slots >= share.slots else WARMING
