"""Tail probabilities of counts, for comparisons of some tens of answers."""

import math


def poisson_tail(count, mean):
    """Return the probability of at least ``count`` events where ``mean`` are expected.

    >>> round(poisson_tail(2, 0.5), 3), poisson_tail(0, 0.5)
    (0.09, 1.0)
    """
    term, below = math.exp(-mean), 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return max(0.0, 1.0 - below)


def hypergeometric_tail(bad, answers, rest_bad, rest_answers):
    """Return the probability that a group gets at least ``bad`` of all bad answers.

    That is, by chance alone, if each answer of the group and of the rest is as likely
    to be bad as any other.

    >>> round(hypergeometric_tail(4, 9, 1, 18), 3)
    0.03
    """
    total_bad, total = bad + rest_bad, answers + rest_answers
    cases = sum(
        math.comb(answers, number) * math.comb(rest_answers, total_bad - number)
        for number in range(bad, min(answers, total_bad) + 1)
    )
    return cases / math.comb(total, total_bad)
