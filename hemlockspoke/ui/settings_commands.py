"""Commands on the settings of a daemon."""

from typing import Annotated

import typer

from hemlockspoke.config.settings import Settings
from hemlockspoke.ui.exits import CommandFailed
from hemlockspoke.ui.options import AsJson
from hemlockspoke.ui.output import show
from hemlockspoke.ui.subcommand import group, subcommand

app = group("Settings of a daemon.")

SettingsFile = Annotated[str, typer.Argument(metavar="FILE", help="Settings file.")]


@subcommand(app, "check", "hemlockspoke settings check examples/settings.yaml")
def check(file: SettingsFile, as_json: AsJson = False):
    """Check a settings file and list all its mistakes."""
    result = Settings.from_file(file)
    if result.is_error():
        raise CommandFailed.from_findings(result.error)
    value = {"vm": result.ok.vm, "accepted": True}
    show(
        as_json, value, lambda _: print(f"{file}: settings of {result.ok.vm} are valid")
    )
