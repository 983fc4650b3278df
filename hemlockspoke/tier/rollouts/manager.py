"""Runs the rollouts of one daemon: counts, reports, applies phases, may decide.

All daemons report to a few collecting ones, the same for all by rank; the first of
those that is connected decides. So a rollout of one service costs each daemon at most
eight reports a second to each collecting one, for 10 to 300 daemons.
"""

import random

from hemlockspoke.tier.messages import RolloutEvidence, RolloutState
from hemlockspoke.tier.placement.eligibility import usable_of_any_version
from hemlockspoke.tier.rollouts.collectors import collectors
from hemlockspoke.tier.rollouts.decider import Decider, Situation
from hemlockspoke.tier.rollouts.evidence import Tally
from hemlockspoke.tier.rollouts.exposure import ExposureLimit
from hemlockspoke.tier.rollouts.messages import (
    evidence_message,
    rollout_of,
    state_message,
)
from hemlockspoke.tier.rollouts.order import TARGET_PHASES, Phase
from hemlockspoke.tier.rollouts.rollout import LEASE_MS, Rollout
from hemlockspoke.tier.rollouts.rollout_log import log_progress, log_step
from hemlockspoke.tier.rollouts.settling import Settling
from hemlockspoke.tier.rollouts.versions import VersionRules

# Short enough that the end of a switch of 1.5 s is still examined.
TICK_MS = 125.0
# An unchanged state or report is repeated after this time; a lease lasts three of them.
STATE_REPEAT_MS = 450.0
REPORT_REPEAT_MS = 900.0
# Sampled requests go to one server of the target version at a time, in turn, so that it
# is loaded like an old one and a fault under load shows.
TURN_MS = 1500.0
# A daemon that hears of no decider stops within this part of the time for a roll-back;
# the rest is for finding that the version is bad.
ROLLBACK_FRACTION = 0.4
# Interval of the log lines on the progress of an order.
PROGRESS_LOG_MS = 2000.0


class RolloutManager:
    """The rollouts that one daemon takes part in.

    ``peers`` knows the registered daemons and sets streams to those that collect;
    ``network`` sends messages to connected ones. ``process`` is the start time of this
    process. ``write_status`` is as for ``Settling``.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_directory",
        "_metrics",
        "_network",
        "_peers",
        "_process",
        "_progress_log_ms",
        "_rng",
        "_sequence",
        "_settling",
        "_tick_due_ms",
        "_ticking",
        "versions",
        "vm",
    )

    def __init__(
        self,
        clock,
        vm,
        process,
        bounds,
        directory,
        peers,
        network,
        metrics,
        write_status=None,
        rng=None,
    ):
        self._clock = clock
        self._process = process
        self._bounds = bounds
        self._directory = directory
        self._peers = peers
        self._network = network
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._sequence = 0
        self._ticking = False
        self._tick_due_ms = 0.0
        self._progress_log_ms = 0.0
        self.vm = vm
        self.versions = VersionRules(clock, directory)
        self._settling = Settling(clock, write_status, self.set_order, self._tell)

    def set_status_writer(self, write_status):
        """Set the function that writes the end of an order; see ``Settling``."""
        self._settling.write_status = write_status

    # Orders of the store.

    def set_order(self, order):
        """Apply a new order, or a later state of one."""
        rollouts, now_ms = self.versions.rollouts, self._clock.now_ms()
        rollout = rollouts.get(order.service)
        if rollout is not None and order.position < rollout.order.position:
            return
        if rollout is None or not order.continues(rollout.order):
            lease_ms = min(LEASE_MS, ROLLBACK_FRACTION * self._bounds.rollback_ms)
            before = rollout
            rollout = rollouts[order.service] = Rollout(order, now_ms, lease_ms)
            if before is not None:
                rollout.remember_earlier(before)
            self.versions.note_old(rollout)
            log_step(rollout, "order seen")
        rollout.order = order
        if order.final_phase is not None and rollout.set_final(
            order.final_phase, now_ms
        ):
            log_step(rollout, f"{order.final_phase.value} in the store")
            self._apply(rollout)
        self._update_streams()
        if not self._ticking:
            self._ticking = True
            self._tick_later(0.0)

    def remove_order(self, service):
        """Forget an order that was removed; both versions are used from now on."""
        rollout = self.versions.rollouts.pop(service, None)
        if rollout is not None:
            log_step(rollout, "order removed")
            self._update_streams()

    def _update_streams(self):
        vms = {
            vm
            for service, rollout in self.versions.rollouts.items()
            if rollout.order.final_phase is None
            for vm in self.collectors(service)
        }
        self._peers.set_collectors(vms)

    def collectors(self, service):
        """Return the VMs of the daemons that collect for a service, by rank."""
        return collectors(self._directory.limit_shares, service)

    # Requests.

    def sample(self, service, route, regions):
        """Return the id of the target server that gets a request in a set, or None.

        Only a share of the requests that the old version can still answer is sampled.
        """
        rollout = self.versions.rollouts.get(service)
        if rollout is None or not route.idempotent or route.max_servers < 2:
            return None
        now_ms = self._clock.now_ms()
        share = rollout.sampling_share(now_ms)
        if not share or self._rng.random() >= share:
            return None
        server_ids = sorted(
            server.server_id
            for server in self._directory.candidates(service, regions, planned=True)
            if rollout.is_target(server) and not server.cold(now_ms)
        )
        if not server_ids:
            return None
        turn = int(self._clock.wall_ms() / TURN_MS)
        return frozenset([server_ids[turn % len(server_ids)]])

    def attempt_started(self, attempt):
        """Count a request that is about to be sent; return the ``Rollout`` or None."""
        rollout = self.versions.rollouts.get(attempt.server.entry.service)
        if rollout is None or rollout.order.final_phase is not None:
            return None
        self._count(rollout, attempt, 1)
        return rollout

    def attempt_ended(self, rollout, attempt, sent, is_failure, work_ms):
        """Count the end of a request.

        ``work_ms`` is the processing time, that so far if the answer was not waited
        for, or None if there is none to count.
        """
        if not sent:
            self._count(rollout, attempt, -1)
            return
        is_target = rollout.is_target(attempt.server)
        tally = rollout.tally
        if not is_target:
            tally.old_in_progress -= 1
        rollout.is_reported = False
        is_cold = attempt.server.cold(attempt.started_ms)
        if not is_failure and (work_ms is None or is_cold):
            return
        server = attempt.server
        server_id = server.server_id if is_target else ""
        key = (attempt.route_name, server.region, server_id, is_target)
        tally.record(key, None if is_failure else work_ms)
        if is_target and is_failure:
            self._metrics.count("rollouts.target_failures")

    def _count(self, rollout, attempt, change):
        tally = rollout.tally
        rollout.is_reported = False
        if rollout.is_target(attempt.server):
            tally.sent_target += change
            self._metrics.count("rollouts.sent_target", change)
        else:
            tally.old_in_progress += change
            self._metrics.count("rollouts.sent_old", change)
        if not attempt.is_extra:
            tally.sent_total += change

    # Messages.

    def receive(self, vm, message):
        """Handle a message of another daemon; those of other types are ignored."""
        if isinstance(message, RolloutEvidence):
            self._on_evidence(vm, message)
        elif isinstance(message, RolloutState):
            self._on_state(vm, message)

    def _on_evidence(self, vm, message):
        numbers = (message.process, message.sequence)
        if not self._peers.knows(vm) or any(type(n) is not int for n in numbers):
            return
        if not isinstance(message.phase, str):
            return
        rollout = rollout_of(self.versions.rollouts, message)
        tally = None if rollout is None else Tally.from_message(message)
        if tally is not None:
            rollout.note_age(message.age_ms, self._clock.now_ms())
            rollout.collected.add(vm, *numbers, message.phase, tally)

    def _on_state(self, vm, message):
        rollout = rollout_of(self.versions.rollouts, message)
        collectors = [] if rollout is None else self.collectors(message.service)
        share = message.share
        if vm not in collectors or not isinstance(share, int | float):
            return
        # This is false for a value that is no number as well.
        if not 0.0 <= share <= 1.0:
            return
        try:
            phase = Phase(message.phase)
        except ValueError:
            return
        rank_number, now_ms = collectors.index(vm), self._clock.now_ms()
        rollout.note_age(message.age_ms, now_ms)
        if rollout.set_told(phase, share, rank_number, now_ms):
            log_step(rollout, phase.value, vm, str(message.reason)[:200])
            self._apply(rollout)

    def _apply(self, rollout):
        """Take back requests that wait for servers which get none any more."""
        now_ms = self._clock.now_ms()
        rollout.is_reported = False
        self._metrics.count(f"rollouts.{rollout.phase(now_ms).value}")
        for server in self._directory.services.get(rollout.order.service, ()):
            if self.versions.withholds(server, now_ms):
                server.pool.recall_waiting("its version gets no requests")

    # Regular work.

    def _tick(self):
        rollouts = self.versions.rollouts
        is_open = [
            rollout
            for rollout in rollouts.values()
            if rollout.order.final_phase is None
        ]
        self._ticking = bool(is_open)
        if not is_open:
            return
        # The list of daemons may have changed, and with it those that collect.
        self._update_streams()
        now_ms = self._clock.now_ms()
        was_paused = now_ms - self._tick_due_ms > LEASE_MS
        for rollout in is_open:
            if was_paused:
                # Another daemon may have taken over, and evidence is out of date.
                rollout.joined_ms = now_ms
            self._work_on(rollout)
        self._tick_later(TICK_MS)

    def _tick_later(self, delay_ms):
        self._tick_due_ms = self._clock.now_ms() + delay_ms
        # What other daemons have sent during a pause of the process is read first.
        self._clock.call_after_reads(delay_ms, self._tick)

    def _work_on(self, rollout):
        now_ms = self._clock.now_ms()
        self.versions.note_old(rollout)
        collectors = self.collectors(rollout.order.service)
        self._report(rollout, collectors, now_ms)
        if self.vm not in collectors:
            return
        position = collectors.index(self.vm)
        connected = set(self._network.connected())
        is_outranked = any(vm in connected for vm in collectors[:position])
        is_leader = rollout.may_lead(position, is_outranked, now_ms)
        if is_leader and rollout.has_collected(now_ms):
            self._decide(rollout, position, now_ms)
        self._settling.check(rollout, 0 if is_leader else position)

    def _report(self, rollout, collectors, now_ms):
        """Report the totals to the collecting daemons if it is time."""
        if rollout.is_reported and now_ms < rollout.reported_ms + REPORT_REPEAT_MS:
            return
        rollout.is_reported, rollout.reported_ms = True, now_ms
        self._sequence += 1
        if self.vm in collectors:
            rollout.collected.add(
                self.vm,
                self._process,
                self._sequence,
                rollout.phase(now_ms).value,
                rollout.tally,
            )
        report = evidence_message(rollout, self._process, self._sequence, now_ms)
        for vm in collectors:
            if vm != self.vm:
                self._network.send(vm, report)

    def _decide(self, rollout, position, now_ms):
        """Examine the order as its decider, and tell the other daemons."""
        situation = self._situation(rollout, now_ms)
        decider = rollout.decider
        if decider is None:
            limit = ExposureLimit(
                self._bounds.exposure_share, self._bounds.exposure_slack
            )
            decider = rollout.decider = Decider(limit, rollout.order.duration_ms)
        decider.set_started(rollout.seen_ms)
        if decider.phase is Phase.SAMPLING:
            reached = self._reached_phase(rollout, now_ms)
            if reached is not None:
                decider.adopt(reached, now_ms, situation)
        changed = decider.step(now_ms, situation)
        if changed or now_ms >= self._progress_log_ms:
            self._progress_log_ms = now_ms + PROGRESS_LOG_MS
            log_progress(rollout, situation.total)
        if rollout.set_told(decider.phase, decider.share, position, now_ms):
            log_step(rollout, decider.phase.value, self.vm, decider.reason)
            self._apply(rollout)
        self._settling.note_running(rollout)
        if changed or now_ms >= rollout.told_ms + STATE_REPEAT_MS:
            self._tell(rollout)

    def _reached_phase(self, rollout, now_ms):
        """Return a phase that an earlier decider has told, or None."""
        # An order is open although it has ended if the store has lost its end.
        for phase in (
            Phase.ROLLED_BACK,
            Phase.COMPLETED,
            Phase.COMPLETING,
            Phase.SWITCHING,
        ):
            if rollout.phase(now_ms) is phase or rollout.collected.has_phase(phase):
                return phase
        return None

    def _tell(self, rollout):
        """Tell all connected daemons the phase in force."""
        now_ms = rollout.told_ms = self._clock.now_ms()
        state = state_message(rollout, now_ms)
        for vm in self._network.connected():
            self._network.send(vm, state)

    def _situation(self, rollout, now_ms):
        servers = self._directory.services.get(rollout.order.service, ())
        targets = [server for server in servers if rollout.is_target(server)]
        usable = usable_of_any_version(self._directory, servers, now_ms)
        warm = [
            server
            for server in usable
            if rollout.is_target(server) and not server.cold(now_ms)
        ]
        vms = [vm for vm in self._network.connected() if self._peers.knows(vm)]
        total = rollout.collected.total()
        # To a daemon that has just started, servers look cold for as long as they have
        # been at their start. Only answers of warm ones are counted.
        is_answering = bool(targets) and total.has_target_answers()
        return Situation(
            total,
            has_old=rollout.saw_old,
            has_target=bool(targets),
            has_warm_target=bool(warm) or is_answering,
            old_is_left=rollout.phase(now_ms) in TARGET_PHASES
            and rollout.collected.has_left_old([*vms, self.vm]),
            is_followed=rollout.collected.is_followed([*vms, self.vm]),
        )
