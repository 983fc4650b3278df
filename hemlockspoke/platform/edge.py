"""Entry point of the daemon that runs on the platform."""

# Built into the interpreter, while `signal` loads further modules, some from files.
import _signal
import gc
import sys


def main():
    """Run the daemon until it is stopped.

    SIGHUP ends a process that has no handler for it. It is ignored before the modules
    of the daemon are imported, which takes some tenths of a second; the settings are
    read after that.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    # Collections during the imports free nothing and take a tenth of the start. Later
    # ones leave out the objects of the modules.
    gc.disable()
    if __spec__ is None:
        # Started by its path, so the first entry is the folder of this file.
        sys.path[0] = repository_root()
    from hemlockspoke.platform.program import run

    gc.freeze()
    gc.enable()
    run()


def repository_root():
    """Return the folder that contains the package ``hemlockspoke``."""
    from os.path import abspath, dirname

    return dirname(dirname(dirname(abspath(__file__))))


if __name__ == "__main__":
    main()
