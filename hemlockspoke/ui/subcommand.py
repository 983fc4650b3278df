"""Registration of subcommands with their help, example and exit codes."""

import functools

import typer

from hemlockspoke.ui.exits import EXIT_CODE_HELP, CommandFailed
from hemlockspoke.ui.output import print_error, print_json


def group(help_text):
    """Return a typer application for a group of subcommands."""
    return typer.Typer(help=help_text, no_args_is_help=True)


def subcommand(app, name, example):
    """Register a function as a subcommand; its docstring is its help.

    A ``CommandFailed`` ends the command with its exit code. With ``--json`` it is
    printed to standard output as JSON, else to standard error as text.
    """

    def decorate(function):
        @functools.wraps(function)
        def run(**options):
            try:
                function(**options)
            except CommandFailed as error:
                _report(error, options.get("as_json", False))
                raise typer.Exit(int(error.code)) from error

        epilog = f"Example: {example}\n\n{EXIT_CODE_HELP}"
        app.command(name, epilog=epilog)(run)
        return function

    return decorate


def _report(error, as_json):
    if as_json:
        print_json(error.to_json())
    else:
        print_error(str(error))
