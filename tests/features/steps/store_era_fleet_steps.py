"""Steps on daemons of a failure domain that follow a store which comes back older."""

from behave import then, when

from hemlockspoke.tier.state.store_era import Position

# A store of ``RelayFleet`` changes each 10 ms.
CHANGE_MS = 10.0


@when("the store comes back {count:d} revisions older {trouble}")
def step_comes_back(context, count, trouble):
    fleet = context.fleet
    fleet.store.listers.clear()
    if trouble == "as the reader is cut off from it":
        fleet.store.cut_off.add("vm-00")
    elif trouble == "as the reader is killed":
        fleet.kill("vm-00")
    elif trouble.startswith("after it failed"):
        fleet.store.turned_away = set(fleet.vms)
        fleet.run(3000)
        fleet.store.turned_away = set()
    for _ in range(2 if trouble == "twice within a second" else 1):
        fleet.store.revision -= count
        fleet.store.era += 1
        fleet.run(500)


@then(
    "the daemons that reach it have its state of {age_ms:d} ms before after "
    "{limit_ms:d} ms"
)
def step_in_era(context, age_ms, limit_ms):
    fleet = context.fleet
    fleet.run(limit_ms - 500)
    store = fleet.store
    oldest = Position(store.era, store.revision - int(age_ms / CHANGE_MS))
    for vm, followed in fleet.followed.items():
        if vm in fleet.relays and vm not in store.cut_off:
            assert oldest <= followed.position, (vm, followed.position, oldest)


@then("at most {count:d} daemons have listed it")
def step_listed(context, count):
    assert len(context.fleet.store.listers) <= count, context.fleet.store.listers
