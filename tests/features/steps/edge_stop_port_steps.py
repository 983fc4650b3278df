"""Steps on the closing of a stopping daemon's port."""

import errno
import select
import socket
import time
from unittest import mock

from behave import given, then, when

from hemlockspoke.adapters import listening_port
from tests.features.steps.edge_stop_steps import encode
from tests.reactor_thread import run_in_reactor, wait_until


@when("a caller connects between the last accept of its port and the close")
def step_connect_at_close(context):
    caller = context.caller = socket.socket()
    context.add_cleanup(caller.close)
    caller.setblocking(False)

    def stop_accepting():
        port = context.daemon._caller_port
        close = port.connectionLost

        def connect_and_close(reason):
            caller.connect_ex(context.address)
            context.established = is_established(caller)
            close(reason)

        port.connectionLost = connect_and_close
        context.daemon._stop_accepting()

    run_in_reactor(stop_accepting)
    wait_until(lambda: hasattr(context, "established"))


def is_established(connection):
    """Return whether the other end has completed the connection."""
    try:
        connection.getpeername()
    except OSError:
        return False
    return True


@then("its connection is never established, and is refused within {limit_ms:d} ms")
def step_refused(context, limit_ms):
    assert not context.established
    _, writable, _ = select.select([], [context.caller], [], limit_ms / 1000)
    assert writable
    error = context.caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    assert error == errno.ECONNREFUSED, errno.errorcode.get(error, error)


@when("a caller connects before the close of its port, and sends a request later")
def step_connect_before_close(context):
    caller = socket.socket()
    context.connections = [caller]
    caller.settimeout(5)
    # Its packets pass the filter of the port, as those of a handshake in progress do.
    caller.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, listening_port.MAX_TTL)

    def stop_and_connect():
        context.daemon._stop_accepting()
        caller.connect(context.address)

    run_in_reactor(stop_and_connect)
    time.sleep(0.1)
    caller.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 64)
    caller.sendall(encode("later"))


@given("a system that cannot drop opening packets")
def step_no_option(context):
    unknown_option = mock.patch.object(listening_port, "IP_MINTTL", 9999)
    unknown_option.start()
    context.add_cleanup(unknown_option.stop)


@then("the port refuses connections")
def step_port_refuses(context):
    try:
        socket.create_connection(context.address, timeout=5).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the port is still open")
