"""Steps on rollouts when the store has come back older."""

from behave import given, then, when

from hemlockspoke.tier.rollouts.order import Order, Phase
from hemlockspoke.tier.rollouts.order_list import OrderList
from tests.rollout_world import DURATION_MS, SERVICE, Fault, RolloutWorld

RATE_PER_S = 20
SERVERS = 2


def order_for(version, revision, era, final_phase=None):
    return Order(SERVICE, SERVICE, version, DURATION_MS, revision, final_phase, era=era)


@given('daemons that know the order for "{version}" at revision {revision:d} of era 1')
def step_knowing(context, version, revision):
    context.world = RolloutWorld(2, RATE_PER_S, SERVERS)
    context.clock = context.world.clock
    context.lists = [
        OrderList(manager, context.clock) for manager in context.world.managers.values()
    ]
    context.world.order = None
    context.revision = revision
    for orders in context.lists:
        orders.set(order_for(version, revision, 1))


@given('the order for "{version}" after it, which was {ending}')
def step_later_order(context, version, ending):
    """Write an order, then its end; one that is written anew follows another one."""
    for orders in context.lists:
        if ending.startswith("written anew"):
            context.revision += 1
            orders.set(order_for(version, context.revision, 1))
        context.revision += 1
        orders.set(order_for(version, context.revision, 1, phase_of(ending)))


def come_back(context, listed):
    """Apply the first list of an era, which is then read again."""
    for orders in context.lists:
        orders.restore(listed)
        orders.replace(listed)


@given("that order was removed")
def step_removed(context):
    for orders in context.lists:
        orders.remove(SERVICE)


def phase_of(ending):
    return Phase(ending.split(" and ")[-1].replace(" ", "_"))


@when("a list of era 2 has no order")
def step_no_order(context):
    come_back(context, [])


@when('a list of era 2 has the order for "{version}"')
@when('a list of era 2 has the order for "{version}" at revision {revision:d}')
def step_listed_order(context, version, revision=40):
    come_back(context, [order_for(version, revision, 2)])


@when('a list of era 2 has the order for "{version}" as {ending}')
def step_listed_end(context, version, ending):
    come_back(context, [order_for(version, 40, 2, phase_of(ending))])


@when('the order for "{version}" is written again at revision {revision:d} of era 2')
def step_written_again(context, version, revision):
    for orders in context.lists:
        orders.set(order_for(version, revision, 2))


def rollouts(context):
    managers = context.world.managers.values()
    return [manager.versions.rollouts.get(SERVICE) for manager in managers]


@then('they follow the order for "{version}"')
def step_followed(context, version):
    versions = [rollout.order.target_version for rollout in rollouts(context)]
    assert set(versions) == {version}, versions


@then("they follow no order")
def step_none_followed(context):
    assert rollouts(context) == [None, None]


@then('the order for "{version}" is {ending}')
def step_verdict(context, version, ending):
    now_ms = context.clock.now_ms()
    step_followed(context, version)
    phases = {rollout.phase(now_ms) for rollout in rollouts(context)}
    assert phases == {phase_of(ending)}, phases


@given("{count:d} daemons whose rollout has ended as {verdict}")
def step_ended(context, count, verdict):
    fault = Fault(failing=1.0 if verdict == "rolled_back" else 0.0)
    world = context.world = RolloutWorld(count, RATE_PER_S, SERVERS, fault=fault)
    world.run()
    assert world.states[-1] == verdict, world.states


@when("a list of era 2 has the order without its end")
def step_without_end(context):
    world = context.world
    world.order = order_for("v2", 60, 2)
    world.states.clear()
    world.sent.clear()
    context.sampled = world.sent["v2"]
    for manager in world.managers.values():
        OrderList(manager, world.clock).restore([world.order])


@when("all that decide start again and a list of era 2 has the order without its end")
def step_restarted(context):
    world = context.world
    deciders = next(iter(world.managers.values())).collectors(SERVICE)
    for vm in deciders:
        world.kill(vm)
    step_without_end(context)
    for vm in deciders:
        world.start_daemon(vm)


@then("within {limit_s:d} s {verdict} is in the store again")
def step_in_store(context, limit_s, verdict):
    world = context.world
    world.run(1000.0 * limit_s)
    assert world.order.final_phase is Phase(verdict), world.states
    assert world.states == [verdict], world.states


@then("no request was sampled in the meantime")
def step_not_sampled(context):
    """Check that all requests went to one version."""
    sent = {version: count for version, count in context.world.sent.items() if count}
    assert len(sent) == 1, sent
