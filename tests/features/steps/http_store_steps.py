"""Steps on the HTTP client of the store and the platform stand-in."""

import http.client
import json
import subprocess
import sys
import time
from types import SimpleNamespace

from behave import given, then, when
from twisted.internet import reactor

from hemlockspoke.adapters.http_store import HttpStore
from hemlockspoke.address import Address
from hemlockspoke.clock import ReactorClock
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor, wait_until
from tests.standins.platform import Platform

VALUE = {"text": "service: bins", "writer": "w1"}


@given(
    'a platform stand-in and a store client of VM "{vm}" '
    "with a timeout of {timeout_ms:d} ms"
)
def step_platform(context, vm, timeout_ms):
    context.platform = Platform(reactor)
    port = run_in_reactor(context.platform.listen, 0, STAND_IN_HOST)
    settings = SimpleNamespace(
        platform_address=Address(STAND_IN_HOST, port),
        vm=vm,
        timings=SimpleNamespace(store_timeout_ms=timeout_ms),
    )
    clock = ReactorClock(reactor)
    context.store = run_in_reactor(HttpStore.from_config, settings, clock, reactor)
    context.add_cleanup(run_in_reactor, context.platform.stop_listening)


@given("the platform fault {fault}")
def step_fault(context, fault):
    run_in_reactor(context.platform.set_faults, [json.loads(fault)])


@given('the platform list holds the VMs "{names}"')
def step_vms(context, names, lag_ms=0):
    fields = {"address": "10.0.0.1", "region": "mtl", "failure_domain": "mtl-a"}
    vms = [{"vm": name, "state": "live", **fields} for name in names.split(",")]
    run_in_reactor(context.platform.vm_list.set, vms, lag_ms)


@given('the platform list holds the VMs "{names}" with a lag of {lag_ms:d} ms')
def step_lagging_vms(context, names, lag_ms):
    step_vms(context, names, lag_ms)


@when('the client puts "{key}" if its version is {version:d}')
def step_put(context, key, version):
    context.result = run_in_reactor(lambda: context.store.put(key, VALUE, version))


@when('the client puts {size:d} bytes in "{key}"')
def step_put_large(context, size, key):
    context.result = run_in_reactor(lambda: context.store.put(key, "x" * size, 0))


@when('the client gets "{key}"')
def step_get(context, key):
    context.result = run_in_reactor(lambda: context.store.get(key))


@when('the client gets "{key}" {times:d} times')
def step_get_repeatedly(context, key, times):
    for _ in range(times):
        step_get(context, key)


@when('the client lists "{prefix}" without values')
def step_list(context, prefix):
    context.result = run_in_reactor(lambda: context.store.list(prefix, values=False))


@when('the client watches "{prefix}" for {wait_ms:d} ms')
def step_watch(context, prefix, wait_ms):
    context.result = run_in_reactor(lambda: context.store.watch(prefix, 0, wait_ms))


@when('the client watches "{prefix}" for {wait_ms:d} ms while "{key}" is put')
def step_watch_put(context, prefix, wait_ms, key):
    results = []
    run_in_reactor(lambda: _collect(context.store.watch(prefix, 0, wait_ms), results))
    counters = context.platform.counters
    wait_until(lambda: counters.open_watches == 1)
    run_in_reactor(lambda: context.store.put(key, VALUE, 0))
    wait_until(lambda: results)
    context.result = results[0]
    assert counters.open_watches == 0, counters.to_json()


def _collect(deferred, results):
    deferred.addCallback(results.append)


@when("the client lists the VMs")
def step_list_vms(context):
    context.result = run_in_reactor(lambda: context.store.list_vms())


@when("{duration_ms:d} ms pass for the platform")
def step_wait(context, duration_ms):
    time.sleep(duration_ms / 1000)


@then("the store call succeeds with {version:d}")
def step_succeeds(context, version):
    assert context.result.is_ok(), context.result
    assert context.result.ok == version, context.result


@then('the store call fails as "{kind}"')
def step_fails(context, kind):
    assert context.result.is_error(), context.result
    assert context.result.error.kind.value == kind, context.result


@then('the store call fails as "{kind}" at version {version:d}')
def step_fails_at(context, kind, version):
    step_fails(context, kind)
    assert context.result.error.version == version, context.result


@then("the store call gives the object that was put")
def step_object(context):
    found = context.result.ok
    assert (found.key, found.version, found.value) == ("services/bins", 1, VALUE)


@then('the store call lists "{key}" without a value')
def step_lists_without_value(context, key):
    assert [(o.key, o.value) for o in context.result.ok.objects] == [(key, None)]


@then('the store call lists "{key}" with its value')
def step_lists_with_value(context, key):
    assert [(o.key, o.value) for o in context.result.ok.objects] == [(key, VALUE)]


@then("the store call lists nothing")
def step_lists_nothing(context):
    assert context.result.ok.objects == []


@then('the store call gives the VMs "{names}"')
def step_gives_vms(context, names):
    assert [entry.vm for entry in context.result.ok.vms] == names.split(",")


@then("the platform has {count:d} objects")
def step_object_count(context, count):
    found = context.platform.objects.list("")["objects"]
    assert len(found) == count, found


@then("the platform has {count:d} object after {duration_ms:d} ms")
def step_object_count_later(context, count, duration_ms):
    step_wait(context, duration_ms)
    step_object_count(context, count)


@then("the platform has seen {count:d} connection")
@then("the platform has seen {count:d} connections")
def step_connections(context, count):
    assert context.platform.counters.connections == count


@when("the platform process is started with the fault {fault}")
def step_process(context, fault):
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.standins.platform"],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.terminate)
    context.add_cleanup(process.stdout.close)
    address = process.stdout.readline().split()[-1]
    context.process = http.client.HTTPConnection(address, timeout=10)
    context.add_cleanup(context.process.close)
    faults = json.dumps({"faults": [json.loads(fault)]})
    assert call_process(context, "PUT", "/admin/faults", faults)[0] == 200


def call_process(context, method, path, body=None):
    context.process.request(method, path, body)
    response = context.process.getresponse()
    return response.status, json.loads(response.read())


@then("its objects answer {status:d}")
def step_process_status(context, status):
    assert call_process(context, "GET", "/v1/objects/fleet")[0] == status


@then("its counters report {count:d} call")
def step_process_counters(context, count):
    counters = call_process(context, "GET", "/admin/counters")[1]
    assert counters["calls"] == count, counters
