"""Merges the records of the parts of a query.

Records have a fixed size and are compared as byte strings.
"""

RECORD_BYTES = 16


class PartialAnswer:
    """Parts of some services: one proof for each, and their records in one body."""

    __slots__ = ("proofs", "records", "services")

    def __init__(self, services, proofs, records):
        self.services = frozenset(services)
        self.proofs = proofs
        self.records = records


def split_records(body):
    """Return the records of a part; an incomplete record at its end is ignored.

    >>> len(split_records(b"x" * 35))
    2
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def greatest_records(bodies, count):
    """Return the ``count`` greatest records, greatest first, as one body.

    >>> greatest_records([b"a" * 16 + b"c" * 16, b"b" * 16], 2)[:20]
    b'ccccccccccccccccbbbb'
    """
    records = []
    for body in bodies:
        part = split_records(body)
        if len(part) > count:
            part.sort(reverse=True)
            del part[count:]
        records.extend(part)
    records.sort(reverse=True)
    return b"".join(records[:count])
