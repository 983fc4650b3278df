"""The command that shows what each daemon has in force."""

from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.address import Address
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson, parse_address
from hemlockspoke.ui.output import format_age, print_table, show
from hemlockspoke.ui.store_access import Registration, StoreReader
from hemlockspoke.ui.subcommand import subcommand

DAEMON_TIMEOUT_MS = 2000
PARALLEL_CALLS = 16
HTTP_OK = 200
DAEMON_COLUMNS = ("VM", "failure domain", "ready", "store contact", "objects in force")

PlatformOrNone = Annotated[
    Address | None,
    typer.Option(
        "--platform",
        envvar="HEMLOCKSPOKE_PLATFORM",
        metavar="HOST:PORT",
        parser=parse_address,
        help="Address of the platform's object API, which knows all daemons.",
    ),
]
Operators = Annotated[
    list[str] | None,
    typer.Option(
        "--operator",
        metavar="HOST:PORT",
        help="Operator address of a daemon to ask; works while the store is down.",
    ),
]


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke status --platform 10.9.0.1:7000"
    subcommand(app, "status", example)(status)


def status(
    platform: PlatformOrNone = None,
    operator: Operators = None,
    as_json: AsJson = False,
):
    """Show the objects that each daemon has in force, with versions and ages."""
    stored, registrations = {}, []
    if operator:
        registrations = [_registration_at(text) for text in operator]
    elif platform:
        reader = StoreReader.from_address(platform)
        registrations = reader.registrations()
        stored = _stored_versions(reader)
    else:
        raise CommandFailed(ExitCode.BAD_INPUT, "--platform or --operator is needed")
    with ThreadPoolExecutor(PARALLEL_CALLS) as pool:
        daemons = list(pool.map(_fetch_daemon, registrations))
    value = {
        "stored": stored,
        "daemons": [_with_outdated_keys(d, stored) for d in daemons],
    }
    show(as_json, value, _print_status)


def _registration_at(text):
    try:
        Address.parse(text)
    except ValueError as error:
        raise CommandFailed(ExitCode.BAD_INPUT, str(error)) from error
    return Registration(text, 0, "", "", text)


def _stored_versions(reader):
    """Return the versions of the objects that operators change."""
    fleet = reader.find(FLEET_KEY)
    objects = [*reader.services(), *([fleet] if fleet else [])]
    return {item.key: item.version for item in objects}


def _fetch_daemon(registration):
    """Return the reported state of a daemon, or the error of a failed request."""
    daemon = {"vm": registration.vm, "failure_domain": registration.failure_domain}
    try:
        address = Address.parse(registration.operator_address)
        state = _fetch_json(address, "/v1/state")
        configuration = _fetch_json(address, "/v1/configuration")
    except (NoReply, ValueError) as error:
        return {**daemon, "error": str(error), "objects": {}, "rejected": {}}
    return {
        **daemon,
        "error": None,
        "ready": state.get("ready"),
        "store_contact_age_ms": state.get("store_contact_age_ms"),
        "objects": _dict_or_empty(configuration.get("objects")),
        "rejected": _dict_or_empty(configuration.get("rejected")),
    }


def _fetch_json(address, path):
    reply = exchange(address, "GET", path, timeout_ms=DAEMON_TIMEOUT_MS)
    if reply.status != HTTP_OK:
        raise NoReply(f"status {reply.status} of {path}", sent=True)
    return reply.fields()


def _dict_or_empty(value):
    return value if isinstance(value, dict) else {}


def _with_outdated_keys(daemon, stored):
    """Add the keys of the objects whose stored version a daemon does not have."""
    objects = daemon["objects"]
    behind = [
        key
        for key, version in sorted(stored.items())
        if _dict_or_empty(objects.get(key)).get("version") != version
    ]
    return {**daemon, "behind": behind}


def _print_status(value):
    for key, version in sorted(value["stored"].items()):
        daemons = value["daemons"]
        current = sum(key not in daemon["behind"] for daemon in daemons)
        print(f"{key} at {version}: in force on {current} of {len(daemons)} daemons")
    print_table(DAEMON_COLUMNS, [_row(daemon) for daemon in value["daemons"]])


def _row(daemon):
    if daemon["error"]:
        error = f"no answer: {daemon['error']}"
        return (daemon["vm"], daemon["failure_domain"], "-", "-", error)
    ready = {True: "yes", False: "no"}.get(daemon["ready"], "-")
    contact = format_age(daemon["store_contact_age_ms"])
    return (daemon["vm"], daemon["failure_domain"], ready, contact, _in_force(daemon))


def _in_force(daemon):
    lines = []
    for key, item in sorted(daemon["objects"].items()):
        if key != FLEET_KEY and not key.startswith(SERVICE_PREFIX):
            continue
        age = format_age(_dict_or_empty(item).get("age_ms"))
        behind_note = ", behind" if key in daemon["behind"] else ""
        lines.append(
            f"{key} at {_dict_or_empty(item).get('version')}, {age} old{behind_note}"
        )
    missing = [key for key in daemon["behind"] if key not in daemon["objects"]]
    lines += [f"{key} missing" for key in missing]
    lines += [f"{key} refused" for key in sorted(daemon["rejected"])]
    return "\n".join(lines)
