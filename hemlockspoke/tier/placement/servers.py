"""Servers known to this daemon, and its measurements of them."""

from collections import deque
from enum import Enum

# Weight of a new result in the failure ratio. Pauses and slowdowns last for some tens
# of requests.
RESULT_WEIGHT = 0.25
# The median of this many measurements is used, since an occasional pause of a server
# rarely affects two of three.
SLOWNESS_SAMPLE_COUNT = 3
# Requests within this window may be delayed by the same pause of a server, so they
# count as one measurement.
PAUSE_WINDOW_MS = 250.0
# Half-life of the failure ratio, so that a recovered server is used again without a
# probe.
FAILURE_HALF_LIFE_MS = 2500.0
# Assumed round trip time within and across regions, until the first handshake has been
# measured.
SAME_REGION_RTT_MS = 1.0
CROSS_REGION_RTT_MS = 40.0
# Added to the expected time for a failure ratio of 1, and in proportion for lower ones,
# when servers are compared.
FAILURE_COST_MS = 400.0
# Half-life of a slowdown while there are no measurements.
SLOWNESS_HALF_LIFE_MS = 3000.0
# Added to the expected time of a cold server.
COLD_COST_MS = 150.0
# Window in which requests to a cold server are counted: one second, plus the time that
# requests may wait for a connection.
COLD_WINDOW_MS = 1200.0
# Exceeds any daemon's share of the requests to a cold server in a second.
MAX_SENDS_KEPT = 200
# Added to the expected time of a leaving server, so that it is used only if there is no
# other.
LEAVING_COST_MS = 5000.0


class ServerState(Enum):
    """State of a server according to the platform."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry:
    """A server's entry in the platform's store.

    ``started_ms`` is the wall clock time of its start, which tells a restarted server
    from the earlier one with the same id. ``cold_ms`` is the remaining time for which
    the server stays cold. ``version`` is that of its program, or empty; it does not
    identify the process.
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
        "version",
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
        version="",
    ):
        self.server_id = server_id
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.slots = slots
        self.cold_ms = cold_ms
        self.started_ms = started_ms
        self.version = version

    def process_key(self):
        """Return what identifies the process of a server."""
        return (self.server_id, self.service, self.address, self.started_ms)

    def same_process(self, other):
        """Return whether both entries describe the same process of a server.

        Its failure domain must be the same too, as it decides the server's region.
        """
        is_same = self.process_key() == other.process_key()
        return is_same and self.failure_domain == other.failure_domain


class TrackedServer:
    """One server: its entry, its connections and its measurements.

    ``added_ms`` is the clock time at which the server was first seen.
    ``listed`` is whether the store has an entry of the server. ``leaving_until_ms`` is
    the clock time until which a leaving server may be used, and None for others;
    ``leaving_since_ms`` is when that became known;
    ``says_leaving`` is whether its own responses say that it leaves. ``held_until_ms``
    is the clock time until which it wants no requests.
    ``outstanding`` counts the attempts in progress, ``overdue`` those of them that take
    longer than usual. ``misdirected`` is whether another server answers at the address.
    ``echoes`` has True if its refusals (responses that say "not run") name the request
    that they answer, and False if its other responses do.
    """

    __slots__ = (
        "_failure_updated_ms",
        "_failure_ratio",
        "_last_sample_ms",
        "_send_times_ms",
        "_slowness",
        "_slowness_updated_ms",
        "_slowness_samples",
        "added_ms",
        "cold_until_ms",
        "echoes",
        "entry",
        "held_until_ms",
        "leaving_since_ms",
        "leaving_until_ms",
        "listed",
        "misdirected",
        "outstanding",
        "overdue",
        "pool",
        "region",
        "rtt_ms",
        "same_region",
        "says_leaving",
    )

    def __init__(self, entry, pool, region, same_region, added_ms=0.0):
        self.entry = entry
        self.added_ms = added_ms
        self.pool = pool
        self.region = region
        self.same_region = same_region
        self.rtt_ms = SAME_REGION_RTT_MS if same_region else CROSS_REGION_RTT_MS
        self.leaving_since_ms = 0.0
        self.leaving_until_ms = None
        self.says_leaving = False
        self.held_until_ms = 0.0
        self.listed = True
        self.cold_until_ms = 0.0
        self.misdirected = False
        self.echoes = set()
        self.outstanding = 0
        self.overdue = 0
        self._failure_ratio = 0.0
        self._failure_updated_ms = 0.0
        # A server counts as healthy until more than one measurement is slow.
        self._slowness_samples = deque(
            [1.0] * SLOWNESS_SAMPLE_COUNT, maxlen=SLOWNESS_SAMPLE_COUNT
        )
        self._last_sample_ms = -PAUSE_WINDOW_MS
        self._send_times_ms = deque(maxlen=MAX_SENDS_KEPT)
        self._slowness = 1.0
        self._slowness_updated_ms = 0.0

    @property
    def server_id(self):
        """Return the server's id."""
        return self.entry.server_id

    def update_rtt(self):
        """Update the round trip time from the newest handshake."""
        if self.pool.connect_ms is not None:
            # Handshakes include processing time of the server, so the shortest one
            # is closest to the round trip time.
            self.rtt_ms = min(self.rtt_ms, self.pool.connect_ms)

    def record_result(self, now_ms, failed, weight=RESULT_WEIGHT):
        """Record the outcome of one request."""
        ratio = self.failure_ratio(now_ms)
        self._failure_ratio = ratio + weight * (float(failed) - ratio)
        self._failure_updated_ms = now_ms

    def failure_ratio(self, now_ms):
        """Return the moving average of failures, 0 to 1, which decays with time."""
        age_ms = now_ms - self._failure_updated_ms
        return self._failure_ratio * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def record_latency(self, now_ms, latency_ms, usual_work_ms):
        """Record the latency of a request, relative to the usual time of its route."""
        work_ms = max(0.0, latency_ms - self.rtt_ms)
        ratio = min(50.0, max(0.2, work_ms / max(1.0, usual_work_ms)))
        if now_ms - self._last_sample_ms < PAUSE_WINDOW_MS:
            self._slowness_samples[-1] = min(self._slowness_samples[-1], ratio)
        else:
            self._slowness_samples.append(ratio)
            self._last_sample_ms = now_ms
        self._slowness = sorted(self._slowness_samples)[
            (len(self._slowness_samples) - 1) // 2
        ]
        self._slowness_updated_ms = now_ms

    def slowness(self, now_ms):
        """Return the factor by which the server is slower than usual, decaying to 1."""
        age_ms = now_ms - self._slowness_updated_ms
        return 1.0 + (self._slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)

    def held(self, now_ms):
        """Return whether the server wants no requests now."""
        return now_ms < self.held_until_ms

    def record_send(self, now_ms):
        """Record the time at which a request is about to be sent."""
        self._send_times_ms.append(now_ms)

    def sent_in_cold_window(self, now_ms):
        """Return how many requests were sent in the last ``COLD_WINDOW_MS``."""
        while self._send_times_ms and now_ms - self._send_times_ms[0] > COLD_WINDOW_MS:
            self._send_times_ms.popleft()
        return len(self._send_times_ms)

    def cold_room_at_ms(self):
        """Return when the oldest request of the window for a cold server leaves it."""
        oldest_ms = self._send_times_ms[0] if self._send_times_ms else 0.0
        return oldest_ms + COLD_WINDOW_MS

    def cold(self, now_ms):
        """Return whether the server is still warming up after its start."""
        return now_ms < self.cold_until_ms

    def answer_ms(self, now_ms, work_ms):
        """Return the expected time to an answer in ms, from speed and load only."""
        load = 1.0 + self.outstanding / max(1, self.entry.slots)
        # A new connection takes a round trip before the request can be sent.
        round_trips = 1.0 if self.pool.has_idle() else 2.0
        return round_trips * self.rtt_ms + work_ms * self.slowness(now_ms) * load

    def expected_ms(self, now_ms, work_ms):
        """Return the expected time to an answer in ms, with penalties for risks."""
        expected = self.answer_ms(now_ms, work_ms)
        expected += FAILURE_COST_MS * self.failure_ratio(now_ms)
        # Overdue requests indicate that the server is paused or unreachable, which
        # would affect the next request as well.
        expected += 2.0 * work_ms * self.overdue + 20.0 * self.overdue
        if not self.pool.has_capacity():
            expected += 5.0 * work_ms + 50.0
        if self.cold(now_ms):
            expected += COLD_COST_MS
        if self.leaving_until_ms is not None:
            expected += LEAVING_COST_MS
        return expected
