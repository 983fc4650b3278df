"""Commands that take failure domains out of service and back."""

from collections import Counter
from typing import Annotated

import typer

from hemlockspoke.config.audit import DomainEdit
from hemlockspoke.ui.changes import change
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson, Force, Platform, Who, Why
from hemlockspoke.ui.output import print_table, show
from hemlockspoke.ui.store_access import StoreReader
from hemlockspoke.ui.subcommand import group, subcommand

app = group("Failure domains, out of service and in service.")

DomainName = Annotated[str, typer.Argument(metavar="DOMAIN", help="Failure domain.")]
COLUMNS = ("failure domain", "state", "daemons", "servers")


def domains(reader):
    """Return each failure domain with its state and counts."""
    fleet = reader.fleet()
    daemons = Counter(item.failure_domain for item in reader.registrations())
    documents = reader.documents()
    servers = Counter(s.failure_domain for d in documents for s in d.servers.values())
    declared = {name for document in documents for name in document.failure_domains}
    names = {*declared, *daemons, *servers, *fleet.failure_domains_out}
    return [
        {
            "failure_domain": name,
            "out": fleet.domain_out(name),
            "daemons": daemons[name],
            "servers": servers[name],
        }
        for name in sorted(names)
    ]


@subcommand(app, "list", "hemlockspoke domain list")
def list_domains(platform: Platform, as_json: AsJson = False):
    """List the failure domains, their state, daemons and servers."""
    show(as_json, domains(StoreReader.from_address(platform)), _print_domains)


def _print_domains(entries):
    rows = [
        (d["failure_domain"], "out" if d["out"] else "in", d["daemons"], d["servers"])
        for d in entries
    ]
    print_table(COLUMNS, rows)


@subcommand(app, "out", 'hemlockspoke domain out mtl-a --why "power work"')
def take_out(
    name: DomainName,
    platform: Platform,
    why: Why,
    who: Who,
    force: Force = False,
    as_json: AsJson = False,
):
    """Take a failure domain out of service; after 3 seconds it gets no new work."""
    reader = StoreReader.from_address(platform)
    if not force:
        _refuse_unknown(reader, name)
    change(reader, DomainEdit(name, True), who=who, why=why, as_json=as_json)


@subcommand(app, "in", 'hemlockspoke domain in mtl-a --why "power work is done"')
def take_in(
    name: DomainName, platform: Platform, why: Why, who: Who, as_json: AsJson = False
):
    """Take a failure domain back into service."""
    reader = StoreReader.from_address(platform)
    change(reader, DomainEdit(name, False), who=who, why=why, as_json=as_json)


def _refuse_unknown(reader, name):
    known = [domain["failure_domain"] for domain in domains(reader)]
    if name not in known:
        text = f"no failure domain {name}; known are {', '.join(known)}; or use --force"
        raise CommandFailed(ExitCode.BAD_INPUT, text)
