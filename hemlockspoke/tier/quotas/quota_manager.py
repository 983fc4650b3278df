"""Connects the quotas of a daemon with its configuration, peers and requests."""

import logging
import math
import random

from hemlockspoke.tier.messages import TokenGrant, TokenRequest
from hemlockspoke.tier.quotas.account_keeper import AccountKeeper
from hemlockspoke.tier.quotas.account_queue import AccountQueue
from hemlockspoke.tier.quotas.keeper_routes import KeeperRoutes
from hemlockspoke.tier.quotas.keeper_schedule import (
    KeeperSchedule,
    lists_since,
    old_from_ms,
)
from hemlockspoke.tier.quotas.observer import QueueObserver, QuotaObserver
from hemlockspoke.tier.quotas.quota_gate import QuotaGate
from hemlockspoke.tier.quotas.quota_table import START_USE_MS, QuotaTable
from hemlockspoke.tier.quotas.tenure import Tenure

logger = logging.getLogger(__name__)


class QuotaManager:
    """The quotas at one daemon: queues of its requests, and tokens if it is a keeper.

    ``network`` has ``send(vm, message)``, which returns whether a stream is open, and
    ``has_stream(vm)``. ``on_streams()`` is called when ``stream_vms()`` may differ.
    ``claim_start(hold_ms, on_claimed)`` asks for the use of start tokens, see
    ``Membership.claim_start``.
    """

    __slots__ = (
        "_change_timer",
        "_clock",
        "_domain",
        "_keepers",
        "_network",
        "_observer",
        "_queues",
        "_registered_by_domain",
        "_rng",
        "_routes",
        "_start_decided",
        "_starts_full",
        "_table",
        "_timers",
        "_vm",
        "_with_full_bucket",
        "claim_start",
        "gate",
        "on_streams",
    )

    def __init__(self, settings, clock, network, metrics, rng=None):
        self._vm = settings.vm
        self._domain = settings.failure_domain
        self._starts_full = settings.first_start
        self._clock = clock
        self._network = network
        self._observer = QuotaObserver(clock, metrics)
        self._rng = rng or random.Random()
        tenure = Tenure(settings, clock.wall_ms)
        self._table = QuotaTable(settings.bounds, tenure)
        self._routes = KeeperRoutes(settings, tenure, network)
        # The list in force, and the timer of its next change of the keepers.
        self._registered_by_domain = None
        self._change_timer = None
        # AccountQueue and AccountKeeper objects by account, and the timers of keepers.
        self._queues = {}
        self._keepers = {}
        self._timers = {}
        # Accounts whose buckets have spent nothing yet and start full.
        self._with_full_bucket = set()
        # Whether this process has decided if it asks for start tokens. At the first
        # start the buckets are full.
        self._start_decided = settings.first_start
        self.claim_start = None
        self.gate = QuotaGate(self._queues.get)
        self.on_streams = None

    def on_configuration(self, table):
        """Adopt the quotas of a configuration."""
        accounts = {}
        for name in table.accounts.names():
            account = table.accounts.by_name(name)
            if account.rate_per_s > 0:
                accounts[name] = account
        self._observer.by_account.set_accounts(accounts)
        had_quotas = bool(self._queues)
        if not accounts and not had_quotas:
            # The next quota is none of the first configuration.
            self._table.set_accounts({}, self._starts_full, self._clock.now_ms())
            self._start_decided = True
            return
        now_ms = self._clock.now_ms()
        full = self._table.set_accounts(accounts, self._starts_full, now_ms)
        self._with_full_bucket = (self._with_full_bucket & accounts.keys()) | full
        for name in [name for name in self._queues if name not in accounts]:
            self._remove(name)
        for name in accounts:
            self._adopt(name)
        self._update_keepers()
        self._decide_start()
        if had_quotas != bool(accounts) and self.on_streams is not None:
            self.on_streams()

    def _remove(self, name):
        queue = self._queues.pop(name)
        self._keepers.pop(name, None)
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        queue.release()

    def _adopt(self, name):
        plan = self._table.plan(name)
        queue = self._queues.get(name)
        if queue is None:
            self._queues[name] = AccountQueue(
                name,
                plan.granted_ms,
                self._clock,
                self._keeper_to_ask,
                self._ask_keeper,
                QueueObserver(name, self._observer, self),
            )
        else:
            queue.granted_ms = plan.granted_ms
            queue.drop_tokens()

    def _update_keeper(self, name, now_ms):
        """Give the keeper of an account its present part; return it."""
        plan, part = self._table.plan(name), self._table.part(name, now_ms)
        keeper = self._keepers.get(name)
        if keeper is None:
            keeper = AccountKeeper(name, plan, (0.0, 0.0), 0.0, self, self._rng, now_ms)
            self._keepers[name] = keeper
        keeper.set_part(plan, part, now_ms)
        if part[1] > 0.0 and name in self._with_full_bucket:
            self._with_full_bucket.discard(name)
            keeper.fill(now_ms)
        return keeper

    def set_members(self, registered_by_domain, was_registered):
        """Set the registered daemons; ``was_registered`` if the list had this one.

        ``registered_by_domain`` maps each failure domain to the times of registration
        of its daemons, this one included, by VM.
        """
        before = self._registered_by_domain
        for registered in lists_since(before, registered_by_domain):
            self._set_list(registered, was_registered)
        self._registered_by_domain = registered_by_domain
        self._decide_start()

    def _decide_start(self):
        """Ask for start tokens once, if this daemon is a keeper when it begins."""
        if self._start_decided or not self._queues or not self._registered_by_domain:
            return
        self._start_decided = True
        if self.claim_start is not None and self._routes.is_keeper():
            self.claim_start(self._table.start_hold_ms(), self._use_start_tokens)

    def _use_start_tokens(self, claimed_ms):
        """Use start tokens, as the store has had the start since ``claimed_ms``."""
        now_ms = self._clock.now_ms()
        if now_ms - claimed_ms >= START_USE_MS:
            return
        for name in self._queues:
            keeper = self._update_keeper(name, now_ms)
            keeper.add_start_tokens(self._table.start_tokens(name, now_ms), now_ms)
            self._check_later(name, keeper)

    def _set_list(self, registered_by_domain, was_registered):
        tenure, now_ms = self._table.tenure, self._clock.now_ms()
        since_ms = self._clock.wall_ms() - tenure.change_wait_ms
        schedule = KeeperSchedule(registered_by_domain, since_ms)
        old_ms = old_from_ms(self._vm, self._domain, registered_by_domain)
        if tenure.set_schedule(schedule, was_registered, old_ms, now_ms):
            self._update_keepers()

    def _update_keepers(self):
        """Give all keepers their parts, now and when the keepers change by time."""
        now_ms = self._clock.now_ms()
        for name in self._queues:
            self._update_keeper(name, now_ms)
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._change_timer = None
        delay_ms = self._table.tenure.next_change_ms()
        if self._queues and delay_ms is not None:
            self._change_timer = self._clock.call_later(delay_ms, self._keepers_changed)

    def _keepers_changed(self):
        self._change_timer = None
        self._update_keepers()
        if self.on_streams is not None:
            self.on_streams()

    def account_samples(self):
        """Return the metrics by account: names, labels and values."""
        return self._observer.by_account.samples()

    def stream_vms(self):
        """Return the VMs that this daemon needs streams to."""
        return self._routes.stream_vms() if self._queues else set()

    def receive(self, vm, message):
        """Handle a message of another daemon; other messages have no effect."""
        if isinstance(message, TokenRequest):
            if self._is_valid(message, (message.ask_id, message.count)):
                self._requested(vm, message)
        elif isinstance(message, TokenGrant):
            counts = (message.ask_id, message.count, message.left)
            times = (message.empty_ms, message.retry_after_ms)
            if self._is_valid(message, counts, times):
                self._granted(vm, message)

    def _is_valid(self, message, counts, times_ms=()):
        """Return whether a message has an account with a quota and usable numbers."""
        return (
            isinstance(message.account, str)
            and message.account in self._queues
            and all(type(value) is int and value >= 0 for value in counts)
            and all(
                type(value) in (int, float) and math.isfinite(value) and value >= 0
                for value in times_ms
            )
        )

    def peer_lost(self, vm):
        """Note that the stream to a daemon is lost."""
        now_ms = self._clock.now_ms()
        self._routes.forget(vm)
        for queue in list(self._queues.values()):
            queue.keeper_lost(vm)
        for name, keeper in list(self._keepers.items()):
            keeper.lender_lost(vm, now_ms)
            self._check_later(name, keeper)

    def close(self):
        """Stop all timers."""
        if self._change_timer is not None:
            self._change_timer.cancel()
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for queue in self._queues.values():
            queue.close()

    def _requested(self, vm, message):
        name, now_ms = message.account, self._clock.now_ms()
        keeper = self._update_keeper(name, now_ms)
        if message.lend:
            urgent = bool(message.urgent)
            keeper.lend(vm, message.ask_id, message.count, urgent, now_ms)
        else:
            keeper.request(vm, message.ask_id, message.count, now_ms)
            self._check_later(name, keeper)

    def _granted(self, vm, message):
        name, now_ms = message.account, self._clock.now_ms()
        if message.lend:
            keeper = self._update_keeper(name, now_ms)
            usable = keeper.lent(
                vm,
                message.ask_id,
                message.count,
                message.left,
                message.empty_ms,
                now_ms,
            )
            self._observer.borrowed(usable)
            self._check_later(name, keeper)
            return
        self._queues[name].answered(
            vm,
            message.ask_id,
            message.count,
            message.empty_ms,
            message.retry_after_ms,
        )

    def _check_later(self, name, keeper):
        due_ms = keeper.next_check_ms()
        if due_ms is None or name in self._timers:
            return
        self._timers[name] = self._clock.call_after_reads(
            due_ms - self._clock.now_ms(), self._check, name
        )

    def _check(self, name):
        self._timers.pop(name, None)
        keeper = self._keepers.get(name)
        if keeper is not None:
            keeper.check_waiting(self._clock.now_ms())
            self._check_later(name, keeper)

    # Called by queues.

    def _keeper_to_ask(self, name):
        return self._routes.keeper_to_ask(name, self._clock.now_ms())

    def _ask_keeper(self, vm, name, ask_id, count):
        message = TokenRequest(
            ask_id=ask_id, account=name, count=count, lend=False, urgent=False
        )
        self._send(vm, message)

    def _send(self, vm, message):
        if vm == self._vm:
            self.receive(vm, message)
        else:
            self._network.send(vm, message)

    def keeper_silent(self, vm):
        """Prefer other keepers to one that has not answered."""
        self._routes.set_silent(vm, self._clock.now_ms())
        self._observer.keeper_silent(vm)

    def unreachable(self, name):
        """Note that no keeper can be reached."""
        self._observer.unreachable(name)

    # Called by keepers.

    def lender_groups(self, name):
        """Return the reachable keepers of other domains, those of this region first."""
        return self._routes.lender_groups(name)

    def ask_lender(self, vm, name, ask_id, count, urgent):
        """Ask a keeper of another domain for tokens."""
        message = TokenRequest(
            ask_id=ask_id, account=name, count=count, lend=True, urgent=urgent
        )
        self._network.send(vm, message)

    def grant(self, vm, name, ask_id, count, left, empty_ms, retry_after_ms, lend):
        """Answer a daemon or a keeper."""
        if lend:
            self._observer.lent(count)
        message = TokenGrant(
            ask_id=ask_id,
            account=name,
            count=count,
            lend=lend,
            left=left,
            empty_ms=empty_ms,
            retry_after_ms=retry_after_ms,
        )
        self._send(vm, message)
