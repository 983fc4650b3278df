"""Output of the command line: tables, text and JSON."""

import json
import sys
from datetime import UTC, datetime

# Table width if standard output is not a terminal, so that rows are not wrapped.
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
    # Imported here, since JSON output does not need tables.
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = None if sys.stdout.isatty() else PIPED_WIDTH
    # Cells may hold external names that rich would interpret as markup.
    Console(width=width, markup=False, emoji=False, highlight=False).print(table)


def printable(text):
    r"""Return a text with escapes in place of what may control a terminal.

    >>> print(printable("a\x1b[2J"))
    a\x1b[2J
    """
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode()
        for character in text
    )


def truncate_diff(diff):
    """Return a diff truncated to ``MAX_DIFF_LINES``."""
    lines = diff.splitlines()
    omitted = len(lines) - MAX_DIFF_LINES
    if omitted <= 0:
        return diff
    return "\n".join([*lines[:MAX_DIFF_LINES], f"... and {omitted} more lines"])


def format_time(when_ms):
    """Return the date and time in UTC of a Unix time in ms.

    >>> format_time(0)
    '1970-01-01 00:00:00Z'
    """
    try:
        when = datetime.fromtimestamp(when_ms / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return str(when_ms)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def format_age(age_ms):
    """Return an age in seconds, or a dash if it is unknown."""
    return "-" if not isinstance(age_ms, int | float) else f"{age_ms / 1000:.1f} s"
