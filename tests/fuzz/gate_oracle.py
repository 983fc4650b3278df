"""What a holder may do, judged from what it has been shown of one server."""

RAMP_SUCCESSES = 3
PROOF_TTL_MS = 5000
ANSWER_MEMORY_MS = 60_000
DRAIN_RECHECK_MS = 60_000

SUCCESS = "success"
SIGNS = ("shed", "broken")
REPLIES = (SUCCESS, "shed", "draining", "version_gone")
NOT_SENT_STATUSES = ("refused", "unreachable")


class Oracle:
    """Limits, signs and answers; ``failures`` lists what must not have happened.

    ``sign`` separates requests sent before and after a sign, since only the latter
    show anything about the server as it is now.
    """

    def __init__(self, clock):
        self.clock = clock
        self.failures = []
        self.slots = 0
        self.cold_start_slots = 0
        self.out = False
        self.drained = False
        self.said_draining = False
        self.refused_draining_ms = None
        self.cold = True
        self.sign = 0
        self.row = 0
        self.proof_ms = None
        self.known = []
        self.reported = None
        self.sign_of = {}
        self.sent_ids = {}
        self.unsent_ids = set()
        self.answers = {}
        self.deadlines = {}
        self.cancelled = set()
        self.order_answers = {}
        self.order_messages = {}

    def fail(self, text):
        self.failures.append(text)

    # Signs

    def show_sign(self):
        self.cold = True
        self.row = 0
        self.sign += 1

    def demand_proof(self):
        self.sign += 1
        self.proof_ms = None

    def show_incarnation(self, incarnation):
        """Note an incarnation that the holder sees; a new one is a sign."""
        if incarnation in self.known:
            return
        if self.known:
            self.show_sign()
            self.proof_ms = None
        self.known.append(incarnation)

    def show_end(self, call, end, incarnation):
        """Note the end of a request that the holder is about to see."""
        current = self.sign_of[call] == self.sign
        if end in REPLIES:
            self.show_incarnation(incarnation)
            if current and self.sign_of[call] == self.sign:
                self.proof_ms = self.clock.now_ms()
        if end in SIGNS:
            self.show_sign()
        elif end == "draining":
            self.drained = True
            self.refused_draining_ms = self.clock.now_ms()
        elif end == SUCCESS and self.sign_of[call] == self.sign:
            self.row += 1
            self.cold = self.cold and self.row < RAMP_SUCCESSES
        elif end not in (SUCCESS, "version_gone", "cancelled"):
            self.row = 0

    def show_status(self, status):
        """Note a status, which may be that of an incarnation that has ended."""
        if status.incarnation in self.known[:-1]:
            return
        unknown = status.incarnation not in (*self.known, self.reported)
        restarted = unknown and bool(self.known)
        if unknown:
            self.reported = status.incarnation
        if restarted:
            self.show_sign()
            self.proof_ms = None
        if status.state == "draining":
            self.drained = self.said_draining = True
        elif self.drained and (restarted or self._drain_over()):
            self.drained = self.said_draining = False
            self.show_sign()

    def _drain_over(self):
        if self.said_draining:
            return True
        return self.clock.now_ms() - self.refused_draining_ms >= DRAIN_RECHECK_MS

    def show_peer(self, state, incarnation, is_news):
        """Note a message of the holder that has the cold-start slot."""
        if incarnation in self.known[:-1]:
            return
        if state == "cold":
            if is_news:
                self.show_sign()
            return
        self.show_incarnation(incarnation)
        self.proof_ms = self.clock.now_ms()
        if not self.cold_start_slots and is_news:
            self.cold = False

    # Sends

    def limit(self):
        proven = self.proof_ms is not None
        proven = proven and self.clock.now_ms() - self.proof_ms <= PROOF_TTL_MS
        if self.cold or not proven:
            return min(self.cold_start_slots, self.slots)
        return self.slots

    def note_sent(self, call, open_now):
        request_id = call.request.request_id
        self.sign_of[call] = self.sign
        self.sent_ids[request_id] = self.sent_ids.get(request_id, 0) + 1
        if self.out or self.drained:
            self.fail(f"{request_id} was sent to a server that is out or draining")
        if open_now > self.limit():
            self.fail(f"{open_now} open with limit {self.limit()}")
        if request_id in self.unsent_ids:
            self.fail(f"{request_id} was sent after it was said not to be")
        if call.kind == "order" and self.sent_ids[request_id] > 1:
            self.fail(f"order {request_id} was sent twice")

    # Answers

    def note_answers(self, message):
        for sub_id, status, *_ in message.items:
            request_id = f"{message.request_id}/{sub_id}"
            self.answers[request_id] = self.answers.get(request_id, 0) + 1
            if self.answers[request_id] > 1:
                self.fail(f"{request_id} was answered twice")
            if status in NOT_SENT_STATUSES:
                self._note_unsent(request_id)

    def note_order_answer(self, answer):
        request_id = answer.request_id
        now_ms = self.clock.now_ms()
        answers = self.order_answers.setdefault(request_id, [])
        answers.append((answer.status, now_ms))
        first_status, first_ms = answers[0]
        # The result is kept for a bounded time, after which it is not known.
        forgotten = first_status == "done" and now_ms - first_ms >= ANSWER_MEMORY_MS
        if answer.status != ("unknown" if forgotten else first_status):
            self.fail(f"order {request_id} has different answers")
        if answer.status == "not_sent":
            self._note_unsent(request_id)

    def _note_unsent(self, request_id):
        self.unsent_ids.add(request_id)
        if request_id in self.sent_ids:
            self.fail(f"{request_id} was sent but is said not to be")

    def expect(self, request_ids, remaining_ms):
        deadline_ms = self.clock.now_ms() + remaining_ms
        self.deadlines.update(dict.fromkeys(request_ids, deadline_ms))

    def check_deadlines(self):
        """Sub-queries must have their answer by their deadline."""
        for request_id, deadline_ms in list(self.deadlines.items()):
            if request_id in self.answers or request_id in self.cancelled:
                del self.deadlines[request_id]
            elif deadline_ms < self.clock.now_ms():
                self.fail(f"{request_id} was not answered in time")

    def check_orders_answered(self):
        for request_id, count in self.order_messages.items():
            if len(self.order_answers.get(request_id, [])) != count:
                self.fail(f"order {request_id} lacks an answer")
