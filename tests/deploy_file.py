"""Starts the daemon as the deploy file tells the platform to."""

import os
import sys
import sysconfig
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def run_command(root=ROOT):
    """Return the words of the ``run`` line, with the interpreter of the tests."""
    text = (Path(root) / "deploy" / "system.toml").read_text()
    program, *arguments = tomllib.loads(text)["roles"]["edge"]["run"].split()
    assert program == "python3", program
    return [sys.executable, *arguments]


def run_environment(settings, modules=None):
    """Return the variables of a daemon.

    The platform puts the folder of the installed libraries on Python's path; here that
    is the folder of the tests' environment, unless ``modules`` is given.
    """
    return {
        "HEMLOCKSPOKE_SETTINGS": str(settings),
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(modules or sysconfig.get_path("purelib")),
    }
