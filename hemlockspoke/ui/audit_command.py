"""The command that lists audit entries of all objects."""

from typing import Annotated

import typer

from hemlockspoke.fleet import FLEET_KEY
from hemlockspoke.ui.options import AsJson, Platform
from hemlockspoke.ui.output import format_time, print_table, show
from hemlockspoke.ui.store_access import StoreReader
from hemlockspoke.ui.subcommand import subcommand

DEFAULT_LIMIT = 50
COLUMNS = ("when", "who", "key", "base version", "action", "why", "diff")

Limit = Annotated[int, typer.Option("--limit", min=1, help="Newest entries to list.")]


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke audit --limit 10 --json"
    subcommand(app, "audit", example)(list_audit)


def list_audit(
    platform: Platform, limit: Limit = DEFAULT_LIMIT, as_json: AsJson = False
):
    """List who changed what and why, oldest first, over all objects."""
    reader = StoreReader.from_address(platform)
    fleet = reader.find(FLEET_KEY)
    audited = [*reader.services(), *([fleet] if fleet else [])]
    entries = [
        {"key": stored.key, **entry.to_json()}
        for stored in audited
        for entry in reader.history(stored)
    ]
    entries.sort(key=lambda entry: (entry["base_version"], entry["key"]))
    show(as_json, entries[-limit:], print_entries)


def print_entries(entries):
    """Print audit entries as a table."""
    print_table(COLUMNS, [_row(entry) for entry in entries])


def _row(entry):
    when = format_time(entry["when_ms"])
    names = ("who", "key", "base_version", "action", "why", "diff")
    return (when, *(entry[name] for name in names))
