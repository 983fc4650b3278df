"""Process whose reactor waits without end while another thread takes a signal.

As with a signal that arrives just before the wait, nothing interrupts the reactor.
"""

import signal
import threading
import time

from twisted.internet import reactor

from hemlockspoke.adapters.signals import run_with_signals

# Time for the reactor to begin its wait.
BEFORE_SIGNAL_S = 0.5


def take_signal():
    """Deliver SIGTERM to this thread; its handler runs in the main thread."""
    time.sleep(BEFORE_SIGNAL_S)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    thread = threading.Thread(target=take_signal, daemon=True)
    reactor.callWhenRunning(thread.start)
    run_with_signals(reactor)
