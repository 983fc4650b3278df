"""The command that lists audit entries of all objects."""

from typing import Annotated

import typer

from hemlockspoke.config.fleet import FLEET_KEY
from hemlockspoke.ui.options import AsJson, Platform
from hemlockspoke.ui.output import format_time, print_table, show
from hemlockspoke.ui.store_access import StoreReader
from hemlockspoke.ui.subcommand import subcommand

DEFAULT_LIMIT = 50
COLUMNS = ("when", "who", "key", "base version", "action", "why", "lines")

Limit = Annotated[int, typer.Option("--limit", min=1, help="Newest entries to list.")]
Diffs = Annotated[bool, typer.Option("--diffs", help="Print each change in full.")]


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke audit --limit 10 --json"
    subcommand(app, "audit", example)(list_audit)


def list_audit(
    platform: Platform,
    limit: Limit = DEFAULT_LIMIT,
    diffs: Diffs = False,
    as_json: AsJson = False,
):
    """List who changed what and why, oldest first, over all objects."""
    reader = StoreReader.from_address(platform)
    fleet = reader.find(FLEET_KEY)
    audited_objects = [*reader.services(), *([fleet] if fleet else [])]
    entries = [
        {"key": stored.key, **entry.to_json()}
        for stored in audited_objects
        for entry in reader.history(stored)
    ]
    entries.sort(key=lambda entry: (entry["when_ms"], entry["base_version"]))
    show_entries(entries[-limit:], as_json, diffs)


def show_entries(entries, as_json, with_diffs):
    """Print audit entries as JSON, as a table, or each with its full diff."""
    show(as_json, entries, _print_diffs if with_diffs else _print_table)


def _print_table(entries):
    print_table(COLUMNS, [_row(entry) for entry in entries])


def _row(entry):
    when = format_time(entry["when_ms"])
    columns = ("who", "key", "base_version", "action", "why")
    return (when, *(entry[name] for name in columns), _line_counts(entry["diff"]))


def _line_counts(diff):
    """Return how many lines a diff adds and removes."""
    lines = [line for line in diff.splitlines() if line[:3] not in ("+++", "---")]
    added = sum(line.startswith("+") for line in lines)
    return f"+{added} -{sum(line.startswith('-') for line in lines)}"


def _print_diffs(entries):
    for entry in entries:
        when = format_time(entry["when_ms"])
        print(f"{when} {entry['who']}: {entry['action']} of {entry['key']} ", end="")
        print(f"at {entry['base_version']} ({entry['why']})")
        print(entry["diff"])
