"""Runs the measured scenarios and prints a table; writes out/bench.csv."""

import argparse
import csv
import sys
from pathlib import Path

from tests.bench.scenarios import DEPLOYMENTS, scenarios

CSV_FILE = Path("out/bench.csv")
FIELDS = ("scenario", "deployment", "figure", "target", "measured", "holds")


def main(arguments):
    """Run the named scenarios, or all; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=scenarios.names())
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS))
    options = parser.parse_args(arguments)
    chosen = [options.deployment] if options.deployment else sorted(DEPLOYMENTS)
    rows = []
    for name in options.names or scenarios.names():
        for deployment in chosen:
            for row in scenarios.get(name)(DEPLOYMENTS[deployment]):
                rows.append(row)
                print_row(row)
    write_csv(rows)
    missed = sum(not row.holds for row in rows)
    print(f"{len(rows) - missed} of {len(rows)} targets met; table in {CSV_FILE}")
    return 1 if missed else 0


def print_row(row):
    """Print one row of the table."""
    verdict = "met   " if row.holds else "MISSED"
    label = f"{row.scenario:14} {row.deployment:11}"
    print(f"{verdict} {label} {row.figure} ({row.target}): {row.measured}", flush=True)


def write_csv(rows):
    """Write the rows for later comparison."""
    CSV_FILE.parent.mkdir(exist_ok=True)
    with CSV_FILE.open("w", newline="", encoding="utf-8") as handle:
        writer = csv.writer(handle)
        writer.writerow(FIELDS)
        for row in rows:
            writer.writerow([getattr(row, field) for field in FIELDS])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
