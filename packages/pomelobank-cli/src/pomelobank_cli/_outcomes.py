"""Texts and exit statuses of the outcomes of changes."""

from typing import TextIO

from pomelobank_cli._exit_status import ExitStatus
from pomelobank_schema.generated import operator_pb2 as pb

STATUS_NAMES = {
    pb.CHANGE_UNKNOWN: "unknown",
    pb.CHANGE_ACCEPTED: "accepted",
    pb.CHANGE_REJECTED: "rejected",
}
STATUS_EXITS = {
    pb.CHANGE_UNKNOWN: ExitStatus.UNKNOWN,
    pb.CHANGE_ACCEPTED: ExitStatus.OK,
    pb.CHANGE_REJECTED: ExitStatus.REJECTED,
}


def print_outcome(
    reply: pb.ApplyReply, dry_run: bool, file: TextIO | None = None
) -> None:
    """Prints the outcome of a change.

    Args:
        reply: The node's reply.
        dry_run: Whether the change was only validated.
        file: Where to print; None for standard output.
    """
    if reply.status == pb.CHANGE_ACCEPTED:
        outcome = (
            "would be accepted"
            if dry_run
            else f"accepted: version {reply.version}"
        )
        print(outcome, file=file)
    elif reply.status == pb.CHANGE_REJECTED:
        print("rejected: nothing was changed", file=file)
        for problem in reply.problems:
            print(
                f"  {problem.object}: {problem.message} ({problem.kind})",
                file=file,
            )
    else:
        print(
            f"unknown: ask again with 'pomelobank change {reply.change_id}'"
            f" in {reply.retry_after_ms} ms",
            file=file,
        )
