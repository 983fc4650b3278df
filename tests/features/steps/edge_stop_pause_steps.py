"""Steps on planned stops of a daemon that gets no processor time for a while."""

import threading
import time

from behave import then, when
from twisted.internet import reactor

from tests.features.steps.edge_stop_steps import TimedRequest, stop_in_progress


@when(
    'an order and a lookup are sent, and "{vm}" is told to stop while busy for {n:d} ms'
)
def step_stop_busy(context, vm, n):
    stop_in_progress(context, busy_ms=n)


@when(
    'an order and a lookup are sent, and the stop of "{vm}" is held up '
    "from {begin:d} to {end:d} ms"
)
def step_stop_held_up(context, vm, begin, end):
    stop_in_progress(context, busy_ms=end - begin, busy_after_ms=begin)


@when('an order and a lookup are sent, and "{vm}" sees its signal {delay:d} ms late')
def step_stop_seen_late(context, vm, delay):
    def pause_and_terminate():
        time.sleep(delay / 1000)
        context.daemon.terminate()

    stop_in_progress(
        context, terminate=lambda: reactor.callFromThread(pause_and_terminate)
    )


@when(
    'an order and a lookup are sent, and "{vm}" is busy while the servers answer, '
    "from {begin:d} to {end:d} ms of its stop"
)
def step_stop_busy_while_answered(context, vm, begin, end):
    timer = threading.Timer(begin / 1000, answer_and_block, args=(context, end - begin))

    def terminate():
        timer.start()
        context.daemon.terminate()

    stop_in_progress(context, terminate=terminate)


def answer_and_block(context, busy_ms):
    """Have all servers answer, and keep the daemon busy before it reads the answers."""

    def run():
        for server in context.world.servers.values():
            for channel in server.site.channels:
                send_answer_now(server, channel)
        time.sleep(busy_ms / 1000)

    # Calls from threads run before due timers, which run before the next reads.
    reactor.callFromThread(run)


@when(
    "{method} {path} is sent with {budget_ms:d} ms, and the daemon is busy while the "
    "servers answer, from {begin:d} to {end:d} ms after that"
)
def step_busy_at_timeout(context, method, path, budget_ms, begin, end):
    request = TimedRequest(context.address, "late", method, path, budget_ms)
    time.sleep(begin / 1000)
    answer_and_block(context, end - begin)
    request.join()
    context.request = request


@then("the request gets status {status:d}")
def step_status(context, status):
    assert context.request.status == status, context.request.status


def send_answer_now(server, channel):
    """Send the answer to the request of a server's connection, if it has one."""
    request = channel._current
    if request is not None:
        request.respond(200, server.run(request), server.body)
        channel.transport.doWrite()
