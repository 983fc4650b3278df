"""Steps on quotas of client accounts when daemons are added or restarted."""

from behave import given, then, when

from hemlockspoke.tier.accounts.account import Account
from tests.fakes.quota_fleet import QuotaFleet
from tests.fuzz.growth_machine import run_growth_machine

STEP_MS = 5000.0


@when("the growth machine runs {examples:d} examples of {steps:d} steps")
def step_run(context, examples, steps):
    run_growth_machine(examples, steps)


@then("the growth machine has found no violation")
def step_no_violation(context):
    """Nothing to check: the run raises on a violation."""


@given("a fleet of {count:d} daemons and {accounts:d} accounts")
def step_fleet(context, count, accounts):
    fleet = context.fleet = QuotaFleet.of_size(count)
    context.accounts = [
        Account(f"account-{number}", rate_per_s=6.0, burst=6.0)
        for number in range(accounts)
    ]
    fleet.read_lists()
    fleet.configure(context.accounts)
    fleet.clock.advance(30_000.0)
    fleet.read_lists()


@when("{count:d} daemons are added")
def step_added(context, count):
    fleet = context.fleet
    members = {domain: list(vms) for domain, vms in fleet.members.items()}
    for number in range(count):
        domain = list(members)[number % len(members)]
        vm = f"{domain}-new-{number}"
        fleet.add(vm, domain).read_list(was_registered=False)
        fleet.configure(context.accounts, [vm])
        members[domain].append(vm)
    fleet.members = members
    fleet.read_lists()


@then("each account keeps 1.0 of its quota for 600 s, and {least:f} over {total:d} s")
def step_kept(context, least, total):
    fleet, totals = context.fleet, {}
    steps = int(total * 1000.0 / STEP_MS)
    for step in range(steps):
        now_ms = fleet.clock.now_ms()
        for account in context.accounts:
            share = sum(
                daemon.manager._table.part(account.name, now_ms)[0]
                for daemon in fleet.daemons.values()
            )
            share /= account.rate_per_s
            assert share <= 1.0 + 1e-9, (account.name, step, share)
            if step * STEP_MS < 600_000.0:
                assert share >= 1.0 - 1e-9, (account.name, step, share)
            totals[account.name] = totals.get(account.name, 0.0) + share / steps
        fleet.clock.advance(STEP_MS)
        if step % 2:
            fleet.read_lists()
    context.least = min(totals.values())
    assert context.least >= least, context.least
    # The keepers have changed, or nothing was tested.
    assert context.least < 1.0
    print(f"least share over {total} s: {context.least:.4f}")


@when("all daemons restart")
def step_restart_all(context):
    fleet = context.fleet
    fleet.clock.advance(getattr(context, "advance_ms", 60_000.0))
    context.advance_ms = 100.0
    for vm in list(fleet.daemons):
        fleet.restart(vm)
    fleet.clock.advance(100.0)


def request_in_each_domain(context):
    fleet, results = context.fleet, []
    for vms in fleet.members.values():
        fleet.daemons[vms[0]].request(
            context.account, lambda _, is_admitted, __: results.append(is_admitted)
        )
    fleet.clock.advance(200.0)
    assert len(results) == len(fleet.members)
    return results


@then("a request in each failure domain is served")
def step_first_served(context):
    assert all(request_in_each_domain(context))


@then("a request in each failure domain is refused")
def step_first_refused(context):
    assert not any(request_in_each_domain(context))
