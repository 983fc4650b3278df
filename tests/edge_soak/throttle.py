"""Limits the processor time of daemons as a platform with a small share of a core."""

import signal
import threading
import time

PERIOD_S = 0.1


class Throttle:
    """Suspends daemons for part of each tenth of a second.

    A daemon that is busy all the time gets ``share`` of a core; unlike on a platform
    with an allotment, one that is mostly idle is suspended as well.
    """

    def __init__(self, daemons, share):
        self._daemons = daemons
        self._share = share
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start limiting."""
        self._thread.start()

    def stop(self):
        """Stop limiting; all daemons run on."""
        self._stopped.set()
        self._thread.join(timeout=30)

    def _run(self):
        while not self._stopped.is_set():
            time.sleep(PERIOD_S * self._share)
            for daemon in self._daemons:
                daemon.signal(signal.SIGSTOP)
            time.sleep(PERIOD_S * (1.0 - self._share))
            for daemon in self._daemons:
                daemon.signal(signal.SIGCONT)
