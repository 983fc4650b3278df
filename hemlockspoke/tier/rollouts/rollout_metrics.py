"""Metrics on the orders that a daemon knows, computed when the metrics are read.

Answers the load of one read every few seconds. Services, versions and routes come from
the store and the configuration, so the number and the length of labels are limited.
"""

from hemlockspoke.tier.rollouts.evidence import Counts

# Limit on the orders of one daemon; open ones come first, then those that ended last.
MAX_ORDERS = 50
# Limit on the routes of an order that are named; the others are one sum.
MAX_ROUTES = 50
# Label of that sum. A route with this name is counted in it.
OTHER = "other"
# Versions of the servers that an order replaces; there is one, seldom two.
MAX_OLD_VERSIONS = 4
# Limit on the text of a label, as in the log lines on rollouts.
MAX_LABEL_CHARS = 200
TARGET, OLD = "target", "old"


def rollout_samples(rollouts, directory, now_ms):
    """Return names, labels and values of metrics; none without orders.

    ``rollouts`` maps services to the ``Rollout`` of their order.
    """
    by_urgency = sorted(rollouts.values(), key=lambda item: -(item.final_ms or now_ms))
    samples = []
    for rollout in by_urgency[:MAX_ORDERS]:
        samples += _order_samples(rollout, directory, now_ms)
    if len(by_urgency) > MAX_ORDERS:
        samples.append(("rollouts_unlisted", (), len(by_urgency) - MAX_ORDERS))
    return samples


def _order_samples(rollout, directory, now_ms):
    order = rollout.order
    labels = (
        ("service", _label(order.service)),
        ("target_version", _label(order.target_version)),
    )
    phase = rollout.phase(now_ms).value
    share = 1.0 if rollout.prefers_target(now_ms) else rollout.sampling_share(now_ms)
    servers = directory.services.get(order.service, ())
    old_versions = {_label(server.entry.version) for server in servers}
    old_versions.discard(_label(order.target_version))
    samples = [
        ("rollout_state", (*labels, ("state", phase)), 1),
        ("rollout_share", labels, round(share, 4)),
        *(
            ("rollout_old_version", (*labels, ("old_version", version)), 1)
            for version in sorted(old_versions)[:MAX_OLD_VERSIONS]
        ),
        *_tally_samples("rollout", labels, rollout.tally),
    ]
    decider = rollout.decider
    if decider is not None and decider.reason:
        verdict = (("state", decider.phase.value), ("reason", _label(decider.reason)))
        samples.append(("rollout_verdict", (*labels, *verdict), 1))
    if decider is not None and decider.total is not None:
        # The sum over all daemons is not computed here: a read of many orders at a
        # daemon that decides on them would stop its event loop for over 100 ms.
        samples += _tally_samples("rollout_decided", labels, decider.total)
    return samples


def _tally_samples(prefix, labels, tally):
    """Return the metrics of a ``Tally``, without its servers and regions."""
    samples = [
        (f"{prefix}_sent_target", labels, tally.sent_target),
        (f"{prefix}_sent", labels, tally.sent_total),
    ]
    names = {_label(key[0]) for key in tally.rows} - {OTHER}
    named = set(sorted(names)[:MAX_ROUTES])
    by_route = {}
    for (route, _, _, is_target), counts in tally.rows.items():
        route = _label(route) if _label(route) in named else OTHER
        side = TARGET if is_target else OLD
        by_route.setdefault((route, side), Counts()).add(counts)
    for (route, side), counts in by_route.items():
        route_labels = (*labels, ("route", route), ("side", side))
        samples.append((f"{prefix}_answers", route_labels, counts.answers))
        samples.append((f"{prefix}_failures", route_labels, counts.failures))
    return samples


def _label(text):
    return str(text)[:MAX_LABEL_CHARS]
