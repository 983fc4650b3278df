"""What the command line prints: tables, text and JSON."""

import json
import sys
from datetime import UTC, datetime

# Width of tables when standard output is no terminal, so that lines stay whole.
PIPED_WIDTH = 200
MAX_DIFF_LINES = 40


def print_json(value):
    """Print a JSON value to standard output."""
    print(json.dumps(value, indent=2))


def print_error(text):
    """Print an error to standard error."""
    print(text, file=sys.stderr)


def show(as_json, value, render):
    """Print a value as JSON, or by ``render(value)``."""
    if as_json:
        print_json(value)
    else:
        render(value)


def print_table(columns, rows):
    """Print rows of text under their column names."""
    # Imported here, since most commands with --json need no tables.
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = None if sys.stdout.isatty() else PIPED_WIDTH
    # Names from outside may hold what rich takes for markup.
    Console(width=width, markup=False, emoji=False, highlight=False).print(table)


def shorten_diff(diff):
    """Return a diff without the lines that a message has no room for."""
    lines = diff.splitlines()
    left_out = len(lines) - MAX_DIFF_LINES
    if left_out <= 0:
        return diff
    return "\n".join([*lines[:MAX_DIFF_LINES], f"... and {left_out} more lines"])


def format_time(when_ms):
    """Return a time of day in UTC.

    >>> format_time(0)
    '1970-01-01 00:00:00Z'
    """
    try:
        when = datetime.fromtimestamp(when_ms / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return str(when_ms)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def format_age(age_ms):
    """Return an age in seconds, or a dash if it is not known."""
    return "-" if not isinstance(age_ms, int | float) else f"{age_ms / 1000:.1f} s"
