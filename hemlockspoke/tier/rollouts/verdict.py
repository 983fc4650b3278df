"""Compares the answers of the target version with those of the old one.

The number of bad answers of the target version is compared with the number that the
old version leads to expect on the same routes and in the same regions, by the upper
tail of a Poisson distribution. So trouble of a region, which affects both versions, and
differences between routes lead to no verdict. An answer is bad if it failed, or if it
took several times as long as most answers of the old version on its route. A version
whose answers are slower as a whole shows in few of them by a rank sum over the routes.

Answers the load of some tens of answers of the target version and up to some thousands
of the old one.
"""

import math
from collections import defaultdict

from hemlockspoke.tier.rollouts.evidence import Counts, bin_ms
from hemlockspoke.tier.rollouts.tails import hypergeometric_tail, poisson_tail

# Probability of so many failures of a version as good as the old one, below which it
# counts as bad. Each order is examined about 30 times.
FAILURE_LEVEL = 0.004
# The same for slow answers. They come in groups, since a pause delays several requests.
SLOW_LEVEL = 0.0005
# Least numbers of bad answers for a verdict; single ones occur at any server.
MIN_FAILURES = 3
MIN_SLOW = 5
# With fewer answers a pause and a region in trouble together can make all of them slow.
MIN_SLOW_ANSWERS = 15
# A version is not completed below these levels.
SUSPECT_FAILURE_LEVEL = 0.05
SUSPECT_SLOW_LEVEL = 0.005
# With fewer answers a version is only assumed to be good if none of them failed.
FEW_ANSWERS = 10
# The rank sum compares the times of the target version with those of the old one, which
# are raised by three bins, a factor of 1.7: a slightly slower version is not bad.
RANK_SHIFT_BINS = 3
RANK_LEVEL = 3.5
SUSPECT_RANK_LEVEL = 2.0
MIN_RANKED = 12
MIN_SUSPECT_RANKED = 6
# An answer counts as slow from this many times the median of the old version on, and
# from this much above it, which covers jitter of the daemon.
SLOW_RATIO = 2.0
SLOW_MARGIN_MS = 4.0
# With fewer answers of the old version the median of a route means little.
MIN_MEDIAN_ANSWERS = 5
# Answers that the rates of the old version are assumed to rest on beforehand, and how
# many of them were bad; and weight of the common rate in that of a route or region.
PRIOR_ANSWERS = 20.0
PRIOR_FAILURES = 0.2
PRIOR_SLOW = 1.5
STRATUM_WEIGHT = 5.0
# Servers pause at times, which delays about this part of all answers, in groups. Some
# tens of answers of the old version may have met no pause.
PAUSED_PART = 0.05
# From this many answers of the old version on a route, and in a region, at most their
# slow part and its standard deviation is assumed. If 4% are slow, in groups of two, 200
# answers have met four pauses, and none with a probability of 0.02.
MIN_PART_ANSWERS = 200
# Servers have 2 or 3 slots, so a pause makes about so many answers slow.
PAUSE_GROUP = 2
# If all servers but one, or all regions but one, have this many answers together, the
# server or the region may be in trouble and not the version.
CLEAN_ANSWERS = 10
# Probability that one server or region, whichever it is, gets so many of the bad
# answers by chance, below which it is different from the others.
CLEAN_LEVEL = 0.1
# Probability of the bad answers of the others, above which they count as clean. A pause
# makes one or two of them slow, and a single failure proves nothing.
REST_FAILURE_LEVEL = 0.02
REST_SLOW_LEVEL = 0.01
# Fields of the keys of a tally's rows by which bad answers may be alone.
REGION, SERVER = 1, 2
CLEARED, ONE_GROUP, SEVERAL = "cleared", "one group", "several"


class Judgement:
    """The result of a comparison; ``is_bad`` and ``is_suspect`` decide on a version.

    ``is_thin`` is whether a suspicion rests on a few bad answers only. ``reason`` is a
    text for operators.
    """

    __slots__ = ("is_bad", "is_suspect", "is_thin", "reason")

    def __init__(self, is_bad, is_suspect, reason, is_thin=False):
        self.is_thin = is_thin
        self.is_bad = is_bad
        self.is_suspect = is_suspect
        self.reason = reason


class _Kind:
    """One kind of bad answers; ``count(route, counts)`` returns their number.

    ``is_grouped`` is whether one event makes several answers bad, as a pause does.
    """

    __slots__ = (
        "count",
        "floor",
        "is_grouped",
        "level",
        "min_answers",
        "minimum",
        "prior",
        "rest_level",
        "suspect_level",
        "text",
    )

    def __init__(
        self,
        text,
        count,
        level,
        suspect_level,
        minimum,
        prior,
        rest_level,
        floor=0.0,
        min_answers=0,
        is_grouped=False,
    ):
        self.is_grouped = is_grouped
        self.min_answers = min_answers
        self.floor = floor
        self.rest_level = rest_level
        self.text = text
        self.count = count
        self.level = level
        self.suspect_level = suspect_level
        self.minimum = minimum
        self.prior = prior


def _kinds(old):
    """Return the kinds of bad answers, given the rows of the old version."""
    limits_ms = _slow_limits_ms(old)

    def failures(route, counts):
        return counts.failures

    def slow(route, counts):
        return counts.slower_than(limits_ms.get(route, math.inf))

    return (
        _Kind(
            "failed",
            failures,
            FAILURE_LEVEL,
            SUSPECT_FAILURE_LEVEL,
            MIN_FAILURES,
            PRIOR_FAILURES,
            REST_FAILURE_LEVEL,
        ),
        _Kind(
            "were slow",
            slow,
            SLOW_LEVEL,
            SUSPECT_SLOW_LEVEL,
            MIN_SLOW,
            PRIOR_SLOW,
            REST_SLOW_LEVEL,
            PAUSED_PART,
            MIN_SLOW_ANSWERS,
            is_grouped=True,
        ),
    )


def _slow_limits_ms(old):
    """Return by route from which processing time on an answer is slow."""
    by_route = {}
    for (route, _, _, _), counts in old.items():
        by_route.setdefault(route, Counts()).add(counts)
    limits_ms = {}
    for route, counts in by_route.items():
        answers = sum(counts.times.values())
        if answers < MIN_MEDIAN_ANSWERS:
            continue
        below = 0
        for number in sorted(counts.times):
            below += counts.times[number]
            if 2 * below >= answers:
                break
        # The upper bound of the median's bin.
        median_ms = bin_ms(number + 1)
        limits_ms[route] = max(SLOW_RATIO * median_ms, median_ms + SLOW_MARGIN_MS)
    return limits_ms


def judge(rows):
    """Return the ``Judgement`` on the rows of a ``Tally``.

    >>> from hemlockspoke.tier.rollouts.evidence import Counts
    >>> judge({
    ...     ("item", "a", "s1", False): Counts(0, {17: 100}),
    ...     ("item", "a", "s2", True): Counts(4, {17: 6}),
    ...     ("item", "b", "s3", True): Counts(4, {17: 6}),
    ... }).reason
    '8 of 20 answers failed, 0.0 expected'
    """
    target = {key: counts for key, counts in rows.items() if key[3]}
    old = {key: counts for key, counts in rows.items() if not key[3]}
    answer_count = sum(counts.answers for counts in target.values())
    old_count = sum(counts.answers for counts in old.values())
    if not answer_count and old_count >= FEW_ANSWERS:
        # After a restart the decider may not know what was sent before it.
        return Judgement(False, True, "no answer of the target version", is_thin=True)
    routes = sorted({key[0] for key in target})
    judgement = Judgement(False, False, f"{answer_count} answers, none suspect")
    for kind in _kinds(old):
        expected = _Expectation(kind, old)
        groups = [("", target, 1)]
        if len(routes) > 1:
            groups += [
                (f" on route {route}", _of_route(target, route), len(routes))
                for route in routes
            ]
        for where, group, looks in groups:
            tail, text = _compare(kind, group, expected)
            bad_count = _bad_count(kind, group)
            if not bad_count:
                continue
            by_region = _spread(kind, group, REGION, expected)
            by_server = _spread(kind, group, SERVER, expected)
            if CLEARED in (by_region, by_server):
                continue
            is_enough = _answer_count(group) >= kind.min_answers
            is_proved = (
                is_enough and bad_count >= kind.minimum and by_region != ONE_GROUP
            )
            is_bad = is_proved and tail < kind.level / looks
            is_suspect = bad_count > 1 and tail < kind.suspect_level / looks
            if is_bad:
                return Judgement(True, True, text + where)
            if is_suspect:
                is_thin = not judgement.is_suspect or judgement.is_thin
                is_thin = is_thin and bad_count < kind.minimum
                judgement = Judgement(False, True, text + where, is_thin)
    score, ranked = _rank_score(target, old)
    if ranked >= MIN_SUSPECT_RANKED and score > SUSPECT_RANK_LEVEL:
        text = f"{ranked} answers slower as a whole, score {score:.1f}"
        is_bad = ranked >= MIN_RANKED and score > RANK_LEVEL
        judgement = Judgement(is_bad, True, text)
        if is_bad:
            return judgement
    failures = sum(counts.failures for counts in target.values())
    old_failures = sum(counts.failures for counts in old.values())
    if 0 < answer_count < FEW_ANSWERS and failures and not old_failures:
        text = f"{failures} of only {answer_count} answers failed"
        is_thin = not judgement.is_suspect
        return Judgement(False, True, text, is_thin)
    return judgement


def _of_route(rows, route):
    return {key: counts for key, counts in rows.items() if key[0] == route}


def _rank_score(target, old):
    """Return by how many standard deviations the target version is slower.

    That is a rank sum within each route, summed over the routes. Return also how many
    of its answers were compared.
    """
    times = {}
    for side, rows in enumerate((target, old)):
        for (route, _, _, _), counts in rows.items():
            sides = times.setdefault(route, (Counts(), Counts()))
            sides[side].add(counts)
    excess = variance = 0.0
    ranked = 0
    for target_counts, old_counts in times.values():
        target_count = sum(target_counts.times.values())
        old_count = sum(old_counts.times.values())
        if not target_count or not old_count:
            continue
        ranked += target_count
        pairs = target_count * old_count
        slower = sum(
            count * old_number * _order(number, old_bin + RANK_SHIFT_BINS)
            for number, count in target_counts.times.items()
            for old_bin, old_number in old_counts.times.items()
        )
        excess += slower - pairs / 2.0
        variance += pairs * (target_count + old_count + 1) / 12.0
    return (excess / math.sqrt(variance) if variance else 0.0), ranked


def _order(one, other):
    """Return 1 if the first is greater, 0 if the second is, and 0.5 if they agree."""
    return 0.5 if one == other else float(one > other)


class _Expectation:
    """How many bad answers the old version leads to expect."""

    __slots__ = ("_common_rate", "_kind", "_strata")

    def __init__(self, kind, old):
        self._kind = kind
        self._strata = defaultdict(lambda: [0, 0])
        answers = bad = 0
        for (route, region, _, _), counts in old.items():
            for name in (("route", route), ("region", region)):
                self._strata[name][0] += counts.answers
                self._strata[name][1] += kind.count(route, counts)
            answers += counts.answers
            bad += kind.count(route, counts)
        self._common_rate = (bad + kind.prior) / (answers + PRIOR_ANSWERS)

    def rate(self, route, region):
        """Return the expected part of the answers on a route in a region."""
        prior_bad = STRATUM_WEIGHT * self._common_rate
        # A route in one region has too few answers for a rate of its own.
        strata = (
            self._strata.get(("route", route), (0, 0)),
            self._strata.get(("region", region), (0, 0)),
        )
        rate = max(
            (bad + prior_bad) / (answers + STRATUM_WEIGHT) for answers, bad in strata
        )
        answers = min(answers for answers, _ in strata)
        floor = self._kind.floor
        if answers >= MIN_PART_ANSWERS:
            floor = min(floor, rate + math.sqrt(PAUSE_GROUP * rate / answers))
        return max(floor, rate)


def _compare(kind, target, expectation):
    """Return the tail probability of the bad answers, and a text."""
    answers = bad = 0
    expected = 0.0
    for (route, region, _, _), counts in target.items():
        answers += counts.answers
        bad += kind.count(route, counts)
        expected += counts.answers * expectation.rate(route, region)
    text = f"{bad} of {answers} answers {kind.text}, {expected:.1f} expected"
    return poisson_tail(bad, expected), text


def _spread(kind, target, field, expectation):
    """Return whether the bad answers come from one server, or one region, alone.

    The worst group is left out. The result is ``SEVERAL`` if the answers of the others
    are bad too, and ``CLEARED`` if the others have enough answers and chance hardly
    explains that they have so few of the bad ones. Otherwise it is ``ONE_GROUP``.
    """
    groups = {}
    for key, counts in target.items():
        groups.setdefault(key[field], {})[key] = counts
    if len(groups) == 1 and _answer_count(target) >= FEW_ANSWERS:
        return SEVERAL
    worst = max(groups.values(), key=lambda group: _bad_count(kind, group))
    rest = {key: counts for key, counts in target.items() if key not in worst}
    tail, _ = _compare(kind, rest, expectation)
    rest_count, rest_bad = _answer_count(rest), _bad_count(kind, rest)
    # One bad answer among several occurs at any server.
    is_repeated = rest_bad >= 2 or 2 * rest_bad >= rest_count
    if tail < kind.rest_level and is_repeated:
        return SEVERAL
    if rest_count < CLEAN_ANSWERS:
        return ONE_GROUP
    bad, count = _bad_count(kind, worst), _answer_count(worst)
    if kind.is_grouped:
        # A pause explains the bad answers of the others.
        rate = (bad + rest_bad) / (count + rest_count)
        tail = (1.0 - rate) ** rest_count
    else:
        # The worst group was chosen among all.
        tail = len(groups) * hypergeometric_tail(bad, count, rest_bad, rest_count)
    return CLEARED if tail < CLEAN_LEVEL else ONE_GROUP


def _answer_count(rows):
    return sum(counts.answers for counts in rows.values())


def _bad_count(kind, rows):
    return sum(kind.count(key[0], counts) for key, counts in rows.items())
