"""What a server says it serves, corrected by its refusals."""

# A status may be this much older than a refusal that contradicts it.
GONE_HOLD_MS = 10_000


class ServedIndexes:
    """Index versions and parts of one server, in the form of ``CatalogUpdate``.

    A status lags, so parts that a query has been told are gone are left out of
    later statuses for a while.
    """

    __slots__ = ("_gone", "indexes")

    def __init__(self):
        self.indexes = {}
        self._gone = {}

    def note_status(self, indexes, now_ms):
        """Take the indexes of a status and tell whether anything changed."""
        self._gone = {key: end for key, end in self._gone.items() if end > now_ms}
        return self._replace(self._without_gone(indexes))

    def note_gone(self, index, version, parts, indexes, now_ms):
        """Take a refusal of ``parts`` and tell whether anything changed."""
        version = str(version)
        if indexes is None:
            indexes = self.indexes
        served = indexes.get(index, {}).get(version, {"parts": []})["parts"]
        for part in parts:
            if part not in served:
                self._gone[(index, version, part)] = now_ms + GONE_HOLD_MS
        return self._replace(self._without_gone(indexes))

    def clear(self):
        """Forget everything."""
        self.indexes = {}
        self._gone = {}

    def _replace(self, indexes):
        changed = indexes != self.indexes
        self.indexes = indexes
        return changed

    def _without_gone(self, indexes):
        kept = {}
        for index, versions in indexes.items():
            kept[index] = {
                version: {**entry, "parts": self._kept(index, version, entry["parts"])}
                for version, entry in versions.items()
            }
        return kept

    def _kept(self, index, version, parts):
        return [part for part in parts if (index, version, part) not in self._gone]
