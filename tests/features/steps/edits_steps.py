"""Steps on audited changes under concurrent edits and lost replies."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.defer import inlineCallbacks, succeed

from hemlockspoke.config.audit import (
    Author,
    DomainEdit,
    ServiceApply,
    VmEdit,
    archive_prefix,
    audit_entries,
)
from hemlockspoke.config.fleet import Fleet
from hemlockspoke.config.perform_edit import (
    Accepted,
    EditConflict,
    EditResultUnknown,
    NotApplied,
    perform_edit,
    run_steps,
)
from tests.fakes.store import FakeStore

KEY = "services/depot"
REPORTS = {
    "accepted": Accepted,
    "lost": EditConflict,
    "unknown": EditResultUnknown,
    "not applied": NotApplied,
}


def apply_steps(store, who, text, **options):
    """Return the steps of an apply by ``who``; the name is also the writer id."""
    author = Author(who, "a test", 1000)
    return perform_edit(store, ServiceApply("depot", text), author, who, **options)


def outcome(result):
    """Return the value or the error of a result."""
    return result.ok if result.is_ok() else result.error


def authors(store):
    """Return the authors of the audit entries of the object."""
    return [entry.who for entry in audit_entries(store.objects[KEY].value)]


@given('a store with the document of service depot by "{who}"')
def step_store(context, who):
    context.store = FakeStore()
    assert run_steps(apply_steps(context.store, who, "text of " + who)).is_ok()


@given('a store with deferreds and the document of service depot by "{who}"')
def step_deferred_store(context, who):
    context.store = FakeStore(reply=succeed)
    finished = []
    steps = inlineCallbacks(apply_steps)(context.store, who, "text of " + who)
    steps.addCallback(finished.append)
    assert finished[0].is_ok()
    context.deferred = True


@when('"{one}" and "{other}" apply different texts of depot at the same time')
def step_race(context, one, other):
    context.reports = {}

    def apply_before():
        steps = apply_steps(context.store, other, "text of " + other)
        context.reports[other] = outcome(run_steps(steps))

    context.store.before_put = apply_before
    steps = apply_steps(context.store, one, "text of " + one)
    context.reports[one] = outcome(run_steps(steps))


@then("exactly one apply is accepted and the other lost to it")
def step_one_wins(context):
    (context.winner,) = [
        who for who, r in context.reports.items() if isinstance(r, Accepted)
    ]
    (context.loser,) = [
        who for who, r in context.reports.items() if isinstance(r, EditConflict)
    ]
    (seen,) = context.reports[context.loser].newer_changes
    assert (seen.who, seen.why) == (context.winner, "a test")
    assert f"+text of {context.winner}" in seen.diff


@then("the store holds the text of the winner with its audit entry")
def step_winner_stored(context):
    value = context.store.objects[KEY].value
    assert value["text"] == "text of " + context.winner
    assert authors(context.store)[-1] == context.winner


@then("nothing of the loser is stored")
def step_loser_absent(context):
    assert context.loser not in str(context.store.objects[KEY].value)


@when('"{who}" applies a text of depot to a version before that of "{other}"')
def step_old_version(context, who, other):
    context.puts = context.store.puts
    steps = apply_steps(context.store, who, "text of " + who, if_version=0)
    context.report = outcome(run_steps(steps))


@then('the apply lost to "{who}" and wrote nothing')
def step_lost_to(context, who):
    assert isinstance(context.report, EditConflict)
    assert [entry.who for entry in context.report.newer_changes] == [who]
    assert context.store.puts == context.puts


@when('"{who}" applies a text of depot while {fault} happens')
def step_fault(context, who, fault):
    store = context.store
    first = fault.replace(" and ", " then ").split(" then ")[0]
    names = {
        "a lost reply": "lose_reply",
        "a lost request": "lose_request",
        "a delayed write": "delay",
        "a refused write": "refuse",
    }
    store.faults = [names[first]]

    def wait(_delay_ms):
        if "failing reads" in fault:
            store.reads_fail = 1
        if "later change" in fault and "cy" not in authors(store):
            run_steps(apply_steps(store, "cy", "text of cy"))
        if first == "a delayed write":
            store.apply_delayed()

    if getattr(context, "deferred", False):
        finished = []
        steps = inlineCallbacks(apply_steps)(store, who, "text of " + who, wait=wait)
        steps.addCallback(finished.append)
        context.report = outcome(finished[0])
    else:
        steps = apply_steps(store, who, "text of " + who, wait=wait)
        context.report = outcome(run_steps(steps))


@then("the apply is reported as {report}")
def step_report(context, report):
    assert isinstance(context.report, REPORTS[report]), context.report
    if report == "accepted":
        value = context.store.objects[KEY]
        entries = audit_entries(value.value)
        later = [e for e in entries if e.base_version == context.report.version]
        assert later or value.version == context.report.version


@then('the audit of depot has "{who}" {times:d} times')
def step_audit_times(context, who, times):
    assert authors(context.store).count(who) == times


@when("depot is changed {count:d} times and every third archive write loses its reply")
def step_many(context, count):
    context.store = FakeStore()
    context.count = count
    put = context.store.put
    archives = []

    def losing_put(key, value, if_version):
        if key != KEY:
            archives.append(key)
            if len(archives) % 3 == 0:
                context.store.faults = ["lose_reply"]
        return put(key, value, if_version)

    context.store.put = losing_put
    for number in range(count):
        steps = apply_steps(context.store, f"p{number}", f"text {number}")
        assert run_steps(steps).is_ok()


@then("the object holds between {low:d} and {high:d} audit entries, the newest last")
def step_kept(context, low, high):
    kept = authors(context.store)
    assert low <= len(kept) <= high
    assert kept[-1] == f"p{context.count - 1}"


@then("archives and object together hold all {count:d} entries once")
def step_archived(context, count):
    stored = context.store.list(archive_prefix(KEY)).ok.objects
    archived = [e.who for item in stored for e in audit_entries(item.value)]
    expected = sorted(f"p{number}" for number in range(count))
    assert sorted(archived + authors(context.store)) == expected


@then("in any interleaving of edits under faults each report is correct")
def step_interleavings(context):
    faults = st.sampled_from([None, "refuse", "lose_reply", "lose_request", "delay"])
    # Number 3 stands for the delayed writes taking effect.
    order = st.lists(st.integers(0, 3), max_size=40)

    @settings(max_examples=400)
    @for_all(st.lists(faults, max_size=8), order, st.sets(st.integers(0, 20)))
    def interleave(faults, order, failing_reads):
        store = FakeStore()
        store.faults = faults
        runs = [ApplyRun(store, f"w{number}") for number in range(3)]
        for position, number in enumerate([*order, *[0, 1, 2] * 20]):
            store.reads_fail = int(position in failing_reads)
            store.apply_delayed() if number == 3 else runs[number].step()
        store.apply_delayed()
        check_reports(store, runs)

    interleave()


class ApplyRun:
    """One apply, run one store call at a time."""

    def __init__(self, store, who):
        self.who = who
        self.report = None
        self._steps = apply_steps(store, who, "text of " + who)
        self._result = None

    def step(self):
        """Run until the next call to the store."""
        if self.report is not None:
            return
        try:
            self._result = self._steps.send(self._result)
        except StopIteration as stop:
            self.report = outcome(stop.value)


def check_reports(store, runs):
    """Compare each report with the final state of the store."""
    stored = authors(store) if KEY in store.objects else []
    for run in runs:
        times = stored.count(run.who)
        assert times <= 1, stored
        if isinstance(run.report, Accepted):
            assert times == 1, (run.who, stored)
        elif not isinstance(run.report, EditResultUnknown):
            assert run.report is not None
            assert times == 0, (run.who, run.report, stored)


@when("failure domain mtl-a goes out, VM rp-1 goes out and mtl-a comes back in")
def step_fleet(context):
    context.store = FakeStore()
    edits = [
        DomainEdit("mtl-a", True),
        VmEdit("rp-1", True),
        DomainEdit("mtl-a", False),
    ]
    for number, edit in enumerate(edits):
        author = Author("ada", "a test", 1000)
        steps = perform_edit(context.store, edit, author, f"w{number}")
        assert run_steps(steps).is_ok()
        if number == 1:
            assert Fleet.from_value(context.store.objects["fleet"].value).domain_out(
                "mtl-a"
            )


@then("the fleet has only VM rp-1 out and {count:d} audit entries")
def step_fleet_state(context, count):
    value = context.store.objects["fleet"].value
    fleet = Fleet.from_value(value)
    assert not fleet.domain_out("mtl-a")
    assert fleet.vm_out("rp-1")
    assert len(audit_entries(value)) == count


@then('taking VM rp-1 out again is refused as "{reason}"')
def step_fleet_again(context, reason):
    author = Author("bo", "a test", 1000)
    steps = perform_edit(context.store, VmEdit("rp-1", True), author, "w9")
    report = outcome(run_steps(steps))
    assert isinstance(report, NotApplied)
    assert reason in report.reason
