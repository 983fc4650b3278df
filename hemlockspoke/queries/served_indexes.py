"""Index versions that a server reports in its status, corrected by its refusals."""

# A status may be outdated by this much relative to a refusal that contradicts it.
REFUSAL_HOLD_MS = 10_000


class ServedIndexes:
    """Index versions and parts of one server, in the form of ``CatalogUpdate``.

    A status may be outdated, so parts that the server has refused are left out of later
    statuses for ``REFUSAL_HOLD_MS``.
    """

    __slots__ = ("_refused", "indexes")

    def __init__(self):
        self.indexes = {}
        self._refused = {}

    def note_status(self, indexes, now_ms):
        """Apply the indexes of a status; return whether anything changed."""
        self._refused = {key: end for key, end in self._refused.items() if end > now_ms}
        return self._replace(self._without_refused(indexes))

    def note_refused_parts(self, index, version, parts, indexes, now_ms):
        """Apply a refusal of ``parts``; return whether anything changed.

        ``indexes`` are those listed in the refusal, or None for the known ones.
        """
        version = str(version)
        if indexes is None:
            indexes = self.indexes
        served = indexes.get(index, {}).get(version, {"parts": []})["parts"]
        for part in parts:
            if part not in served:
                self._refused[(index, version, part)] = now_ms + REFUSAL_HOLD_MS
        return self._replace(self._without_refused(indexes))

    def clear(self):
        """Remove all indexes and refusals."""
        self.indexes = {}
        self._refused = {}

    def _replace(self, indexes):
        changed = indexes != self.indexes
        self.indexes = indexes
        return changed

    def _without_refused(self, indexes):
        available = {}
        for index, versions in indexes.items():
            available[index] = {
                version: {
                    **entry,
                    "parts": self._available_parts(index, version, entry["parts"]),
                }
                for version, entry in versions.items()
            }
        return available

    def _available_parts(self, index, version, parts):
        return [part for part in parts if (index, version, part) not in self._refused]
