"""The requests of one account at a daemon, and the tokens that it holds for them.

The load that it answers: bursts of requests, which share questions to the keeper, and
requests over the quota, which are refused without a question each.
"""

from collections import OrderedDict

from hemlockspoke.tier.quotas.expiring_tokens import ExpiringTokens
from hemlockspoke.tier.sending.replies import ErrorReply

# Fraction of a request's target time for which it waits for a token, and its limits. A
# keeper that asks another region answers within 50 ms.
WAIT_FRACTION = 0.25
MIN_WAIT_MS = 50.0
MAX_WAIT_MS = 100.0
# But at most this fraction, as later tokens leave too little time for an answer.
MAX_WAIT_FRACTION = 0.5
# Questions on their way at once. Further requests share the next one.
MAX_QUESTIONS = 4
# A keeper that has not answered for this time is taken to be silent; it answers within
# 50 ms also if it asks keepers of other regions.
QUESTION_TIMEOUT_MS = 70.0
# After a refusal, further requests are refused without a question for at most this
# time; tokens that are created meanwhile stay in the keepers' buckets.
LOCAL_REFUSAL_MS = 20.0
# Told to callers while no keeper can be reached.
UNREACHABLE_RETRY_MS = 500.0


def longest_wait_ms(target_ms):
    """Return for how long a request with a target time may wait for a token.

    >>> longest_wait_ms(60.0), longest_wait_ms(107.0), longest_wait_ms(320.0)
    (30.0, 50.0, 80.0)
    """
    wait_ms = min(MAX_WAIT_MS, max(MIN_WAIT_MS, WAIT_FRACTION * target_ms))
    return min(wait_ms, MAX_WAIT_FRACTION * target_ms)


class _Question:
    """A question to a keeper that is not yet answered."""

    __slots__ = ("asked_ms", "count", "timer", "vm")

    def __init__(self, vm, count, asked_ms):
        self.vm = vm
        self.count = count
        self.asked_ms = asked_ms
        self.timer = None


class _Waiting:
    """A request that waits for a token since ``since_ms``."""

    __slots__ = ("proceed", "refuse", "since_ms", "timer")

    def __init__(self, proceed, refuse, since_ms):
        self.proceed = proceed
        self.refuse = refuse
        self.since_ms = since_ms
        self.timer = None


class AccountQueue:
    """Lets the requests of one account proceed, each with a token.

    ``keeper()`` returns the VM of the keeper to ask, or None; ``ask(vm, name, ask_id,
    count)`` sends a question. ``observer`` has ``admitted(waited_ms)``, ``refused``,
    ``asked(count)``, ``granted(count)``, ``keeper_silent(vm)`` and ``unreachable``.
    ``granted_ms`` is for how long a token may be used after it was asked for.
    """

    __slots__ = (
        "_ask",
        "_clock",
        "_expiry_by_request",
        "_held",
        "_keeper",
        "_next_ask_id",
        "_observer",
        "_questions",
        "_refuse_until_ms",
        "_retry_after_ms",
        "_waiting",
        "granted_ms",
        "name",
    )

    def __init__(self, name, granted_ms, clock, keeper, ask, observer):
        self.name = name
        self.granted_ms = granted_ms
        self._clock = clock
        self._keeper = keeper
        self._ask = ask
        self._observer = observer
        self._held = ExpiringTokens()
        self._waiting = OrderedDict()
        self._questions = {}
        self._next_ask_id = 0
        self._refuse_until_ms = 0.0
        self._retry_after_ms = 0.0
        # When the token of each request in progress expires.
        self._expiry_by_request = {}

    def admit(self, request, proceed, refuse):
        """See ``RequestGate.admit``."""
        now_ms = self._clock.now_ms()
        if not self._waiting:
            tokens = self._held.take(1, now_ms)
            if tokens:
                self._start(request, tokens[0], proceed, 0.0)
                return
            if now_ms < self._refuse_until_ms:
                self._refuse(refuse, "no token in the last answer")
                return
        waiting = self._waiting[request] = _Waiting(proceed, refuse, now_ms)
        self._ask_keeper()
        if request in self._waiting:
            wait_ms = longest_wait_ms(request.route.target_ms)
            waiting.timer = self._clock.call_after_reads(wait_ms, self._late, request)

    def withdraw(self, request):
        """Forget a request that waits."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None and waiting.timer is not None:
            waiting.timer.cancel()

    def finished(self, request, may_have_run):
        """Keep the token of a request that has not run, until it expires."""
        expires_ms = self._expiry_by_request.pop(request, None)
        if expires_ms is not None and not may_have_run:
            self._held.add(1, expires_ms)
            self._serve()

    def answered(self, vm, ask_id, count, empty_ms, retry_after_ms):
        """Use the answer of a keeper; a repeated or late one has no effect."""
        question = self._questions.get(ask_id)
        if question is None or question.vm != vm:
            return
        del self._questions[ask_id]
        if question.timer is not None:
            question.timer.cancel()
        now_ms = self._clock.now_ms()
        count = min(count, question.count)
        # The tokens were created after they had been asked for, so their age is known
        # however late the answer is.
        expires_ms = question.asked_ms + self.granted_ms
        if count and now_ms < expires_ms:
            self._observer.granted(count)
            self._held.add(count, expires_ms)
        self._serve()
        if count < question.count:
            self._refuse_until_ms = now_ms + min(empty_ms, LOCAL_REFUSAL_MS)
            self._retry_after_ms = retry_after_ms
            self._refuse_first(question.count - count)
        self._ask_keeper()

    def keeper_lost(self, vm):
        """Ask another keeper, as the stream to one is lost."""
        lost = [key for key, item in self._questions.items() if item.vm == vm]
        for ask_id in lost:
            self._questions.pop(ask_id).timer.cancel()
        if lost:
            self._ask_keeper()

    def release(self):
        """Let all waiting requests proceed, as the account has no quota any more."""
        self.drop_tokens()
        self.close()
        waiting, self._waiting = self._waiting, OrderedDict()
        for item in waiting.values():
            if item.timer is not None:
                item.timer.cancel()
            item.proceed()

    def drop_tokens(self):
        """Drop the tokens that are held, as the quota has changed."""
        self._held.clear()

    def close(self):
        """Stop the timers of questions, and ignore their answers."""
        for question in self._questions.values():
            if question.timer is not None:
                question.timer.cancel()
        self._questions.clear()

    def _start(self, request, expires_ms, proceed, waited_ms):
        self._expiry_by_request[request] = expires_ms
        self._observer.admitted(waited_ms)
        proceed()

    def _serve(self):
        while self._waiting:
            now_ms = self._clock.now_ms()
            tokens = self._held.take(1, now_ms)
            if not tokens:
                return
            request, waiting = self._waiting.popitem(last=False)
            if waiting.timer is not None:
                waiting.timer.cancel()
            waited_ms = now_ms - waiting.since_ms
            self._start(request, tokens[0], waiting.proceed, waited_ms)

    def _ask_keeper(self):
        """Ask for tokens for the waiting requests that no question stands for."""
        while self._waiting and len(self._questions) < MAX_QUESTIONS:
            expected = sum(question.count for question in self._questions.values())
            count = len(self._waiting) - expected
            if count <= 0:
                return
            vm = self._keeper(self.name)
            if vm is None:
                self._observer.unreachable(self.name)
                self._retry_after_ms = UNREACHABLE_RETRY_MS
                self._refuse_first(count, "no keeper of its quota can be reached")
                return
            self._next_ask_id += 1
            ask_id = self._next_ask_id
            question = _Question(vm, count, self._clock.now_ms())
            self._questions[ask_id] = question
            self._observer.asked(count)
            # The answer comes during the call if this daemon is the keeper.
            self._ask(vm, self.name, ask_id, count)
            if ask_id in self._questions:
                question.timer = self._clock.call_after_reads(
                    QUESTION_TIMEOUT_MS, self._timed_out, ask_id
                )

    def _timed_out(self, ask_id):
        question = self._questions.pop(ask_id, None)
        if question is not None:
            self._observer.keeper_silent(question.vm)
            self._ask_keeper()

    def _late(self, request):
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            self._refuse(waiting.refuse, "no token came in time")

    def _refuse_first(self, count, reason="no token is left"):
        for _ in range(min(count, len(self._waiting))):
            _, waiting = self._waiting.popitem(last=False)
            if waiting.timer is not None:
                waiting.timer.cancel()
            self._refuse(waiting.refuse, reason)

    def _refuse(self, refuse, reason):
        self._observer.refused(self.name, reason)
        refuse(
            ErrorReply.over_quota(
                f"{self.name} is over its quota: {reason}",
                self._retry_after_ms or UNREACHABLE_RETRY_MS,
            )
        )
