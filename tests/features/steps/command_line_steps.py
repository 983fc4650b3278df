"""Steps on the command line for operators."""

import json
import shlex
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when
from typer.testing import CliRunner

from hemlockspoke.adapters.blocking_store import BlockingStore
from hemlockspoke.config.audit import Author, VmEdit
from hemlockspoke.config.perform_edit import perform_edit, run_steps
from hemlockspoke.ui.application import application
from tests.documents import VALID_DOCUMENT
from tests.fake_http import FakeHttp

INTERRUPT = KeyboardInterrupt()
LAURENTIDE = Path("examples/laurentide.yaml")


@given("an operator's platform")
def step_platform(context):
    context.http = FakeHttp()
    context.add_cleanup(context.http.stop)
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.files = {
        name: Path(directory.name) / f"{name}.yaml" for name in ("bad", "copy", "small")
    }
    text = LAURENTIDE.read_text(encoding="utf-8")
    context.files["bad"].write_text("service: x\n")
    context.files["small"].write_text(VALID_DOCUMENT)
    copy = text.replace("service: laurentide", "service: copy")
    context.files["copy"].write_text(copy)


@given("an operator's platform with a daemon that has nothing in force")
def step_daemon(context):
    step_platform(context)
    value = {"failure_domain": "mtl-a", "operator_address": context.http.address}
    context.http.store.put("vms/entry-1", value, 0)
    context.http.replies = {
        "/v1/announce": (200, {}),
        "/v1/state": (200, {"ready": True, "store_contact_age_ms": 20}),
        "/v1/configuration": (200, {"objects": {}}),
    }


@when("the operator's daemon has the document in force")
def step_in_force(context):
    objects = {"services/laurentide": {"version": 2, "age_ms": 1500}}
    context.http.replies["/v1/configuration"] = (200, {"objects": objects})


@given('the operator has run "{command}"')
def step_has_run(context, command):
    step_run(context, command)
    assert context.result.exit_code == 0, context.result.output


@when('the operator runs "{command}"')
def step_run(context, command):
    context.command = shlex.split(command.format(**context.files))
    run(context)


def run(context, *options):
    """Run the command in this process against the fake platform."""
    environment = {
        "HEMLOCKSPOKE_PLATFORM": context.http.address,
        "HEMLOCKSPOKE_ENTRY": context.http.address,
        "COLUMNS": "200",
    }
    arguments = [*context.command, *options]
    context.result = CliRunner().invoke(application, arguments, env=environment)


@then('the operator\'s command ends with {code:d} and prints "{text}"')
def step_command_result(context, code, text):
    assert context.result.exit_code == code, context.result.output
    assert text in context.result.output, context.result.output


@then("with --json it prints a list of findings with line and column")
def step_findings_json(context):
    run(context, "--json")
    error = json.loads(context.result.stdout)
    assert error["exit_code"] == 2
    assert {"file", "line", "column"} <= error["findings"][0].keys()


@then("the operator's daemon has received one announcement")
def step_announced(context):
    paths = [path for path, _, _ in context.http.requests]
    assert paths == ["/v1/announce"], paths


@then("it prints the text of examples/laurentide.yaml")
def step_shown(context):
    assert context.result.stdout == LAURENTIDE.read_text(encoding="utf-8")


@given("the operator's write meets {fault}")
def step_write_fault(context, fault):
    store = context.http.store
    if fault == "another operator comes first":
        edit, author = VmEdit("rp-1", True), Author("ada", "first", 1000)
        steps = perform_edit(store, edit, author, "writer of ada")
        store.before_put = lambda: run_steps(steps)
        return
    store.faults = ["refuse" if fault == "a refusal" else "lose_reply"]
    if fault == "an interrupt":
        interrupting = mock.patch.object(BlockingStore, "put", side_effect=INTERRUPT)
        interrupting.start()
        context.add_cleanup(interrupting.stop)
    if "no more reads" in fault:
        store.before_put = lambda: setattr(store, "reads_fail", 100)


@given("the operator's entry answers {path} with {status:d} and {body}")
def step_entry_reply(context, path, status, body):
    reply = (status or None, json.loads(body))
    context.http.replies[f"/v1/services/laurentide/{path}"] = reply


@then("importing hemlockspoke.ui loads no typer, rich, yaml or twisted")
def step_import(context):
    assert_not_imported(
        "hemlockspoke.ui", "typer", "rich", "ruamel", "expression", "twisted"
    )


@then("importing the whole application loads no twisted")
def step_import_application(context):
    assert_not_imported("hemlockspoke.ui.application", "twisted", "rich.table")


def assert_not_imported(module, *unwanted):
    """Fail if importing a module in a new process loads unwanted ones."""
    code = f"import {module}, sys; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not set(unwanted) & set(found.stdout.split()), found.stdout
