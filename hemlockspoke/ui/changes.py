"""Performs an edit for a command, announces it and prints the result."""

import random
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.address import Address
from hemlockspoke.config.audit import Author
from hemlockspoke.config.perform_edit import (
    EditConflict,
    EditResultUnknown,
    NotApplied,
    perform_edit,
    run_steps,
)
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.output import format_time, show, truncate_diff

# Number of daemons notified of a change. One is enough for the change to spread at
# once; the others cover for daemons that do not respond.
ANNOUNCEMENT_TARGETS = 4
ANNOUNCEMENT_TIMEOUT_MS = 1000
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300


def change(reader, edit, *, who, why, as_json, if_version=None):
    """Perform and announce an edit and print its result; raises ``CommandFailed``."""
    author = _author(who, why)
    result = _run_edit(reader.store, edit, author, if_version)
    if result.is_error():
        raise _command_failure(result.error)
    announced = announce(reader)
    show(as_json, _result_json(result.ok, announced), _print_result)


def _author(who, why):
    for option, text in (("--who", who), ("--why", why)):
        if not text.strip():
            raise CommandFailed(ExitCode.BAD_INPUT, f"{option} must not be empty")
    return Author(who, why, int(time.time() * 1000))


def _run_edit(store, edit, author, if_version):
    writer = str(uuid.uuid4())
    steps = perform_edit(
        store, edit, author, writer, if_version=if_version, wait=_sleep
    )
    try:
        return run_steps(steps)
    except (KeyboardInterrupt, Exception) as error:
        # The write may have been sent, so its result must be reported as unknown.
        reason = f"stopped by {type(error).__name__}"
        raise _command_failure(EditResultUnknown(edit.key, writer, reason)) from error


def _sleep(delay_ms):
    time.sleep(delay_ms / 1000)


def _result_json(accepted, announced):
    return {
        "key": accepted.key,
        "version": accepted.version,
        "action": accepted.draft.entry.action,
        "diff": accepted.draft.entry.diff,
        "announced_to": announced,
    }


def _print_result(value):
    print(truncate_diff(value["diff"]))
    print(f"{value['action']}: accepted, {value['key']} is at {value['version']}")
    notified = (
        ", ".join(value["announced_to"])
        or "no daemon; daemons detect the change by their version check"
    )
    print(f"announced to {notified}")


def _command_failure(error):
    if isinstance(error, NotApplied):
        return CommandFailed(ExitCode.REFUSED, error.reason)
    if isinstance(error, EditConflict):
        extra = {
            "base_version": error.base_version,
            "version": error.version,
            "changed_by": [entry.to_json() for entry in error.newer_changes],
        }
        return CommandFailed(ExitCode.RACE_LOST, _conflict_text(error), extra)
    text = (
        f"it is not known whether {error.key} was changed: {error.reason}; "
        f"the audit shows writer {error.writer} if it was"
    )
    return CommandFailed(ExitCode.UNKNOWN, text, {"writer": error.writer})


def _conflict_text(error):
    lines = [
        f"{error.key} is no longer at version {error.base_version} "
        f"but at {error.version}; nothing was changed"
    ]
    for entry in error.newer_changes:
        when = format_time(entry.when_ms)
        lines.append(f"{when} {entry.who}: {entry.action} ({entry.why})")
        lines.append(truncate_diff(entry.diff))
    return "\n".join(lines)


def announce(reader):
    """Notify a few daemons to read the store; return the VMs of those notified.

    This is best effort: the other daemons detect the change by their version check.
    """
    try:
        registrations = reader.registrations()
    except CommandFailed:
        return []
    targets = random.sample(
        registrations, min(ANNOUNCEMENT_TARGETS, len(registrations))
    )
    if not targets:
        return []
    with ThreadPoolExecutor(len(targets)) as pool:
        accepted = list(pool.map(_announce_to_daemon, targets))
    return sorted(
        item.vm for item, notified in zip(targets, accepted, strict=True) if notified
    )


def _announce_to_daemon(registration):
    try:
        reply = exchange(
            Address.parse(registration.operator_address),
            "POST",
            "/v1/announce",
            timeout_ms=ANNOUNCEMENT_TIMEOUT_MS,
            body={},
        )
    except (NoReply, ValueError):
        return False
    return HTTP_OK <= reply.status < HTTP_MULTIPLE_CHOICES
