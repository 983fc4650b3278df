"""Asks the metrics ports of several daemons, and reports those that did not answer."""

from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer

from hemlockspoke.adapters.blocking_http import NoReply
from hemlockspoke.adapters.blocking_metrics import read_metrics
from hemlockspoke.address import Address
from hemlockspoke.metrics_text import parse_samples
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.output import print_error, print_json

# Calls at once. Each may hold the longest answer.
PARALLEL_CALLS = 16
DEFAULT_TIMEOUT_MS = 2000
MAX_TIMEOUT_MS = 60_000
# Names of all metrics of a daemon.
PREFIX = "hemlockspoke_"

Addresses = Annotated[
    list[str],
    typer.Argument(
        metavar="ADDRESS",
        help="HOST:PORT of the metrics ports of daemons; their port is 9464.",
    ),
]
TimeoutMs = Annotated[
    int,
    typer.Option(
        "--timeout-ms",
        min=1,
        max=MAX_TIMEOUT_MS,
        help="Time for the answer of a daemon.",
    ),
]


class DaemonAnswer:
    """What a daemon has answered: ``value``, or the text of an ``error``."""

    __slots__ = ("address", "error", "value")

    def __init__(self, address, value=None, error=None):
        self.address = address
        self.value = value
        self.error = error


def ask_daemons(texts, read, timeout_ms):
    """Return the ``DaemonAnswer`` of each address, asked once even if named twice.

    ``read(samples)`` returns the value of an answer or raises ``ValueError``. Raises
    ``CommandFailed`` if an address is malformed or no daemon has answered.
    """
    addresses, errors = {}, []
    for text in texts:
        try:
            addresses[Address.parse(text)] = None
        except ValueError as error:
            errors.append(str(error))
    if errors:
        raise CommandFailed(ExitCode.BAD_INPUT, "\n".join(errors))
    with ThreadPoolExecutor(min(PARALLEL_CALLS, len(addresses))) as pool:
        answers = list(
            pool.map(lambda address: _ask(address, read, timeout_ms), addresses)
        )
    if all(answer.error for answer in answers):
        raise CommandFailed(
            ExitCode.REFUSED,
            "\n".join(_error_lines(answers)),
            {"missing": _missing(answers)},
        )
    return answers


def _ask(address, read, timeout_ms):
    try:
        samples = parse_samples(read_metrics(address, timeout_ms=timeout_ms))
        if not any(sample.name.startswith(PREFIX) for sample in samples):
            raise ValueError("there are no metrics of a daemon")
        return DaemonAnswer(address, read(samples))
    except NoReply as error:
        return DaemonAnswer(address, error=str(error))
    except ValueError as error:
        return DaemonAnswer(address, error=f"not the metrics of a daemon: {error}")


def show_view(answers, view, as_json, render):
    """Print a view; end with ``ExitCode.PARTIAL`` if daemons are missing from it.

    ``view`` is a JSON object, to which the daemons are added; ``render(view)`` prints
    it as text.
    """
    missing = _missing(answers)
    asked = len(answers)
    if as_json:
        daemons = {"asked": asked, "answered": asked - len(missing), "missing": missing}
        print_json({"daemons": daemons, **view})
    else:
        render(view)
    if not missing:
        return
    if not as_json:
        for line in _error_lines(answers):
            print_error(line)
        print_error(f"partial: {len(missing)} of {asked} daemons did not answer")
    raise typer.Exit(int(ExitCode.PARTIAL))


def _missing(answers):
    return [
        {"address": str(answer.address), "error": answer.error}
        for answer in answers
        if answer.error
    ]


def _error_lines(answers):
    return [f"{item['address']}: {item['error']}" for item in _missing(answers)]
