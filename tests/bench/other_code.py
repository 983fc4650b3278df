"""Runs a measurement on the code of this checkout and, beside it, of another one."""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path


def compare(script, description, measure, print_table):
    """Run a script for both checkouts and print a table of what they measure.

    ``measure()`` returns the figures of the code that is imported, as JSON values.
    ``print_table(results)`` takes them by the name of the code, with that of
    ``--other`` first.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--other", help="checkout of the code to compare with")
    parser.add_argument("--measure", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.measure:
        print(json.dumps(measure()))
        return
    codes = {"this": Path.cwd()}
    if options.other:
        codes = {"other": Path(options.other).resolve(), **codes}
    print_table({name: run(script, path) for name, path in codes.items()})


def run(script, path):
    """Return the figures of the code of a checkout."""
    # As a script, since the other checkout need not have its module.
    command = [sys.executable, script, "--measure"]
    environment = dict(os.environ, PYTHONPATH=str(path))
    output = subprocess.run(
        command, env=environment, check=True, capture_output=True, text=True
    ).stdout
    return json.loads(output)
