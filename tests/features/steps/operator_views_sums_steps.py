"""Steps on the sums of the metrics of several daemons, without a network."""

import json
from types import SimpleNamespace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from hemlockspoke.metrics_text import Sample, format_sample, parse_samples
from hemlockspoke.tier.accounts.account import Account
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.quotas.account_counts import CountsByAccount
from hemlockspoke.tier.rollouts.decider import Decider
from hemlockspoke.tier.rollouts.evidence import Counts
from hemlockspoke.tier.rollouts.exposure import ExposureLimit
from hemlockspoke.tier.rollouts.order import Order
from hemlockspoke.tier.rollouts.rollout import Rollout
from hemlockspoke.tier.rollouts.rollout_metrics import rollout_samples
from hemlockspoke.ui.account_view import read_accounts, sum_accounts
from hemlockspoke.ui.rollout_view import read_rollouts, sum_rollouts

TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
NO_SERVERS = SimpleNamespace(services={})


def read_back(samples):
    """Return the samples of a daemon as the command line reads them."""
    metrics = MetricsRegistry()
    metrics.set_group("views", samples)
    return parse_samples(metrics.to_text())


@then("for any counts of daemons the accounts are summed")
def step_accounts(context):
    names = TEXTS.filter(lambda name: name != "other")
    counts = st.dictionaries(names, st.tuples(st.integers(0, 9), st.integers(0, 9)))

    @for_all(st.lists(counts, max_size=4))
    def check(daemons):
        rows, expected = [], {}
        for counts in daemons:
            by_account = CountsByAccount()
            by_account.set_accounts({name: Account(name, None, 2.5) for name in counts})
            for name, (admitted, refused) in counts.items():
                by_account.of(name).refuse('no "token"\n', refused)
                for _ in range(admitted):
                    by_account.of(name).admit(2.0)
                sums = expected.setdefault(name, [0, 0, 0])
                expected[name] = [sums[0] + admitted, sums[1] + refused, sums[2] + 1]
            rows.append(read_accounts(read_back(by_account.samples())))
        view = {item["account"]: item for item in sum_accounts(rows)}
        assert view.keys() == expected.keys()
        for name, (admitted, refused, daemon_count) in expected.items():
            quota = {"rate_per_s": 2.5, "burst": 0.0, "daemons": daemon_count}
            assert view[name] == {
                "account": name,
                "quotas": [quota],
                "admitted": admitted,
                "refused": {'no "token"\n': refused},
                "waited": admitted,
                "wait_ms": 2.0 * admitted,
            }

    check()


def make_rollout(service, version, rows, decides=False):
    rollout = Rollout(Order(service, service, version, 8000.0, 1), 0.0)
    for (route, is_target), (failures, others) in rows.items():
        key = (route, "a", "s1", is_target)
        rollout.tally.rows[key] = Counts(failures, {1: others})
    if decides:
        rollout.decider = Decider(ExposureLimit(0.1, 50.0), 8000.0)
        rollout.decider.reason = "8 of 20 answers failed\n"
        rollout.decider.total = rollout.tally
    return rollout


@then("for any counts of daemons the rollouts are summed")
def step_rollouts(context):
    keys = st.tuples(TEXTS.filter(lambda name: name != "other"), st.booleans())
    counts = st.tuples(st.integers(0, 9), st.integers(0, 9))
    daemon = st.tuples(TEXTS, st.dictionaries(keys, counts, max_size=10))

    @for_all(TEXTS, st.lists(daemon, max_size=4))
    def check(service, daemons):
        values, expected = {}, {}
        for number, (version, rows) in enumerate(daemons):
            rollout = make_rollout(service, version, rows, number == 0)
            samples = rollout_samples({service: rollout}, NO_SERVERS, 5.0)
            values[f"daemon {number}"] = read_rollouts(read_back(samples))
            for (route, is_target), (failures, others) in rows.items():
                side = "target" if is_target else "old"
                sums = expected.setdefault((service, version, route, side), [0, 0])
                sums[0] += failures + others
                sums[1] += failures
        view = sum_rollouts(values)["rollouts"]
        found = {
            (order["service"], order["target_version"], route["route"], side): [
                route[side]["answers"],
                route[side]["failures"],
            ]
            for order in view
            for route in order["routes"]
            for side in ("target", "old")
        }
        assert {key: value for key, value in found.items() if any(value)} == {
            key: value for key, value in expected.items() if any(value)
        }
        verdicts = [item["reason"] for order in view for item in order["verdicts"]]
        assert verdicts == ["8 of 20 answers failed\n"] * bool(daemons)

    check()


@then("any samples have accounts and rollouts, or are refused")
def step_any_samples(context):
    names = ["admitted_total", "refused_total", "quota_burst", "state", "share", "sent"]
    names += ["answers", "failures", "verdict", "decided_answers", "decided_x", "x"]
    prefixes = st.sampled_from(["account_", "rollout_", "rollouts_unlisted", ""])
    labels = ["account", "reason", "service", "target_version", "route", "side"]
    labels += ["state", "old_version"]
    samples = st.builds(
        lambda prefix, name, labels, value: Sample(
            f"hemlockspoke_{prefix}{name if prefix.endswith('_') else ''}",
            labels,
            value,
        ),
        prefixes,
        st.sampled_from(names),
        st.dictionaries(
            st.sampled_from(labels), st.sampled_from(["", "target", "old", "x"])
        ),
        st.floats() | st.integers(0, 9).map(float),
    )

    @for_all(st.lists(samples, max_size=6))
    def check(samples):
        for read, sum_up in ((read_accounts, sum_accounts), (read_rollouts, None)):
            try:
                value = read(samples)
            except ValueError:
                continue
            view = sum_up([value] * 2) if sum_up else sum_rollouts({"a": value})
            json.dumps(view, allow_nan=False)

    check()


@then('the view of the order is "rolled_back" with the decider\'s reason and evidence')
def step_view(context):
    (world,) = context.worlds
    values, sent, sent_target = {}, 0, 0
    for vm, manager in world.managers.items():
        rollouts = manager.versions.rollouts
        for rollout in rollouts.values():
            sent += rollout.tally.sent_total
            sent_target += rollout.tally.sent_target
        now_ms, directory = world.clock.now_ms(), world.directories[vm]
        samples = rollout_samples(rollouts, directory, now_ms)
        values[vm] = read_rollouts(read_back(samples))
    (order,) = sum_rollouts(values)["rollouts"]
    assert order["states"] == {"rolled_back": len(world.managers)}, order
    assert order["old_versions"] == ["v1"] and order["target_version"] == "v2"
    assert order["sent"] == sent > order["sent_target"] == sent_target > 0, order
    (verdict,) = order["verdicts"]
    assert "answers failed" in verdict["reason"], verdict
    assert verdict["address"] == world.decider(), verdict
    assert 0 < verdict["sent_target"] <= order["sent_target"], verdict
    assert {route["route"] for route in verdict["routes"]} <= {
        route["route"] for route in order["routes"]
    }


@then("daemons without an order have no metrics of rollouts")
def step_no_orders(context):
    assert rollout_samples({}, NO_SERVERS, 0.0) == []


@then(
    "{orders:d} orders with {routes:d} routes have at most {limit:d} of each, and sums "
    "of the others"
)
def step_bounded(context, orders, routes, limit):
    rows = {(f"route {number}", True): (1, 1) for number in range(routes)}
    rollouts = {}
    for number in range(orders):
        rollout = make_rollout(f"s{number}", "v" * 10_000, rows)
        # Some have ended; the open ones come first.
        rollout.final_ms = 1.0 + number if number >= 5 else None
        rollouts[f"s{number}"] = rollout
    samples = rollout_samples(rollouts, NO_SERVERS, 1000.0)
    lines = [format_sample(*sample) for sample in samples]
    assert max(map(len, lines)) < 400
    rows, unlisted = read_rollouts(read_back(samples))
    services = {service for service, _ in rows}
    assert len(services) == limit and unlisted == orders - limit
    assert {f"s{number}" for number in (0, 1, 2, 3, 4, orders - 1)} <= services
    for row in rows.values():
        by_route = row.evidence.by_route
        assert len(by_route) == limit + 1
        assert by_route["other"]["target", "failures"] == routes - limit
