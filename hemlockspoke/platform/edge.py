"""Entry point of the daemon that runs on the platform."""

import gc
import signal


def main():
    """Run the daemon until it is stopped.

    SIGHUP ends a process that has no handler for it. It is ignored before the modules
    of the daemon are imported, which takes some tenths of a second; the settings are
    read after that.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Collections during the imports free nothing and take a tenth of the start. Later
    # ones leave out the objects of the modules.
    gc.disable()
    from hemlockspoke.platform.program import run

    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
