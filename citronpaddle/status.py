"""Exit codes of all programs in the package."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit code of a program."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    BAD_DOCUMENT = 3
    UNAVAILABLE = 4
    CONFLICT = 5
    OUTCOME_UNKNOWN = 6
