"""Runs the Twisted reactor in a background thread of the test process."""

import threading
import time

from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

_thread = None


def start_reactor():
    """Start the reactor thread unless it is running already."""
    global _thread
    if _thread is None:
        _thread = threading.Thread(
            target=reactor.run, args=(False,), name="reactor", daemon=True
        )
        _thread.start()


def run_in_reactor(function, *args):
    """Run ``function`` in the reactor thread and return its result.

    If it returns a Deferred, wait for the Deferred's result.
    """
    start_reactor()
    return blockingCallFromThread(reactor, function, *args)


def wait_until(condition, timeout_s=5.0):
    """Poll ``condition`` in the reactor thread and return its first true value.

    Raises ``AssertionError`` after ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = run_in_reactor(condition)
        if value:
            return value
        time.sleep(0.005)
    raise AssertionError(f"condition not met within {timeout_s} s")
