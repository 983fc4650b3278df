"""Commands that take VMs and servers out of service and back."""

from typing import Annotated

import typer

from hemlockspoke.config.audit import VmEdit
from hemlockspoke.ui.changes import change
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson, Force, Platform, Who, Why
from hemlockspoke.ui.output import print_table, show
from hemlockspoke.ui.store_access import StoreReader
from hemlockspoke.ui.subcommand import group, subcommand

app = group("VMs and servers, out of service and in service.")

VmName = Annotated[str, typer.Argument(metavar="VM", help="VM or server name.")]
COLUMNS = ("VM", "kind", "service", "failure domain", "state", "listed as")


def vms(reader):
    """Return the VMs of daemons and the servers, each with its state."""
    fleet = reader.fleet()
    listed = reader.vms()
    entries = [_daemon_entry(item, listed) for item in reader.registrations()]
    for document in reader.documents():
        entries += [
            _server_entry(s, document.service) for s in document.servers.values()
        ]
    known = {item["vm"] for item in entries}
    entries += [_unknown_entry(name) for name in sorted(fleet.vms_out - known)]
    for item in entries:
        item["out"] = fleet.vm_out(item["vm"])
        item["failure_domain_out"] = fleet.domain_out(item["failure_domain"])
    return entries


def _daemon_entry(registration, listed):
    state = listed[registration.vm].state if registration.vm in listed else "missing"
    domain = registration.failure_domain
    return _entry(registration.vm, "daemon", domain, listed_as=state)


def _server_entry(server, service):
    return _entry(server.name, "server", server.failure_domain, service=service)


def _unknown_entry(name):
    return _entry(name, "unknown", "")


def _entry(vm, kind, failure_domain, service=None, listed_as=None):
    return {
        "vm": vm,
        "kind": kind,
        "service": service,
        "failure_domain": failure_domain,
        "listed_as": listed_as,
    }


@subcommand(app, "list", "hemlockspoke vm list --json")
def list_vms(platform: Platform, as_json: AsJson = False):
    """List the daemons' VMs and the servers, and which of them are out."""
    show(as_json, vms(StoreReader.from_address(platform)), _print_vms)


def _print_vms(entries):
    rows = [
        (
            item["vm"],
            item["kind"],
            item["service"] or "-",
            item["failure_domain"],
            _state(item),
            item["listed_as"] or "-",
        )
        for item in entries
    ]
    print_table(COLUMNS, rows)


def _state(item):
    if item["out"]:
        return "out"
    return "failure domain out" if item["failure_domain_out"] else "in"


@subcommand(app, "out", 'hemlockspoke vm out rp-00-a --why "disk errors"')
def take_out(
    name: VmName,
    platform: Platform,
    why: Why,
    who: Who,
    force: Force = False,
    as_json: AsJson = False,
):
    """Take a VM or server out of service; after 3 seconds it gets no new work."""
    reader = StoreReader.from_address(platform)
    if not force:
        _refuse_unknown(reader, name)
    change(reader, VmEdit(name, True), who=who, why=why, as_json=as_json)


@subcommand(app, "in", 'hemlockspoke vm in rp-00-a --why "replaced"')
def take_in(
    name: VmName, platform: Platform, why: Why, who: Who, as_json: AsJson = False
):
    """Take a VM or server back into service."""
    reader = StoreReader.from_address(platform)
    change(reader, VmEdit(name, False), who=who, why=why, as_json=as_json)


def _refuse_unknown(reader, name):
    if not any(item["vm"] == name for item in vms(reader)):
        text = f"no VM or server {name}; see `hemlockspoke vm list`; or use --force"
        raise CommandFailed(ExitCode.BAD_INPUT, text)
