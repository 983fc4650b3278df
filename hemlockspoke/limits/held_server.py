"""One server in which this daemon has a share."""

from hemlockspoke.errors import UpstreamErrorKind as Kind
from hemlockspoke.limits.cold_start import ColdStart, LatencyStep
from hemlockspoke.limits.gate import Gate
from hemlockspoke.limits.holder_work import log_defect
from hemlockspoke.limits.state_announcer import StateAnnouncer
from hemlockspoke.messages import CatalogUpdate
from hemlockspoke.queries.served_indexes import ServedIndexes
from hemlockspoke.requests import Share

# After a refusal for draining a status of another state is believed only if a
# status has said "draining" before, or after this time, since statuses lag.
DRAIN_RECHECK_MS = 60_000

# Status polls in a row without a reply after which a server counts as unreachable.
FAILED_POLLS = 3

NO_SHARE = Share()


class HeldServer:
    """Gate, connections and what is known of one server.

    ``hooks`` is the ``Holder``: ``permits(name)``, ``send_update(message)``,
    ``send_state(message)``, ``paused()`` and ``count(name)`` are called.
    """

    __slots__ = (
        "_clock",
        "_failed_polls",
        "_hooks",
        "_invariants",
        "_poll_timer",
        "_poll_number",
        "_polling",
        "_reachable",
        "_refused_draining_ms",
        "_said_draining",
        "_sequence",
        "_served",
        "_stopped",
        "_timings",
        "_verified_by",
        "_peer_sequences",
        "_announcer",
        "_answered_poll",
        "_unannounced",
        "client",
        "cold_start",
        "draining",
        "gate",
        "name",
        "out",
        "server",
        "step",
    )

    def __init__(self, server, client, hooks, clock, invariants, timings):
        self.server = server
        self.name = server.name
        self.client = client
        self._hooks = hooks
        self._clock = clock
        self._invariants = invariants
        self._timings = timings
        ramp_successes = server.upstream_class.ramp_successes
        self.cold_start = ColdStart(ramp_successes, timings.proof_ttl_ms)
        self._announcer = StateAnnouncer(self.name, self.cold_start, hooks, clock)
        self.step = LatencyStep()
        self.gate = Gate(clock, self.cold_start, self.step)
        self.out = not hooks.permits(self.name)
        self.draining = False
        self._said_draining = False
        self._refused_draining_ms = None
        self._reachable = True
        self._failed_polls = 0
        self._served = ServedIndexes()
        # Starting from the time of day, sequences also rise over a restart.
        self._sequence = clock.wall_ms()
        self._peer_sequences = {}
        self._poll_timer = None
        self._polling = False
        self._poll_number = 0
        self._answered_poll = 0
        self._verified_by = 0
        self._stopped = False
        # The status has not yet been announced since the share was gained.
        self._unannounced = True
        client.set_loss_listener(self._connection_lost)

    # Share

    def set_share(self, share):
        """Use ``share`` from now on; None or an empty one ends all new work."""
        had_slots = self.gate.share is not None and self.gate.share.slots > 0
        self.gate.share = share
        share = share or NO_SHARE
        self.client.set_limit(share.connections)
        if not share.slots:
            self._close("the holder has no share")
            return
        if not had_slots:
            # Without connections a restart would have gone unseen.
            self.cold_start.suspect()
            self._unannounced = True
            self._schedule_poll(0)
        self.gate.pump()

    def demand_status(self):
        """Refuse new work until a status that is asked for from now on.

        After a pause of this process the server may have begun to drain unseen,
        and work that arrived during the pause must not reach it.
        """
        self._verified_by = self._poll_number + 1
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
        """Return the ``Share`` that is in use."""
        cold = self.gate.in_use if self._restricted() else 0
        return Share(self.gate.in_use, self.client.open_connections(), cold)

    def stop(self):
        """End all work that was not sent and close the connections."""
        self._stopped = True
        self.gate.share = None
        self._close("the daemon stops")
        self.client.close()

    def _close(self, detail):
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        self._served.clear()
        self.gate.refuse_all(detail)
        self._publish()

    # Work

    def submit(self, work, first=False):
        """Hand work to the gate, or refuse it at once."""
        if self._closed():
            work.refuse("the server gets no new work")
        else:
            self.gate.submit(work, first)

    def may_send(self):
        """Tell whether a request may leave now, and count it if so."""
        if self._hooks.paused() or self._closed() or not self.gate.may_send():
            return False
        self.gate.note_sent()
        self._check_invariants()
        return True

    def refresh(self, server):
        """Follow the configuration: the server's class and whether it is out."""
        if server is not None:
            self.server = server
            self.cold_start.ramp_successes = server.upstream_class.ramp_successes
        out = not self._hooks.permits(self.name)
        if out and not self.out:
            self.out = True
            self.gate.refuse_all("the server is out")
        elif self.out and not out:
            self.out = False
            self._trouble("the server was out")
        self.gate.pump()

    def _closed(self):
        unverified = self._answered_poll < self._verified_by
        closed = self.out or self.draining or unverified
        return closed or not self._hooks.permits(self.name)

    def _restricted(self):
        return self.cold_start.restricted(self._clock.now_ms())

    def _check_invariants(self):
        share = self.gate.share or NO_SHARE
        detail = f"{self.name}: {self.gate.sent} sent with {share}"
        check = self._invariants.check
        check("holder.share", self.gate.sent <= share.slots, detail)
        within = not self._restricted() or self.gate.sent <= share.cold_start_slots
        check("holder.cold_start", within, detail)
        check("holder.out", self._hooks.permits(self.name), detail)

    # Replies

    def note_reply(self, incarnation, epoch, latency_ms):
        """Take a reply that answered the request."""
        proven = self.cold_start.proven(self._clock.now_ms())
        self._reached()
        self._note_incarnation_of_reply(incarnation, epoch)
        if self.step.note(latency_ms, self._clock.now_ms()):
            self._trouble("its latency has stepped up")
        else:
            self.cold_start.note_success(epoch, self.gate.share or NO_SHARE)
        self._announce_change(proven)

    def note_error(self, error, epoch, latency_ms):
        """Take the error of a request that was sent."""
        proven = self.cold_start.proven(self._clock.now_ms())
        if error.incarnation:
            self._reached()
            self._note_incarnation_of_reply(error.incarnation, epoch)
        if error.kind in (Kind.SHED, Kind.BROKEN):
            self._trouble(error.kind.value)
        elif error.kind is Kind.DRAINING:
            self._refused_draining_ms = self._clock.now_ms()
            self._begin_drain()
        elif error.kind is not Kind.VERSION_GONE:
            # A request cancelled by this side tells nothing but its latency.
            if error.kind is not Kind.CANCELLED:
                self.cold_start.note_failure()
            now_ms = self._clock.now_ms()
            if self.step.note(latency_ms, now_ms, finished=False):
                self._trouble("its latency has stepped up")
        self._announce_change(proven)

    def note_refused_connection(self):
        """Take a connection that could not be made."""
        self._trouble("a connection was refused")
        self._set_reachable(False)

    def note_version_gone(self, index, version, parts, indexes):
        """Take what a 409 reply says of the parts it refused."""
        now_ms = self._clock.now_ms()
        if self._served.note_gone(index, version, parts, indexes, now_ms):
            self._publish()

    def note_peer_state(self, vm, message):
        """Take the state that another holder reports."""
        is_news = message.sequence > self._peer_sequences.get(vm, 0)
        if is_news:
            self._peer_sequences[vm] = message.sequence
        self.cold_start.note_peer(
            message.state,
            message.incarnation,
            is_news,
            self.gate.share or NO_SHARE,
            self._clock.now_ms(),
        )
        self.gate.pump()

    def _reached(self):
        self._failed_polls = 0
        self._set_reachable(True)

    def _set_reachable(self, reachable):
        if reachable != self._reachable:
            self._reachable = reachable
            self._publish()

    def _note_incarnation_of_reply(self, incarnation, epoch):
        now_ms = self._clock.now_ms()
        if self.cold_start.note_reply(incarnation, epoch, now_ms):
            self._announcer.announce_trouble("a new incarnation")

    def _connection_lost(self):
        self.cold_start.suspect()

    def _trouble(self, detail):
        self.cold_start.fall()
        self._announcer.announce_trouble(detail)

    def _announce_change(self, was_proven):
        """Tell the other holders of a step of the ramp or of a new proof."""
        if self._proves():
            self._announcer.announce_change(was_proven)

    def _proves(self):
        """Return whether what this holder says proves that the server is warm."""
        share = self.gate.share or NO_SHARE
        return bool(share.cold_start_slots) and not self._restricted()

    # Status

    def _schedule_poll(self, delay_ms):
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = self._clock.call_later(delay_ms, self._poll)

    def _poll(self):
        self._schedule_poll(self._timings.status_poll_ms)
        self._announcer.repeat(self._proves())
        if not self._polling:
            self._polling = True
            self._poll_number += 1
            polled = self.client.status()
            polled.addCallback(self._note_status)
            polled.addErrback(log_defect)

    def _note_status(self, result):
        self._polling = False
        self._answered_poll = self._poll_number
        if self._stopped or not (self.gate.share or NO_SHARE).slots:
            return
        if result.is_ok():
            self._use_status(result.ok)
        elif result.error.kind is Kind.REFUSED:
            self.note_refused_connection()
        elif result.error.sent:
            self._note_failed_poll(result.error)
        if self._answered_poll < self._verified_by:
            # This answer is to a question from before the pause.
            self._schedule_poll(0)
        self.gate.pump()

    def _note_failed_poll(self, error):
        if error.kind is Kind.BROKEN:
            self.cold_start.suspect()
        self._failed_polls += 1
        if self._failed_polls >= FAILED_POLLS:
            self._set_reachable(False)

    def _use_status(self, status):
        if self.cold_start.is_earlier(status.incarnation):
            # A lagging status of a process that has ended.
            return
        self._reached()
        restarted = self.cold_start.note_status(status.incarnation)
        if restarted:
            self._announcer.announce_trouble("a new incarnation")
        if status.state == "draining":
            self._said_draining = True
            self._begin_drain()
        elif self.draining and (restarted or self._drain_is_over()):
            self._end_drain()
        changed = self._served.note_status(status.indexes, self._clock.now_ms())
        # An order server has no indexes whose change would announce it; without
        # this the last word on it would be that of its former holder.
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
        if self._said_draining:
            return True
        age_ms = self._clock.now_ms() - self._refused_draining_ms
        return age_ms >= DRAIN_RECHECK_MS

    def _end_drain(self):
        self.draining = False
        self._said_draining = False
        self._trouble("the server was draining")
        self._publish()

    # Catalog

    def catalog_update(self):
        """Return the ``CatalogUpdate`` that describes the server now."""
        held = bool((self.gate.share or NO_SHARE).slots)
        return CatalogUpdate(
            server=self.name,
            incarnation=self.cold_start.incarnation or "",
            sequence=self._sequence,
            available=held and self._reachable and not self.draining,
            indexes=self._served.indexes,
        )

    def _publish(self):
        self._sequence += 1
        self._hooks.send_update(self.catalog_update())
