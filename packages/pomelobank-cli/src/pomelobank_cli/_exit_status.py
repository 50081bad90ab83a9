"""Exit statuses that a script can rely on."""

import enum


class ExitStatus(enum.IntEnum):
    """How a command ended.

    Attributes:
        OK: It did what it was asked for.
        REJECTED: The change was rejected; the reasons are shown.
        BAD_INPUT: The command line or a file is wrong.
        UNKNOWN: The outcome is not known; ask again with the change id.
        UNREACHABLE: The node did not answer.
        TIMED_OUT: What was waited for did not happen in time.
    """

    OK = 0
    REJECTED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    TIMED_OUT = 5
