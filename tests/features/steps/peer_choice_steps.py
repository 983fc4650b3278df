"""Steps on the choice of peers."""

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.members.membership import Membership
from hemlockspoke.members.peer_choice import PeerChoice

GONE_MARGIN_MS = 2000


class Fleet:
    """A fleet whose VMs share one configuration, and their choices."""

    def __init__(self, count, holders):
        clock = ManualClock()
        self.configuration = Configuration(clock)
        self.membership = Membership(clock, self.configuration, GONE_MARGIN_MS)
        self.names = [f"vm-{number:04d}" for number in range(count)]
        self.holders = set(self.names[:holders])
        self.choices = {}
        for name in self.names:
            self.join(name)
        amounts = {"slots": 1, "connections": 1, "cold_start_slots": 1}
        servers = {
            f"s-{name}": {
                "document_version": 1,
                "holders": [{"vm": name, "incarnation": 1, **amounts}],
            }
            for name in self.holders
        }
        value = {"writer": "w", "servers": servers}
        assert self.configuration.adopt("shares/mtl-00", 100_000, value)

    def join(self, name):
        """Register a VM and create its ``PeerChoice``."""
        value = {
            "vm": name,
            "region": "mtl",
            "failure_domain": "mtl-a",
            "peer_address": "10.0.0.1:1",
            "operator_address": "10.0.0.1:2",
        }
        version = len(self.choices) + 1
        assert self.configuration.adopt(f"vms/{name}", version, value)
        choice = PeerChoice(self.configuration, self.membership, name)
        self.choices[name] = choice

    def chosen(self, name):
        """Return the names that a VM has chosen."""
        return {member.vm for member in self.choices[name].choose().members}

    def all_chosen(self):
        """Return the names that each VM has chosen."""
        return {name: self.chosen(name) for name in self.names}


@given("a fleet of {count:d} VMs in which {holders:d} hold shares")
def fleet_of(context, count, holders):
    context.fleet = Fleet(count, holders)


@when("one VM joins the fleet")
def one_joins(context):
    context.before = context.fleet.all_chosen()
    context.fleet.join("vm-new")


@then("each VM of the fleet chooses {count:d} peers")
def chooses_exactly(context, count):
    # Guards against a small fleet in which two daemons have no stream.
    assert all(len(c) == count for c in context.fleet.all_chosen().values())


@then("no VM of the fleet chooses more than {limit:d} peers")
def chooses_at_most(context, limit):
    # Guards against a number of streams that grows with the fleet.
    assert max(map(len, context.fleet.all_chosen().values())) <= limit


@then("each VM of the fleet has chosen all holders")
def chooses_holders(context):
    # Guards against an entry that cannot reach the shares of a server.
    fleet = context.fleet
    for name, chosen in fleet.all_chosen().items():
        assert fleet.holders - {name} <= chosen, name


@then("the chosen peers connect the fleet even without its holders")
def fleet_connected(context):
    # Guards against a fleet that is partitioned for the configuration exchange.
    fleet = context.fleet
    links = {name: set() for name in fleet.names if name not in fleet.holders}
    for name, chosen in fleet.all_chosen().items():
        for other in chosen:
            if name in links and other in links:
                links[name].add(other)
                links[other].add(name)
    start = next(iter(links))
    reached, waiting = {start}, [start]
    while waiting:
        for other in links[waiting.pop()] - reached:
            reached.add(other)
            waiting.append(other)
    assert reached == set(links)


@then("fewer than {limit:d} VMs of the fleet change their choice")
def few_differ(context, limit):
    # Guards against a choice that replaces most streams at each restart.
    after = context.fleet.all_chosen()
    differ = [name for name, chosen in context.before.items() if after[name] != chosen]
    assert len(differ) < limit, len(differ)
