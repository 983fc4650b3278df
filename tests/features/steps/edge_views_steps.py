"""Steps on the views of operators, with daemons and servers on real sockets."""

import errno
import json
import socket

from behave import then, when
from typer.testing import CliRunner

from hemlockspoke.adapters.blocking_metrics import read_metrics
from hemlockspoke.address import Address
from hemlockspoke.ui.application import application
from tests.reactor_thread import run_in_reactor, wait_until

METRICS_PORT = 9464


def metrics_address(context, vm):
    host, _ = context.world.addresses[vm]
    return f"{host}:{METRICS_PORT}"


def metrics_of(context, vm):
    address = Address.parse(metrics_address(context, vm))
    return read_metrics(address, timeout_ms=2000)


def ask(context, command, vms):
    """Run a command at daemons, as text and as JSON."""
    arguments = [command, *(metrics_address(context, vm) for vm in vms)]
    context.result = CliRunner().invoke(application, arguments)
    as_json = CliRunner().invoke(application, [*arguments, "--json"])
    assert as_json.exit_code == context.result.exit_code, as_json.output
    context.json_output, context.view = as_json.stdout, json.loads(as_json.stdout)


@when("an operator asks all daemons for {view}")
def step_ask_all(context, view):
    ask(context, view, context.world.daemons)


@when('an operator asks "{vm}" for accounts')
def step_ask_one(context, vm):
    ask(context, "accounts", [vm])


def is_refused(address):
    """Return whether nothing listens at an address any more."""
    with socket.socket() as probe:
        return probe.connect_ex((address.host, address.port)) == errno.ECONNREFUSED


@when('"{vm}" ends and an operator asks all daemons for accounts')
def step_end(context, vm):
    run_in_reactor(context.world.daemons[vm].close)
    # The reactor closes the port in a later turn, and resets what connects until then.
    address = Address.parse(metrics_address(context, vm))
    wait_until(lambda: is_refused(address))
    step_ask_all(context, "accounts")


@when("no account exists any more")
def step_no_accounts(context):
    context.world.accounts = None
    world = context.world
    world.configure()
    directory = world.daemons["e1"].directory
    wait_until(lambda: directory.routing.version == world.version)


@then('the view has what callers of "{first}" and "{second}" got')
def step_accounts(context, first, second):
    assert context.result.exit_code == 0, context.result.output
    assert context.view["daemons"] == {"asked": 2, "answered": 2, "missing": []}
    rows = {row["account"]: row for row in context.view["accounts"]}
    assert rows.keys() == {first, second}, rows
    for name, row in rows.items():
        statuses = [reply.status for reply in context.replies[name]]
        refused = statuses.count(429)
        assert row["admitted"] == len(statuses) - refused > 0, (row, statuses)
        assert sum(row["refused"].values()) == refused, row
        assert f"{name} " in context.result.stdout, context.result.stdout
    assert sum(rows[first]["refused"].values()) > 0, rows
    quota = {"rate_per_s": 2.0, "burst": 4.0, "daemons": 2}
    assert rows[first]["quotas"] == [quota], rows
    assert "2/s, burst 4" in context.result.stdout, context.result.stdout


@then("neither the view nor the metrics have a key")
def step_no_key(context):
    texts = [metrics_of(context, vm) for vm in context.world.daemons]
    for text in [*texts, context.result.output, context.json_output]:
        assert "ralo" in text and "key-" not in text, text


@then('"{vm}" has no metrics of {view}')
def step_no_metrics(context, vm, view):
    text = metrics_of(context, vm)
    assert f"hemlockspoke_{view[:-1]}_" not in text and "hemlockspoke_" in text, text


@then('the view names "{vm}" as missing and the command ends with {code:d}')
def step_missing(context, vm, code):
    result, address = context.result, metrics_address(context, vm)
    assert result.exit_code == code, result.output
    error = "Connection refused"
    missing = [{"address": address, "error": error}]
    assert context.view["daemons"] == {"asked": 2, "answered": 1, "missing": missing}
    assert f"{address}: {error}\n" in result.stderr, result.stderr
    assert "ralo" in result.stdout, result.stdout


@then("the view is empty")
def step_empty(context):
    assert context.result.exit_code == 0, context.result.output
    assert context.result.stdout == "no account with a quota\n"
    assert context.view["accounts"] == []


def only_order(context, target):
    """Return the only order of a view of all daemons."""
    assert context.result.exit_code == 0, context.result.output
    (order,) = context.view["rollouts"]
    assert (order["service"], order["target_version"]) == ("items", target), order
    return order


@then("the view has the open order with a share and evidence, and no verdict")
def step_open(context):
    order = only_order(context, "v2")
    assert order["states"] == {"sampling": 3}, order
    assert 0 < order["share"]["max"] <= 0.5, order
    (decided,) = order["verdicts"]
    assert decided["reason"] == "" and 0 < decided["sent"] <= order["sent"], order
    assert 0 < order["routes"][0]["target"]["answers"] <= order["sent_target"], order
    assert "open (" in context.result.stdout, context.result.stdout


@then('the view has the completed order, which sends all requests to "{target}"')
def step_completed(context, target):
    order = only_order(context, target)
    assert order["states"] == {"completed": 3}, order
    assert order["share"] == {"min": 1.0, "max": 1.0}, order
    assert "none suspect" in order["verdicts"][0]["reason"], order


@then('the view has the order from "{old}" to "{target}", which was rolled back')
def step_rolled_back(context, old, target):
    order = only_order(context, target)
    assert order["old_versions"] == [old], order
    assert order["states"] == {"rolled_back": 3}, order
    assert order["share"] == {"min": 0.0, "max": 0.0}, order
    # Another daemon may have continued, which has examined nothing since.
    verdict = order["verdicts"][0]
    assert verdict["state"] == "rolled_back", verdict
    assert "answers failed" in verdict["reason"], verdict
    (route,) = order["routes"]
    assert route["route"] == "item", order
    failures = route["target"]["failures"]
    assert 0 < failures <= route["target"]["answers"], order
    assert verdict["routes"][0]["target"]["failures"] <= failures, order
    assert failures <= order["sent_target"] < order["sent"], order
    assert verdict["reason"] in " ".join(context.result.stdout.split())
