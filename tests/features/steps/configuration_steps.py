"""Steps on the adoption and distribution of the configuration."""

import json

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.messages import Versions
from tests.fakes.configuration_world import (
    BAD_TEXT,
    FakeDaemon,
    FakeNetwork,
    SharedStore,
    use_fake_document_check,
)
from tests.fuzz.configuration_machine import ConfigurationMachine

KEY = "services/bins"


@given("a configuration without a daemon")
def step_configuration(context):
    context.add_cleanup(use_fake_document_check())
    context.configuration = Configuration(ManualClock())


@when('version {version:d} of "{key}" with the text "{text}" is offered')
def step_adopt(context, version, key, text):
    context.configuration.adopt(key, version, {"text": text})


@when('version {version:d} of "{key}" with the value {value} is offered')
def step_adopt_value(context, version, key, value):
    context.configuration.adopt(key, version, json.loads(value))


@then('the configuration has version {version:d} of "{key}"')
def step_version(context, version, key):
    stored = context.configuration.get(key)
    assert (stored.version if stored else 0) == version


@then('the configuration lists "{key}" as rejected')
def step_rejected(context, key):
    assert key in context.configuration.rejected()


@then("the configuration lists nothing as rejected")
def step_nothing_rejected(context):
    assert not context.configuration.rejected()


@given("{count:d} configuration daemons that have started")
def step_daemons(context, count):
    context.add_cleanup(use_fake_document_check())
    context.clock = ManualClock()
    context.shared_store = SharedStore(context.clock)
    context.network = FakeNetwork(context.clock)
    context.vms = [f"e{number}" for number in range(count)]
    context.version = context.shared_store.write(KEY, {"text": "first"})
    for vm in context.vms:
        start_daemon(context, vm)
    step_pass(context, 3000)
    assert all(daemon.accepts_work() for daemon in context.network.daemons.values())


def start_daemon(context, vm):
    FakeDaemon(vm, context.shared_store, context.network, context.vms)


@given("{fault} among the configuration daemons")
def step_fault(context, fault):
    for name in fault.split(" and "):
        FAULTS[name](context)
    step_pass(context, 100)


def disconnect_all_pairs(context):
    pairs = ((a, b) for a in context.vms for b in context.vms if a < b)
    context.network.disconnected_pairs = {frozenset(pair) for pair in pairs}


FAULTS = {
    "no fault": lambda context: None,
    "a silent watch": lambda context: setattr(
        context.shared_store, "silent_watches", True
    ),
    "a slow store": lambda context: context.shared_store.slow_vms.update(context.vms),
    "e1 cut off": lambda context: context.shared_store.cut_off_vms.add("e1"),
    "no links between daemons": disconnect_all_pairs,
    "an unreliable network": lambda context: setattr(
        context.network, "unreliable", True
    ),
}


@when('an operator changes "{key}"')
def step_change(context, key):
    context.version = context.shared_store.write(key, {"text": "changed"})


@when('an operator stores an invalid "{key}"')
def step_invalid(context, key):
    context.shared_store.write(key, {"text": BAD_TEXT})


@when("{duration_ms:d} ms pass for the configuration")
def step_pass(context, duration_ms):
    context.clock.advance(duration_ms)


@then("every daemon has the change within {bound_ms:d} ms")
def step_has_change(context, bound_ms):
    context.clock.advance(bound_ms)
    found = versions_in_force(context)
    assert set(found.values()) == {context.version}, found


def versions_in_force(context):
    daemons = context.network.daemons
    return {
        vm: daemon.configuration.versions().get(KEY) for vm, daemon in daemons.items()
    }


@then('every daemon keeps the previous "{key}" and reports the invalid one')
def step_previous(context, key):
    step_has_change(context, 0)
    for daemon in context.network.daemons.values():
        assert key in daemon.configuration.rejected(), daemon.vm


@given("the change is announced to daemon {vm}")
@when("the change is announced to daemon {vm}")
def step_announce(context, vm):
    daemon = context.network.daemons[vm]
    context.announced = announced = []
    answer = daemon.sync.check_store()
    answer.addCallback(lambda _: announced.append(daemon.configuration.versions()[KEY]))


@then("the answer to the announcement came with the change in force")
def step_announced(context):
    assert context.announced == [context.version], context.announced


@when("{vm} answers {asker} and is lost before its objects arrive")
def step_lost_after_answer(context, vm, asker):
    daemon = context.network.daemons[vm]
    versions = Versions(kind="state", versions=daemon.configuration.versions())
    context.network.daemons[asker].deliver(vm, versions)
    daemon.crash()
    del context.network.daemons[vm]


@when("{vm} reaches neither the store nor a peer")
def step_cut(context, vm):
    context.shared_store.cut_off_vms.add(vm)
    others = [other for other in context.vms if other != vm]
    context.network.disconnected_pairs = {frozenset((vm, other)) for other in others}


@when("{vm} reaches everything again")
def step_reconnect(context, vm):
    context.shared_store.cut_off_vms.discard(vm)
    context.network.disconnected_pairs = set()


@then("configuration daemon {vm} is ready")
def step_ready(context, vm):
    assert context.network.daemons[vm].accepts_work()


@then("configuration daemon {vm} is not ready")
def step_not_ready(context, vm):
    assert not context.network.daemons[vm].accepts_work()


@when("configuration daemon {vm} is paused")
def step_pause(context, vm):
    context.network.daemons[vm].clock.paused = True


@when("configuration daemon {vm} resumes")
def step_resume(context, vm):
    context.network.daemons[vm].clock.resume()


@when("the store is down for the configuration")
def step_down(context):
    context.shared_store.down = True


@when("the store is up for the configuration")
def step_up(context):
    context.shared_store.down = False


@then("the store contact of {vm} is between {low:d} and {high:d} ms old")
def step_contact(context, vm, low, high):
    age_ms = context.network.daemons[vm].sync.store_contact_age_ms()
    assert low <= age_ms <= high, age_ms


@given("a change that only {vm} has, with the store down since")
def step_change_on_one_daemon(context, vm):
    context.network.unreliable = False
    disconnect_all_pairs(context)
    context.shared_store.cut_off_vms = {other for other in context.vms if other != vm}
    step_change(context, KEY)
    step_pass(context, 2500)
    changed = [n for n, v in versions_in_force(context).items() if v == context.version]
    assert changed == [vm], changed
    context.shared_store.down = True
    context.network.disconnected_pairs = set()


@when("configuration daemon {vm} restarts")
def step_restart(context, vm):
    context.network.daemons[vm].crash()
    start_daemon(context, vm)


@when("all configuration daemons restart")
def step_restart_all(context):
    for vm in context.vms:
        step_restart(context, vm)


@then("the store has the watches of {count:d} daemons")
def step_watchers(context, count):
    watchers = {watch.client.vm for watch in context.shared_store.watches}
    assert len(watchers) == count, watchers


@when("configuration daemons are fuzzed with {runs:d} runs of {steps:d} steps")
def step_fuzz(context, runs, steps):
    bounds = settings(max_examples=runs, stateful_step_count=steps)
    run_state_machine_as_test(ConfigurationMachine, settings=bounds)


@then("no configuration invariant was violated")
def step_no_violation(context):
    """The state machine raises on the first violation."""
