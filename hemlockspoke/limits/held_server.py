"""One server in which this daemon has a share."""

from hemlockspoke.errors import UpstreamErrorKind as Kind
from hemlockspoke.limits.cold_start import ColdStart, LatencyStepDetector
from hemlockspoke.limits.gate import Gate
from hemlockspoke.limits.holder_work import log_exception
from hemlockspoke.limits.state_announcer import StateAnnouncer
from hemlockspoke.messages import CatalogUpdate
from hemlockspoke.queries.served_indexes import ServedIndexes
from hemlockspoke.requests import Share

# Statuses lag: after a reply refused work because the server drains, a status of
# another state ends the drain only if an earlier status was "draining" or this time
# has passed.
DRAIN_RECHECK_MS = 60_000

# Consecutive status polls without a reply after which a server is unreachable.
FAILED_POLLS = 3

NO_SHARE = Share()


class HeldServer:
    """Gate, connections and observed state of one server.

    It admits work, polls the server's status through ``client``, its
    ``UpstreamClient``, and reports changes to the other daemons. ``holder`` is the
    ``Holder``. ``permits(name)``, ``send_update(message)``, ``send_state(message)``,
    ``paused()`` and ``count(name)`` are called on it.
    """

    __slots__ = (
        "_announcer",
        "_answered_poll",
        "_clock",
        "_drain_refusal_ms",
        "_failed_polls",
        "_holder",
        "_invariants",
        "_peer_sequences",
        "_poll_number",
        "_poll_timer",
        "_polling",
        "_reachable",
        "_required_poll",
        "_sequence",
        "_served",
        "_status_draining",
        "_stopped",
        "_timings",
        "_unannounced",
        "client",
        "cold_start",
        "draining",
        "gate",
        "latency_step",
        "name",
        "out",
        "server",
    )

    def __init__(self, server, client, holder, clock, invariants, timings):
        self.server = server
        self.name = server.name
        self.client = client
        self._holder = holder
        self._clock = clock
        self._invariants = invariants
        self._timings = timings
        ramp_successes = server.upstream_class.ramp_successes
        self.cold_start = ColdStart(ramp_successes, timings.proof_ttl_ms)
        self._announcer = StateAnnouncer(self.name, self.cold_start, holder, clock)
        self.latency_step = LatencyStepDetector()
        self.gate = Gate(clock, self.cold_start, self.latency_step)
        self.out = not holder.permits(self.name)
        self.draining = False
        self._status_draining = False
        self._drain_refusal_ms = None
        self._reachable = True
        self._failed_polls = 0
        self._served = ServedIndexes()
        # Starts at the wall-clock time, so that it also rises across restarts.
        self._sequence = clock.wall_ms()
        self._peer_sequences = {}
        self._poll_timer = None
        self._polling = False
        self._poll_number = 0
        self._answered_poll = 0
        self._required_poll = 0
        self._stopped = False
        # True from gaining a share until the first status has been announced.
        self._unannounced = True
        client.set_loss_listener(self._connection_lost)

    # Share

    def set_share(self, share):
        """Set the share; None or an empty one refuses all new work."""
        had_slots = self.gate.share is not None and self.gate.share.slots > 0
        self.gate.share = share
        share = share or NO_SHARE
        self.client.set_limit(share.connections)
        if not share.slots:
            self._stop_serving("the holder has no share")
            return
        if not had_slots:
            # Without connections a restart would not have been noticed.
            self.cold_start.require_proof()
            self._unannounced = True
            self._schedule_poll(0)
        self.gate.start_queued()

    def require_new_status(self):
        """Refuse new work until a status requested after this call arrives.

        The server may have begun to drain during a pause of this process; work
        that arrived during the pause must not be sent to it.
        """
        self._required_poll = self._poll_number + 1
        if (self.gate.share or NO_SHARE).slots:
            self._schedule_poll(0)

    def describe(self):
        """Return the state for operators."""
        return {
            "gate": self.cold_start.state,
            "out": self.out,
            "draining": self.draining,
            "reachable": self._reachable,
            "in_use": self.gate.in_use,
            "queued": self.gate.queued(),
        }

    def in_use(self):
        """Return what is in use as a ``Share``."""
        cold_start_in_use = self.gate.in_use if self._restricted() else 0
        return Share(
            self.gate.in_use, self.client.open_connections(), cold_start_in_use
        )

    def stop(self):
        """Refuse queued work and close the connections."""
        self._stopped = True
        self.gate.share = None
        self._stop_serving("the daemon stops")
        self.client.close()

    def _stop_serving(self, detail):
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        self._served.clear()
        self.gate.refuse_all(detail)
        self._publish()

    # Work

    def submit(self, work, first=False):
        """Pass work to the gate, or refuse it if the server gets no new work."""
        if self._refuses_work():
            work.refuse("the server gets no new work")
        else:
            self.gate.submit(work, first)

    def may_send(self):
        """Return whether a request may be sent now, and count it if so."""
        if self._holder.paused() or self._refuses_work() or not self.gate.may_send():
            return False
        self.gate.note_sent()
        self._check_invariants()
        return True

    def update_server(self, server):
        """Apply the configuration in force: the server's class, whether it is out.

        ``server`` is None if no document lists the server any more.
        """
        if server is not None:
            self.server = server
            self.cold_start.ramp_successes = server.upstream_class.ramp_successes
        out = not self._holder.permits(self.name)
        if out and not self.out:
            self.out = True
            self.gate.refuse_all("the server is out")
        elif self.out and not out:
            self.out = False
            self._reset_to_cold("the server was out")
        self.gate.start_queued()

    def _refuses_work(self):
        unverified = self._answered_poll < self._required_poll
        closed = self.out or self.draining or unverified
        return closed or not self._holder.permits(self.name)

    def _restricted(self):
        return self.cold_start.restricted(self._clock.now_ms())

    def _check_invariants(self):
        share = self.gate.share or NO_SHARE
        detail = f"{self.name}: {self.gate.sent} sent with {share}"
        check = self._invariants.check
        check("holder.share", self.gate.sent <= share.slots, detail)
        within_cold_start = (
            not self._restricted() or self.gate.sent <= share.cold_start_slots
        )
        check("holder.cold_start", within_cold_start, detail)
        check("holder.out", self._holder.permits(self.name), detail)

    # Replies

    def note_reply(self, incarnation, epoch, latency_ms):
        """Record a successful reply."""
        proven = self.cold_start.proven(self._clock.now_ms())
        self._note_reachable()
        self._note_incarnation_of_reply(incarnation, epoch)
        if self.latency_step.note(latency_ms, self._clock.now_ms()):
            self._reset_to_cold("its latency has stepped up")
        else:
            self.cold_start.note_success(epoch, self.gate.share or NO_SHARE)
        self._announce_change(proven)

    def note_error(self, error, epoch, latency_ms):
        """Record the error of a request that was sent."""
        proven = self.cold_start.proven(self._clock.now_ms())
        if error.incarnation:
            self._note_reachable()
            self._note_incarnation_of_reply(error.incarnation, epoch)
        if error.kind in (Kind.SHED, Kind.BROKEN):
            self._reset_to_cold(error.kind.value)
        elif error.kind is Kind.DRAINING:
            self._drain_refusal_ms = self._clock.now_ms()
            self._begin_drain()
        elif error.kind is not Kind.VERSION_GONE:
            # A request that this daemon cancelled is no failure, but the time until the
            # cancellation is a lower bound of the server's latency.
            if error.kind is not Kind.CANCELLED:
                self.cold_start.note_failure()
            now_ms = self._clock.now_ms()
            if self.latency_step.note(latency_ms, now_ms, finished=False):
                self._reset_to_cold("its latency has stepped up")
        self._announce_change(proven)

    def note_refused_connection(self):
        """Record a connection that could not be opened."""
        self._reset_to_cold("a connection was refused")
        self._set_reachable(False)

    def note_version_gone(self, index, version, parts, indexes):
        """Record the parts that a 409 reply refused and the indexes it lists."""
        now_ms = self._clock.now_ms()
        if self._served.note_refused_parts(index, version, parts, indexes, now_ms):
            self._publish()

    def note_peer_state(self, vm, message):
        """Record the state that another holder reports."""
        is_new = message.sequence > self._peer_sequences.get(vm, 0)
        if is_new:
            self._peer_sequences[vm] = message.sequence
        self.cold_start.note_peer(
            message.state,
            message.incarnation,
            is_new,
            self.gate.share or NO_SHARE,
            self._clock.now_ms(),
        )
        self.gate.start_queued()

    def _note_reachable(self):
        self._failed_polls = 0
        self._set_reachable(True)

    def _set_reachable(self, reachable):
        if reachable != self._reachable:
            self._reachable = reachable
            self._publish()

    def _note_incarnation_of_reply(self, incarnation, epoch):
        now_ms = self._clock.now_ms()
        if self.cold_start.note_reply(incarnation, epoch, now_ms):
            self._announcer.announce_cold("a new incarnation")

    def _connection_lost(self):
        self.cold_start.require_proof()

    def _reset_to_cold(self, detail):
        self.cold_start.reset()
        self._announcer.announce_cold(detail)

    def _announce_change(self, was_proven):
        """Announce a change of state or a new proof to the other holders."""
        if self._can_prove_warm():
            self._announcer.announce_change(was_proven)

    def _can_prove_warm(self):
        """Return whether announcements of this holder prove the server's state.

        Only a holder with cold-start slots can prove it.
        """
        share = self.gate.share or NO_SHARE
        return bool(share.cold_start_slots) and not self._restricted()

    # Status

    def _schedule_poll(self, delay_ms):
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = self._clock.call_later(delay_ms, self._poll)

    def _poll(self):
        self._schedule_poll(self._timings.status_poll_ms)
        self._announcer.repeat(self._can_prove_warm())
        if not self._polling:
            self._polling = True
            self._poll_number += 1
            polled = self.client.status()
            polled.addCallback(self._note_status)
            polled.addErrback(log_exception)

    def _note_status(self, result):
        self._polling = False
        self._answered_poll = self._poll_number
        if self._stopped or not (self.gate.share or NO_SHARE).slots:
            return
        if result.is_ok():
            self._apply_status(result.ok)
        elif result.error.kind is Kind.REFUSED:
            self.note_refused_connection()
        elif result.error.sent:
            self._note_failed_poll(result.error)
        if self._answered_poll < self._required_poll:
            # This status was requested before the pause.
            self._schedule_poll(0)
        self.gate.start_queued()

    def _note_failed_poll(self, error):
        if error.kind is Kind.BROKEN:
            self.cold_start.require_proof()
        self._failed_polls += 1
        if self._failed_polls >= FAILED_POLLS:
            self._set_reachable(False)

    def _apply_status(self, status):
        if self.cold_start.is_superseded(status.incarnation):
            # A lagging status of a process that no longer runs.
            return
        self._note_reachable()
        restarted = self.cold_start.note_status(status.incarnation)
        if restarted:
            self._announcer.announce_cold("a new incarnation")
        if status.state == "draining":
            self._status_draining = True
            self._begin_drain()
        elif self.draining and (restarted or self._drain_is_over()):
            self._end_drain()
        changed = self._served.note_status(status.indexes, self._clock.now_ms())
        # An order server has no indexes whose change would publish an update.
        # Without an update at the first status, other daemons would keep the last
        # one of its former holder.
        if changed or restarted or self._unannounced:
            self._unannounced = False
            self._publish()

    def _begin_drain(self):
        if self.draining:
            return
        self.draining = True
        self.gate.refuse_all("the server drains")
        self._publish()

    def _drain_is_over(self):
        if self._status_draining:
            return True
        age_ms = self._clock.now_ms() - self._drain_refusal_ms
        return age_ms >= DRAIN_RECHECK_MS

    def _end_drain(self):
        self.draining = False
        self._status_draining = False
        self._reset_to_cold("the server was draining")
        self._publish()

    # Catalog

    def catalog_update(self):
        """Return the ``CatalogUpdate`` that describes the server now."""
        has_slots = bool((self.gate.share or NO_SHARE).slots)
        return CatalogUpdate(
            server=self.name,
            incarnation=self.cold_start.incarnation or "",
            sequence=self._sequence,
            available=has_slots and self._reachable and not self.draining,
            indexes=self._served.indexes,
        )

    def _publish(self):
        self._sequence += 1
        self._holder.send_update(self.catalog_update())
