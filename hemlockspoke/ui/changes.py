"""Performs an edit for a command, reports its result and announces it."""

import random
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.address import Address
from hemlockspoke.config.audit import Author
from hemlockspoke.config.perform_edit import (
    NotApplied,
    RaceLost,
    ResultUnknown,
    perform_edit,
    run_steps,
)
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.output import format_time, shorten_diff, show

# Daemons that are told of a change. One is enough for the change to spread at once;
# the others stand in for daemons that do not answer.
ANNOUNCE_TO = 4
ANNOUNCE_TIMEOUT_MS = 1000
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300


def change(reader, edit, *, who, why, as_json, if_version=None):
    """Perform an edit and print its result; raises ``CommandFailed``."""
    author = _author(who, why)
    result = _perform(reader.store, edit, author, if_version)
    if result.is_error():
        raise _failure(result.error)
    announced = announce(reader)
    show(as_json, _accepted_json(result.ok, announced), _print_accepted)


def _author(who, why):
    for option, text in (("--who", who), ("--why", why)):
        if not text.strip():
            raise CommandFailed(ExitCode.BAD_INPUT, f"{option} must not be empty")
    return Author(who, why, int(time.time() * 1000))


def _perform(store, edit, author, if_version):
    writer = str(uuid.uuid4())
    steps = perform_edit(
        store, edit, author, writer, if_version=if_version, wait=_sleep
    )
    try:
        return run_steps(steps)
    except (KeyboardInterrupt, Exception) as error:
        # The write may have been sent, so nothing else may be claimed.
        reason = f"stopped by {type(error).__name__}"
        raise _failure(ResultUnknown(edit.key, writer, reason)) from error


def _sleep(delay_ms):
    time.sleep(delay_ms / 1000)


def _accepted_json(accepted, announced):
    return {
        "key": accepted.key,
        "version": accepted.version,
        "action": accepted.draft.entry.action,
        "diff": accepted.draft.entry.diff,
        "announced_to": announced,
    }


def _print_accepted(value):
    print(shorten_diff(value["diff"]))
    print(f"{value['action']}: accepted, {value['key']} is at {value['version']}")
    told = ", ".join(value["announced_to"]) or "no daemon; they find it by themselves"
    print(f"announced to {told}")


def _failure(error):
    if isinstance(error, NotApplied):
        return CommandFailed(ExitCode.REFUSED, error.reason)
    if isinstance(error, RaceLost):
        extra = {
            "base_version": error.base_version,
            "version": error.version,
            "changed_by": [entry.to_json() for entry in error.winners],
        }
        return CommandFailed(ExitCode.RACE_LOST, _race_text(error), extra)
    text = (
        f"it is not known whether {error.key} was changed: {error.reason}; "
        f"the audit shows writer {error.writer} if it was"
    )
    return CommandFailed(ExitCode.UNKNOWN, text, {"writer": error.writer})


def _race_text(error):
    lines = [
        f"{error.key} is no longer at version {error.base_version} "
        f"but at {error.version}; nothing was changed"
    ]
    for entry in error.winners:
        when = format_time(entry.when_ms)
        lines.append(f"{when} {entry.who}: {entry.action} ({entry.why})")
        lines.append(shorten_diff(entry.diff))
    return "\n".join(lines)


def announce(reader):
    """Tell a few daemons to read the store; return the names of those told.

    Best effort: daemons that hear nothing find the change by their version check.
    """
    try:
        registrations = reader.registrations()
    except CommandFailed:
        return []
    chosen = random.sample(registrations, min(ANNOUNCE_TO, len(registrations)))
    if not chosen:
        return []
    with ThreadPoolExecutor(len(chosen)) as pool:
        told = list(pool.map(_announce_to, chosen))
    return sorted(item.vm for item, heard in zip(chosen, told, strict=True) if heard)


def _announce_to(registration):
    try:
        reply = exchange(
            Address.parse(registration.operator_address),
            "POST",
            "/v1/announce",
            timeout_ms=ANNOUNCE_TIMEOUT_MS,
            body={},
        )
    except (NoReply, ValueError):
        return False
    return HTTP_OK <= reply.status < HTTP_MULTIPLE_CHOICES
