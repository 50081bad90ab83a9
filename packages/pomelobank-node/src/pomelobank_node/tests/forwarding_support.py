"""A forwarder among peers that the test plays."""

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
    """Returns the forwarder of an entry without a target.

    Args:
        links: Stands for the streams to peers.
        centre_of: Tells the data centre of a target by its number.
        targets: How many targets the upstream `stock` has.
        slots: Requests that each of them runs at once.
    """
    table = MemberTable(MemberEntry(node="entry", data_centre=ENTRY_CENTRE))
    table.merge(
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
    owner = Owner(RequestSettings(), clock, CrashReports(table, links, clock))
    return Forwarder(
        table,
        owner,
        links,
        clock,
        TwoChoices(random.Random(1)),
        retries=RetryPolicy(random.Random(1), free_rejections=True),
    )
