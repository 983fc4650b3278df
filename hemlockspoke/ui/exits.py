"""Exit codes of the command line, and the error that ends a command with one."""

from enum import IntEnum

from hemlockspoke.errors import HumanReadableError


class ExitCode(IntEnum):
    """Exit code of a command; see ``EXIT_CODE_HELP``."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    RACE_LOST = 3
    UNKNOWN = 4
    PARTIAL = 5


EXIT_CODE_HELP = (
    "Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 bad usage or "
    "bad input; 3 lost a race, nothing was changed; 4 the result is not known; "
    "5 some daemons did not answer, the others were summed."
)


class CommandFailed(HumanReadableError):
    """Ends a command with exit code ``code``.

    ``extra`` holds additional members of its JSON output.
    """

    def __init__(self, code, text, extra=None):
        super().__init__(text)
        self.code = code
        self.extra = dict(extra or {})

    @classmethod
    def from_findings(cls, findings):
        """Build from the ``Findings`` of a check."""
        finding_list = [finding.to_json() for finding in findings]
        return cls(ExitCode.BAD_INPUT, str(findings), {"findings": finding_list})

    def to_json(self):
        """Return the error as a JSON object."""
        return {"error": str(self), "exit_code": int(self.code), **self.extra}
