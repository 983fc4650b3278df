"""Commands on service documents."""

from pathlib import Path
from typing import Annotated

import typer

from hemlockspoke.config.audit import (
    ServiceApply,
    audit_entries,
    stored_text,
    text_diff,
)
from hemlockspoke.config.document_check import check_document
from hemlockspoke.config.fleet import SERVICE_PREFIX
from hemlockspoke.config.settings import unreadable_file_findings
from hemlockspoke.ui.audit_command import Diffs, show_entries
from hemlockspoke.ui.changes import change
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson, Platform, Who, Why
from hemlockspoke.ui.output import format_time, print_table, show
from hemlockspoke.ui.store_access import StoreReader
from hemlockspoke.ui.subcommand import group, subcommand

app = group("Service documents.")

DocumentFile = Annotated[str, typer.Argument(metavar="FILE", help="Service document.")]
ServiceName = Annotated[str, typer.Argument(metavar="SERVICE", help="Service name.")]
IfVersion = Annotated[
    int | None,
    typer.Option(
        "--if-version",
        min=0,
        help="Apply only if this version is stored (0: none). "
        "Default: the version that the command reads first.",
    ),
]
LIST_COLUMNS = ("service", "version", "owner", "indexes", "servers", "changed", "by")


def read_document(file):
    """Return the text of a document file; raises ``CommandFailed``."""
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailed.from_findings(
            unreadable_file_findings(file, error)
        ) from error


def find_service(reader, service):
    """Return the stored object of a service; raises ``CommandFailed``."""
    stored = reader.find(f"{SERVICE_PREFIX}{service}")
    if stored is None:
        raise CommandFailed(ExitCode.REFUSED, f"there is no service {service}")
    return stored


@subcommand(app, "list", "hemlockspoke service list --platform 10.9.0.1:7000")
def list_services(platform: Platform, as_json: AsJson = False):
    """List the services with version, size and last change."""
    services = StoreReader.from_address(platform).services()
    show(as_json, [_summary(stored) for stored in services], _print_services)


def _summary(stored):
    checked = check_document(stored_text(stored.value))
    document = checked.ok if checked.is_ok() else None
    entries = audit_entries(stored.value)
    return {
        "service": stored.key.removeprefix(SERVICE_PREFIX),
        "version": stored.version,
        "accepted": checked.is_ok(),
        "owner": document.owner if document else None,
        "indexes": len(document.indexes) if document else None,
        "servers": len(document.servers) if document else None,
        "changed_ms": entries[-1].when_ms if entries else None,
        "changed_by": entries[-1].who if entries else None,
    }


def _print_services(services):
    rows = [_service_row(service) for service in services]
    print_table(LIST_COLUMNS, rows)


def _service_row(service):
    if not service["accepted"]:
        return (service["service"], service["version"], "refused document", *4 * "-")
    changed_ms = service["changed_ms"]
    return (
        service["service"],
        service["version"],
        service["owner"],
        service["indexes"],
        service["servers"],
        "-" if changed_ms is None else format_time(changed_ms),
        service["changed_by"] or "-",
    )


@subcommand(app, "show", "hemlockspoke service show laurentide > laurentide.yaml")
def show_service(service: ServiceName, platform: Platform, as_json: AsJson = False):
    """Print the stored document of a service."""
    stored = find_service(StoreReader.from_address(platform), service)
    text = stored_text(stored.value)
    value = {"service": service, "version": stored.version, "text": text}
    show(as_json, value, lambda _: print(text, end=""))


@subcommand(app, "check", "hemlockspoke service check examples/laurentide.yaml")
def check_service(file: DocumentFile, as_json: AsJson = False):
    """Check a document file and list all its mistakes; needs no platform."""
    result = check_document(read_document(file), file)
    if result.is_error():
        raise CommandFailed.from_findings(result.error)
    service = result.ok.service
    value = {"service": service, "accepted": True}
    show(as_json, value, lambda _: print(f"{file}: document of {service} is valid"))


@subcommand(
    app, "apply", 'hemlockspoke service apply laurentide.yaml --why "two more shards"'
)
def apply_service(
    file: DocumentFile,
    platform: Platform,
    why: Why,
    who: Who,
    if_version: IfVersion = None,
    as_json: AsJson = False,
):
    """Check a document, store it with its audit entry and announce it."""
    text = read_document(file)
    checked = ServiceApply.from_text(text, file)
    if checked.is_ok():
        # Checked again for conflicts with the stored documents of other services.
        reader = StoreReader.from_address(platform)
        checked = ServiceApply.from_text(text, file, reader.documents())
    if checked.is_error():
        raise CommandFailed.from_findings(checked.error)
    options = {"who": who, "why": why, "as_json": as_json}
    change(reader, checked.ok, if_version=if_version, **options)


@subcommand(app, "diff", "hemlockspoke service diff laurentide.yaml")
def diff_service(file: DocumentFile, platform: Platform, as_json: AsJson = False):
    """Compare a document file with what is stored."""
    text = read_document(file)
    checked = check_document(text, file)
    if checked.is_error():
        raise CommandFailed.from_findings(checked.error)
    service = checked.ok.service
    stored = StoreReader.from_address(platform).find(f"{SERVICE_PREFIX}{service}")
    version = stored.version if stored else 0
    before = stored_text(stored.value) if stored else ""
    diff = text_diff(before, text, f"{service} at {version}", file)
    value = {"service": service, "version": version, "diff": diff}
    show(as_json, value, lambda _: print(diff or f"no difference at version {version}"))


@subcommand(app, "history", "hemlockspoke service history laurentide")
def service_history(
    service: ServiceName,
    platform: Platform,
    diffs: Diffs = False,
    as_json: AsJson = False,
):
    """List the changes of a service, oldest first, with archived ones."""
    reader = StoreReader.from_address(platform)
    stored = find_service(reader, service)
    entries = [{"key": stored.key, **e.to_json()} for e in reader.history(stored)]
    show_entries(entries, as_json, diffs)
