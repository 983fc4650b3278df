"""What a daemon on an entry VM is told by its surroundings."""

# A silent watch is found out by its end, so it waits for a part of the time after
# which the daemon must follow changes again, and of that in which it must.
WINDOW_PART = 2.5
CHANGE_PART = 2.0


class Bounds:
    """Times and ratios within which the surroundings expect changes to be followed.

    ``stable_window_ms`` is how long a daemon must have been undisturbed before the
    others hold for it. In each ``extra_load_window_ms`` a service bears
    ``extra_load_ratio`` repeated arrivals a request and ``extra_load_slack`` more. A
    cold server may get ``cold_overshoot`` times its stated rate and ``cold_slack``
    requests more in a second.
    """

    __slots__ = (
        "cold_overshoot",
        "cold_slack",
        "config_apply_ms",
        "drain_ms",
        "evacuate_ms",
        "extra_load_ratio",
        "extra_load_slack",
        "extra_load_window_ms",
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

    def take(self, other):
        """Take the values of other bounds; all parts of a daemon hold this object."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))

    def longest_watch_ms(self):
        """Return how long a watch may wait."""
        change_ms = min(self.config_apply_ms, self.drain_ms, self.evacuate_ms)
        return min(self.stable_window_ms / WINDOW_PART, change_ms / CHANGE_PART)


class EdgeSettings:
    """Addresses and place of one daemon.

    ``failure_domains`` maps each failure domain to its region. ``first_start``
    tells that the whole system starts for the first time.
    """

    __slots__ = (
        "bounds",
        "caller_address",
        "failure_domain",
        "failure_domains",
        "first_start",
        "metrics_address",
        "peer_address",
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
