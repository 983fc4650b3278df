"""Gauges that are set when the metrics are read."""


def set_caller_gauges(metrics, site, memory_budget):
    """Set the gauges of callers' connections."""
    metrics.gauge("callers_held_bytes", memory_budget.held_bytes)
    for state, count in site.count_states().items():
        metrics.gauge(f"callers_{state}", count)


def set_directory_gauges(metrics, directory):
    """Set the gauges of the daemons and servers that are known."""
    metrics.gauge("members", directory.limit_shares.daemon_count())
    metrics.gauge("servers", len(directory.servers))
    leaving_count, held_count = directory.count_notices()
    metrics.gauge("servers_leaving", leaving_count)
    metrics.gauge("servers_held", held_count)


def store_samples(followed_kinds):
    """Return the samples on what is known of each kind of store objects."""
    samples = []
    for followed in followed_kinds:
        if followed.position is None:
            continue
        labels = [("kind", followed.kind)]
        samples += [
            ("store_era", labels, followed.position.era),
            ("store_revision", labels, followed.position.revision),
            ("store_age_ms", labels, round(followed.age_ms())),
            ("store_reading", labels, int(followed.feed.reading)),
        ]
    return samples
