"""Rendezvous hashing: an order of the VMs for each key."""

import xxhash

# Hash buckets of each region.
GROUP_BUCKETS = 256


def rank(key, names):
    """Return ``names`` from the highest to the lowest weight for ``key``.

    Adding or removing a name changes the first rank only of keys where it is first.
    """
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def weight(key, name):
    """Return the weight of a name for a key, an integer."""
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())


def fraction(name):
    """Return a number from 0 to 1 that differs by name, to spread what all would do.

    >>> fraction("vm-1") == fraction("vm-1"), 0.0 <= fraction("vm-1") < 1.0
    (True, True)
    """
    return weight("", name) / 2.0**64


def group_of(server_name, region):
    """Return the group of a server: its region and a hash bucket.

    The shares of all servers of a group are stored in one object.

    >>> group_of("rp-00-a", "mtl").startswith("mtl-")
    True
    """
    bucket = xxhash.xxh32_intdigest(server_name.encode()) % GROUP_BUCKETS
    return f"{region}-{bucket:02x}"
