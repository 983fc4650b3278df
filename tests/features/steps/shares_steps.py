"""Steps on the shares of servers, which run in a ``ShareWorld``."""

import copy

from behave import given, then, when

from hemlockspoke.limits.share_rules import check_proposal
from hemlockspoke.limits.shares import (
    GroupShares,
    HolderShare,
    ServerLimit,
    ServerShares,
    ShareView,
)
from hemlockspoke.requests import Share
from tests.fuzz.share_fakes import service_value
from tests.fuzz.share_world import ShareWorld


def servers_value(count, slots, region="mtl"):
    """Return the value of a document with ``count`` servers."""
    limits = (region, "mtl-a", slots, 25, 1)
    return service_value({f"rp-{number}": limits for number in range(count)})


def server_names(context):
    return list(context.world.platform.objects["services/lau"].value["servers"])


def group_values(context):
    objects = context.world.platform.objects
    return [item.value for key, item in objects.items() if key.startswith("shares/")]


@given("{daemons:d} share daemons and {servers:d} servers with {slots:d} slots")
def step_fleet(context, daemons, servers, slots):
    context.world = world = ShareWorld()
    context.server_count = servers
    world.set_document("lau", servers_value(servers, slots))
    world.set_fleet()
    for number in range(daemons):
        world.platform.list_vm(f"vm-{number}", "mtl", "mtl-a")
        world.start(f"vm-{number}")


@when("the share daemons run for {duration_ms:d} ms")
def step_run(context, duration_ms):
    context.world.run(duration_ms)


@when("the share writes are counted")
def step_count(context):
    context.revision = context.world.platform.revision


@then("no further share write was made")
def step_no_write(context):
    assert context.world.platform.revision == context.revision


@then("the share daemons have written at most {count:d} times per group")
def step_written(context, count):
    world = context.world
    writes = sum(len(daemon.store.writes) for daemon in world.daemons.values())
    assert writes <= count * len(group_values(context)), writes


@when("the VM of share daemon {number:d} vanishes")
def step_vanish(context, number):
    context.world.crash(f"vm-{number}")
    del context.world.platform.vms[f"vm-{number}"]


@when("the VM of share daemon {number:d} vanishes and all other daemons restart")
def step_vanish_and_restart(context, number):
    step_vanish(context, number)
    for vm in list(context.world.daemons):
        context.world.crash(vm)
        context.world.start(vm)


@when("share daemon {number:d} releases all shares")
def step_release(context, number):
    context.released = []
    daemon = context.world.daemons[f"vm-{number}"]
    daemon.shares.release_all().addCallback(context.released.append)


@then("the share release has completed")
def step_released(context):
    assert context.released == [True]


@when("share daemon {number:d} is busy with all that it holds")
def step_busy(context, number):
    holder = context.world.daemons[f"vm-{number}"].holder
    for name in list(holder.shares):
        holder.start_work(name, 60_000)
    assert holder.work


@when("share daemon {number:d} has finished its work")
def step_finished(context, number):
    context.world.daemons[f"vm-{number}"].holder.work = []


@when("the VM of share daemon {number:d} is taken out by operators")
def step_out(context, number):
    context.world.set_fleet(vms=[f"vm-{number}"])


@when("all share daemons are disconnected from the store")
def step_disconnect(context):
    # The daemons still get the objects in the store from their peers.
    for daemon in context.world.daemons.values():
        daemon.store.disconnected = True


@when("the share daemons are connected to the store again")
def step_reconnect(context):
    for daemon in context.world.daemons.values():
        daemon.store.disconnected = False


@when("share daemon {number:d} finds that it was paused for {length_ms:d} ms")
def step_paused(context, number, length_ms):
    daemon = context.world.daemons[f"vm-{number}"]
    daemon.clock.jump(length_ms)
    assert daemon.pause_detector.check() == length_ms


@when("the limit of the shared servers changes to {slots:d} slots")
def step_limit(context, slots):
    context.world.set_document("lau", servers_value(context.server_count, slots))
    for daemon in context.world.daemons.values():
        daemon.read_objects()


@when('the shared servers change to region "{region}"')
def step_region(context, region):
    value = servers_value(context.server_count, 2, region)
    context.world.set_document("lau", value)
    for daemon in context.world.daemons.values():
        daemon.read_objects()
    context.world.run(200)


@then('no share object of region "{region}" has a holder')
def step_no_holder(context, region):
    objects = context.world.platform.objects.items()
    values = [item.value for key, item in objects if key.startswith(f"shares/{region}")]
    assert values
    assert "vm-" not in str([value["servers"] for value in values])


@then("share daemon {number:d} may use nothing but is still named in the store")
def step_uses_nothing(context, number):
    vm = f"vm-{number}"
    assert not context.world.daemons[vm].holder.shares
    # The objects also name the VM that wrote them last, which need not hold a share.
    assert vm in str([value["servers"] for value in group_values(context)])


@then("share daemon {number:d} holds nothing in the store")
def step_holds_nothing(context, number):
    assert f"vm-{number}" not in str(
        [value["servers"] for value in group_values(context)]
    )


@then("each shared server has {slots:d} slots at {holders:d} live holders")
def step_full(context, slots, holders):
    for name in server_names(context):
        shares_by_vm = context.world.holders(name)
        assert len(shares_by_vm) == holders, (name, shares_by_vm)
        assert sum(share.slots for share in shares_by_vm.values()) == slots, (
            shares_by_vm
        )


@then("each shared server has at most {slots:d} slots in use")
def step_at_most(context, slots):
    for name in server_names(context):
        shares_by_vm = context.world.holders(name)
        assert sum(share.slots for share in shares_by_vm.values()) <= slots, (
            shares_by_vm
        )


@then("each shared server has 1 cold-start slot at one holder")
def step_cold(context):
    for name in server_names(context):
        held_shares = context.world.holders(name).values()
        assert sorted(share.cold_start_slots for share in held_shares) == [0, 1]


@then("a replaced share is written but not yet in use")
def step_waiting(context):
    assert "vm-1" not in str([value["servers"] for value in group_values(context)])
    names = server_names(context)
    slots = [sum(s.slots for s in context.world.holders(n).values()) for n in names]
    assert min(slots) == 1, slots


@given("the share object {text} of a server with 4 slots")
def step_old(context, text):
    context.old = shares_of_text(text)


def shares_of_text(text):
    """Return the shares in a text such as ``A2 B1``.

    Each letter is a VM, of which G is gone; the number gives its slots and connections.
    """
    holders = [
        HolderShare(item[0], 1, Share(int(item[1]), int(item[1]), 0))
        for item in text.split()
    ]
    return GroupShares(servers={"rp-0": ServerShares(7, holders)})


@when('daemon "{vm}" proposes the share object {text}')
def step_propose(context, vm, text):
    view = ShareView(
        me=(vm, 1),
        limit_of=lambda name: ServerLimit(7, Share(4, 4, 1), 5000),
        desired_holders_of=lambda name: [(vm, 1), ("C", 1)],
        is_gone=lambda holder, incarnation: holder == "G",
    )
    context.findings = check_proposal(context.old, shares_of_text(text), view)


@then("the share proposal is refused by {rule}")
def step_rule(context, rule):
    found = {finding.found[:2] for finding in context.findings}
    assert found == (set() if rule == "nothing" else {rule}), str(context.findings)


@when("the next share writes of daemon {number:d} arrive late")
def step_late(context, number):
    store = context.world.daemons[f"vm-{number}"].store
    store.write_faults = ["delayed"] * 10
    store.failing_reads = 1
    context.late_store = store


@when("all VMs are brought back by operators")
def step_in(context):
    context.late_store.write_faults = []
    assert context.late_store.delayed
    context.world.set_fleet()


@then("the late share writes arrive and are refused")
def step_arrive(context):
    revision = context.world.platform.revision
    context.late_store.deliver_delayed()
    assert context.world.platform.revision == revision


@when("share daemon {number:d} is paused while its VM {event}")
def step_paused_during_event(context, number, event):
    daemon = context.world.daemons[f"vm-{number}"]
    if event == "vanishes":
        del context.world.platform.vms[daemon.vm]
    else:
        registration = context.world.platform.objects[f"vms/{daemon.vm}"]
        context.world.platform.put(registration.key, registration.value)
    daemon.clock.jump(1500)
    daemon.pause_detector.check()
    daemon.clock.advance(3000)


@when(
    "{count:d} list reads of share daemon {number:d} omit the VM of share daemon {of:d}"
)
def step_omit_from_list(context, count, number, of):
    daemon = context.world.daemons[f"vm-{number}"]
    for _ in range(count):
        daemon.clock.jump(1000)
        daemon.read_list(without={f"vm-{of}"})


@then("share daemon {number:d} counts the VM of share daemon {of:d} as {state}")
def step_state(context, number, of, state):
    daemon = context.world.daemons[f"vm-{number}"]
    incarnation = context.world.daemons[f"vm-{of}"].incarnation
    gone = daemon.membership.is_gone(f"vm-{of}", incarnation)
    assert gone == (state == "gone")


@then('share daemon {number:d} does not count the unlisted VM "{vm}" as gone')
def step_unlisted(context, number, vm):
    assert not context.world.daemons[f"vm-{number}"].membership.is_gone(vm, 1)


@when("the next {count:d} writes of share daemon {number:d} are not applied")
def step_not_applied(context, count, number):
    store = context.world.daemons[f"vm-{number}"].store
    store.write_faults = ["not_applied"] * count


@then("share daemon {number:d} has not completed its release")
def step_not_released(context, number):
    assert context.released == []
    assert context.world.daemons[f"vm-{number}"].holder.shares


@when("share daemon {number:d} exits and is handed a share")
def step_late_handover(context, number):
    platform = context.world.platform
    daemon = context.world.crash(f"vm-{number}")
    key = next(key for key in platform.objects if key.startswith("shares/"))
    value = copy.deepcopy(platform.objects[key].value)
    for server in value["servers"].values():
        server["holders"][0].update(vm=daemon.vm, incarnation=daemon.incarnation)
    platform.put(key, value)


def slots_in_store(context):
    """Return the sum of all slots in the share objects."""
    return sum(
        holder["slots"]
        for value in group_values(context)
        for server in value["servers"].values()
        for holder in server["holders"]
    )


@then("the waiting shares are still in the store")
def step_waiting_stay(context):
    assert slots_in_store(context) > 0


@then("no share is in the store")
def step_none_in_store(context):
    assert slots_in_store(context) == 0


@when("share daemon {number:d} is restarted and the reply to its registration is lost")
def step_restart_reply_lost(context, number):
    context.world.crash(f"vm-{number}")
    context.world.start(f"vm-{number}", reply_lost=True)


@when("share daemon {number:d} learns that it has registered")
def step_registered(context, number):
    daemon = context.world.daemons[f"vm-{number}"]
    daemon.incarnation = daemon.configuration.get(f"vms/vm-{number}").version
    daemon.shares.registration_known()


@then("share daemon {number:d} holds shares again")
def step_holds_again(context, number):
    daemon = context.world.daemons[f"vm-{number}"]
    assert daemon.shares.effective_shares(), daemon.holder.shares
