"""The command that shows the orders that move services to other versions."""

from hemlockspoke.ui.daemon_metrics import (
    DEFAULT_TIMEOUT_MS,
    Addresses,
    TimeoutMs,
    ask_daemons,
    show_view,
)
from hemlockspoke.ui.options import AsJson
from hemlockspoke.ui.output import print_table, printable
from hemlockspoke.ui.rollout_view import read_rollouts, sum_rollouts
from hemlockspoke.ui.subcommand import subcommand

COLUMNS = ("service", "versions", "state", "share", "failed answers", "verdict")
NO_VERDICT = "none: no daemon that answered has decided"


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke rollouts 10.0.1.1:9464 10.0.1.2:9464"
    subcommand(app, "rollouts", example)(show_rollouts)


def show_rollouts(
    addresses: Addresses,
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS,
    as_json: AsJson = False,
):
    """Show the orders that the daemons know, with their evidence and verdict.

    The failed answers are those of the daemons that were asked. The verdict, and the
    answers that it counts, are those of the daemon that decides for all.
    """
    answers = ask_daemons(addresses, read_rollouts, timeout_ms)
    view = sum_rollouts({str(a.address): a.value for a in answers if not a.error})
    show_view(answers, view, as_json, _print_rollouts)


def _print_rollouts(view):
    if not view["rollouts"]:
        print("no order")
        return
    print_table(COLUMNS, [_row(order) for order in view["rollouts"]])
    if view["unlisted"]:
        print(f"{view['unlisted']} further orders are not listed")


def _row(order):
    old_versions = " ".join(map(printable, order["old_versions"])) or "-"
    return (
        printable(order["service"]),
        f"{old_versions} to {printable(order['target_version'])}",
        _states(order["states"]),
        _share(order["share"]),
        _evidence(order),
        "\n".join(_verdict(verdict) for verdict in order["verdicts"]) or NO_VERDICT,
    )


def _states(states):
    """Return the state, or those of different daemons with their numbers.

    >>> _states({"completed": 3})
    'completed'
    >>> _states({"rolled_back": 2, "sampling": 1})
    'rolled_back on 2, sampling on 1'
    """
    if len(states) == 1:
        return printable(next(iter(states)))
    return ", ".join(
        f"{printable(state)} on {count}" for state, count in states.items()
    )


def _share(share):
    """Return the share, or the range of those of different daemons.

    >>> _share({"min": 0.25, "max": 0.25}), _share({"min": 0.0, "max": 0.25})
    ('0.25', '0 to 0.25')
    """
    if share["min"] is None:
        return "-"
    if share["min"] == share["max"]:
        return f"{share['min']:.3g}"
    return f"{share['min']:.3g} to {share['max']:.3g}"


def _evidence(evidence):
    """Return what was sent to the target version, and a line for each route."""
    sent = f"target got {evidence['sent_target']} of {evidence['sent']} requests"
    return "\n".join([sent, *map(_route, evidence["routes"])])


def _route(route):
    sides = [
        f"{side} {route[side]['failures']} of {route[side]['answers']}"
        for side in ("target", "old")
    ]
    return f"{printable(route['route'])}: {', '.join(sides)}"


def _verdict(verdict):
    text = f"{verdict['state']}: {verdict['reason']}" if verdict["reason"] else "open"
    return f"{printable(text)} ({verdict['address']})\n{_evidence(verdict)}"
