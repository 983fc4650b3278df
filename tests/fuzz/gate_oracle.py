"""Oracle for a holder: what it may send to one server after the events so far."""

RAMP_SUCCESSES = 3
PROOF_TTL_MS = 5000
ANSWER_RETENTION_MS = 60_000
DRAIN_RECHECK_MS = 60_000

SUCCESS = "success"
RESETTING_FAILURES = ("shed", "broken")
REPLIES = (SUCCESS, "shed", "draining", "version_gone")
NOT_SENT_STATUSES = ("refused", "unreachable")


class Oracle:
    """Models the limits and answers of a holder; ``failures`` lists violations.

    ``epoch`` rises at every sign that the server may have changed. Only replies to
    requests sent in the current epoch count as successes or proofs.
    """

    def __init__(self, clock):
        self.clock = clock
        self.failures = []
        self.slots = 0
        self.cold_start_slots = 0
        self.out = False
        self.draining = False
        self.status_draining = False
        self.drain_refusal_ms = None
        self.cold = True
        self.epoch = 0
        self.consecutive_successes = 0
        self.proof_ms = None
        self.known_incarnations = []
        self.status_incarnation = None
        self.epoch_of = {}
        self.send_counts = {}
        self.unsent_ids = set()
        self.answer_counts = {}
        self.deadlines = {}
        self.cancelled = set()
        self.order_answers = {}
        self.order_message_counts = {}

    def fail(self, text):
        self.failures.append(text)

    # Observed events

    def reset_to_cold(self):
        self.cold = True
        self.consecutive_successes = 0
        self.epoch += 1

    def require_proof(self):
        self.epoch += 1
        self.proof_ms = None

    def observe_incarnation(self, incarnation):
        """Record an incarnation that the holder sees; a new one resets to cold."""
        if incarnation in self.known_incarnations:
            return
        if self.known_incarnations:
            self.reset_to_cold()
            self.proof_ms = None
        self.known_incarnations.append(incarnation)

    def observe_end(self, call, outcome, incarnation):
        """Record the end of a request before the holder sees it."""
        current = self.epoch_of[call] == self.epoch
        if outcome in REPLIES:
            self.observe_incarnation(incarnation)
            if current and self.epoch_of[call] == self.epoch:
                self.proof_ms = self.clock.now_ms()
        if outcome in RESETTING_FAILURES:
            self.reset_to_cold()
        elif outcome == "draining":
            self.draining = True
            self.drain_refusal_ms = self.clock.now_ms()
        elif outcome == SUCCESS and self.epoch_of[call] == self.epoch:
            self.consecutive_successes += 1
            self.cold = self.cold and self.consecutive_successes < RAMP_SUCCESSES
        elif outcome not in (SUCCESS, "version_gone", "cancelled"):
            self.consecutive_successes = 0

    def observe_status(self, status):
        """Record a status, which may be that of an incarnation that has ended."""
        if status.incarnation in self.known_incarnations[:-1]:
            return
        unknown = status.incarnation not in (
            *self.known_incarnations,
            self.status_incarnation,
        )
        restarted = unknown and bool(self.known_incarnations)
        if unknown:
            self.status_incarnation = status.incarnation
        if restarted:
            self.reset_to_cold()
            self.proof_ms = None
        if status.state == "draining":
            self.draining = self.status_draining = True
        elif self.draining and (restarted or self._drain_is_over()):
            self.draining = self.status_draining = False
            self.reset_to_cold()

    def _drain_is_over(self):
        if self.status_draining:
            return True
        return self.clock.now_ms() - self.drain_refusal_ms >= DRAIN_RECHECK_MS

    def observe_peer_state(self, state, incarnation, is_new):
        """Record a message of the holder that has the cold-start slot."""
        if incarnation in self.known_incarnations[:-1]:
            return
        if state == "cold":
            if is_new:
                self.reset_to_cold()
            return
        self.observe_incarnation(incarnation)
        self.proof_ms = self.clock.now_ms()
        if not self.cold_start_slots and is_new:
            self.cold = False

    # Sends

    def limit(self):
        proven = self.proof_ms is not None
        proven = proven and self.clock.now_ms() - self.proof_ms <= PROOF_TTL_MS
        if self.cold or not proven:
            return min(self.cold_start_slots, self.slots)
        return self.slots

    def note_sent(self, call, open_count):
        request_id = call.request.request_id
        self.epoch_of[call] = self.epoch
        self.send_counts[request_id] = self.send_counts.get(request_id, 0) + 1
        if self.out or self.draining:
            self.fail(f"{request_id} was sent to a server that is out or draining")
        if open_count > self.limit():
            self.fail(f"{open_count} open calls exceed the limit {self.limit()}")
        if request_id in self.unsent_ids:
            self.fail(f"{request_id} was sent after it was reported as not sent")
        if call.kind == "order" and self.send_counts[request_id] > 1:
            self.fail(f"order {request_id} was sent twice")

    # Answers

    def note_answers(self, message):
        for sub_id, status, *_ in message.items:
            request_id = f"{message.request_id}/{sub_id}"
            self.answer_counts[request_id] = self.answer_counts.get(request_id, 0) + 1
            if self.answer_counts[request_id] > 1:
                self.fail(f"{request_id} was answered twice")
            if status in NOT_SENT_STATUSES:
                self._note_unsent(request_id)

    def note_order_answer(self, answer):
        request_id = answer.request_id
        now_ms = self.clock.now_ms()
        answers = self.order_answers.setdefault(request_id, [])
        answers.append((answer.status, now_ms))
        first_status, first_ms = answers[0]
        # The holder keeps the result for a limited time and then answers "unknown".
        forgotten = first_status == "done" and now_ms - first_ms >= ANSWER_RETENTION_MS
        if answer.status != ("unknown" if forgotten else first_status):
            self.fail(f"order {request_id} got different answers")
        if answer.status == "not_sent":
            self._note_unsent(request_id)

    def _note_unsent(self, request_id):
        self.unsent_ids.add(request_id)
        if request_id in self.send_counts:
            self.fail(f"{request_id} was sent but is reported as not sent")

    def expect_answers(self, request_ids, remaining_ms):
        deadline_ms = self.clock.now_ms() + remaining_ms
        self.deadlines.update(dict.fromkeys(request_ids, deadline_ms))

    def check_deadlines(self):
        """Check that sub-queries were answered by their deadline."""
        for request_id, deadline_ms in list(self.deadlines.items()):
            if request_id in self.answer_counts or request_id in self.cancelled:
                del self.deadlines[request_id]
            elif deadline_ms < self.clock.now_ms():
                self.fail(f"{request_id} was not answered in time")

    def check_orders_answered(self):
        for request_id, count in self.order_message_counts.items():
            if len(self.order_answers.get(request_id, [])) != count:
                self.fail(f"order {request_id} was not answered once per message")
