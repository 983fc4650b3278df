"""Servers as this daemon knows them, with what it has measured of each."""

from collections import deque
from enum import Enum

# Weight of a new measurement. Pauses and slow-downs last for some tens of requests.
SMOOTHING = 0.25
# The middle of this many measurements is slow only if the server is: pauses that
# every server makes now and then rarely meet two of three.
SLOWNESS_SAMPLE = 3
# Requests that meet the same pause of a server are one measurement.
PAUSE_MS = 250.0
# A failure is forgotten by half in this time, so that a recovered server is tried
# again without a probe.
FAILURE_HALF_LIFE_MS = 2500.0
# Latency of a server that has not been measured, within and across regions. It is
# replaced by the time of the first handshake.
NEAR_RTT_MS = 1.0
FAR_RTT_MS = 40.0
# Waiting time that a failure ratio of 1 stands for when servers are compared.
FAILURE_COST_MS = 400.0
# A slow-down is forgotten by half in this time without measurements.
SLOWNESS_HALF_LIFE_MS = 3000.0
COLD_COST_MS = 150.0
# A second, and what requests may wait for their connections.
COLD_WINDOW_MS = 1200.0
# More than any daemon's part of what a cold server bears in a second.
SENDS_KEPT = 200
LEAVING_COST_MS = 5000.0


class ServerState(Enum):
    """What the platform says of a server."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry:
    """A server's own entry in the platform's store.

    ``started_ms`` is the time of day of its start: a server that starts again
    under its id has another one. ``cold_ms`` is how much longer it stays cold.
    """

    __slots__ = (
        "address",
        "cold_ms",
        "failure_domain",
        "server_id",
        "service",
        "slots",
        "started_ms",
        "state",
    )

    def __init__(
        self,
        server_id,
        service,
        address,
        failure_domain,
        state=ServerState.READY,
        slots=1,
        cold_ms=0,
        started_ms=None,
    ):
        self.server_id = server_id
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.slots = slots
        self.cold_ms = cold_ms
        self.started_ms = started_ms

    def same_process(self, other):
        """Return whether both entries describe one start of one server."""
        return (
            self.service == other.service
            and self.address == other.address
            and self.started_ms == other.started_ms
        )


class Upstream:
    """One server: its entry, its connections and its measurements."""

    __slots__ = (
        "_failure_ms",
        "_failure_ratio",
        "_ratios",
        "_sampled_ms",
        "_sends_ms",
        "_slowness",
        "_slowness_ms",
        "cold_until_ms",
        "entry",
        "leaving_until_ms",
        "listed",
        "misdirected",
        "near",
        "outstanding",
        "overdue",
        "pool",
        "region",
        "rtt_ms",
    )

    def __init__(self, entry, pool, region, near):
        self.entry = entry
        self.pool = pool
        self.region = region
        self.near = near
        self.rtt_ms = NEAR_RTT_MS if near else FAR_RTT_MS
        self.leaving_until_ms = None
        self.listed = True
        self.cold_until_ms = 0.0
        self.misdirected = False
        self.outstanding = 0
        self.overdue = 0
        self._failure_ratio = 0.0
        self._failure_ms = 0.0
        # A server counts as sound until more than one measurement says otherwise.
        self._ratios = deque([1.0] * SLOWNESS_SAMPLE, maxlen=SLOWNESS_SAMPLE)
        self._sampled_ms = -PAUSE_MS
        self._sends_ms = deque(maxlen=SENDS_KEPT)
        self._slowness = 1.0
        self._slowness_ms = 0.0

    @property
    def server_id(self):
        """Return the server's id."""
        return self.entry.server_id

    def note_handshake(self):
        """Take the round trip time from the newest handshake."""
        if self.pool.connect_ms is not None:
            # Handshakes include the server's own time for them, so the smallest
            # one is the closest to the round trip.
            self.rtt_ms = min(self.rtt_ms, self.pool.connect_ms)

    def note_result(self, now_ms, failed, weight=SMOOTHING):
        """Take the outcome of one request."""
        ratio = self.failure_ratio(now_ms)
        self._failure_ratio = ratio + weight * (float(failed) - ratio)
        self._failure_ms = now_ms

    def failure_ratio(self, now_ms):
        """Return the share of failed requests, fading with time."""
        age_ms = now_ms - self._failure_ms
        return self._failure_ratio * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def note_latency(self, now_ms, latency_ms, usual_work_ms):
        """Take how long a request took, relative to what is usual for its route."""
        work_ms = max(0.0, latency_ms - self.rtt_ms)
        ratio = min(50.0, max(0.2, work_ms / max(1.0, usual_work_ms)))
        if now_ms - self._sampled_ms < PAUSE_MS:
            self._ratios[-1] = min(self._ratios[-1], ratio)
        else:
            self._ratios.append(ratio)
            self._sampled_ms = now_ms
        self._slowness = sorted(self._ratios)[(len(self._ratios) - 1) // 2]
        self._slowness_ms = now_ms

    def slowness(self, now_ms):
        """Return how many times the usual time the server takes, fading to 1."""
        age_ms = now_ms - self._slowness_ms
        return 1.0 + (self._slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)

    def usable(self, now_ms):
        """Return whether a request may be sent to the server at all."""
        if self.misdirected:
            return False
        return self.leaving_until_ms is None or now_ms < self.leaving_until_ms

    def note_send(self, now_ms):
        """Count a request that is about to leave."""
        self._sends_ms.append(now_ms)

    def sent_within_second(self, now_ms):
        """Return how many requests were sent within the last second."""
        while self._sends_ms and now_ms - self._sends_ms[0] > COLD_WINDOW_MS:
            self._sends_ms.popleft()
        return len(self._sends_ms)

    def cold(self, now_ms):
        """Return whether the server is cold."""
        return now_ms < self.cold_until_ms

    def answer_ms(self, now_ms, work_ms):
        """Return the expected time to an answer by speed and load alone."""
        load = 1.0 + self.outstanding / max(1, self.entry.slots)
        # A new connection takes a round trip before the request can leave.
        trips = 1.0 if self.pool.has_idle() else 2.0
        return trips * self.rtt_ms + work_ms * self.slowness(now_ms) * load

    def expected_ms(self, now_ms, work_ms):
        """Return the expected time to an answer, with its risks."""
        expected = self.answer_ms(now_ms, work_ms)
        expected += FAILURE_COST_MS * self.failure_ratio(now_ms)
        # Requests without an answer past their usual time point to a pause or a
        # dark server, which concerns the next request as well.
        expected += 2.0 * work_ms * self.overdue + 20.0 * self.overdue
        if not self.pool.free():
            expected += 5.0 * work_ms + 50.0
        if self.cold(now_ms):
            expected += COLD_COST_MS
        if self.leaving_until_ms is not None:
            expected += LEAVING_COST_MS
        return expected
