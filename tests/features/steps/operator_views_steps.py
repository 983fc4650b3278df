"""Steps on the metrics and views of accounts and rollouts, without a network."""

import contextlib

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from hemlockspoke.metrics_text import format_sample, parse_samples
from hemlockspoke.tier.accounts.account import Account
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.quotas.account_counts import OTHER, CountsByAccount

NAME = "ralo"
LABEL_NAMES = st.from_regex(r"[a-zA-Z_][a-zA-Z0-9_]*", fullmatch=True)
# Lone surrogates, which a JSON text may contain, are not kept as they are.
TEXTS = st.text(st.characters(exclude_categories=["Cs"]))
VALUES = st.floats(0, 1e300) | st.integers(0, 2**53)


def total(samples, name):
    """Return the sum of the samples of a metric."""
    return sum(item[2] for item in samples if item[0] == name)


@then("any labels are the same after they were written and read")
def step_round_trip(context):
    @for_all(st.lists(st.tuples(st.dictionaries(LABEL_NAMES, TEXTS), VALUES)))
    def check(items):
        lines = [format_sample("a", labels.items(), value) for labels, value in items]
        samples = parse_samples("".join(f"{line}\n" for line in lines))
        assert [(item.labels, item.value) for item in samples] == items

    check()


@then("names that UTF-8 cannot represent do not end the answer")
def step_surrogates(context):
    line = format_sample("a", [("account", "x\ud800")], 1)
    (sample,) = parse_samples(line.encode().decode() + "\n")
    assert sample.labels == {"account": "x\\ud800"}


@then("any text has samples or is refused")
def step_any_text(context):
    parts = st.sampled_from(
        ["a", "{", "}", 'b="', '"', ",", "\\", "\n", " ", "1", "NaN", "e", "#", "\r"]
    )

    @for_all(st.text() | st.lists(parts, max_size=30).map("".join))
    def check(text):
        with contextlib.suppress(ValueError):
            parse_samples(text)

    check()


@then("a text that was cut within a line is refused")
def step_cut(context):
    text = format_sample("account_admitted_total", [("account", "a")], 12) + "\n"

    @for_all(st.integers(1, len(text) - 1))
    def check(length):
        try:
            parse_samples(text[:length])
        except ValueError:
            return
        raise AssertionError(text[:length])

    check()


@then(
    "for any configurations and requests the metrics add up, with at most {limit:d} "
    "labels"
)
def step_any_accounts(context, limit):
    names = [OTHER, *(f"a{number}" for number in range(limit + 20))]
    configurations = st.tuples(st.permutations(names), st.integers(1, len(names)))
    requests = st.tuples(st.sampled_from(names), st.sampled_from(["", "r1", "r2"]))

    @for_all(st.lists(configurations | st.lists(requests), max_size=8))
    def check(actions):
        counts, admitted, refused = CountsByAccount(), 0, 0
        counts.set_accounts({name: Account(name, rate_per_s=1.0) for name in names})
        for action in actions:
            if isinstance(action, tuple):
                kept = action[0][: action[1]]
                counts.set_accounts({name: Account(name) for name in kept})
                continue
            for name, reason in action:
                if reason:
                    counts.of(name).refuse(reason)
                    refused += 1
                else:
                    counts.of(name).admit(1.5)
                    admitted += 1
        samples = counts.samples()
        assert total(samples, "account_admitted_total") == admitted
        assert total(samples, "account_refused_total") == refused
        assert total(samples, "account_wait_ms_total") == 1.5 * admitted
        assert len({item[1][0] for item in samples}) <= limit
        assert len({item[:2] for item in samples}) == len(samples)
        counts.set_accounts({})
        assert counts.samples() == []

    check()


@when("500 requests pass a daemon's gates")
def step_pass(context):
    fleet = context.fleet
    context.daemon = next(iter(fleet.daemons.values()))
    context.ended = []
    for _ in range(500):
        context.daemon.request(
            context.account, lambda request, admitted, _: context.ended.append(admitted)
        )
        fleet.clock.advance(10.0)
    fleet.clock.advance(1000.0)


def daemon_metrics(context):
    metrics = MetricsRegistry()
    metrics.set_group("accounts", context.daemon.manager.account_samples())
    return parse_samples(metrics.to_text())


@then("its metrics have the quota, and as many requests as have passed")
def step_counted(context):
    values = {}
    for sample in daemon_metrics(context):
        assert sample.label("account") == NAME
        name = sample.name.removeprefix("hemlockspoke_account_")
        values[name] = values.get(name, 0) + sample.value
    assert (values["quota_rate_per_s"], values["quota_burst"]) == (10.0, 10.0)
    assert len(context.ended) == 500
    assert values["admitted_total"] == sum(context.ended) > 0
    assert values["refused_total"] == 500 - sum(context.ended) > 0
    assert 0 < values["waited_total"] <= values["admitted_total"]
    assert values["wait_ms_total"] > 0


@when("a configuration without accounts is in force")
def step_no_accounts(context):
    context.fleet.configure([])


@then("its metrics name no account")
def step_no_names(context):
    assert daemon_metrics(context) == []
