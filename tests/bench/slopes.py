"""Measures how the costs of a daemon grow with the size of its deployment.

Run as ``python -m tests.bench.slopes``, or with the names of some measurements.
Each row is a least-squares line through three or more sizes. Times are processor
times, the lowest of several timings, so that other load on the machine has
little effect. ``docs/CAPACITY.md`` is calculated from the table.
"""

import logging
import platform
import sys
import time

from tests.bench import (  # noqa: F401  registers the measurements
    slope_configuration,
    slope_members,
    slope_memory,
    slope_orders,
    slope_queries,
    slope_tail,
    slope_upstream,
    slope_wire,
)
from tests.bench.slope_fit import measurements, table


def main(names):
    """Run the named measurements, or all, and print the table."""
    logging.disable(logging.ERROR)
    start_s = time.monotonic()
    rows = []
    for name in names or measurements.names():
        rows.extend(measurements.get(name)())
        print(f"measured: {name}", file=sys.stderr, flush=True)
    print(f"Python {platform.python_version()}, processor times in us")
    print(table(rows))
    print(f"took {time.monotonic() - start_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
