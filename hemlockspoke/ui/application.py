"""The typer application with all its command groups."""

import typer

from hemlockspoke.ui import (
    accounts_command,
    audit_command,
    caller_commands,
    domain_commands,
    explain_command,
    rollouts_command,
    service_commands,
    settings_commands,
    status_command,
    vm_commands,
)
from hemlockspoke.ui.exits import EXIT_CODE_HELP

application = typer.Typer(
    name="hemlockspoke",
    help="Operates hemlockspoke, a query tier over sharded upstreams.",
    epilog=EXIT_CODE_HELP,
    no_args_is_help=True,
    # Tracebacks with local variables could print data of callers.
    pretty_exceptions_enable=False,
)
application.add_typer(settings_commands.app, name="settings")
application.add_typer(service_commands.app, name="service")
application.add_typer(domain_commands.app, name="domain")
application.add_typer(vm_commands.app, name="vm")
status_command.register(application)
audit_command.register(application)
caller_commands.register(application)
explain_command.register(application)
accounts_command.register(application)
rollouts_command.register(application)
