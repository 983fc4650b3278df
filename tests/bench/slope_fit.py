"""Measured points, the line fitted to them, and the table of all lines."""

import gc
import math
import time
import tracemalloc

from hemlockspoke.registry import Registry

# Other processes share the machine; the lowest of several runs is least disturbed.
REPEATS = 5
# Runs shorter than this are repeated in one timing, so that the resolution of the
# processor clock is negligible.
MIN_TIMING_S = 0.01
NS_PER_S = 1_000_000_000

measurements = Registry("measurement")


class Line:
    """Least-squares line through points ``(size, cost)``.

    ``residual_ratio`` is the root mean square of the residuals over the largest
    cost.

    >>> line = Line([(1, 3.0), (2, 5.0), (3, 7.0)])
    >>> round(line.slope, 6), round(line.intercept, 6), round(line.residual_ratio, 6)
    (2.0, 1.0, 0.0)
    """

    __slots__ = ("intercept", "points", "residual_ratio", "slope")

    def __init__(self, points):
        self.points = list(points)
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        x_squares = sum((x - mean_x) ** 2 for x, _ in self.points)
        xy_products = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        self.slope = xy_products / x_squares
        self.intercept = mean_y - self.slope * mean_x
        squares = sum(
            (y - self.intercept - self.slope * x) ** 2 for x, y in self.points
        )
        largest = max(abs(y) for _, y in self.points) or 1.0
        self.residual_ratio = math.sqrt(squares / count) / largest


class SlopeRow:
    """One row of the table: a cost as a linear function of a size.

    ``unit`` is the unit of the cost and ``size`` names the items counted.
    """

    __slots__ = ("line", "name", "size", "unit")

    def __init__(self, name, unit, size, points):
        self.name = name
        self.unit = unit
        self.size = size
        self.line = Line(points)

    def cells(self):
        """Return the cells of the row as text."""
        line = self.line
        points = " ".join(f"{x:g}:{format_number(y)}" for x, y in line.points)
        return [
            self.name,
            f"{self.unit} per {self.size}",
            format_number(line.slope),
            format_number(line.intercept),
            f"{line.residual_ratio * 100:.1f}%",
            points,
        ]


class FigureRow:
    """One row without a size: a name, a value and its unit."""

    __slots__ = ("name", "unit", "value")

    def __init__(self, name, unit, value):
        self.name = name
        self.unit = unit
        self.value = value

    def cells(self):
        """Return the cells of the row as text."""
        return [self.name, self.unit, format_number(self.value), "", "", ""]


HEADINGS = ["measurement", "unit", "slope", "at size 0", "residual", "size:cost"]


def format_number(value):
    """Return a number with three significant digits.

    >>> format_number(1234.5), format_number(0.012345)
    ('1,234', '0.0123')
    """
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(rows):
    """Return rows as plain text in columns."""
    cells = [HEADINGS, *(row.cells() for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(HEADINGS))]
    lines = []
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def cpu_us(function, repeats=REPEATS):
    """Return the processor time of one call in us, the lowest of several timings."""
    function()
    calls = 1
    lowest = float("inf")
    gc.collect()
    gc.disable()
    try:
        while True:
            spent_s = _timing_s(function, calls)
            if spent_s >= MIN_TIMING_S or calls >= 4096:
                break
            calls *= 4
        for _ in range(repeats):
            lowest = min(lowest, _timing_s(function, calls) / calls)
    finally:
        gc.enable()
    return lowest * 1e6


def _timing_s(function, calls):
    start_ns = time.process_time_ns()
    for _ in range(calls):
        function()
    return (time.process_time_ns() - start_ns) / NS_PER_S


def cpu_once_us(prepare, function, repeats=REPEATS):
    """Return the lowest processor time in us of calls that need a fresh state.

    ``function`` is called with what ``prepare`` returns.
    """
    lowest = float("inf")
    for _ in range(repeats):
        state = prepare()
        gc.collect()
        gc.disable()
        start_ns = time.process_time_ns()
        function(state)
        lowest = min(lowest, time.process_time_ns() - start_ns)
        gc.enable()
    return lowest / 1e3


def memory_bytes(build):
    """Return the bytes that the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def points_over(sizes, measure):
    """Return the points ``(size, measure(size))``."""
    return [(size, measure(size)) for size in sizes]
