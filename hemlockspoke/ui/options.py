"""Options that several commands share."""

import getpass
from typing import Annotated

import typer

from hemlockspoke.address import Address


def parse_address(text):
    """Return the ``Address`` of an option."""
    try:
        return text if isinstance(text, Address) else Address.parse(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error


def login_user():
    """Return the name of the login user, empty if there is none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):
        return ""


Platform = Annotated[
    Address,
    typer.Option(
        "--platform",
        envvar="HEMLOCKSPOKE_PLATFORM",
        metavar="HOST:PORT",
        parser=parse_address,
        help="Address of the platform's object API.",
    ),
]
Entry = Annotated[
    Address,
    typer.Option(
        "--entry",
        envvar="HEMLOCKSPOKE_ENTRY",
        metavar="HOST:PORT",
        parser=parse_address,
        help="Caller address of a daemon or of the balancer.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Who = Annotated[
    str,
    typer.Option(
        "--who",
        default_factory=login_user,
        show_default="login user",
        help="Who makes the change.",
    ),
]
Why = Annotated[
    str, typer.Option("--why", help="Reason for the change, for the audit.")
]
Force = Annotated[
    bool, typer.Option("--force", help="Accept a name that is not known yet.")
]
