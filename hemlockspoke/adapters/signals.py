"""Runs a reactor whose wait for events ends at each signal."""

import os
import signal

READ_BYTES = 4096


class SignalPipe:
    """A pipe into which the interpreter writes a byte at each signal.

    A signal that arrives just before the reactor waits for events does not interrupt
    the wait. Without the byte its handler runs only after the next event.
    """

    __slots__ = ("_read_end", "_write_end")

    def __init__(self):
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)

    def install(self):
        """Have the interpreter write to the pipe; only the main thread may do so."""
        # The bytes in a full pipe wake the reactor as well.
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)

    def fileno(self):
        """Return the descriptor that the reactor waits for."""
        return self._read_end

    def logPrefix(self):
        """Return the name in log lines of the reactor."""
        return type(self).__name__

    def doRead(self):
        """Discard the bytes; the interpreter runs the handlers itself."""
        os.read(self._read_end, READ_BYTES)

    def connectionLost(self, reason):
        """Stop the writes and close the pipe."""
        signal.set_wakeup_fd(-1)
        os.close(self._read_end)
        os.close(self._write_end)


def run_with_signals(reactor):
    """Run the reactor; handlers of signals run at once, as the caller has set them."""
    pipe = SignalPipe()
    pipe.install()
    reactor.addReader(pipe)
    reactor.run(installSignalHandlers=False)
