"""Findings of a check, collected with their locations and reported together."""


class Finding:
    """One mistake: its location, what was found and what is allowed."""

    __slots__ = ("allowed", "column", "file", "found", "line", "path")

    def __init__(self, path, found, allowed, *, file="", line=0, column=0):
        self.path = path
        self.found = found
        self.allowed = allowed
        self.file = file
        self.line = line
        self.column = column

    def to_json(self):
        """Return the finding as a JSON object."""
        return {
            "file": self.file,
            "line": self.line,
            "column": self.column,
            "path": self.path,
            "found": self.found,
            "allowed": self.allowed,
        }

    def __str__(self):
        location = f"{self.file}:{self.line}:{self.column}"
        return f"{location}: {self.path}: found {self.found}; allowed: {self.allowed}"


class Findings:
    """All findings of one check, ordered by line and column."""

    __slots__ = ("_items",)

    def __init__(self, items=()):
        self._items = list(items)

    def add(self, finding):
        """Add one finding."""
        self._items.append(finding)

    def __bool__(self):
        return bool(self._items)

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(sorted(self._items, key=lambda item: (item.line, item.column)))

    def __str__(self):
        return "\n".join(str(finding) for finding in self)
