"""The command that explains what happened to one request."""

import sys
from typing import Annotated

import typer

from hemlockspoke.request_history import LogLine, collect_history
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson
from hemlockspoke.ui.output import show
from hemlockspoke.ui.subcommand import subcommand

# Lines between two progress messages; reading them takes about a second.
PROGRESS_LINES = 20_000
PRINTED_FIELDS = (
    "outcome",
    "status",
    "reason",
    "account",
    "elapsed_ms",
    "aim_in_ms",
    "caller_budget_ms",
    "version",
    "answered_by_version",
    "belief_age_ms",
    "gathered_by",
    "for_peer",
)

RequestId = Annotated[str, typer.Argument(help="Id of the caller's attempt.")]
LogFiles = Annotated[
    list[str] | None,
    typer.Argument(help="Log files of any daemons. Default: standard input."),
]


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke explain 9c41d07be2a35f68 entry-*.log"
    subcommand(app, "explain", example)(explain)


def explain(request_id: RequestId, files: LogFiles = None, as_json: AsJson = False):
    """Print what daemons did for a request, and the cause of its outcome."""
    history = collect_history(request_id, _read_lines(files or ["-"]))
    if not history.lines:
        raise CommandFailed(
            ExitCode.REFUSED,
            f"no line names the request {request_id!r}; lines dropped by the rate "
            "limit or a full buffer are counted in 'log lines left out'",
        )
    show(as_json, history.to_json(), lambda _: _print_history(history))


def _read_lines(files):
    """Yield the log records in all files; other lines are skipped."""
    count = 0
    for name in files:
        for number, text in enumerate(_read_file(name), start=1):
            count += 1
            if count % PROGRESS_LINES == 0 and sys.stderr.isatty():
                print(f"\r{count} lines read", end="", file=sys.stderr)
            line = LogLine.parse(text, f"{name}:{number}")
            if line is not None:
                yield line
    if count >= PROGRESS_LINES and sys.stderr.isatty():
        print(file=sys.stderr)


def _read_file(name):
    if name == "-":
        yield from sys.stdin
        return
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as error:
        message = f"{name}: {error.strerror}"
        raise CommandFailed(ExitCode.BAD_INPUT, message) from error


def _print_history(history):
    print(f"request {history.request_id}")
    for line in history.context:
        _print_log_line(
            line, ("change", "server", "kind", "feed", "peer", "reason", "version")
        )
    for line in history.lines:
        _print_log_line(line, PRINTED_FIELDS)
        for send in line.fields.get("sends", ()):
            print(f"      {send}")
    print(f"cause: {history.cause()}")


def _print_log_line(line, names):
    fields = line.fields
    printed = [f"{name}={fields[name]}" for name in names if name in fields]
    print(f"  {line.when} {line.vm} {line.event}: {', '.join(printed)}")
