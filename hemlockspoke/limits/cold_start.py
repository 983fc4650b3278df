"""How much of a share one server may be given: cold, warming, warm.

The rules are those of section 6 of the design page.
"""

from collections import deque

COLD = "cold"
WARMING = "warming"
WARM = "warm"

# A reply is slow when it takes this many times the usual and more than the floor.
STEP_FACTOR = 8
STEP_FLOOR_MS = 50

# One slow reply is a routine straggler; the next one slow as well is a step. Only
# requests sent after the first one ended count, since a pause of this process makes
# all requests in progress slow at once.
STEP_REPLIES = 2

# Replies before the usual latency is known well enough to judge by.
STEP_SAMPLES = 8

USUAL_WEIGHT = 1 / 16

# Incarnations remembered so that a late report of an earlier one is told apart
# from a restart.
REMEMBERED_INCARNATIONS = 8


class LatencyStep:
    """Tells a step in the latency of a server from single slow replies."""

    __slots__ = ("_samples", "_slow_in_row", "_slow_ms", "usual_ms")

    def __init__(self):
        self._slow_ms = float("-inf")
        self.usual_ms = None
        self._samples = 0
        self._slow_in_row = 0

    def note(self, latency_ms, now_ms, finished=True):
        """Take a latency and tell whether a step has occurred.

        With ``finished`` false the request ended without a reply and the latency
        is a lower bound.
        """
        if self._is_slow(latency_ms):
            sent_ms = now_ms - latency_ms
            return sent_ms >= self._slow_ms and self._note_slow(now_ms)
        if finished:
            self._note_usual(latency_ms)
        return False

    def _is_slow(self, latency_ms):
        if self._samples < STEP_SAMPLES:
            return False
        return latency_ms > max(STEP_FLOOR_MS, STEP_FACTOR * self.usual_ms)

    def _note_slow(self, now_ms):
        self._slow_ms = now_ms
        self._slow_in_row += 1
        if self._slow_in_row < STEP_REPLIES:
            return False
        # What is usual is learnt anew, as the server may stay at the new level.
        self._samples = 0
        self._slow_in_row = 0
        return True

    def _note_usual(self, latency_ms):
        self._slow_in_row = 0
        self._samples += 1
        if self._samples == 1:
            self.usual_ms = latency_ms
        weight = max(USUAL_WEIGHT, 1 / self._samples)
        self.usual_ms += weight * (latency_ms - self.usual_ms)


class ColdStart:
    """State of one server as its holder knows it.

    ``epoch`` rises at every sign that the server may have changed. A request
    carries the epoch in which it was sent, and its reply proves something only in
    that epoch.

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
        "_earlier",
        "_level",
        "_proof_ttl_ms",
        "_proven_ms",
        "_reported",
        "_successes",
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
        self._level = 0
        self._successes = 0
        self._proven_ms = None
        self._reported = None
        self._earlier = deque(maxlen=REMEMBERED_INCARNATIONS)

    def permitted(self, share, now_ms):
        """Return how many requests may be in progress at once."""
        if self.restricted(now_ms):
            return min(share.cold_start_slots, self._ramped(share))
        return self._ramped(share)

    def restricted(self, now_ms):
        """Tell whether only the cold-start slots may be used."""
        return self.state == COLD or not self.proven(now_ms)

    def proven(self, now_ms):
        """Tell whether a recent reply shows that the incarnation still runs."""
        if self._proven_ms is None:
            return False
        return now_ms - self._proven_ms <= self._proof_ttl_ms

    def fall(self):
        """Fall back to cold at a sign of trouble."""
        self.state = COLD
        self.epoch += 1
        self._level = 0
        self._successes = 0

    def suspect(self):
        """Demand a new proof, since the server may have restarted."""
        self.epoch += 1
        self._proven_ms = None

    def is_earlier(self, incarnation):
        """Tell whether an incarnation is known to have ended."""
        return incarnation in self._earlier

    def note_status(self, incarnation):
        """Take the incarnation in a status and tell whether it is a sign.

        A status lags, so it may name an incarnation that came and went unseen.
        Only a reply to work or another holder establishes the incarnation.
        """
        if not incarnation or incarnation in (self.incarnation, self._reported):
            return False
        if self.is_earlier(incarnation):
            return False
        self._reported = incarnation
        if self.incarnation is None:
            return False
        self._proven_ms = None
        self.fall()
        return True

    def note_reply(self, incarnation, epoch, now_ms):
        """Take the incarnation in a reply and tell whether it shows a restart."""
        is_current = epoch == self.epoch
        if is_current and self.is_earlier(incarnation):
            # It runs after all: what replaced it was reported wrongly.
            self._earlier.remove(incarnation)
        restarted = self._establish(incarnation)
        if is_current and not restarted and incarnation == self.incarnation:
            self._proven_ms = now_ms
        return restarted

    def _establish(self, incarnation):
        if not incarnation or incarnation == self.incarnation:
            return False
        if self.is_earlier(incarnation):
            return False
        restarted = self.incarnation is not None
        if restarted:
            self._earlier.append(self.incarnation)
            self._proven_ms = None
            self.fall()
        self.incarnation = incarnation
        return restarted

    def note_success(self, epoch, share):
        """Count a success, which may raise what is permitted."""
        if epoch != self.epoch or self.state == WARM:
            return
        self._successes += 1
        if self._successes >= self.ramp_successes:
            self._successes = 0
            self._grow(share)

    def note_failure(self):
        """Break the row of successes."""
        self._successes = 0

    def note_peer(self, state, incarnation, is_news, share, now_ms):
        """Take the state that another holder of the server reports."""
        if self.is_earlier(incarnation):
            return
        if state == COLD:
            if is_news:
                self.fall()
            return
        self._establish(incarnation)
        if incarnation != self.incarnation:
            return
        self._proven_ms = now_ms
        waits = self.state == COLD and not share.cold_start_slots
        if waits and state == WARM and is_news:
            self.state = WARMING
            self._level = 1

    def _ramped(self, share):
        if self.state == WARM:
            return share.slots
        if self.state == WARMING:
            return min(self._level, share.slots)
        return min(share.cold_start_slots, share.slots)

    def _grow(self, share):
        self._level = 2 * max(self._level, share.cold_start_slots, 1)
        self.state = WARM if self._level >= share.slots else WARMING
