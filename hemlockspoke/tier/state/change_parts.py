"""Divides changes of the store into messages that other daemons accept.

A list of all servers of a large system exceeds the limit of a frame between daemons, at
which the receiver would close the stream.
"""

import logging

import msgpack

from hemlockspoke.messages import MAX_FRAME_BYTES
from hemlockspoke.tier.messages import StoreChanges

logger = logging.getLogger(__name__)

# Limit on the changes of one message. A larger object is alone in its message; it is
# at most half as large as a frame (``MAX_OBJECT_BYTES``).
MAX_PART_BYTES = MAX_FRAME_BYTES // 4
# Limits on what is kept until the last part of a list has arrived. Parts are bounded by
# a frame, which may be much smaller on the network as it is compressed; a list of
# 100,000 servers has about 20 parts.
MAX_PENDING_CHANGES = 1_000_000
MAX_PENDING_PARTS = 64


def changes_messages(kind, changes, since, position, complete, age_ms=0.0):
    """Return the messages that relay changes; all but the last one have ``more``."""
    parts, size_bytes = [[]], 0
    for change in changes:
        item = [change.name, change.removed, change.spec]
        item_bytes = len(msgpack.packb(item, use_bin_type=True))
        if parts[-1] and size_bytes + item_bytes > MAX_PART_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(item)
        size_bytes += item_bytes
    return [
        StoreChanges(
            kind=kind,
            era=position.era,
            since=since,
            revision=position.revision,
            changes=part,
            complete=complete,
            age_ms=round(age_ms),
            more=number < len(parts),
        )
        for number, part in enumerate(parts, start=1)
    ]


class PendingParts:
    """Parts of changes that have arrived before the last one, by sender and kind.

    A stream delivers the parts of one kind in order and without others between them.
    Changes over a limit are dropped as a whole, as a list with gaps would remove
    servers that exist.
    """

    __slots__ = ("_pending",)

    def __init__(self):
        # Number of parts and their changes, which are None if they were dropped.
        self._pending = {}

    def add(self, vm, message):
        """Add a part; return all changes if it is the last one, otherwise None."""
        key = (vm, message.kind)
        parts, changes = self._pending.pop(key, (0, []))
        parts += 1
        if changes is not None:
            changes.extend(message.changes)
            if len(changes) > MAX_PENDING_CHANGES or parts > MAX_PENDING_PARTS:
                logger.error(
                    "too many changes", extra={"peer": vm, "kind": message.kind}
                )
                changes = None
        if not message.more:
            return changes
        self._pending[key] = parts, changes
        return None

    def discard(self, vm):
        """Discard the parts of a daemon whose stream has ended."""
        for key in [key for key in self._pending if key[0] == vm]:
            del self._pending[key]
