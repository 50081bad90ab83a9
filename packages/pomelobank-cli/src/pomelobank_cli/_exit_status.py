"""Exit statuses of the command line, stable for scripts."""

import enum


class ExitStatus(enum.IntEnum):
    """Outcome of a command.

    Attributes:
        OK: The command succeeded.
        REJECTED: The change was rejected; the output lists the reasons.
        NOT_IN_FORCE: The same status, of the commands for keys: the change was
            accepted, and some node lacked its version when the wait ended.
        BAD_INPUT: The command line or a file is invalid.
        UNKNOWN: The outcome of the change is unknown; `pomelobank change` with
            the change id queries the outcome.
        UNREACHABLE: The node did not respond.
        TIMED_OUT: Some members lacked the awaited version when the wait ended.
    """

    OK = 0
    REJECTED = 1
    NOT_IN_FORCE = 1
    BAD_INPUT = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    TIMED_OUT = 5
