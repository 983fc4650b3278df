"""Counts of the answers of both versions, at one daemon and over all daemons.

Each daemon sends totals since it has seen the order, so a message that arrives late or
twice changes nothing. Answers the load of one order: at most ``MAX_ROWS`` combinations
of route, region and server at each daemon.
"""

import math

from hemlockspoke.tier.rollouts.order import Phase

# Limit on the rows of one daemon: a service has about 6 routes, 3 regions and up to 20
# servers of the target version; more are not counted.
MAX_ROWS = 128
# Limit on the rows of the sum over all daemons, which is not sent.
MAX_TOTAL_ROWS = 1024
# Processing times are counted in bins whose bounds rise by the fourth root of 2, up to
# 16 s: fine enough to tell twice the usual time, and few enough to be sent.
BINS_PER_OCTAVE = 4
MAX_BIN = 14 * BINS_PER_OCTAVE
# Phases of daemons that send everything to the target version.
SWITCHED = (Phase.SWITCHING.value, Phase.COMPLETING.value)
# Counts stay exact as floats.
MAX_COUNT = 2**53


def time_bin(work_ms):
    """Return the bin of a processing time.

    >>> time_bin(0.3), time_bin(20.0), time_bin(60.0), time_bin(1e9) == MAX_BIN
    (0, 17, 23, True)
    """
    return min(MAX_BIN, int(BINS_PER_OCTAVE * math.log2(max(1.0, work_ms))))


def bin_ms(number):
    """Return the lower bound of a bin in ms.

    >>> bin_ms(8)
    4.0
    """
    return 2.0 ** (number / BINS_PER_OCTAVE)


class Counts:
    """Answers of one server on one route: failures, and the others by time.

    ``times`` maps bins of processing times to numbers of answers.
    """

    __slots__ = ("failures", "times")

    def __init__(self, failures=0, times=None):
        self.failures = failures
        self.times = times or {}

    @property
    def answers(self):
        """Return the number of all answers."""
        return self.failures + sum(self.times.values())

    def add(self, other):
        """Add the counts of another object."""
        self.failures += other.failures
        for number, count in other.times.items():
            self.times[number] = self.times.get(number, 0) + count

    def slower_than(self, limit_ms):
        """Return how many answers took at least ``limit_ms``.

        >>> Counts(1, {8: 5, 20: 2}).slower_than(30.0)
        2
        """
        return sum(
            count for number, count in self.times.items() if bin_ms(number) >= limit_ms
        )


class Tally:
    """What one daemon has seen of an order; ``rows`` maps keys to ``Counts``.

    A key is ``(route, region, server_id, is_target)``; the servers of the old version
    are not told apart, their id is empty. ``sent_target`` counts the requests sent to
    servers of the target version, ``sent_total`` all requests sent to the service,
    without repeats. ``old_in_progress`` counts the requests in progress at servers of
    other versions.
    """

    __slots__ = ("old_in_progress", "rows", "sent_target", "sent_total")

    def __init__(self):
        self.rows = {}
        self.sent_target = 0
        self.sent_total = 0
        self.old_in_progress = 0

    def record(self, key, work_ms):
        """Count one answer, or a failure if ``work_ms`` is None."""
        counts = self.rows.get(key)
        if counts is None:
            if len(self.rows) >= MAX_ROWS:
                return
            counts = self.rows[key] = Counts()
        if work_ms is None:
            counts.add(Counts(1))
        else:
            counts.add(Counts(0, {time_bin(work_ms): 1}))

    def has_target_answers(self):
        """Return whether the target version has answered without a failure."""
        return any(key[3] and counts.times for key, counts in self.rows.items())

    def to_rows(self):
        """Return the rows for a message."""
        return [
            [*key, counts.failures, dict(counts.times)]
            for key, counts in self.rows.items()
        ]

    def add(self, other):
        """Add what another tally has counted, except for requests in progress."""
        self.sent_target += other.sent_target
        self.sent_total += other.sent_total
        for key, counts in other.rows.items():
            if key in self.rows or len(self.rows) < MAX_TOTAL_ROWS:
                self.rows.setdefault(key, Counts()).add(counts)

    @classmethod
    def from_message(cls, message):
        """Return the tally of a ``RolloutEvidence``, or None if it is malformed."""
        rows = message.rows
        if not isinstance(rows, list) or len(rows) > MAX_ROWS:
            return None
        tally = cls()
        tally.sent_target = message.sent_target
        tally.sent_total = message.sent_total
        tally.old_in_progress = message.old_in_progress
        numbers = [tally.sent_target, tally.sent_total, tally.old_in_progress]
        for row in rows:
            if not isinstance(row, list) or len(row) != 6:
                return None
            route, region, server_id, is_target, failures, times = row
            texts = (route, region, server_id)
            if not all(isinstance(text, str) for text in texts):
                return None
            if not isinstance(times, dict) or len(times) > MAX_BIN + 1:
                return None
            if not all(_is_count(bin_) and bin_ <= MAX_BIN for bin_ in times):
                return None
            numbers += [failures, *times.values()]
            tally.rows[route, region, server_id, bool(is_target)] = Counts(
                failures, times
            )
        return tally if all(map(_is_count, numbers)) else None


def _is_count(value):
    return type(value) is int and 0 <= value <= MAX_COUNT


class _Report:
    __slots__ = ("phase", "process", "sequence", "tally")

    def __init__(self, process, sequence, phase, tally):
        self.process = process
        self.sequence = sequence
        self.phase = phase
        self.tally = tally


class CollectedEvidence:
    """The newest tally of each daemon, by VM, and their sum.

    The tallies of earlier processes of a daemon are kept as one sum, since what they
    have sent counts towards the exposure. Only registered daemons may report.
    """

    __slots__ = ("_ended", "_reports")

    def __init__(self):
        self._reports = {}
        self._ended = Tally()

    def add(self, vm, process, sequence, phase, tally):
        """Adopt the totals of a daemon unless newer ones are known."""
        report = self._reports.get(vm)
        if report is not None:
            if (process, sequence) <= (report.process, report.sequence):
                return
            if process != report.process:
                self._ended.add(report.tally)
        self._reports[vm] = _Report(process, sequence, phase, tally)

    def total(self):
        """Return the sum of all tallies."""
        total = Tally()
        total.add(self._ended)
        for report in self._reports.values():
            total.add(report.tally)
        return total

    def has_phase(self, phase):
        """Return whether some daemon has reported a phase."""
        return any(report.phase == phase.value for report in self._reports.values())

    def is_followed(self, vms):
        """Return whether most daemons that report have switched."""
        phases = [self._reports[vm].phase for vm in vms if vm in self._reports]
        return 2 * sum(phase in SWITCHED for phase in phases) > len(phases)

    def has_left_old(self, vms):
        """Return whether daemons have switched and have nothing at old servers."""
        return all(
            vm in self._reports
            and self._reports[vm].phase in SWITCHED
            and not self._reports[vm].tally.old_in_progress
            for vm in vms
        )
