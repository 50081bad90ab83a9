"""A forwarder whose peers are scripted by the test."""

import random
from collections.abc import Callable

from pomelobank_core import ManualClock, MemberTable, RetryPolicy, TwoChoices
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._owner import Owner
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

ENTRY_CENTRE = "a"


def new_forwarder(
    links: object,
    centre_of: Callable[[int], str],
    targets: int = 8,
    slots: int = 3,
) -> Forwarder:
    """Returns the forwarder of an entry node that has no target of its own.

    Args:
        links: Replacement for the streams to peers.
        centre_of: Returns the data centre of a target, given its number.
        targets: Number of targets of the upstream `stock`.
        slots: Number of requests that each target runs at once.
    """
    members = MemberTable(MemberEntry(node="entry", data_centre=ENTRY_CENTRE))
    members.merge(
        MemberEntry(
            node=f"t{number}",
            state="ready",
            data_centre=centre_of(number),
            upstream="stock",
            slots=slots,
            peer_address=f"127.0.0.1:{number + 1}",
        )
        for number in range(targets)
    )
    clock = ManualClock(1000)
    owner = Owner(RequestSettings(), clock, CrashReports(members, links, clock))
    return Forwarder(
        members,
        owner,
        links,
        clock,
        TwoChoices(random.Random(1)),
        retries=RetryPolicy(random.Random(1), free_rejections=True),
    )
