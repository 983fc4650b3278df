"""Checks on the keys and quotas of a soak, from what servers and callers observe.

Their bounds are those of docs/design/accounts.md and of the daemons' settings.
"""

import bisect

from tests.edge_soak.notices import EXCUSES
from tests.edge_soak.return_checks import held_since_s

ACCOUNT_HEADER = b"x-hemlockspoke-tenant"
# Share of the requests within a quota that the page wants served while a tenth of the
# daemons restarts.
ANSWERED_SHARE = 0.97
# Time for which keepers wait at the first start of a system, as the page says.
FIRST_START_S = 2.0


class Quota:
    """Requests a second and burst of an account."""

    __slots__ = ("burst", "rate_per_s")

    def __init__(self, rate_per_s, burst):
        self.rate_per_s = rate_per_s
        self.burst = burst


class QuotaBounds:
    """The bounds of the daemons' settings that the checks use."""

    __slots__ = (
        "config_apply_ms",
        "overshoot",
        "slack",
        "stable_window_ms",
        "window_s",
    )

    def __init__(self, window_s, overshoot, slack, config_apply_ms, stable_window_ms):
        self.window_s = window_s
        self.overshoot = overshoot
        self.slack = slack
        self.config_apply_ms = config_apply_ms
        self.stable_window_ms = stable_window_ms

    def settings(self):
        """Return the bounds by the names of the settings."""
        return {
            "quota_window_s": self.window_s,
            "quota_overshoot": self.overshoot,
            "quota_slack": self.slack,
            "config_apply_ms": self.config_apply_ms,
            "stable_window_ms": self.stable_window_ms,
        }

    def limit(self, quota):
        """Return how many requests of an account may be sent in a window."""
        usual = quota.rate_per_s * self.window_s + quota.burst
        return usual * (1.0 + self.overshoot) + self.slack

    def must_know(self, soak, vm, change_s, at_s):
        """Return whether a VM must have applied a change of the configuration.

        It has ``config_apply_ms`` from the change, or from when it is in touch, which
        is ``stable_window_ms`` after its last fault. If the store lost the change
        before the VM had to know it, the time runs from when it was written again.
        """
        held_s = self.held_since_s(soak, vm, change_s, at_s)
        return self._is_applied(soak, vm, held_s, at_s)

    def held_since_s(self, soak, vm, change_s, at_s):
        """Return since when a VM can read a change of the configuration."""

        def knows(change_s, away_s):
            return self._is_applied(soak, vm, change_s, away_s)

        return held_since_s(soak, vm, "config", "main", change_s, at_s, knows)

    def _is_applied(self, soak, vm, change_s, at_s):
        apply_s = self.config_apply_ms / 1000
        since_s = at_s - apply_s - self.stable_window_ms / 1000
        return at_s > change_s + apply_s and not any(
            begin_s < at_s and (end_s is None or end_s > since_s)
            for begin_s, end_s, _ in soak.disturbances[vm]
        )


def check_headers(servers, account_by_attempt, key_mark):
    """Return findings on keys at servers, and on wrong names of accounts."""
    findings = []
    for server in servers:
        for attempt, headers in zip(
            server.received_attempts, server.received_headers, strict=True
        ):
            if any(key_mark.encode() in value for _, value in headers):
                findings.append(f"{server.server_id}: got the key of {attempt}")
            names = [value for name, value in headers if name.lower() == ACCOUNT_HEADER]
            expected = account_by_attempt.get((attempt or b"").decode())
            # Answers to other attempts are a finding of ``check_runs``.
            if expected is not None and names != [expected.encode()]:
                findings.append(
                    f"{server.server_id}: got {attempt} of {expected} with the account"
                    f" names {names}"
                )
    return findings


def check_logs(daemons, key_mark):
    """Return findings on keys in the logs of daemons."""
    return [
        f"{daemon.vm}: a key is in its log"
        for daemon in daemons
        if key_mark in daemon.log.read_text()
    ]


def check_removed_keys(outcomes, servers, removed_s, soak, bounds):
    """Return findings on requests with a removed key that reached a server.

    Counted are those that came through a VM that must know of the removal.
    """
    sent = {outcome.attempt: outcome for outcome in outcomes}
    findings = []
    for server in servers:
        for attempt, at_s in zip(
            server.received_attempts, server.received_s, strict=True
        ):
            outcome = sent.get((attempt or b"").decode())
            change_s = removed_s.get(outcome.key) if outcome else None
            if change_s is not None and bounds.must_know(
                soak, outcome.vm, change_s, at_s
            ):
                findings.append(
                    f"{outcome.attempt}: reached {server.server_id} through"
                    f" {outcome.vm} {at_s - change_s:.2f} s after its key was removed"
                )
    return findings


def check_accepted(outcomes, added_s, removing_s, soak, bounds):
    """Return findings on known keys that were refused as unknown."""
    findings = []
    for outcome in outcomes:
        if outcome.status != 401:
            continue
        end_s = outcome.sent_s + outcome.took_ms / 1000
        if end_s > removing_s.get(outcome.key, float("inf")):
            continue
        change_s = added_s.get(outcome.key)
        if change_s is None or bounds.must_know(
            soak, outcome.vm, change_s, outcome.sent_s
        ):
            findings.append(
                f"{outcome.attempt}: a known key refused by {outcome.vm} with 401"
            )
    return findings


def first_arrivals_s(servers):
    """Return when each attempt that was run first reached a server, in seconds."""
    servers = list(servers)
    executed = {attempt for server in servers for attempt in server.executed_attempts}
    first_s = {}
    for server in servers:
        for attempt, at_s in zip(
            server.received_attempts, server.received_s, strict=True
        ):
            if attempt in executed:
                known_s = first_s.get(attempt.decode(), at_s)
                first_s[attempt.decode()] = min(known_s, at_s)
    return first_s


def check_limits(account_by_attempt, servers, quotas, soak, bounds):
    """Return findings on accounts that exceed their limit in a window.

    ``quotas`` maps accounts to pairs of a time in seconds and the quota since then.
    A request counts when it first reaches a server. A lowered quota binds the windows
    that begin ``config_apply_ms`` after the change, or after it was written again if
    the store lost it before all VMs had to know it.
    """

    def lowered_s(change_s):
        return max(
            bounds.held_since_s(soak, vm, change_s, float("inf"))
            for vm in soak.disturbances
        )

    times_s = {}
    for attempt, at_s in first_arrivals_s(servers).items():
        name = account_by_attempt.get(attempt)
        times_s.setdefault(name, []).append(at_s)
    findings = []
    for name, changes in quotas.items():
        arrivals_s = sorted(times_s.get(name, ()))
        worst = None
        held_s = [lowered_s(change_s) for change_s, _ in changes]
        for number, begin_s in enumerate(arrivals_s if changes else ()):
            allowed = max(
                bounds.limit(quota)
                for index, (_, quota) in enumerate(changes)
                if index + 1 == len(changes)
                or begin_s < held_s[index + 1] + bounds.config_apply_ms / 1000
            )
            end = bisect.bisect_right(arrivals_s, begin_s + bounds.window_s)
            share = (end - number) / allowed
            worst = max(worst or (0.0,), (share, end - number, allowed))
        if worst:
            print(f"{name}: at most {worst[1]} of {worst[2]:.1f} requests in a window")
        if worst and worst[0] > 1.0:
            findings.append(
                f"{name}: {worst[1]} requests in a window of {bounds.window_s} s where"
                f" {worst[2]:.1f} are allowed"
            )
    return findings


def check_answered(outcomes, domains, soak, bounds):
    """Return findings on an account that is below its quota and was refused.

    Counted are requests at VMs that run, while all VMs of a failure domain run, as its
    keepers create enough for this account. Faults of the store do not stop them.
    At the first start of the system keepers wait for ``FIRST_START_S`` once in touch.
    """
    settle_s = bounds.stable_window_ms / 1000
    first_s = soak.started_s + settle_s + FIRST_START_S

    def runs(vm, begin_s, end_s):
        return not any(
            kind in EXCUSES
            and start_s < end_s
            and (stop_s is None or stop_s + settle_s > begin_s)
            for start_s, stop_s, kind in soak.disturbances[vm]
        )

    counted = []
    for outcome in outcomes:
        end_s = outcome.sent_s + outcome.took_ms / 1000
        running = {vm for vm in domains if runs(vm, outcome.sent_s, end_s)}
        stopped_domains = {domains[vm] for vm in domains if vm not in running}
        is_counted = stopped_domains != set(domains.values())
        if outcome.sent_s > first_s and outcome.vm in running and is_counted:
            counted.append(outcome)
    refused = [outcome for outcome in counted if outcome.status == 429]
    print(f"{len(refused)} of {len(counted)} requests below a quota refused")
    if len(refused) <= max(1, (1.0 - ANSWERED_SHARE) * len(counted)):
        return []
    texts = [f"{outcome.attempt} by {outcome.vm}" for outcome in refused]
    return [
        f"{len(refused)} of {len(counted)} requests below a quota refused:"
        f" {', '.join(texts)}"
    ]
