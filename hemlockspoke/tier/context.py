"""The components of a daemon that all requests share."""


class TierContext:
    """Components that all requests share.

    ``codec`` reads and writes the platform's headers, ``directory`` has the servers and
    the configuration, ``extra_load`` limits retries and hedges. ``delegation`` is the
    ``DelegationManager`` and ``forwarding`` the ``ForwardManager``; both are None
    without other daemons. ``rollouts`` is the ``RolloutManager``, or None while the
    settings have no bounds for rollouts.
    """

    __slots__ = (
        "clock",
        "codec",
        "delegation",
        "directory",
        "extra_load",
        "forwarding",
        "metrics",
        "rollouts",
    )

    def __init__(self, clock, codec, directory, extra_load, metrics):
        self.clock = clock
        self.codec = codec
        self.directory = directory
        self.extra_load = extra_load
        self.metrics = metrics
        self.delegation = None
        self.forwarding = None
        self.rollouts = None

    def samples(self, request):
        """Return for parts of a query that sample a version the ids of its servers.

        This daemon sends those parts itself, so that it decides which version gets
        them; their repeats and hedges, also delegated ones, go to the old version.
        """
        if self.rollouts is None or not self.rollouts.versions.rollouts:
            return {}
        route, regions = request.route, request.regions
        samples = {
            service: self.rollouts.sample(service, route, regions)
            for service in route.shards
        }
        return {service: ids for service, ids in samples.items() if ids is not None}
