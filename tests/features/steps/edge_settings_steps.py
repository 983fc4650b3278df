"""Steps on the platform's settings file."""

import shutil
import signal
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when

from hemlockspoke.errors import HumanReadableError
from hemlockspoke.platform.program import read_first_settings
from hemlockspoke.platform.settings import (
    parse_settings,
    read_settings,
    settings_version,
)
from hemlockspoke.tier.edge_settings import Bounds
from tests.deploy_file import ROOT, run_command, run_environment
from tests.platform_world import PlatformWorld
from tests.reactor_thread import run_in_reactor, wait_until

# An extension module that the daemon loads while it starts.
EXTENSION = "_cmsgpack"
START_TIMEOUT_S = 20.0
EXIT_INVALID_SETTINGS = 2

# Sends SIGHUP to its own process; one that survives it ends with this code.
EXIT_SURVIVED = 7
HANGUP_MODULE = f"""
import posix
posix.kill(posix.getpid(), {int(signal.SIGHUP)})
posix._exit({EXIT_SURVIVED})
"""

VALID_FIELDS = {
    "node_name": "e1",
    "zone": "a1",
    "region": "a",
    "ip": "10.1.0.9",
    "zones.a1": "a",
    "zones.b1": "b",
    "listen_addrs.frontend": "10.1.0.9:8104",
    "listen_addrs.ready": "10.1.0.9:8108",
    "internal_ports": "7380,7395",
    "platform.address": "10.200.1.7:8102",
    "bounds.grace_s": "6",
}


@given('a settings file with "{field}" of "{value}"')
def step_file(context, field, value):
    context.fields = {**VALID_FIELDS, field: value}


@given('a settings file without "{missing}" and with "{field}" of "{value}"')
def step_file_without(context, missing, field, value):
    step_file(context, field, value)
    del context.fields[missing]


def read_into(context, read):
    context.settings, context.error = None, ""
    try:
        context.settings = read()
    except HumanReadableError as error:
        context.error = str(error)


@when("the settings are read")
def step_read(context):
    lines = [f"{name}={value}" for name, value in context.fields.items()]
    read_into(context, lambda: parse_settings("\n".join(lines)))


@when('the settings "{path}" are read')
def step_read_path(context, path):
    read_into(context, lambda: read_settings(path))


@then('reading fails with "{first}" and "{second}"')
def step_fails(context, first, second):
    assert first in context.error and second in context.error, context.error


@then(
    'the region of "{domain}" is "{region}" and the shutdown time is {shutdown_ms:d} ms'
)
def step_values(context, domain, region, shutdown_ms):
    assert context.settings.failure_domains[domain] == region
    assert context.settings.bounds.shutdown_ms == shutdown_ms


@when("its settings give {shutdown_ms:d} ms to stop and it is told to reload them")
def step_reload(context, shutdown_ms):
    daemon = context.world.daemons["e1"]
    settings = parse_settings(
        "\n".join(f"{name}={value}" for name, value in VALID_FIELDS.items())
    )
    settings.bounds = Bounds(shutdown_ms=shutdown_ms)
    daemon.read_settings = lambda: settings
    run_in_reactor(daemon._reload)


@when("its settings cannot be read and it is told to reload them")
def step_reload_bad(context):
    def fail():
        raise HumanReadableError("boot.conf: zone is missing")

    daemon = context.world.daemons["e1"]
    daemon.read_settings = fail
    run_in_reactor(daemon._reload)


@then("it has {shutdown_ms:d} ms to stop")
def step_stop(context, shutdown_ms):
    assert context.world.daemons["e1"]._settings.bounds.shutdown_ms == shutdown_ms


@when("its settings change to {shutdown_ms:d} ms to stop without a signal")
def step_change_file(context, shutdown_ms):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "boot.conf"
    lines = "\n".join(f"{name}={value}" for name, value in VALID_FIELDS.items())
    path.write_text(lines)
    daemon = context.world.daemons["e1"]
    daemon.read_settings = lambda: read_settings(path)
    daemon.settings_version = lambda: settings_version(path)
    run_in_reactor(daemon.watch_settings)
    path.write_text(f"{lines}\nbounds.grace_s={shutdown_ms / 1000}")


@then("it has {shutdown_ms:d} ms to stop within {limit_ms:d} ms")
def step_stop_soon(context, shutdown_ms, limit_ms):
    bounds = context.world.daemons["e1"]._settings.bounds
    wait_until(lambda: bounds.shutdown_ms == shutdown_ms, timeout_s=limit_ms / 1000)


@given("the process of a daemon is importing its modules")
def step_starting(context):
    context.process = subprocess.Popen(
        run_command(),
        env=run_environment("/nonexistent/boot.conf"),
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    maps = Path(f"/proc/{context.process.pid}/maps")
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while EXTENSION not in maps.read_text():
        assert time.monotonic() < deadline_s
        time.sleep(0.001)


@when("it is told to reload its settings")
def step_hangup(context):
    context.process.send_signal(signal.SIGHUP)


@then("it goes on and reports its settings as invalid")
def step_goes_on(context):
    _, errors = context.process.communicate(timeout=START_TIMEOUT_S)
    assert context.process.returncode == EXIT_INVALID_SETTINGS, (
        context.process.returncode
    )
    assert "/nonexistent/boot.conf" in errors, errors


@given("a copy of the daemon whose modules send SIGHUP when they are loaded")
def step_hangup_modules(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.copy = Path(folder.name)
    entry = context.copy / "hemlockspoke" / "platform" / "edge.py"
    entry.parent.mkdir(parents=True)
    shutil.copy(ROOT / "hemlockspoke" / "platform" / "edge.py", entry)
    for package in (entry.parent.parent, entry.parent):
        (package / "__init__.py").write_text(HANGUP_MODULE)
    context.modules = context.copy / "deps"
    context.modules.mkdir()
    for name in ("sitecustomize", "signal", "enum"):
        (context.modules / f"{name}.py").write_text(HANGUP_MODULE)


@when("it is started as the deploy file says")
def step_start_copy(context):
    context.process = subprocess.Popen(
        run_command(),
        env=run_environment("/nonexistent/boot.conf", context.modules),
        cwd=context.copy,
        stderr=subprocess.PIPE,
    )
    context.add_cleanup(context.process.kill)


@then("the first of them does not end the process")
def step_first_module(context):
    _, errors = context.process.communicate(timeout=START_TIMEOUT_S)
    code = context.process.returncode
    assert code == EXIT_SURVIVED, (code, errors)


@given("a settings file of which half has been written")
def step_half_file(context):
    world = PlatformWorld(shards=1)
    context.add_cleanup(world.stop)
    context.settings_text = world.settings_text("e1", "a1", first_start=True)[0]
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "boot.conf"
    context.path.write_text(context.settings_text[: len(context.settings_text) // 2])


@when("a daemon reads it at its start, and the rest is written after {delay_ms:d} ms")
def step_read_at_start(context, delay_ms):
    rest = (context.path.write_text, [context.settings_text])
    timer = threading.Timer(delay_ms / 1000, *rest)
    timer.start()
    context.settings, context.version = read_first_settings(str(context.path))
    timer.join()


@then("the daemon has the settings of the whole file")
def step_whole_file(context):
    assert context.settings.vm == "e1"
    assert context.version == settings_version(str(context.path))
