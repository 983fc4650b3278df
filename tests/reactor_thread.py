"""Runs the reactor in one background thread of the test process."""

import threading
import time

from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

_thread = None


def start_reactor():
    """Start the reactor in its thread, once."""
    global _thread
    if _thread is None:
        _thread = threading.Thread(
            target=reactor.run, args=(False,), name="reactor", daemon=True
        )
        _thread.start()


def in_reactor(function, *args):
    """Run ``function`` in the reactor and wait for what it returns or fires with."""
    start_reactor()
    return blockingCallFromThread(reactor, function, *args)


def wait_until(condition, timeout_s=5.0):
    """Wait until ``condition``, called in the reactor, returns something true."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        found = in_reactor(condition)
        if found:
            return found
        time.sleep(0.005)
    raise AssertionError(f"not reached within {timeout_s} s")
