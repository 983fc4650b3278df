"""The command that shows the quotas of client accounts and how they are used."""

from hemlockspoke.ui.account_view import read_accounts, sum_accounts
from hemlockspoke.ui.daemon_metrics import (
    DEFAULT_TIMEOUT_MS,
    Addresses,
    TimeoutMs,
    ask_daemons,
    show_view,
)
from hemlockspoke.ui.options import AsJson
from hemlockspoke.ui.output import print_table, printable
from hemlockspoke.ui.subcommand import subcommand

COLUMNS = ("account", "quota", "admitted", "refused", "waited for tokens")


def register(app):
    """Add the command to the application."""
    example = "hemlockspoke accounts 10.0.1.1:9464 10.0.1.2:9464"
    subcommand(app, "accounts", example)(show_accounts)


def show_accounts(
    addresses: Addresses,
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS,
    as_json: AsJson = False,
):
    """Show the accounts with a quota, and what daemons did since their start.

    Sums what the daemons have admitted and refused. A daemon names at most 200
    accounts and sums the others, and those that were removed, as `other`.
    """
    answers = ask_daemons(addresses, read_accounts, timeout_ms)
    rows = [answer.value for answer in answers if not answer.error]
    view = {"accounts": sum_accounts(rows)}
    show_view(answers, view, as_json, _print_accounts)


def _print_accounts(view):
    if not view["accounts"]:
        print("no account with a quota")
        return
    print_table(COLUMNS, [_row(account) for account in view["accounts"]])


def _row(account):
    refused = [
        f"{count} {printable(reason)}" for reason, count in account["refused"].items()
    ]
    return (
        printable(account["account"]),
        _quota_text(account["quotas"]),
        account["admitted"],
        "\n".join(refused) or "0",
        _wait_text(account["waited"], account["wait_ms"]),
    )


def _quota_text(quotas):
    """Return the quota, or those of different daemons with their numbers.

    >>> _quota_text([{"rate_per_s": 2.0, "burst": 4.0, "daemons": 3}])
    '2/s, burst 4'
    """
    lines = []
    for quota in quotas:
        rate, burst = _number(quota["rate_per_s"]), _number(quota["burst"])
        note = f" on {quota['daemons']} daemons" if len(quotas) > 1 else ""
        lines.append(f"{rate}/s, burst {burst}{note}")
    return "\n".join(lines) or "-"


def _number(value):
    return "?" if value is None else f"{value:.15g}"


def _wait_text(waited, wait_ms):
    """Return how many requests have waited, and the mean time.

    >>> _wait_text(4, 50.0), _wait_text(0, 0.0)
    ('4, 12.5 ms on average', '0')
    """
    return f"{waited}, {wait_ms / waited:.1f} ms on average" if waited else "0"
