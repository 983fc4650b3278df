"""Settings that the platform gives to a daemon on an entry VM."""

# A silent watch is detected only when it ends, so a watch waits for a fraction of the
# stable window and of the shortest time within which a change must be followed.
STABLE_WINDOW_DIVISOR = 2.5
CHANGE_TIME_DIVISOR = 2.0
# Fraction of a process's memory that callers' requests, and answers that they do not
# read, may hold together. Requests in progress need several times their size.
CALLER_MEMORY_FRACTION = 0.25
# Descriptors that are reserved for files, and the fraction of the others that
# connections of callers may use. Servers, peers and the store need the rest.
FILE_DESCRIPTORS = 200
CALLER_DESCRIPTOR_FRACTION = 0.5


class Bounds:
    """Limits that the platform sets on reaction times and on extra load.

    ``stable_window_ms`` is how long a daemon must have been undisturbed before the
    other limits apply. A new configuration, a draining server and a failure domain that
    goes out must be followed within ``config_apply_ms``, ``drain_ms`` and
    ``evacuate_ms``. A stop must be complete within ``shutdown_ms``. In each
    ``extra_load_window_ms`` a service may get ``extra_load_ratio`` repeated arrivals
    per request plus ``extra_load_slack``. In each second a cold server may get
    ``cold_overshoot`` times its stated rate plus ``cold_slack`` requests. In each
    ``quota_window_ms`` servers may get the quota of an account times one plus
    ``quota_overshoot``, plus ``quota_slack`` requests.

    A bad version may get ``exposure_share`` of the requests at its service plus
    ``exposure_slack``, and none ``rollback_ms`` after it has shown that it is bad.
    Without the share there are no rollouts.
    """

    __slots__ = (
        "cold_overshoot",
        "cold_slack",
        "config_apply_ms",
        "drain_ms",
        "evacuate_ms",
        "exposure_share",
        "exposure_slack",
        "extra_load_ratio",
        "extra_load_slack",
        "extra_load_window_ms",
        "quota_overshoot",
        "quota_slack",
        "quota_window_ms",
        "rollback_ms",
        "shutdown_ms",
        "stable_window_ms",
    )

    def __init__(
        self,
        config_apply_ms=4000.0,
        drain_ms=4000.0,
        evacuate_ms=5000.0,
        shutdown_ms=6000.0,
        extra_load_ratio=0.0,
        extra_load_slack=0.0,
        extra_load_window_ms=10_000.0,
        stable_window_ms=4000.0,
        cold_overshoot=1.0,
        cold_slack=0.0,
        quota_window_ms=5000.0,
        quota_overshoot=0.1,
        quota_slack=20.0,
        exposure_share=None,
        exposure_slack=0.0,
        rollback_ms=5000.0,
    ):
        self.config_apply_ms = config_apply_ms
        self.drain_ms = drain_ms
        self.evacuate_ms = evacuate_ms
        self.shutdown_ms = shutdown_ms
        self.extra_load_ratio = extra_load_ratio
        self.extra_load_slack = extra_load_slack
        self.extra_load_window_ms = extra_load_window_ms
        self.stable_window_ms = stable_window_ms
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.quota_window_ms = quota_window_ms
        self.quota_overshoot = quota_overshoot
        self.quota_slack = quota_slack
        self.exposure_share = exposure_share
        self.exposure_slack = exposure_slack
        self.rollback_ms = rollback_ms

    def update(self, other):
        """Copy the values of other bounds into this object, which is shared."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))

    def longest_watch_ms(self):
        """Return how long a watch may wait, in ms."""
        change_ms = min(self.config_apply_ms, self.drain_ms, self.evacuate_ms)
        return min(
            self.stable_window_ms / STABLE_WINDOW_DIVISOR,
            change_ms / CHANGE_TIME_DIVISOR,
        )


class ProcessLimits:
    """Memory and descriptors that the platform allows the process.

    >>> limits = ProcessLimits(memory_bytes=100_000_000, descriptors=1200)
    >>> limits.caller_memory_bytes(), limits.caller_connections()
    (25000000, 500)
    """

    __slots__ = ("descriptors", "memory_bytes")

    def __init__(self, memory_bytes=256 * 1024 * 1024, descriptors=4096):
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors

    def caller_memory_bytes(self):
        """Return how many bytes connections of callers may hold."""
        return int(CALLER_MEMORY_FRACTION * self.memory_bytes)

    def caller_connections(self):
        """Return how many connections callers may have."""
        usable = max(2, self.descriptors - FILE_DESCRIPTORS)
        return int(CALLER_DESCRIPTOR_FRACTION * usable)


class EdgeSettings:
    """Addresses and location of one daemon.

    ``failure_domains`` maps each failure domain to its region. ``first_start``
    is True if the whole system starts for the first time. ``process_limits`` is what
    the platform allows the process.
    """

    __slots__ = (
        "bounds",
        "caller_address",
        "failure_domain",
        "failure_domains",
        "first_start",
        "metrics_address",
        "peer_address",
        "process_limits",
        "ready_address",
        "region",
        "store_address",
        "vm",
    )

    def __init__(
        self,
        *,
        vm,
        failure_domain,
        region,
        failure_domains,
        caller_address,
        ready_address,
        peer_address,
        store_address,
        metrics_address=None,
        bounds=None,
        first_start=False,
        process_limits=None,
    ):
        self.vm = vm
        self.failure_domain = failure_domain
        self.region = region
        self.failure_domains = failure_domains
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.peer_address = peer_address
        self.store_address = store_address
        self.metrics_address = metrics_address
        self.bounds = bounds or Bounds()
        self.first_start = first_start
        self.process_limits = process_limits or ProcessLimits()
